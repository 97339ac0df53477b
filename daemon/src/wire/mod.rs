//! The wire forms: incremental parsers and writers that know no sockets. Bad input is a typed error, never a panic.

pub mod fastcgi;
pub mod http;
pub mod resp;
pub mod sse;

use std::fmt;

/// Why input can't be read. It ends the connection that it came by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// Longer than the limits allow.
    TooLong(&'static str),
    /// Not in the form of the protocol.
    Malformed(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(what) => write!(f, "{what} is too long"),
            Self::Malformed(what) => write!(f, "{what} is malformed"),
        }
    }
}

impl std::error::Error for WireError {}

/// A parser that takes bytes as they come.
pub trait Parser {
    /// What it reads.
    type Item;
    /// Takes from the front of `input` what it needs for the next item at most. Gives the number of bytes taken, and the
    /// item if it is complete; where it is not, all of the input is taken.
    ///
    /// # Errors
    /// The input can't be read: the parser is of no further use.
    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), WireError>;
}

/// Moves bytes up to the end of the line into `line`. Gives the number of bytes taken, and whether the line is complete;
/// its end is left out.
pub(crate) fn take_line(
    input: &[u8],
    line: &mut Vec<u8>,
    max: usize,
) -> Result<(usize, bool), WireError> {
    let end = input.iter().position(|b| *b == b'\n');
    let taken = end.map_or(input.len(), |at| at + 1);
    if line.len() + taken > max {
        return Err(WireError::TooLong("a line"));
    }
    line.extend_from_slice(&input[..end.unwrap_or(input.len())]);
    if end.is_some() && line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok((taken, end.is_some()))
}
