//! Queued responses, written as records that fit into the send buffer.

use crate::net::RingBuffer;
use crate::wire::fastcgi::{self as wire, kind};
use std::collections::VecDeque;

/// The size of the records that end a stream and its request, in bytes.
const END_RECORDS_BYTES: usize = 2 * wire::HEADER_LENGTH + wire::END_LENGTH;
/// The minimum content of a record, in bytes, except for the last record of a response. Prevents tiny records to slow
/// readers.
const MIN_RECORD_BYTES: usize = 1024;

/// A queued message, which is written as one or more records.
enum Message {
    /// A management record, encoded with its header.
    Management(Vec<u8>),
    /// The response to a request.
    Response {
        id: u16,
        bytes: Vec<u8>,
        written: usize,
        /// The protocol status that ends the request.
        status: u8,
        keep_open: bool,
    },
}

/// How much of a message was written to the buffer.
enum Written {
    /// The buffer has no space for the next record.
    Blocked,
    /// Part of the message was written.
    Part,
    /// The whole message was written. If `keep_open` is false, the connection closes after it.
    All { keep_open: bool },
}

/// The queue of messages to a client, in the order in which they are written.
#[derive(Default)]
pub(super) struct Output {
    messages: VecDeque<Message>,
    pending_bytes: usize,
}

impl Output {
    /// Whether no message is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the number of queued messages.
    pub(super) fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns the number of bytes of the queued messages, without record headers.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Queues a management record.
    pub(super) fn push_management(&mut self, record: Vec<u8>) {
        self.pending_bytes += record.len();
        self.messages.push_back(Message::Management(record));
    }

    /// Queues the response to a request, which ends with this protocol status.
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

    /// Writes as much as fits into the buffer. Returns false once a message has been written after which the connection
    /// closes.
    pub(super) fn write(&mut self, buffer: &mut RingBuffer) -> bool {
        let mut all_keep_open = true;
        while let Some(message) = self.messages.front_mut() {
            let before = message.pending_bytes();
            let written = message.write(buffer);
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

    fn write(&mut self, buffer: &mut RingBuffer) -> Written {
        match self {
            Message::Management(record) => {
                if buffer.free_bytes() < record.len() {
                    return Written::Blocked;
                }
                buffer.push(record);
                record.clear();
                Written::All { keep_open: true }
            }
            Message::Response {
                id, bytes, written, ..
            } if *written < bytes.len() => {
                let Some(moved) = write_content(buffer, *id, &bytes[*written..]) else {
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
                if buffer.free_bytes() < END_RECORDS_BYTES {
                    return Written::Blocked;
                }
                buffer.push(&end_records(*id, !bytes.is_empty(), *status));
                Written::All {
                    keep_open: *keep_open,
                }
            }
        }
    }
}

/// Writes the next record of the content of a response. Returns the number of content bytes; `None` if too few would
/// fit.
fn write_content(buffer: &mut RingBuffer, id: u16, content: &[u8]) -> Option<usize> {
    let fits = buffer.free_bytes().saturating_sub(wire::HEADER_LENGTH);
    let length = fits.min(content.len()).min(wire::MAX_CONTENT);
    if length < content.len().min(MIN_RECORD_BYTES) {
        return None;
    }
    let mut record = Vec::with_capacity(length + wire::HEADER_LENGTH);
    wire::write_record(&mut record, kind::STDOUT, id, &content[..length]);
    buffer.push(&record);
    Some(length)
}

/// Returns the records that end a response and its request.
fn end_records(id: u16, has_content: bool, status: u8) -> Vec<u8> {
    let mut records = Vec::with_capacity(END_RECORDS_BYTES);
    if has_content {
        wire::write_record(&mut records, kind::STDOUT, id, &[]);
    }
    wire::write_end(&mut records, id, status);
    records
}
