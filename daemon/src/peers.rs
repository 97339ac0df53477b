//! Plain datagrams between the proxies of one installation: purges that only one of them was sent.

use linnetknot::Micros;

pub use linnetknot_datagram::MAX_DATAGRAM_BYTES;

/// A purge of an object, or without one of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Purge {
    /// The object; none where a group is purged.
    pub object: Option<String>,
    /// The group; without meaning where an object is purged.
    pub group: u64,
    /// When it was purged.
    pub at: Micros,
}

impl Purge {
    /// Creates a purge of an object.
    pub fn of_object(object: impl Into<String>, at: Micros) -> Self {
        Purge {
            object: Some(object.into()),
            group: 0,
            at,
        }
    }

    /// Creates a purge of a group.
    pub fn of_group(group: u64, at: Micros) -> Self {
        Purge {
            object: None,
            group,
            at,
        }
    }
}

/// Encodes a purge as a datagram; none where it would be too long.
pub fn write(object: Option<&str>, group: u64, at: Micros) -> Option<String> {
    let text = match object {
        Some(object) => format!("purge object {object} {at}"),
        None => format!("purge group {group} {at}"),
    };
    (text.len() <= MAX_DATAGRAM_BYTES).then_some(text)
}

/// Decodes a purge; none where the datagram is no purge.
pub fn read(bytes: &[u8]) -> Option<Purge> {
    let text = std::str::from_utf8(bytes)
        .ok()
        .filter(|text| text.len() <= MAX_DATAGRAM_BYTES)?;
    let words: Vec<&str> = text.split(' ').collect();
    let ["purge", kind, subject, at] = words[..] else {
        return None;
    };
    let at = at.parse().ok()?;
    match kind {
        "object" => Some(Purge::of_object(subject, at)),
        "group" => Some(Purge::of_group(subject.parse().ok()?, at)),
        _ => None,
    }
}
