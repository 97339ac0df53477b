//! The state of one connection of a web server.

use super::output::Output;
use super::response::{response, status_response};
use super::Input;
use crate::core::{Answer, RequestKey};
use crate::limits::Limits;
use crate::net::RingBuffer;
use crate::wire::fastcgi::{self as wire, RecordParser};
use crate::wire::{Parser, WireError};
use std::collections::{HashMap, VecDeque};

/// A request that is open on a connection.
pub(super) enum Stream {
    /// It arrives.
    Receiving(PartialRequest),
    /// It has arrived in full and waits for its answer.
    Waiting {
        keep_open: bool,
        /// Its key in the core, once it is admitted.
        key: Option<RequestKey>,
    },
}

/// A request that has arrived in part.
pub(super) struct PartialRequest {
    pub(super) keep_open: bool,
    pub(super) params: Vec<u8>,
    pub(super) params_done: bool,
    pub(super) body: Vec<u8>,
}

impl PartialRequest {
    /// A request of which nothing but its beginning has come.
    pub(super) fn new(keep_open: bool) -> Self {
        PartialRequest {
            keep_open,
            params: Vec::new(),
            params_done: false,
            body: Vec::new(),
        }
    }
}

impl Stream {
    pub(super) fn keep_open(&self) -> bool {
        match self {
            Stream::Receiving(request) => request.keep_open,
            Stream::Waiting { keep_open, .. } => *keep_open,
        }
    }

    fn is_waiting(&self) -> bool {
        matches!(self, Stream::Waiting { .. })
    }
}

/// One connection of a web server.
#[derive(Default)]
pub struct Session {
    pub(super) records: RecordParser,
    pub(super) streams: HashMap<u16, Stream>,
    /// Inputs that have not been taken out yet.
    pub(super) inputs: VecDeque<Input>,
    pub(super) output: Output,
    /// A request has arrived in full by now.
    pub(super) has_received_request: bool,
    /// An input that wants an answer has been taken out by now.
    has_taken_input: bool,
    /// The connection ends once all is written.
    closing: bool,
    /// Something came that can't be read: what comes behind it is thrown away.
    unreadable: bool,
}

impl Session {
    /// Whether no request is open and no answer on its way out.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.output.is_empty()
    }

    /// Bytes held of requests that have arrived in part.
    pub fn buffered_bytes(&self) -> usize {
        let of_stream = |stream: &Stream| match stream {
            Stream::Receiving(request) => request.params.len() + request.body.len(),
            Stream::Waiting { .. } => 0,
        };
        self.records.buffered_bytes() + self.streams.values().map(of_stream).sum::<usize>()
    }

    /// Whether an answer is due or on its way out.
    pub fn has_pending_answers(&self) -> bool {
        !self.output.is_empty() || self.unanswered() > 0
    }

    /// How many inputs that were taken out have no answer yet.
    pub fn unanswered(&self) -> usize {
        let waiting = self.streams.values().filter(|stream| stream.is_waiting());
        let not_taken_out = self.inputs.iter().filter(|input| input.wants_answer());
        waiting.count() - not_taken_out.count()
    }

    /// Whether a request has arrived in part.
    pub fn is_partial(&self) -> bool {
        self.records.is_partial() || self.streams.values().any(|stream| !stream.is_waiting())
    }

    /// Whether any request has arrived in full.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    /// Whether the connection is to end and nothing is open on it any more.
    pub fn is_finished(&self) -> bool {
        self.closing && self.is_idle()
    }

    /// Whether the connection is to end once all that is open is answered.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Ends the connection once all that is open is answered, as a drain does.
    pub fn close_when_answered(&mut self) {
        self.closing = true;
    }

    /// Whether a request that has arrived in full has no answer yet.
    pub fn has_unanswered_requests(&self) -> bool {
        self.streams.values().any(Stream::is_waiting)
    }

    /// Takes nothing more in, as something came that can't be read. The connection ends once all that arrived in full
    /// before it is answered.
    pub fn stop_reading(&mut self) {
        self.unreadable = true;
        self.closing = true;
        self.records = RecordParser::default();
        self.streams.retain(|_, stream| stream.is_waiting());
        let is_unread = |(id, stream): (&u16, &Stream)| {
            let is_input = self.inputs.iter().any(|input| input.is_for(*id));
            matches!(stream, Stream::Waiting { key: None, .. }) && !is_input
        };
        let unread: Vec<u16> = self
            .streams
            .iter()
            .filter(|stream| is_unread(*stream))
            .map(|(id, _)| *id)
            .collect();
        for id in unread {
            self.answer_status(id, "400 Bad Request");
        }
    }

    /// Rejects the requests that have arrived in part, so that they hold no memory. The rest of them is passed over.
    pub fn reject_partial(&mut self, retry_after_us: Option<u64>) {
        let partial = self.streams.iter().filter(|(_, s)| !s.is_waiting());
        let mut partial: Vec<u16> = partial.map(|(id, _)| *id).collect();
        partial.sort_unstable();
        for id in partial {
            if let Some(stream) = self.streams.remove(&id) {
                let rejection = response(&Answer::Rejected { retry_after_us });
                let keep_open = stream.keep_open();
                self.output
                    .push_response(id, rejection, wire::REQUEST_COMPLETE, keep_open);
            }
        }
    }

    /// Bytes of answers that wait to be written.
    pub fn pending_output(&self) -> usize {
        self.output.pending_bytes()
    }

    /// The requests of the connection that the core still has.
    pub fn open_requests(&self) -> Vec<RequestKey> {
        let key = |stream: &Stream| match stream {
            Stream::Waiting { key, .. } => *key,
            Stream::Receiving(_) => None,
        };
        self.streams.values().filter_map(key).collect()
    }

    /// Reads all of the ring. The inputs wait to be taken out: a request may be cancelled by what comes behind it, and
    /// must not begin then.
    ///
    /// # Errors
    /// What came can't be read, or breaks a limit.
    pub fn read(&mut self, ring: &mut RingBuffer, limits: &Limits) -> Result<(), WireError> {
        if self.unreadable {
            ring.consume(ring.len());
        }
        while !ring.is_empty() {
            let (consumed, record) = self.records.parse(ring.front())?;
            ring.consume(consumed);
            let input = match record {
                Some(record) => self.take_record(record, limits)?,
                None => None,
            };
            match input {
                // Ahead of all else: nothing new is to begin for a client before what it left is cancelled.
                Some(gone @ Input::ClientGone(_)) => self.inputs.push_front(gone),
                Some(input) => self.inputs.push_back(input),
                None => {}
            }
            // A client that sends on and takes no answers must not pile them up here.
            if self.output.len() > limits.max_pending_responses_per_client {
                return Err(WireError::TooLong("the row of answers that are not taken"));
            }
        }
        Ok(())
    }

    /// Takes out the next input, and whether it is the connection's first that wants an answer.
    pub fn next_input(&mut self) -> Option<(Input, bool)> {
        let input = self.inputs.pop_front()?;
        let is_first = !self.has_taken_input;
        self.has_taken_input |= input.wants_answer();
        Some((input, is_first))
    }

    /// The core has admitted a request.
    pub fn admitted(&mut self, id: u16, request: RequestKey) {
        if let Some(Stream::Waiting { key, .. }) = self.streams.get_mut(&id) {
            *key = Some(request);
        }
    }

    /// The final answer to a request. One whose client has gone gets none.
    pub fn answer(&mut self, id: u16, answer: &Answer) {
        self.respond(id, response(answer));
    }

    /// An answer of a status alone, such as `400 Bad Request`.
    pub fn answer_status(&mut self, id: u16, status: &str) {
        self.respond(id, status_response(status));
    }

    fn respond(&mut self, id: u16, bytes: Vec<u8>) {
        if let Some(Stream::Waiting { keep_open, .. }) = self.streams.remove(&id) {
            self.output
                .push_response(id, bytes, wire::REQUEST_COMPLETE, keep_open);
        }
    }

    /// Moves as much of the answers as fits into the ring.
    pub fn write(&mut self, ring: &mut RingBuffer) {
        self.closing |= !self.output.write(ring);
    }
}
