//! Datagrams between the proxies of one installation: purges that only one of them was told of.

use linnetknot::Micros;

pub use linnetknot_datagram::MAX_DATAGRAM_BYTES;

/// A purge: of an object, or with none of a group, and when.
pub type Purge = (Option<String>, u64, Micros);

/// A purge as a datagram.
pub fn write(object: Option<&str>, group: u64, at: Micros) -> Option<String> {
    let text = match object {
        Some(object) => format!("purge object {object} {at}"),
        None => format!("purge group {group} {at}"),
    };
    (text.len() <= MAX_DATAGRAM_BYTES).then_some(text)
}

/// Object, group and time of a purge, if the datagram is one.
pub fn read(bytes: &[u8]) -> Option<Purge> {
    let text = std::str::from_utf8(bytes)
        .ok()
        .filter(|t| t.len() <= MAX_DATAGRAM_BYTES)?;
    let mut words = text.split(' ');
    let (Some("purge"), kind, what, at) =
        (words.next(), words.next()?, words.next()?, words.next()?)
    else {
        return None;
    };
    let at = at.parse().ok().filter(|_| words.next().is_none())?;
    match kind {
        "object" => Some((Some(what.to_owned()), 0, at)),
        "group" => Some((None, what.parse().ok()?, at)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn datagrams_come_back_as_they_were_and_stay_short() {
        assert_eq!(
            read(write(Some("0a"), 0, 7).unwrap().as_bytes()),
            Some((Some("0a".into()), 0, 7))
        );
        assert_eq!(
            read(write(None, 9, 8).unwrap().as_bytes()),
            Some((None, 9, 8))
        );
        assert_eq!(write(Some(&"a".repeat(250)), 0, 1), None);
        for bad in [
            "",
            "purge",
            "purge group x 1",
            "purge group 1 1 1",
            "purge object a -1",
            "hello a b 1",
        ] {
            assert_eq!(read(bad.as_bytes()), None, "{bad}");
        }
    }
}
