//! Validation functions that are used for several sections.

use super::{InterconnectError, Result};
use linnetknot::Micros;
use std::fmt::Display;

/// The maximum length of a text in a request to the Consul agent, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Returns the value if it is from `min` to `max`.
pub(super) fn range<T: PartialOrd + Display>(key: &str, value: T, min: T, max: T) -> Result<T> {
    if value >= min && value <= max {
        Ok(value)
    } else {
        Err(InterconnectError::out_of_range(key, value, min, max))
    }
}

/// Converts a time in seconds to microseconds.
pub(super) fn seconds(key: &str, seconds: f64) -> Result<Micros> {
    Ok((range(key, seconds, 0.001, 1e6)? * 1e6) as Micros)
}

/// Validates a text that becomes part of a request to the Consul agent. It must not be empty, because that would change
/// the meaning of the request.
pub(super) fn text(key: &str, text: &str) -> Result<()> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
        return Err(InterconnectError::UnusableText {
            key: key.to_owned(),
            text: text.to_owned(),
        });
    }
    Ok(())
}
