//! Checks that several sections share.

use super::{InterconnectError, Result};
use linnetknot::Micros;
use std::fmt::Display;

/// The longest text that may stand in a request to the agent, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Returns the value if it lies from `min` to `max`.
pub(super) fn range<T: PartialOrd + Display>(key: &str, value: T, min: T, max: T) -> Result<T> {
    if value >= min && value <= max {
        Ok(value)
    } else {
        Err(InterconnectError::out_of_range(key, value, min, max))
    }
}

/// Returns a time that the file has in seconds.
pub(super) fn seconds(key: &str, seconds: f64) -> Result<Micros> {
    Ok((range(key, seconds, 0.001, 1e6)? * 1e6) as Micros)
}

/// Checks a text that stands in a request to the agent: an empty one would ask for something else.
pub(super) fn text(key: &str, text: &str) -> Result<()> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
        return Err(InterconnectError::UnusableText {
            key: key.to_owned(),
            text: text.to_owned(),
        });
    }
    Ok(())
}
