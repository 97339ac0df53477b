//! The wire formats: incremental parsers and encoders that are independent of sockets. Malformed input leads to a typed
//! error and never to a panic.

pub mod fastcgi;
pub mod http;
pub mod resp;
pub mod sse;

use std::fmt;

/// A parse error, after which the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The input exceeds a limit.
    TooLong(&'static str),
    /// The input violates the protocol.
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

/// A parser that can be called again whenever more bytes arrive.
pub trait Parser {
    /// The type of a parsed item, such as a message or a record.
    type Item;
    /// Consumes bytes from the front of `input`, at most those of the next item. Returns the number of bytes consumed,
    /// and the item if it is complete. If the item is incomplete, all of the input was consumed.
    ///
    /// # Errors
    /// Fails on malformed input, after which the parser must not be used.
    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Self::Item>), WireError>;
}

/// Moves bytes up to the end of the line to `line`, without the line end. Returns the number of bytes consumed, and
/// whether the line is complete.
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
