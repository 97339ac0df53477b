//! One HTTP connection of a peer CDN or of a client that was redirected here.

use super::Response;
use crate::core::RequestKey;
use crate::net::RingBuffer;
use crate::wire::http::{self, Head, MessageParser, Piece};
use crate::wire::{Parser, WireError};

/// What an answer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// The core has the request, under this key.
    Core(RequestKey),
    /// The effects of the request are being committed.
    Commit,
}

/// A connection. Its requests are answered one after the other: while one waits, the next stays in the ring.
pub struct Session {
    messages: MessageParser,
    head: Option<Head>,
    body: Vec<u8>,
    keep_open: bool,
    /// What the answer to the last request waits for.
    pub waiting: Option<Waiting>,
    /// When its client gives up.
    pub deadline: u64,
    out: Vec<u8>,
    /// Bytes of `out` that are written.
    written: usize,
    /// A request has arrived in full by now.
    has_received_request: bool,
    /// A request has arrived in part.
    is_partial: bool,
}

/// The reason phrase of a status.
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
    /// A connection just accepted, for lines and bodies of so many bytes at most.
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

    /// Whether nothing is open or on its way out.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_none() && self.out.is_empty()
    }

    /// Whether a request has arrived in part.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Whether any request has arrived in full.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    /// Whether the connection is to end and nothing is open on it any more.
    pub fn is_finished(&self) -> bool {
        !self.keep_open && self.is_idle()
    }

    /// Bytes of the answer that wait to be written.
    pub fn pending(&self) -> usize {
        self.out.len() - self.written
    }

    /// Reads up to the end of the next request, once the one before has its response: its head and its body.
    ///
    /// # Errors
    /// What came can't be read, or breaks a limit.
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

    /// The response to the request that was read last.
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

    /// What came can't be read: the last response says so.
    pub fn reject_unreadable(&mut self) {
        self.keep_open = false;
        self.respond(&Response::bare(400));
    }

    /// Moves as much as fits into the ring.
    pub fn write(&mut self, output: &mut RingBuffer) {
        self.written += output.push(&self.out[self.written..]);
        if self.written == self.out.len() {
            self.out.clear();
            self.written = 0;
        }
    }
}
