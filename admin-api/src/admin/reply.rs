//! The responses of the admin API.

use super::CallError;

/// Value of the `Retry-After` header in the response to a call that can't be executed at the moment.
const RETRY_AFTER_S: u32 = 1;

/// A response of the admin API, without the HTTP headers that are the same for all responses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status: 2xx if the call was executed, otherwise 4xx or 5xx.
    pub status: u16,
    /// Body of the response: a line of text for the operator.
    pub text: String,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
}

/// Returns the reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Payload Too Large",
        414 => "URI Too Long",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

impl Reply {
    /// Creates a response with a status and a line of text.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        Reply {
            status,
            text: text.into(),
            retry_after_s: None,
        }
    }

    /// Creates the response to a call that can't be executed at the moment.
    pub fn unavailable(text: impl Into<String>) -> Self {
        Reply {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Reply::new(503, text)
        }
    }

    /// Creates the response to a rejected request.
    pub fn rejected(error: CallError) -> Self {
        Reply::new(error.status(), error.to_string())
    }

    /// Encodes the response as HTTP, with `Connection: close`.
    pub fn to_bytes(&self) -> Vec<u8> {
        let reason = reason_phrase(self.status);
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
