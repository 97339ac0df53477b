//! HTTP responses to peer CDNs and redirected clients.

use super::MEDIA;
use crate::core::{Answer, Content};
use serde_json::Value;

/// An HTTP response to a peer CDN or a redirected client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, except those about the connection and the length of the body.
    pub headers: Vec<(&'static str, String)>,
    /// The body of the HTTP response.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with only a status.
    pub fn bare(status: u16) -> Self {
        Response {
            status,
            ..Response::default()
        }
    }

    /// Creates a response with a CDNI payload, which must not be cached.
    pub fn payload(status: u16, ptype: &str, value: &Value) -> Self {
        let headers = vec![
            ("Content-Type", format!("{MEDIA}{ptype}")),
            ("Cache-Control", "no-store".to_owned()),
        ];
        Response {
            status,
            headers,
            body: value.to_string().into_bytes(),
        }
    }

    /// Adds a header.
    pub(super) fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Converts a final answer of the core to a response. `late` states whether the deadline of a failed request had been
/// reached.
pub fn response(answer: Answer, late: bool) -> Response {
    match answer {
        Answer::Served(Content::Object { bytes, tag }) => {
            let response = Response {
                status: 200,
                headers: vec![],
                body: bytes,
            };
            let response = response.with("Content-Type", "application/octet-stream".to_owned());
            match tag {
                Some(tag) => response.with("ETag", format!("\"{tag}\"")),
                None => response,
            }
        }
        Answer::Served(Content::Unchanged) => Response::bare(304),
        Answer::Rejected { retry_after_us } => {
            // The header `Retry-After` is in whole seconds.
            let wait_s = retry_after_us.unwrap_or(0).div_ceil(1_000_000).max(1);
            Response::bare(503).with("Retry-After", wait_s.to_string())
        }
        Answer::Failed => Response::bare(if late { 504 } else { 502 }),
    }
}
