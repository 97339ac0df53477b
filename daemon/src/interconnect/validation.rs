//! Checks that several sections share.

use super::Result;
use linnetknot::Micros;

pub(super) fn range<T: PartialOrd + std::fmt::Display>(
    key: &str,
    value: T,
    least: T,
    most: T,
) -> Result<T> {
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(format!("{key}: {value} is not from {least} to {most}"))
    }
}

pub(super) fn seconds(key: &str, s: f64) -> Result<Micros> {
    Ok((range(key, s, 0.001, 1e6)? * 1e6) as Micros)
}

/// A word that stands in an address of the agent: an empty one would ask for something else.
pub(super) fn word(key: &str, text: &str) -> Result<()> {
    match text.is_empty() || text.len() > 256 || text.chars().any(char::is_control) {
        true => Err(format!("{key}: '{}' can't be used", text.escape_default())),
        false => Ok(()),
    }
}
