//! The head of an HTTP message.

use crate::wire::WireError;

/// The head of a message: its first line and its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The request line or status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> Option<u16> {
        self.start
            .strip_prefix("HTTP/1.")?
            .split(' ')
            .nth(1)?
            .parse()
            .ok()
    }

    /// Whether a further response follows on the same request.
    pub(super) fn is_interim(&self) -> bool {
        matches!(self.status(), Some(100 | 102..200))
    }

    /// Whether a final response with this head has no body, whatever its headers say.
    pub(super) fn excludes_body(&self) -> bool {
        matches!(self.status(), Some(101 | 204 | 304))
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> Option<(&str, &str)> {
        let mut words = self.start.split(' ');
        let (method, target, version) = (words.next()?, words.next()?, words.next()?);
        (version.starts_with("HTTP/1.") && words.next().is_none()).then_some((method, target))
    }

    /// Whether the sender keeps the connection open after the message.
    pub fn keeps_open(&self) -> bool {
        let has_option = |word: &str| {
            let words = self.header("connection").unwrap_or("").split(',');
            words
                .into_iter()
                .any(|w| w.trim().eq_ignore_ascii_case(word))
        };
        if self.start.contains("HTTP/1.0") {
            has_option("keep-alive")
        } else {
            !has_option("close")
        }
    }
}

/// Parses the first line of a request or a response.
///
/// # Errors
/// Fails if the line is malformed.
pub(super) fn parse_start(line: Vec<u8>, is_response: bool) -> Result<Head, WireError> {
    let line = String::from_utf8(line).map_err(|_| WireError::Malformed("an HTTP head"))?;
    let head = Head {
        start: line,
        headers: Vec::new(),
    };
    let is_valid = if is_response {
        head.status().is_some()
    } else {
        head.request().is_some()
    };
    if is_valid {
        Ok(head)
    } else {
        Err(WireError::Malformed("an HTTP message's first line"))
    }
}

/// Parses a line with a header. Returns its name, in lower case, and its value, in which bytes that are not UTF-8 are
/// replaced by U+FFFD.
///
/// # Errors
/// Fails on characters that a name or a value can't have: another party may read them otherwise.
pub(super) fn parse_field(line: &[u8]) -> Result<(String, String), WireError> {
    const MALFORMED: WireError = WireError::Malformed("an HTTP header");
    let name_end = line.iter().position(|byte| *byte == b':');
    let (name, rest) = line.split_at(name_end.ok_or(MALFORMED)?);
    let value = &rest[1..];
    if name.is_empty() || !name.iter().copied().all(is_token_character) {
        return Err(MALFORMED);
    }
    if value.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return Err(MALFORMED);
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    let value = String::from_utf8_lossy(value.trim_ascii()).into_owned();
    Ok((name, value))
}

/// Whether the name of a header may have this character (RFC 9110, section 5.6.2).
fn is_token_character(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
