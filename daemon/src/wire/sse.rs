//! A parser for streams of server-sent events.

use super::{take_line, Parser, WireError};

/// A complete event of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last id in the stream up to this event.
    pub id: String,
    /// The data, with lines joined by line feeds.
    pub data: String,
}

/// Parses the events of a stream.
pub struct EventParser {
    max_bytes: usize,
    line: Vec<u8>,
    id: String,
    data: Option<String>,
}

impl EventParser {
    /// Creates a parser for events of up to `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        EventParser {
            max_bytes,
            line: Vec::new(),
            id: String::new(),
            data: None,
        }
    }
}

impl Parser for EventParser {
    type Item = Event;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Event>), WireError> {
        let mut at = 0;
        while at < input.len() {
            let (taken, is_complete) = take_line(&input[at..], &mut self.line, self.max_bytes)?;
            at += taken;
            if !is_complete {
                break;
            }
            let line = String::from_utf8(std::mem::take(&mut self.line))
                .map_err(|_| WireError::Malformed("the text of an event"))?;
            if line.is_empty() {
                if let Some(data) = self.data.take() {
                    return Ok((
                        at,
                        Some(Event {
                            id: self.id.clone(),
                            data,
                        }),
                    ));
                }
                continue;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => self.id = value.to_owned(),
                "data" => {
                    let data = self.data.get_or_insert_default();
                    if data.len() + value.len() > self.max_bytes {
                        return Err(WireError::TooLong("an event"));
                    }
                    if !data.is_empty() {
                        data.push('\n');
                    }
                    data.push_str(value);
                }
                _ => {} // Comments and unused fields.
            }
        }
        Ok((at, None))
    }
}
