//! A parser for streams of server-sent events, as the HTML standard defines them.
//!
//! The format has no bound for an event; this parser has one for the data. A longer event is an error if its id is a
//! number. Otherwise it is ignored, as it may be a heartbeat.

mod data;
mod field;
mod lines;

use super::{Parser, WireError};
use data::EventData;
use field::{Field, FieldName};
use lines::{Line, LineReader};

/// A complete event of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last id in the stream up to this event.
    pub id: String,
    /// The data, with lines joined by line feeds.
    pub data: String,
}

impl Event {
    /// Returns the id of the event if it is a number.
    pub fn number(&self) -> Option<u64> {
        self.id.parse().ok()
    }
}

/// Parses the events of a stream.
pub struct EventParser {
    max_bytes: usize,
    lines: LineReader,
    id: String,
    /// Whether the current event has an id that is a number.
    has_number: bool,
    data: EventData,
    reconnection_time_ms: Option<u64>,
    /// Whether the current event has a field.
    has_field: bool,
    /// The number of events and of comments between them that are complete.
    complete_messages: u64,
}

impl EventParser {
    /// Creates a parser for events with up to `max_bytes` bytes of data.
    pub fn new(max_bytes: usize) -> Self {
        EventParser {
            max_bytes,
            lines: LineReader::new(max_bytes),
            id: String::new(),
            has_number: false,
            data: EventData::None,
            reconnection_time_ms: None,
            has_field: false,
            complete_messages: 0,
        }
    }

    /// Returns the time that the stream asks readers to wait before a reconnect, in milliseconds.
    pub fn reconnection_time_ms(&self) -> Option<u64> {
        self.reconnection_time_ms
    }

    /// Returns how many messages were complete so far: events, also those without data, and comments between events.
    pub fn complete_messages(&self) -> u64 {
        self.complete_messages
    }

    /// Whether part of a message has been received.
    pub fn is_partial(&self) -> bool {
        self.has_field || self.lines.is_partial()
    }

    /// Returns the number of the event that is being parsed, if its id is a number. Before the id of an event, it is
    /// that of the event before.
    pub fn pending_id(&self) -> Option<u64> {
        self.id.parse().ok()
    }

    /// Processes a line that is not empty: a field of an event, or a comment.
    fn add_field(&mut self, line: Line) {
        let Field { name, value } = Field::of_line(&line.text);
        self.has_field |= name != FieldName::Comment;
        match name {
            // An id with a NULL is ignored.
            FieldName::Id if value.contains(&0) => {}
            FieldName::Id => {
                // What is longer than the bound is no number.
                let value = if line.is_cut { b"" } else { value };
                self.id = String::from_utf8_lossy(value).into_owned();
                self.has_number = self.pending_id().is_some();
            }
            FieldName::Data if line.is_cut => self.data = EventData::TooLong,
            FieldName::Data => {
                // A long line is not copied.
                let value_length = value.len();
                let mut text = line.text;
                text.drain(..text.len() - value_length);
                self.data.add_line(decode(text), self.max_bytes);
            }
            FieldName::Retry => {
                self.reconnection_time_ms = parse_digits(value).or(self.reconnection_time_ms);
            }
            FieldName::Comment if !self.has_field => self.complete_messages += 1,
            FieldName::Unused | FieldName::Comment => {}
        }
    }

    /// Fails if the current event has a number and too much data, which may be in a line that is not complete.
    fn check_length(&self) -> Result<(), WireError> {
        let is_too_long = || {
            let is_data = |line| Field::of_line(line).name == FieldName::Data;
            self.data == EventData::TooLong || self.lines.cut_line().is_some_and(is_data)
        };
        if self.has_number && is_too_long() {
            return Err(WireError::TooLong("an event"));
        }
        Ok(())
    }

    /// Ends the current event. Returns it if it has data.
    fn end_event(&mut self) -> Option<Event> {
        self.complete_messages += u64::from(std::mem::take(&mut self.has_field));
        self.has_number = false;
        match std::mem::take(&mut self.data) {
            EventData::None => None,
            EventData::Text(data) => {
                let id = self.id.clone();
                Some(Event { id, data })
            }
            EventData::TooLong => {
                log::warn!("an event without a number is ignored: it is too long");
                None
            }
        }
    }
}

/// Parses a number that consists of digits alone. One that doesn't fit is the largest that does.
fn parse_digits(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(text).ok().filter(|_| is_number)?;
    Some(number.parse().unwrap_or(u64::MAX))
}

/// Decodes UTF-8. Bytes that are not UTF-8 are replaced by U+FFFD, as the standard says.
fn decode(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes)
        .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned())
}

impl Parser for EventParser {
    type Item = Event;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Event>), WireError> {
        let mut at = 0;
        while at < input.len() {
            let (taken, line) = self.lines.read(&input[at..]);
            at += taken;
            match line {
                Some(line) if line.text.is_empty() => {
                    if let Some(event) = self.end_event() {
                        return Ok((at, Some(event)));
                    }
                }
                Some(line) => self.add_field(line),
                None => {}
            }
            self.check_length()?;
        }
        Ok((at, None))
    }
}
