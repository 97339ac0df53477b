//! The ids of triggers.

use std::fmt;

/// The id of a trigger, unique in the installation: the proxy that created it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TriggerId {
    /// The proxy, by the hash of its name in its log; 0 if it has no log.
    pub writer: u64,
    /// The number.
    pub number: u64,
}

impl TriggerId {
    /// Parses an id as in URLs.
    pub(super) fn read(text: &str) -> Option<Self> {
        match text.split_once('-') {
            None => Some(TriggerId {
                writer: 0,
                number: text.parse().ok()?,
            }),
            Some((writer, number)) => {
                let hex = |text| u64::from_str_radix(text, 16).ok();
                // An id has only one valid text.
                Some(TriggerId {
                    writer: hex(writer)?,
                    number: hex(number)?,
                })
                .filter(|n| n.to_string() == text)
            }
        }
    }
}

impl fmt::Display for TriggerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.writer {
            0 => write!(f, "{}", self.number),
            writer => write!(f, "{writer:016x}-{:x}", self.number),
        }
    }
}
