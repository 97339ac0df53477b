//! Responses on their way out, as records that fit into the connection's ring.

use crate::net::RingBuffer;
use crate::wire::fastcgi::{self as wire, kind};
use std::collections::VecDeque;

/// Capacity for the record that ends a stream and the one that ends the request.
const END_CAPACITY: usize = 2 * wire::HEADER_LENGTH + wire::END_LENGTH;
/// No record is shorter than this unless it is the last: a slow reader is not sent crumbs.
const MIN_RECORD: usize = 1024;

/// A message on its way out.
enum Message {
    /// A record of the connection itself.
    Management(Vec<u8>),
    /// The response to a request.
    Response {
        id: u16,
        bytes: Vec<u8>,
        written: usize,
        /// The protocol status with which the request ends.
        status: u8,
        keep_open: bool,
    },
}

/// What became of a message that was to be written.
enum Written {
    /// It does not fit for now.
    Blocked,
    /// Some of it is written.
    Part,
    /// All of it is written. False: the connection is to close behind it.
    All { keep_open: bool },
}

/// The messages that wait to be written, in order.
#[derive(Default)]
pub(super) struct Output {
    messages: VecDeque<Message>,
    pending_bytes: usize,
}

impl Output {
    /// Whether all is written.
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// How many messages wait.
    pub(super) fn len(&self) -> usize {
        self.messages.len()
    }

    /// Bytes of messages that wait, without their records.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Adds a record of the connection itself.
    pub(super) fn push_management(&mut self, record: Vec<u8>) {
        self.pending_bytes += record.len();
        self.messages.push_back(Message::Management(record));
    }

    /// Adds the response to a request, which ends with this protocol status.
    pub(super) fn push_response(&mut self, id: u16, bytes: Vec<u8>, status: u8, keep_open: bool) {
        self.pending_bytes += bytes.len();
        self.messages.push_back(Message::Response {
            id,
            bytes,
            written: 0,
            status,
            keep_open,
        });
    }

    /// Moves as much as fits into the ring. False: a message after which the connection is to close is written.
    pub(super) fn write(&mut self, ring: &mut RingBuffer) -> bool {
        let mut all_keep_open = true;
        while let Some(message) = self.messages.front_mut() {
            let before = message.pending_bytes();
            let written = message.write(ring);
            self.pending_bytes -= before - message.pending_bytes();
            match written {
                Written::Blocked => break,
                Written::Part => {}
                Written::All { keep_open } => {
                    all_keep_open &= keep_open;
                    self.messages.pop_front();
                }
            }
        }
        all_keep_open
    }
}

impl Message {
    fn pending_bytes(&self) -> usize {
        match self {
            Message::Management(record) => record.len(),
            Message::Response { bytes, written, .. } => bytes.len() - written,
        }
    }

    fn write(&mut self, ring: &mut RingBuffer) -> Written {
        match self {
            Message::Management(record) => {
                if ring.free_bytes() < record.len() {
                    return Written::Blocked;
                }
                ring.push(record);
                record.clear();
                Written::All { keep_open: true }
            }
            Message::Response {
                id, bytes, written, ..
            } if *written < bytes.len() => {
                let Some(moved) = write_content(ring, *id, &bytes[*written..]) else {
                    return Written::Blocked;
                };
                *written += moved;
                Written::Part
            }
            Message::Response {
                id,
                bytes,
                status,
                keep_open,
                ..
            } => {
                if ring.free_bytes() < END_CAPACITY {
                    return Written::Blocked;
                }
                ring.push(&end_records(*id, !bytes.is_empty(), *status));
                Written::All {
                    keep_open: *keep_open,
                }
            }
        }
    }
}

/// Writes the next record of a response's content: how many bytes of it; none where too few would fit.
fn write_content(ring: &mut RingBuffer, id: u16, content: &[u8]) -> Option<usize> {
    let fits = ring.free_bytes().saturating_sub(wire::HEADER_LENGTH);
    let length = fits.min(content.len()).min(wire::MAX_CONTENT);
    if length < content.len().min(MIN_RECORD) {
        return None;
    }
    let mut record = Vec::with_capacity(length + wire::HEADER_LENGTH);
    wire::write_record(&mut record, kind::STDOUT, id, &content[..length]);
    ring.push(&record);
    Some(length)
}

/// The records that end a response and its request.
fn end_records(id: u16, has_content: bool, status: u8) -> Vec<u8> {
    let mut records = Vec::with_capacity(END_CAPACITY);
    if has_content {
        wire::write_record(&mut records, kind::STDOUT, id, &[]);
    }
    wire::write_end(&mut records, id, status);
    records
}
