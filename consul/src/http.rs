//! Requests and responses as this package deals in them. The bytes in between are whoever's who drives it.

use linnetknot::Micros;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use std::fmt;

/// What may stand in a path segment unescaped (RFC 3986, 'unreserved').
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A secret that never shows in a log.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

/// Why a token can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// There is nothing in it.
    Empty,
    /// It holds what can't stand in a header.
    Malformed,
    /// It is longer than any token is.
    TooLong,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "the token is empty",
            Self::Malformed => "the token holds what can't stand in a header",
            Self::TooLong => "the token is too long",
        })
    }
}

impl std::error::Error for TokenError {}

impl Token {
    /// Reads a token as its file holds it: an end of line behind it belongs to the file.
    pub fn read(text: &str) -> Result<Self, TokenError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(TokenError::Empty);
        }
        if text.len() > 512 {
            return Err(TokenError::TooLong);
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(TokenError::Malformed);
        }
        Ok(Token(text.to_owned()))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// A call to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Which of the agents, by its place in the configuration.
    pub agent: usize,
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body, in JSON; empty: none.
    pub body: Vec<u8>,
    /// It has failed if no whole answer has come after this time, in microseconds.
    pub timeout_us: Micros,
}

impl Call {
    /// The request as HTTP/1.1, for one request a connection.
    pub fn to_bytes(&self, host: &str, token: Option<&Token>) -> Vec<u8> {
        let (method, target) = (self.method, &self.target);
        let mut head =
            format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n");
        head.push_str("Connection: close\r\n");
        if let Some(Token(token)) = token {
            head.push_str(&format!("X-Consul-Token: {token}\r\n"));
        }
        if !self.body.is_empty() || self.method == "PUT" {
            head.push_str("Content-Type: application/json\r\n");
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut out = head.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

/// A whole answer. Names of headers are in lower case.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: &'a [(String, String)],
    /// Body.
    pub body: &'a [u8],
}

impl Response<'_> {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// What an answer that is no success says of itself: its first line, cut short.
    pub fn error_summary(&self) -> String {
        let text = String::from_utf8_lossy(&self.body[..self.body.len().min(160)]).into_owned();
        text.lines()
            .next()
            .unwrap_or("")
            .chars()
            .filter(|c| !c.is_control())
            .collect()
    }
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TransportError {
    /// No connection came up.
    Unreachable,
    /// The connection ended before the answer was whole.
    Truncated,
    /// No whole answer came in time.
    TimedOut,
    /// What came is no HTTP.
    Malformed,
    /// The answer is longer than is read.
    TooLong,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "can't be reached",
            Self::Truncated => "broke off in the middle of an answer",
            Self::TimedOut => "gave no whole answer in time",
            Self::Malformed => "answered with something that is no HTTP",
            Self::TooLong => "gave an answer that is longer than allowed",
        })
    }
}

/// A segment of a path, escaped.
pub(crate) fn segment(text: &str) -> String {
    utf8_percent_encode(text, SEGMENT).to_string()
}

/// Path and query.
pub(crate) fn target(path: String, query: &[(&str, &str)]) -> String {
    if query.is_empty() {
        return path;
    }
    let mut out = form_urlencoded::Serializer::new(path + "?");
    // Flags such as `stale` have no value, and Consul takes them with an empty one as well.
    for (name, value) in query {
        match value.is_empty() {
            true => out.append_key_only(name),
            false => out.append_pair(name, value),
        };
    }
    out.finish().replace("?&", "?")
}

#[cfg(test)]
mod tests;
