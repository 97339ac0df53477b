//! An HTTP connection of a peer CDN or of a redirected client.

use super::Response;
use crate::core::RequestKey;
use crate::net::RingBuffer;
use crate::wire::http::{self, Head, MessageParser, Piece};
use crate::wire::{Parser, WireError};

/// The event that a response waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// The final answer of the core to the request with this key.
    Core(RequestKey),
    /// The commit of the effects of the request.
    Commit,
}

/// A connection. Its requests are handled one at a time: the next request stays in the receive buffer until the
/// response to the previous one is written.
pub struct Session {
    messages: MessageParser,
    head: Option<Head>,
    body: Vec<u8>,
    keep_open: bool,
    /// The event that the response to the last request waits for.
    pub waiting: Option<Waiting>,
    /// The deadline of the last request, if it was forwarded to the core.
    pub deadline: u64,
    out: Vec<u8>,
    /// The number of bytes of `out` that have been written.
    written: usize,
    /// Whether any request has been received in full.
    has_received_request: bool,
    /// Whether only part of a request has been received.
    is_partial: bool,
}

/// Returns the reason phrase of a status code.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

impl Session {
    /// Creates the state of a new connection, with limits for the bytes of a line and of a body.
    pub fn new(max_line: usize, max_body: usize) -> Self {
        Session {
            messages: MessageParser::requests(max_line, max_body),
            head: None,
            body: Vec::new(),
            keep_open: true,
            waiting: None,
            deadline: 0,
            out: Vec::new(),
            written: 0,
            has_received_request: false,
            is_partial: false,
        }
    }

    /// Whether no request is open and no response is queued.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_none() && self.out.is_empty()
    }

    /// Whether only part of a request has been received.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Whether any request has been received in full.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    /// Whether the connection is closing, no request is open and no response is queued.
    pub fn is_finished(&self) -> bool {
        !self.keep_open && self.is_idle()
    }

    /// Returns the number of bytes of the response that are still to be written.
    pub fn pending(&self) -> usize {
        self.out.len() - self.written
    }

    /// Parses the next request, once the previous one is answered. Returns its head and body.
    ///
    /// # Errors
    /// Fails on malformed input and if a limit is exceeded.
    pub fn read(&mut self, input: &mut RingBuffer) -> Result<Option<(Head, Vec<u8>)>, WireError> {
        while self.keep_open && self.is_idle() {
            let (taken, piece) = self.messages.parse(input.front())?;
            input.consume(taken);
            self.is_partial |= taken > 0;
            match piece {
                Some(Piece::Head(head)) => self.head = Some(head),
                Some(Piece::Body(bytes)) => self.body.extend(bytes),
                Some(Piece::End) => {
                    let Some(head) = self.head.take() else {
                        continue;
                    };
                    (self.has_received_request, self.is_partial) = (true, false);
                    self.keep_open = head.keeps_open();
                    return Ok(Some((head, std::mem::take(&mut self.body))));
                }
                None if input.is_empty() => break,
                None => {}
            }
        }
        Ok(None)
    }

    /// Queues the response to the last request.
    pub fn respond(&mut self, response: &Response) {
        self.waiting = None;
        let connection = if self.keep_open {
            "keep-alive"
        } else {
            "close"
        };
        let mut headers: Vec<_> = response
            .headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        headers.push(("Connection", connection));
        let start = format!("HTTP/1.1 {} {}", response.status, reason(response.status));
        http::write_message(&mut self.out, &start, &headers, &response.body);
    }

    /// Queues the response to malformed input, after which the connection closes.
    pub fn reject_unreadable(&mut self) {
        self.keep_open = false;
        self.respond(&Response::bare(400));
    }

    /// Writes as much of the queued response as fits into the buffer.
    pub fn write(&mut self, output: &mut RingBuffer) {
        self.written += output.push(&self.out[self.written..]);
        if self.written == self.out.len() {
            self.out.clear();
            self.written = 0;
        }
    }
}
