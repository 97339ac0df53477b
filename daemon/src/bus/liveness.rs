//! Decides when a connection to the event bus counts as lost.
//!
//! A sign of life is a whole message: the head of the response, an event or a comment. Bytes alone are none, as they may
//! belong to a message that never ends. A long event may take long to arrive, though: while one arrives, the connection
//! is kept as long as bytes come, up to a bound for the whole message. That bound is doubled after each message that
//! exceeded it, so that an event that can be read at all is read in the end.

use crate::limits::Limits;
use linnetknot::Micros;

/// The maximum number of doublings of the time for a message.
const MAX_DOUBLINGS: u32 = 3;

/// What was parsed from received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    /// Whether the bytes completed a message.
    pub has_completed_message: bool,
    /// Whether the last bytes belong to a message that is not complete.
    pub is_message_partial: bool,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    silence_us: Micros,
    message_us: Micros,
    last_byte_at: Micros,
    last_message_at: Micros,
    /// When the message that is not complete began.
    partial_since: Option<Micros>,
}

impl Liveness {
    /// Creates the state of a connection that is opened now, and whose response is the first message. `overdue_messages`
    /// is the number of messages in a row that exceeded their time.
    pub fn new(now: Micros, limits: &Limits, overdue_messages: u32) -> Self {
        let doublings = overdue_messages.min(MAX_DOUBLINGS);
        Liveness {
            silence_us: limits.bus_read_timeout_us,
            message_us: limits.bus_message_timeout_us << doublings,
            last_byte_at: now,
            last_message_at: now,
            partial_since: Some(now),
        }
    }

    /// Records that bytes were received.
    pub fn record(&mut self, now: Micros, progress: StreamProgress) {
        self.last_byte_at = now;
        if progress.has_completed_message {
            self.last_message_at = now;
            self.partial_since = None;
        }
        self.partial_since = progress
            .is_message_partial
            .then_some(self.partial_since.unwrap_or(now));
    }

    /// Returns the time at which the connection counts as lost if nothing is received until then.
    pub fn deadline(&self) -> Micros {
        match self.partial_since {
            Some(since) => (self.last_byte_at + self.silence_us).min(since + self.message_us),
            None => self.last_message_at + self.silence_us,
        }
    }

    /// Whether the message that is not complete has exceeded its time.
    pub fn is_message_overdue(&self, now: Micros) -> bool {
        self.partial_since
            .is_some_and(|since| since + self.message_us <= now)
    }
}
