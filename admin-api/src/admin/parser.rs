//! The incremental parser of HTTP requests at the admin listener.

use super::call::{route, Call, CallError};

/// Maximum length of the request line.
pub const MAX_REQUEST_LINE_BYTES: usize = 1024;
/// Maximum length of the head, which consists of the request line and the headers.
pub const MAX_HEAD_BYTES: usize = 8192;
/// Maximum number of headers of a request.
pub const MAX_HEADERS: usize = 64;

/// Parses a call from the bytes of a connection as they are received.
#[derive(Debug, Default)]
pub struct Parser {
    head: Vec<u8>,
    is_done: bool,
}

/// Returns the length of the head including its blank line, or `None` if the head is incomplete.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let after = |blank: &[u8]| {
        let position = bytes.windows(blank.len()).position(|w| w == blank);
        position.map(|at| at + blank.len())
    };
    [after(b"\r\n\r\n"), after(b"\n\n")]
        .into_iter()
        .flatten()
        .min()
}

/// Parses a complete head that is followed by `bytes_after` bytes.
fn parse_head(head: &[u8], bytes_after: usize) -> Result<Call, CallError> {
    let text = std::str::from_utf8(head).map_err(|_| CallError::Malformed)?;
    let mut lines = text
        .split('\n')
        .map(|line| line.strip_suffix('\r').unwrap_or(line));
    // Another party may take a CR within a line for the end of a line.
    if lines.clone().any(|line| line.contains('\r')) {
        return Err(CallError::Malformed);
    }
    let request_line = lines.next().ok_or(CallError::Malformed)?;
    let request = parse_request_line(request_line)?;
    let headers = lines.filter(|line| !line.is_empty());
    for (n, header) in headers.enumerate() {
        if n == MAX_HEADERS {
            return Err(CallError::HeadTooLarge);
        }
        check_header(header)?;
    }
    if bytes_after > 0 {
        return Err(CallError::UnexpectedBody);
    }
    route(request.method, request.target)
}

struct RequestLine<'a> {
    method: &'a str,
    target: &'a str,
}

fn parse_request_line(line: &str) -> Result<RequestLine<'_>, CallError> {
    let mut parts = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(CallError::Malformed);
    };
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !is_method || !target.starts_with('/') || !version.starts_with("HTTP/") {
        return Err(CallError::Malformed);
    }
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(CallError::UnsupportedVersion);
    }
    Ok(RequestLine { method, target })
}

/// Checks that a header is valid and does not announce a body.
fn check_header(header: &str) -> Result<(), CallError> {
    let (name, value) = header.split_once(':').ok_or(CallError::Malformed)?;
    let is_forbidden = |byte: u8| byte.is_ascii_whitespace() || byte.is_ascii_control();
    if name.is_empty() || name.bytes().any(is_forbidden) {
        return Err(CallError::Malformed);
    }
    if name.eq_ignore_ascii_case("transfer-encoding") {
        return Err(CallError::UnexpectedBody);
    }
    if name.eq_ignore_ascii_case("content-length") {
        return match value.trim().parse::<u64>() {
            Ok(0) => Ok(()),
            Ok(_) => Err(CallError::UnexpectedBody),
            Err(_) => Err(CallError::Malformed),
        };
    }
    Ok(())
}

impl Parser {
    /// Creates a parser for a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes received bytes. Returns a complete call or an error once, and discards all bytes after that.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Call>, CallError> {
        if self.is_done {
            return Ok(None);
        }
        // One byte more than the limit is buffered, to detect that the head is too large.
        let capacity = (MAX_HEAD_BYTES + 1).saturating_sub(self.head.len());
        self.head
            .extend_from_slice(&bytes[..bytes.len().min(capacity)]);
        let result = match head_length(&self.head) {
            Some(length) => parse_head(&self.head[..length], self.head.len() - length).map(Some),
            None => self.check_incomplete().map(|()| None),
        };
        self.is_done = !matches!(result, Ok(None));
        result
    }

    /// Returns an error if no further bytes can complete the received head to a valid one.
    fn check_incomplete(&self) -> Result<(), CallError> {
        let line_end = self.head.iter().position(|byte| *byte == b'\n');
        if line_end.unwrap_or(self.head.len()) > MAX_REQUEST_LINE_BYTES {
            return Err(CallError::LineTooLong);
        }
        if self.head.len() > MAX_HEAD_BYTES {
            return Err(CallError::HeadTooLarge);
        }
        // Methods begin with a capital letter.
        match self.head.first() {
            Some(first) if !first.is_ascii_uppercase() => Err(CallError::Malformed),
            _ => Ok(()),
        }
    }

    /// Handles the end of the connection. Returns an error if a call was received only in part.
    pub fn end(&mut self) -> Option<CallError> {
        let was_complete = std::mem::replace(&mut self.is_done, true);
        (!was_complete && !self.head.is_empty()).then_some(CallError::Truncated)
    }
}
