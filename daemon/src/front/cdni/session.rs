//! One HTTP connection of a neighbour or of a client that was redirected here.

use super::Response;
use crate::core::RequestKey;
use crate::net::Ring;
use crate::wire::http::{self, Head, Messages, Piece};
use crate::wire::{Parser, WireError};

/// What an answer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// The core has the request, under this ticket.
    Core(RequestKey),
    /// What it promises is on its way to the disks.
    Promise,
}

/// A connection. Its requests are answered one after the other: while one waits, the next stays in the ring.
pub struct Session {
    messages: Messages,
    head: Option<Head>,
    body: Vec<u8>,
    keep: bool,
    /// What the answer to the last request waits for.
    pub waiting: Option<Waiting>,
    /// When its client gives up.
    pub until: u64,
    out: Vec<u8>,
    at: usize,
    /// A whole request has come by now.
    has_received_request: bool,
    /// A request has come in part.
    is_partial: bool,
}

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
    pub fn new(most_line: usize, most_body: usize) -> Self {
        Session {
            messages: Messages::requests(most_line, most_body),
            head: None,
            body: Vec::new(),
            keep: true,
            waiting: None,
            until: 0,
            out: Vec::new(),
            at: 0,
            has_received_request: false,
            is_partial: false,
        }
    }

    /// Whether nothing is open or on its way out.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_none() && self.out.is_empty()
    }

    /// Whether a request has come in part.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Whether any whole request has come.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    /// Whether the connection has done what it was for.
    pub fn is_finished(&self) -> bool {
        !self.keep && self.is_idle()
    }

    /// Bytes of the answer that wait to be written.
    pub fn pending(&self) -> usize {
        self.out.len() - self.at
    }

    /// Reads up to the next whole request, once the one before has its response.
    pub fn read(&mut self, input: &mut Ring) -> Result<Option<(Head, Vec<u8>)>, WireError> {
        while self.keep && self.is_idle() {
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
                    self.keep = head.keeps_open();
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
        let connection = if self.keep { "keep-alive" } else { "close" };
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
    pub fn refuse(&mut self) {
        self.keep = false;
        self.respond(&Response::bare(400));
    }

    /// Moves as much as fits into the ring.
    pub fn write(&mut self, output: &mut Ring) {
        self.at += output.push(&self.out[self.at..]);
        if self.at == self.out.len() {
            self.out.clear();
            self.at = 0;
        }
    }
}
