//! The state of a connection of a web server.

use super::output::Output;
use super::response::{response, status_response};
use super::Input;
use crate::core::{Answer, RequestKey};
use crate::limits::Limits;
use crate::net::RingBuffer;
use crate::wire::fastcgi::{self as wire, RecordParser};
use crate::wire::{Parser, WireError};
use linnetknot::Micros;
use std::collections::{HashMap, VecDeque};

/// An open request of a connection.
pub(super) enum Stream {
    /// Parts of the request have been received.
    Receiving(PartialRequest),
    /// The request is complete and is not answered.
    Waiting {
        keep_open: bool,
        /// The key of the request in the core, once it is admitted.
        key: Option<RequestKey>,
    },
}

/// An input that waits for `next_input`.
pub(super) struct QueuedInput {
    pub(super) input: Input,
    /// The earliest time at which the input may have arrived.
    arrived_since: Micros,
}

/// A request of which some records have not been received yet.
pub(super) struct PartialRequest {
    pub(super) keep_open: bool,
    pub(super) params: Vec<u8>,
    pub(super) params_done: bool,
    pub(super) body: Vec<u8>,
}

impl PartialRequest {
    /// Creates a request of which only the BEGIN_REQUEST record was received.
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

/// A FastCGI connection of a web server, with its open requests and queued responses.
#[derive(Default)]
pub struct Session {
    pub(super) records: RecordParser,
    pub(super) streams: HashMap<u16, Stream>,
    /// The inputs that `next_input` has not returned yet.
    pub(super) inputs: VecDeque<QueuedInput>,
    /// The earliest time at which the bytes that `read` parses may have arrived.
    bytes_arrived_since: Micros,
    pub(super) output: Output,
    /// Whether any request has been received in full.
    pub(super) has_received_request: bool,
    /// Whether an input that requires a response was returned by `next_input`.
    has_taken_input: bool,
    /// Whether the connection closes once all responses are written.
    closing: bool,
    /// Whether malformed input was received. Further input is discarded.
    is_input_malformed: bool,
}

impl Session {
    /// Whether no request is open and no response is queued.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.output.is_empty()
    }

    /// Returns the number of buffered bytes of incomplete requests.
    pub fn buffered_bytes(&self) -> usize {
        let of_stream = |stream: &Stream| match stream {
            Stream::Receiving(request) => request.params.len() + request.body.len(),
            Stream::Waiting { .. } => 0,
        };
        self.records.buffered_bytes() + self.streams.values().map(of_stream).sum::<usize>()
    }

    /// Whether a request is unanswered or a response is queued.
    pub fn has_pending_answers(&self) -> bool {
        !self.output.is_empty() || self.unanswered() > 0
    }

    /// Returns the number of unanswered requests that were returned by `next_input`.
    pub fn unanswered(&self) -> usize {
        let waiting = self.streams.values().filter(|stream| stream.is_waiting());
        let not_taken_out = self
            .inputs
            .iter()
            .filter(|queued| queued.input.requires_response());
        waiting.count() - not_taken_out.count()
    }

    /// Whether only part of a request has been received.
    pub fn is_partial(&self) -> bool {
        self.records.is_partial() || self.streams.values().any(|stream| !stream.is_waiting())
    }

    /// Whether any request has been received in full.
    pub fn has_received_request(&self) -> bool {
        self.has_received_request
    }

    /// Whether the connection is closing, no request is open and no response is queued.
    pub fn is_finished(&self) -> bool {
        self.closing && self.is_idle()
    }

    /// Whether the connection closes once all open requests are answered.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Closes the connection once all open requests are answered, as in a drain.
    pub fn close_when_answered(&mut self) {
        self.closing = true;
    }

    /// Whether a complete request is unanswered.
    pub fn has_unanswered_requests(&self) -> bool {
        self.streams.values().any(Stream::is_waiting)
    }

    /// Stops reading after malformed input. The connection closes once all requests that had been received completely
    /// are answered.
    pub fn stop_reading(&mut self) {
        self.is_input_malformed = true;
        self.closing = true;
        self.records = RecordParser::default();
        self.streams.retain(|_, stream| stream.is_waiting());
        let is_unadmitted = |(id, stream): (&u16, &Stream)| {
            let is_input = self.inputs.iter().any(|queued| queued.input.is_for(*id));
            matches!(stream, Stream::Waiting { key: None, .. }) && !is_input
        };
        let unadmitted: Vec<u16> = self
            .streams
            .iter()
            .filter(|stream| is_unadmitted(*stream))
            .map(|(id, _)| *id)
            .collect();
        for id in unadmitted {
            self.answer_status(id, "400 Bad Request");
        }
    }

    /// Rejects the incomplete requests to free their memory. Their remaining records are discarded.
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

    /// Returns the number of bytes of the queued responses.
    pub fn pending_output(&self) -> usize {
        self.output.pending_bytes()
    }

    /// Returns the keys of the connection's requests in the core, also of those whose aborts are not processed yet.
    pub fn open_requests(&self) -> Vec<RequestKey> {
        let key = |stream: &Stream| match stream {
            Stream::Waiting { key, .. } => *key,
            Stream::Receiving(_) => None,
        };
        let aborted = |queued: &QueuedInput| match queued.input {
            Input::ClientGone(request) => Some(request),
            Input::Request(..) | Input::HealthCheck(_) => None,
        };
        let aborted_requests = self.inputs.iter().filter_map(aborted);
        let open = self.streams.values().filter_map(key);
        open.chain(aborted_requests).collect()
    }

    /// Parses all received bytes. The resulting inputs are queued for `next_input` and not processed directly, because
    /// a later record may abort a request before it is started.
    ///
    /// # Errors
    /// Fails on malformed input and if a limit is exceeded.
    pub fn read(&mut self, buffer: &mut RingBuffer, limits: &Limits) -> Result<(), WireError> {
        if self.is_input_malformed {
            buffer.consume(buffer.len());
        }
        while !buffer.is_empty() {
            let (consumed, record) = self.records.parse(buffer.front())?;
            buffer.consume(consumed);
            let input = match record {
                Some(record) => self.take_record(record, limits)?,
                None => None,
            };
            if let Some(input) = input {
                self.queue_input(input);
            }
            // Limits the queue for a client that sends requests but reads no responses.
            if self.output.len() > limits.max_pending_responses_per_client {
                return Err(WireError::TooLong("the queue of unread responses"));
            }
        }
        Ok(())
    }

    fn queue_input(&mut self, input: Input) {
        let is_abort = matches!(input, Input::ClientGone(_));
        let queued = QueuedInput {
            input,
            arrived_since: self.bytes_arrived_since,
        };
        if is_abort {
            // Queued first, so that aborted requests are cancelled before new requests start.
            self.inputs.push_front(queued);
        } else {
            self.inputs.push_back(queued);
        }
    }

    /// Sets the earliest time at which the bytes that `read` parses from now on may have arrived.
    pub fn set_bytes_arrived_since(&mut self, at: Micros) {
        self.bytes_arrived_since = at;
    }

    /// Returns the earliest time at which the next input may have arrived.
    pub fn next_input_arrived_since(&self) -> Option<Micros> {
        self.inputs.front().map(|queued| queued.arrived_since)
    }

    /// Removes and returns the next input, and whether it is the first of the connection that requires a response.
    pub fn next_input(&mut self) -> Option<(Input, bool)> {
        let input = self.inputs.pop_front()?.input;
        let is_first = !self.has_taken_input;
        self.has_taken_input |= input.requires_response();
        Some((input, is_first))
    }

    /// Whether `next_input` has further inputs.
    pub fn has_inputs(&self) -> bool {
        !self.inputs.is_empty()
    }

    /// Removes and returns the next request that the client has aborted, ahead of other inputs.
    pub fn next_aborted(&mut self) -> Option<RequestKey> {
        match self.inputs.front().map(|queued| &queued.input) {
            Some(Input::ClientGone(request)) => {
                let request = *request;
                self.inputs.pop_front();
                Some(request)
            }
            _ => None,
        }
    }

    /// Records the key of a request that the core has admitted.
    pub fn admitted(&mut self, id: u16, request: RequestKey) {
        if let Some(Stream::Waiting { key, .. }) = self.streams.get_mut(&id) {
            *key = Some(request);
        }
    }

    /// Queues the final answer to a request. Does nothing if the client has aborted it.
    pub fn answer(&mut self, id: u16, answer: &Answer) {
        self.respond(id, response(answer));
    }

    /// Queues a response with only a status, such as `400 Bad Request`.
    pub fn answer_status(&mut self, id: u16, status: &str) {
        self.respond(id, status_response(status));
    }

    fn respond(&mut self, id: u16, bytes: Vec<u8>) {
        if let Some(Stream::Waiting { keep_open, .. }) = self.streams.remove(&id) {
            self.output
                .push_response(id, bytes, wire::REQUEST_COMPLETE, keep_open);
        }
    }

    /// Writes as much of the queued responses as fits into the buffer.
    pub fn write(&mut self, buffer: &mut RingBuffer) {
        self.closing |= !self.output.write(buffer);
    }
}
