//! HTTP responses of the CDNI front.

use super::MEDIA;
use crate::core::{Answer, Content};
use serde_json::Value;

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers, besides those of the connection.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response of a status alone.
    pub fn bare(status: u16) -> Self {
        Response {
            status,
            ..Response::default()
        }
    }

    /// A response with a CDNI payload, which is never to be cached.
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

    /// The same response with a further header.
    pub(super) fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// The core's final answer as a response. Where it failed, `late` tells that its time was over.
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
            // The header counts whole seconds.
            let wait_s = retry_after_us.unwrap_or(0).div_ceil(1_000_000).max(1);
            Response::bare(503).with("Retry-After", wait_s.to_string())
        }
        Answer::Failed => Response::bare(if late { 504 } else { 502 }),
    }
}
