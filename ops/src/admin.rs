//! The admin listener's wire: HTTP/1.1, one call a connection, read incrementally and bounded.
//!
//! The parser owns no socket: bytes go in as they come, and out comes a whole [`Call`], a typed [`CallError`]
//! that ends the connection with a 4xx, or nothing yet. It guards against callers that send a line or a head of
//! any length, bodies where none belongs, bytes that are no HTTP, and calls that are cut off.

use std::fmt;

/// The longest request line, in bytes.
pub const MOST_LINE: usize = 1024;
/// The longest head, request line and headers together, in bytes.
pub const MOST_HEAD: usize = 8192;
/// The most headers of a call.
pub const MOST_HEADERS: usize = 64;
/// The longest id of a pop cache, in bytes.
pub const MOST_ID: usize = 128;

/// A whole call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /control/ready`: whether the process is ready to serve.
    Ready,
    /// `POST /control/pop-caches/ID/offline`: nothing more to that pop cache.
    Offline(String),
    /// `POST /control/pop-caches/ID/online`: use it again.
    Online(String),
    /// `POST /control/out-of-service`: drain.
    OutOfService,
    /// `POST /control/in-service`: back to work.
    InService,
    /// `GET /control/fleet`: what this proxy's copies and promises stand at.
    Fleet,
    /// `GET /control/budgets`: where its leases of what all proxies spend stand.
    Budgets,
}

/// Why a call is not taken. Each ends its connection after the answer of [`CallError::status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request line is over [`MOST_LINE`].
    LineTooLong,
    /// The head is over [`MOST_HEAD`], or has more than [`MOST_HEADERS`] headers.
    HeadTooLarge,
    /// Bytes that are no HTTP/1.x request.
    Malformed,
    /// A version other than HTTP/1.0 or HTTP/1.1.
    Version,
    /// A known path with a method it does not take.
    Method,
    /// A path that is no call, or an id that can't be one.
    NotFound,
    /// A body, or a header that announces one: no call has any.
    Body,
    /// The connection ended before the call was whole.
    Cut,
}

impl CallError {
    /// The status that it is answered with.
    pub fn status(self) -> u16 {
        match self {
            CallError::LineTooLong => 414,
            CallError::HeadTooLarge => 431,
            CallError::Method => 405,
            CallError::NotFound => 404,
            CallError::Body => 413,
            CallError::Malformed | CallError::Version | CallError::Cut => 400,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self {
            CallError::LineTooLong => "the request line is too long",
            CallError::HeadTooLarge => "the head is too large",
            CallError::Malformed => "not an HTTP request",
            CallError::Version => "not HTTP/1.0 or HTTP/1.1",
            CallError::Method => "the method does not fit the path",
            CallError::NotFound => "no such call",
            CallError::Body => "a call has no body",
            CallError::Cut => "the call was cut off",
        };
        f.write_str(what)
    }
}

impl std::error::Error for CallError {}

/// Reads one call from the bytes of a connection as they come.
#[derive(Debug, Default)]
pub struct Parser {
    head: Vec<u8>,
    done: bool,
}

/// Where the head ends, after its blank line.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let crlf = bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    let lf = bytes.windows(2).position(|w| w == b"\n\n").map(|at| at + 2);
    match (crlf, lf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Whether an id can name a pop cache: letters, digits and `-._:`.
fn is_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= MOST_ID
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_' | b':'))
}

/// The call of a method and a path.
fn route(method: &str, path: &str) -> Result<Call, CallError> {
    let (wanted, call) = match path {
        "/control/ready" => ("GET", Call::Ready),
        "/control/out-of-service" => ("POST", Call::OutOfService),
        "/control/in-service" => ("POST", Call::InService),
        "/control/fleet" => ("GET", Call::Fleet),
        "/control/budgets" => ("GET", Call::Budgets),
        _ => {
            let rest = path
                .strip_prefix("/control/pop-caches/")
                .ok_or(CallError::NotFound)?;
            let (id, verb) = rest.rsplit_once('/').ok_or(CallError::NotFound)?;
            if !is_id(id) {
                return Err(CallError::NotFound);
            }
            match verb {
                "offline" => ("POST", Call::Offline(id.to_owned())),
                "online" => ("POST", Call::Online(id.to_owned())),
                _ => return Err(CallError::NotFound),
            }
        }
    };
    // A HEAD of the ready call is a GET without a body, as HTTP has it.
    if method == wanted || (wanted == "GET" && method == "HEAD") {
        Ok(call)
    } else {
        Err(CallError::Method)
    }
}

/// Reads a whole head, and what came after it.
fn parse(head: &[u8], after: usize) -> Result<Call, CallError> {
    let text = std::str::from_utf8(head).map_err(|_| CallError::Malformed)?;
    let mut lines = text.split('\n').map(|l| l.strip_suffix('\r').unwrap_or(l));
    let line = lines.next().ok_or(CallError::Malformed)?;
    let mut parts = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(CallError::Malformed);
    };
    if method.is_empty()
        || !method.bytes().all(|b| b.is_ascii_uppercase())
        || !target.starts_with('/')
    {
        return Err(CallError::Malformed);
    }
    if !version.starts_with("HTTP/") {
        return Err(CallError::Malformed);
    }
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(CallError::Version);
    }
    let mut count = 0;
    for header in lines.filter(|l| !l.is_empty()) {
        count += 1;
        if count > MOST_HEADERS {
            return Err(CallError::HeadTooLarge);
        }
        let (name, value) = header.split_once(':').ok_or(CallError::Malformed)?;
        if name.is_empty()
            || name
                .bytes()
                .any(|b| b.is_ascii_whitespace() || b.is_ascii_control())
        {
            return Err(CallError::Malformed);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(CallError::Body);
        }
        if name.eq_ignore_ascii_case("content-length") {
            match value.parse::<u64>() {
                Ok(0) => {}
                Ok(_) => return Err(CallError::Body),
                Err(_) => return Err(CallError::Malformed),
            }
        }
    }
    if after > 0 {
        return Err(CallError::Body);
    }
    route(method, target)
}

impl Parser {
    /// A parser that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the bytes that came. A whole call, or an error, comes once; after that, bytes are not looked at.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Call>, CallError> {
        if self.done {
            return Ok(None);
        }
        let room = MOST_HEAD + 1 - self.head.len().min(MOST_HEAD + 1);
        self.head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let result = match head_end(&self.head) {
            Some(end) => parse(&self.head[..end], self.head.len() - end).map(Some),
            None => {
                let line = self
                    .head
                    .iter()
                    .position(|b| *b == b'\n')
                    .unwrap_or(self.head.len());
                if line > MOST_LINE {
                    Err(CallError::LineTooLong)
                } else if self.head.len() > MOST_HEAD {
                    Err(CallError::HeadTooLarge)
                } else if self.head.first().is_some_and(|b| !b.is_ascii_uppercase()) {
                    // No method begins so: whoever sends this sends no HTTP.
                    Err(CallError::Malformed)
                } else {
                    Ok(None)
                }
            }
        };
        self.done = !matches!(result, Ok(None));
        result
    }

    /// The connection has ended: what a caller that sent part of a call is owed.
    pub fn end(&mut self) -> Option<CallError> {
        (!std::mem::replace(&mut self.done, true) && !self.head.is_empty())
            .then_some(CallError::Cut)
    }
}

/// An answer of the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status: 2xx is yes, 4xx and 5xx are no.
    pub status: u16,
    /// A line of text for whoever reads it.
    pub text: String,
    /// When the caller may come again, in seconds, where that is told.
    pub retry_after_s: Option<u32>,
}

/// When a caller may come again whose call could not be kept, in seconds.
const RETRY_AFTER_S: u32 = 1;

impl Reply {
    /// An answer with a status and a line.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        Reply {
            status,
            text: text.into(),
            retry_after_s: None,
        }
    }

    /// The answer to a call that can't be kept for a while.
    pub fn unavailable(text: impl Into<String>) -> Self {
        Reply {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Reply::new(503, text)
        }
    }

    /// The answer to a call that is not taken.
    pub fn refused(error: CallError) -> Self {
        Reply::new(error.status(), error.to_string())
    }

    /// The bytes on the wire; the connection closes after them.
    pub fn to_bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            413 => "Payload Too Large",
            414 => "URI Too Long",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Other",
        };
        let body = format!("{}\n", self.text);
        let retry = self
            .retry_after_s
            .map_or_else(String::new, |s| format!("Retry-After: {s}\r\n"));
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: text/plain\r\n{retry}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.status,
            body.len()
        )
        .into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn whole(text: &str) -> Result<Option<Call>, CallError> {
        Parser::new().feed(text.as_bytes())
    }

    #[test]
    fn each_call_is_read_and_in_crumbs_too() {
        assert_eq!(
            whole("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"),
            Ok(Some(Call::Ready))
        );
        assert_eq!(
            whole("POST /control/out-of-service HTTP/1.1\r\n\r\n"),
            Ok(Some(Call::OutOfService))
        );
        assert_eq!(
            whole("GET /control/fleet HTTP/1.1\r\n\r\n"),
            Ok(Some(Call::Fleet))
        );
        assert_eq!(
            whole("GET /control/budgets HTTP/1.1\r\n\r\n"),
            Ok(Some(Call::Budgets))
        );
        assert_eq!(
            whole("POST /control/budgets HTTP/1.1\r\n\r\n"),
            Err(CallError::Method)
        );
        assert_eq!(
            whole("POST /control/in-service HTTP/1.0\r\nContent-Length: 0\r\n\r\n"),
            Ok(Some(Call::InService))
        );
        let offline = "POST /control/pop-caches/pc-7.a/offline HTTP/1.1\r\n\r\n";
        assert_eq!(whole(offline), Ok(Some(Call::Offline("pc-7.a".into()))));
        let mut parser = Parser::new();
        let bytes = b"POST /control/pop-caches/b2/online HTTP/1.1\r\nHost: y\r\n\r\n";
        for (n, b) in bytes.iter().enumerate() {
            let got = parser.feed(&[*b]);
            let last = n + 1 == bytes.len();
            assert_eq!(
                got,
                if last {
                    Ok(Some(Call::Online("b2".into())))
                } else {
                    Ok(None)
                },
                "at {n}"
            );
        }
        assert_eq!(
            parser.end(),
            None,
            "nothing is owed for a call that was whole"
        );
    }

    #[test]
    fn bad_calls_are_typed_errors_with_a_4xx() {
        let cases = [
            ("DELETE /control/ready HTTP/1.1\r\n\r\n", CallError::Method),
            (
                "GET /control/out-of-service HTTP/1.1\r\n\r\n",
                CallError::Method,
            ),
            ("GET /nothing HTTP/1.1\r\n\r\n", CallError::NotFound),
            (
                "POST /control/pop-caches/a b/offline HTTP/1.1\r\n\r\n",
                CallError::Malformed,
            ),
            (
                "POST /control/pop-caches/%2e/offline HTTP/1.1\r\n\r\n",
                CallError::NotFound,
            ),
            (
                "POST /control/pop-caches//offline HTTP/1.1\r\n\r\n",
                CallError::NotFound,
            ),
            (
                "POST /control/in-service HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
                CallError::Body,
            ),
            (
                "POST /control/in-service HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                CallError::Body,
            ),
            (
                "POST /control/in-service HTTP/1.1\r\n\r\nextra",
                CallError::Body,
            ),
            ("GET /control/ready HTTP/2.0\r\n\r\n", CallError::Version),
            (
                "GET /control/ready HTTP/1.1\r\nno colon\r\n\r\n",
                CallError::Malformed,
            ),
            ("\x16\x03\x01\x02\x00", CallError::Malformed),
        ];
        for (text, error) in cases {
            assert_eq!(whole(text), Err(error), "{text:?}");
            assert!((400..500).contains(&error.status()));
        }
        let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MOST_LINE + 10));
        assert_eq!(whole(&long), Err(CallError::LineTooLong));
        let mut parser = Parser::new();
        assert_eq!(parser.feed(b"GET /control/ready HTTP/1.1\r\n"), Ok(None));
        let header = b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
        let mut last = Ok(None);
        for _ in 0..MOST_HEAD / header.len() + 2 {
            last = parser.feed(header);
            if last.is_err() {
                break;
            }
        }
        assert_eq!(last, Err(CallError::HeadTooLarge));
        let many = format!(
            "GET /control/ready HTTP/1.1\r\n{}\r\n",
            "A: b\r\n".repeat(MOST_HEADERS + 1)
        );
        assert_eq!(whole(&many), Err(CallError::HeadTooLarge));
        let mut cut = Parser::new();
        assert_eq!(cut.feed(b"POST /control/out-of"), Ok(None));
        assert_eq!(cut.end(), Some(CallError::Cut));
        assert_eq!(
            Parser::new().end(),
            None,
            "a connection that said nothing is owed nothing"
        );
    }

    #[test]
    fn a_reply_says_its_length_and_closes() {
        let bytes = String::from_utf8(Reply::new(404, "no such pop cache").to_bytes()).unwrap();
        assert!(bytes.starts_with("HTTP/1.1 404 Not Found\r\n"));
        assert!(
            bytes.contains("Content-Length: 18\r\n") && bytes.contains("Connection: close\r\n")
        );
        assert!(bytes.ends_with("\r\n\r\nno such pop cache\n"));
    }
}
