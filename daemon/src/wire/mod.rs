//! The wire formats: incremental parsers and encoders that are independent of sockets. Malformed input leads to a typed
//! error and never to a panic.

pub mod fastcgi;
pub mod http;
mod lines;
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
