//! The ids of triggers, unique among all proxies.

use std::fmt;

/// The id of a trigger: the proxy that created it, and the number of the trigger at that proxy. It is unique among all
/// proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TriggerId {
    /// The hash that identifies the proxy as the writer of its log; 0 if the proxy has no log.
    pub writer: u64,
    /// The number of the trigger among those of the proxy.
    pub number: u64,
}

impl TriggerId {
    /// Parses an id in the form that is used in URLs.
    pub(super) fn read(text: &str) -> Option<Self> {
        match text.split_once('-') {
            None => Some(TriggerId {
                writer: 0,
                number: text.parse().ok()?,
            }),
            Some((writer, number)) => {
                let hex = |text| u64::from_str_radix(text, 16).ok();
                // The text is rejected unless it is the canonical form, so that an id has only one URL.
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
