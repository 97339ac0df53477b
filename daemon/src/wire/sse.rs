//! Server-sent events.

use super::{take_line, Parser, WireError};

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last id that the stream has named.
    pub id: String,
    /// Its data, lines joined by line feeds; empty for a comment.
    pub data: String,
}

/// Reads events out of a stream's bytes.
pub struct EventParser {
    max_bytes: usize,
    line: Vec<u8>,
    id: String,
    data: Option<String>,
}

impl EventParser {
    /// A reader of events of so many bytes at most.
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
                .map_err(|_| WireError::Malformed("an event's text"))?;
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
                _ => {} // Comments and fields that are not used.
            }
        }
        Ok((at, None))
    }
}
