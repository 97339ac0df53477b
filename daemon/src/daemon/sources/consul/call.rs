//! An HTTP call to a Consul agent: one request and its response.

use crate::daemon::exchange::{Exchange, ExchangeEnd, Flow, Task};
use crate::daemon::Daemon;
use crate::wire::http::{Head, MessageParser, Piece};
use crate::wire::{Parser, WireError};
use linnetknot::Micros;
use linnetknot_consul::{ResponseTimeouts, TransportError};

/// The head and body of the response, or the failure of the call.
pub(super) type Outcome = Result<(Head, Vec<u8>), TransportError>;
/// A function that processes a part of a response body. The `usize` is the index of the watch.
type BodyHandler = fn(&mut Daemon, usize, &[u8]);
/// A function that processes the outcome of a call.
type CompletionHandler = Box<dyn FnOnce(&mut Daemon, Micros, Outcome)>;

/// A call in flight.
pub(super) struct Call {
    request: Vec<u8>,
    messages: MessageParser,
    head: Option<Head>,
    body: Vec<u8>,
    /// The handler of body parts, which are passed as they arrive if the status is 200.
    on_body: Option<BodyHandler>,
    watch_index: usize,
    done: Option<CompletionHandler>,
    timeouts: ResponseTimeouts,
    sent_at: Micros,
    last_byte_at: Option<Micros>,
}

impl Call {
    /// Creates a call that is sent now, from a request and the handler of its outcome.
    pub(super) fn new(
        now: Micros,
        request: Vec<u8>,
        timeouts: ResponseTimeouts,
        max_line: usize,
        max_body: usize,
        done: impl FnOnce(&mut Daemon, Micros, Outcome) + 'static,
    ) -> Box<Self> {
        let messages = MessageParser::responses(max_line, max_body);
        let done: Option<CompletionHandler> = Some(Box::new(done));
        Box::new(Call {
            request,
            messages,
            head: None,
            body: Vec::new(),
            on_body: None,
            watch_index: 0,
            done,
            timeouts,
            sent_at: now,
            last_byte_at: None,
        })
    }

    /// Sets a handler to which body parts are passed as they arrive if the status is 200, with the index of the watch.
    pub(super) fn with_body_handler(
        mut self: Box<Self>,
        watch_index: usize,
        on_body: BodyHandler,
    ) -> Box<Self> {
        (self.watch_index, self.on_body) = (watch_index, Some(on_body));
        self
    }
}

impl Exchange for Call {
    fn initial_bytes(&self) -> Vec<u8> {
        self.request.clone()
    }

    fn read(
        &mut self,
        now: Micros,
        mut input: &[u8],
        tasks: &mut Vec<Task>,
    ) -> Result<Flow, WireError> {
        self.last_byte_at = Some(now);
        loop {
            let (consumed, piece) = self.messages.parse(input)?;
            input = &input[consumed..];
            match piece {
                None => return Ok(Flow::NeedsInput),
                Some(Piece::Head(head)) => self.head = Some(head),
                Some(Piece::Body(bytes)) => {
                    match (self.on_body, self.head.as_ref().and_then(Head::status)) {
                        (Some(on_body), Some(200)) => {
                            let index = self.watch_index;
                            tasks.push(Box::new(move |daemon, _| on_body(daemon, index, &bytes)));
                        }
                        _ => self.body.extend(bytes),
                    }
                }
                Some(Piece::End) => {
                    let body = std::mem::take(&mut self.body);
                    if let Some((head, done)) = self.head.take().zip(self.done.take()) {
                        tasks.push(Box::new(move |daemon, now| {
                            done(daemon, now, Ok((head, body)));
                        }));
                    }
                    return Ok(Flow::Done);
                }
            }
        }
    }

    fn deadline(&self) -> Option<Micros> {
        Some(self.timeouts.deadline(self.sent_at, self.last_byte_at))
    }

    fn on_ended(mut self: Box<Self>, end: ExchangeEnd) -> Option<Task> {
        let done = self.done.take()?;
        let failure = match end {
            // A body without a length extends to the end of the connection.
            ExchangeEnd::Closed if self.head.is_some() && self.messages.may_end() => {
                let (head, body) = (self.head.take()?, self.body);
                return Some(Box::new(move |daemon, now| {
                    done(daemon, now, Ok((head, body)));
                }));
            }
            ExchangeEnd::Unreachable => TransportError::Unreachable,
            ExchangeEnd::Closed => TransportError::Truncated,
            ExchangeEnd::TimedOut => TransportError::TimedOut,
            ExchangeEnd::Unreadable(WireError::TooLong(_)) => TransportError::TooLong,
            ExchangeEnd::Unreadable(WireError::Malformed(_)) => TransportError::Malformed,
        };
        Some(Box::new(move |daemon, now| done(daemon, now, Err(failure))))
    }
}
