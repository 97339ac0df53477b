//! One call to an agent: a request, and its whole response.

use crate::daemon::exchange::{Effect, End, Exchange, Flow};
use crate::daemon::Daemon;
use crate::wire::http::{Head, MessageParser, Piece};
use crate::wire::{Parser, WireError};
use linnetknot::Micros;
use linnetknot_consul::TransportError;

/// What came of a call: head and body of the response, or why there is none.
pub(super) type Outcome = Result<(Head, Vec<u8>), TransportError>;
/// Takes a part of a body, with the number of the watch.
type Parts = fn(&mut Daemon, usize, &[u8]);
/// Takes the outcome of a call.
type Then = Box<dyn FnOnce(&mut Daemon, Micros, Outcome)>;

/// One call.
pub(super) struct Call {
    request: Vec<u8>,
    messages: MessageParser,
    head: Option<Head>,
    body: Vec<u8>,
    /// Who takes the parts of a body with status 200 as they come.
    parts: Option<Parts>,
    number: usize,
    then: Option<Then>,
}

impl Call {
    /// A call with this request, and what is to be done with its outcome.
    pub(super) fn new(
        request: Vec<u8>,
        max_line: usize,
        max_body: usize,
        then: impl FnOnce(&mut Daemon, Micros, Outcome) + 'static,
    ) -> Box<Self> {
        let messages = MessageParser::responses(max_line, max_body);
        let then: Option<Then> = Some(Box::new(then));
        Box::new(Call {
            request,
            messages,
            head: None,
            body: Vec::new(),
            parts: None,
            number: 0,
            then,
        })
    }

    /// Hands the parts of a body with status 200 on as they come, with the number given here.
    pub(super) fn in_parts(mut self: Box<Self>, number: usize, parts: Parts) -> Box<Self> {
        (self.number, self.parts) = (number, Some(parts));
        self
    }
}

impl Exchange for Call {
    fn opening(&self) -> Vec<u8> {
        self.request.clone()
    }

    fn read(&mut self, mut input: &[u8], effects: &mut Vec<Effect>) -> Result<Flow, WireError> {
        loop {
            let (taken, piece) = self.messages.parse(input)?;
            input = &input[taken..];
            match piece {
                None => return Ok(Flow::More),
                Some(Piece::Head(head)) => self.head = Some(head),
                Some(Piece::Body(bytes)) => {
                    match (self.parts, self.head.as_ref().and_then(Head::status)) {
                        (Some(parts), Some(200)) => {
                            let number = self.number;
                            effects.push(Box::new(move |daemon, _| parts(daemon, number, &bytes)));
                        }
                        _ => self.body.extend(bytes),
                    }
                }
                Some(Piece::End) => {
                    let body = std::mem::take(&mut self.body);
                    if let Some((head, then)) = self.head.take().zip(self.then.take()) {
                        effects.push(Box::new(move |daemon, now| {
                            then(daemon, now, Ok((head, body)));
                        }));
                    }
                    return Ok(Flow::Done);
                }
            }
        }
    }

    fn ended(mut self: Box<Self>, end: End) -> Option<Effect> {
        let then = self.then.take()?;
        let failure = match end {
            // A body without a length goes on to the connection's end.
            End::Closed if self.head.is_some() && self.messages.may_end() => {
                let (head, body) = (self.head.take()?, self.body);
                return Some(Box::new(move |daemon, now| {
                    then(daemon, now, Ok((head, body)));
                }));
            }
            End::Unreachable => TransportError::Unreachable,
            End::Closed => TransportError::Truncated,
            End::TimedOut => TransportError::TimedOut,
            End::Unreadable(WireError::TooLong(_)) => TransportError::TooLong,
            End::Unreadable(WireError::Malformed(_)) => TransportError::Malformed,
        };
        Some(Box::new(move |daemon, now| then(daemon, now, Err(failure))))
    }
}
