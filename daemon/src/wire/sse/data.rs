//! The data of an event, up to a bound.

/// The data of the event that is being parsed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum EventData {
    /// The event has no data so far.
    #[default]
    None,
    /// The lines so far, joined by line feeds.
    Text(String),
    /// The event has more data than the bound allows. Nothing of it is stored.
    TooLong,
}

impl EventData {
    /// Adds a line. The data becomes too long with `max_bytes` bytes.
    pub(super) fn add_line(&mut self, line: String, max_bytes: usize) {
        let length = match self {
            EventData::None => 0,
            EventData::Text(text) => text.len(),
            EventData::TooLong => return,
        };
        if length + line.len() >= max_bytes {
            *self = EventData::TooLong;
            return;
        }
        match self {
            EventData::Text(text) => {
                text.push('\n');
                text.push_str(&line);
            }
            EventData::None | EventData::TooLong => *self = EventData::Text(line),
        }
    }
}
