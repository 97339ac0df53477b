//! The id of a trigger.

use std::fmt;

/// The id of a trigger in all of an installation: the proxy that made it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TriggerId {
    /// The proxy, by the name of its log; 0 where it keeps none.
    pub writer: u64,
    /// The number.
    pub number: u64,
}

impl TriggerId {
    /// Reads an id as it stands in URLs.
    pub(super) fn read(text: &str) -> Option<Self> {
        match text.split_once('-') {
            None => Some(TriggerId {
                writer: 0,
                number: text.parse().ok()?,
            }),
            Some((writer, number)) => {
                let hex = |text| u64::from_str_radix(text, 16).ok();
                // One id has one text.
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
