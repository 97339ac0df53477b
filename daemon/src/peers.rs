//! The encoding of purges as plain datagrams, which a proxy sends to other proxies that do not replicate logs.

use linnetknot::Micros;

pub use linnetknot_datagram::MAX_DATAGRAM_BYTES;

/// A purge of an object, or of a group if there is no object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Purge {
    /// The object; `None` for a group.
    pub object: Option<String>,
    /// The group, if there is no object.
    pub group: u64,
    /// The time of the purge by the origin clock, in microseconds.
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

/// Encodes a purge as a datagram; `None` if it would be too long.
pub fn write(object: Option<&str>, group: u64, at: Micros) -> Option<String> {
    let text = match object {
        Some(object) => format!("purge object {object} {at}"),
        None => format!("purge group {group} {at}"),
    };
    (text.len() <= MAX_DATAGRAM_BYTES).then_some(text)
}

/// Decodes a purge; `None` if the datagram is not a purge.
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
