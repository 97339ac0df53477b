//! The event bus: purges and changes of the endpoint list, numbered by offsets and received as server-sent events.

mod event;
mod liveness;
mod unreadable;

pub use event::read_event;
pub use liveness::{Liveness, StreamProgress};
pub use unreadable::UnreadableEvents;

use crate::limits::Limits;
use crate::wire::{http, sse, Parser, WireError};
use event::{parse_event, EventError};
use linnetknot::Micros;
use linnetknot_discovery::ReceivedList;

const US_PER_MS: Micros = 1_000;

/// The update that an event carries.
#[derive(Clone, Debug, PartialEq)]
pub enum BusUpdate {
    /// The endpoint list, or changes to it.
    List(ReceivedList),
    /// A purge of an object, or of a group if there is no object.
    Purge {
        /// The object, if one was purged.
        object: Option<String>,
        /// The group, if no object was purged.
        group: u64,
        /// The time of the purge, in microseconds of Unix time.
        at: Micros,
    },
}

/// A parsed event of the bus.
#[derive(Clone, Debug, PartialEq)]
pub struct BusEvent {
    /// The offset of the event on the bus.
    pub offset: u64,
    /// The update; `None` for an unknown kind of event.
    pub update: Option<BusUpdate>,
}

/// The reason why a stream of the bus can't be read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The response is malformed, or it has ended.
    Response(WireError),
    /// An event can't be read.
    Event {
        /// The number of the event, if it was received.
        id: Option<u64>,
        /// The error of the event.
        error: WireError,
    },
}

impl From<WireError> for StreamError {
    fn from(error: WireError) -> Self {
        StreamError::Response(error)
    }
}

/// The response stream of one request to the bus.
pub struct BusStream {
    http: http::MessageParser,
    events: sse::EventParser,
    has_head: bool,
    /// The number of complete messages that `progress` has reported.
    reported_messages: u64,
}

/// Returns the request for the events after the offset `last`.
pub fn request(host: &str, last: u64) -> Vec<u8> {
    format!(
        "GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {last}\r\n\r\n"
    )
    .into_bytes()
}

impl BusStream {
    /// Creates the state of a new response.
    pub fn new(limits: &Limits) -> Self {
        let http = http::MessageParser::responses(limits.max_line_bytes, usize::MAX);
        BusStream {
            http,
            events: sse::EventParser::new(limits.max_event_bytes),
            has_head: false,
            reported_messages: 0,
        }
    }

    /// Returns the time that the bus asks readers to wait before a reconnect.
    pub fn reconnection_time_us(&self) -> Option<Micros> {
        let ms = self.events.reconnection_time_ms()?;
        Some(ms.saturating_mul(US_PER_MS))
    }

    /// Returns what was parsed since the last call.
    pub fn progress(&mut self) -> StreamProgress {
        let complete = u64::from(self.has_head) + self.events.complete_messages();
        let reported = std::mem::replace(&mut self.reported_messages, complete);
        StreamProgress {
            has_completed_message: complete > reported,
            is_message_partial: !self.has_head || self.events.is_partial(),
        }
    }

    /// Parses received bytes. Adds the complete events whose offsets are greater than `last` to `events`, also those
    /// that precede an error.
    ///
    /// # Errors
    /// Fails on malformed input and at the end of the response, after which the stream must not be used.
    pub fn read(
        &mut self,
        mut input: &[u8],
        last: &mut u64,
        events: &mut Vec<BusEvent>,
    ) -> Result<(), StreamError> {
        loop {
            let (taken, piece) = self.http.parse(input)?;
            input = &input[taken..];
            match piece {
                None => return Ok(()),
                Some(http::Piece::Head(head)) if head.status() != Some(200) => {
                    return Err(WireError::Malformed("the response of the event bus").into());
                }
                Some(http::Piece::Head(_)) => self.has_head = true,
                Some(http::Piece::Body(bytes)) => self.body(&bytes, last, events)?,
                Some(http::Piece::End) => {
                    return Err(WireError::Malformed("the end of the event stream").into())
                }
            }
        }
    }

    fn body(
        &mut self,
        mut bytes: &[u8],
        last: &mut u64,
        events: &mut Vec<BusEvent>,
    ) -> Result<(), StreamError> {
        while !bytes.is_empty() {
            let parsed = self.events.parse(bytes);
            let (taken, event) = parsed.map_err(|error| StreamError::Event {
                id: self.events.pending_id(),
                error,
            })?;
            bytes = &bytes[taken..];
            let Some(event) = event else { continue };
            let number = event.number().filter(|number| *number > *last);
            match (parse_event(&event.data), number) {
                (Ok(event), _) if event.offset > *last => {
                    *last = event.offset;
                    events.push(event);
                }
                // Events that are repeated after a reconnect are skipped, so that the list does not return to an
                // earlier state.
                (Ok(_), _) => {}
                // A heartbeat, for example. It is none of the numbered events, so there is nothing to read again.
                (Err(e), None) => {
                    log::debug!("ignored an event of the event bus without a number: {e:?}");
                }
                (Err(EventError::Field(e)), Some(number)) => {
                    log::warn!("a malformed event of the event bus is ignored: {e}");
                    // The event would be the same if it was read again.
                    *last = number;
                }
                (Err(EventError::NotJson), Some(_)) => {
                    return Err(StreamError::Event {
                        id: number,
                        error: WireError::Malformed("an event"),
                    });
                }
            }
        }
        Ok(())
    }
}
