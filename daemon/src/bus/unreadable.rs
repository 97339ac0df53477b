//! Decides when an event that can't be read is skipped.
//!
//! A damaged event may arrive intact when it is read again. One that fails again must be skipped: otherwise each request
//! would ask for it, and no later event would ever be received.

/// The number of failed reads of an event after which it is skipped.
const MAX_READS: u32 = 2;

/// The event whose last read has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FailedEvent {
    offset: u64,
    reads: u32,
}

/// Counts the failed reads of an event.
#[derive(Clone, Debug, Default)]
pub struct UnreadableEvents {
    failed: Option<FailedEvent>,
}

impl UnreadableEvents {
    /// Records that an event after `last_offset` could not be read. `id` is its number in the stream, if it was
    /// received; events without one follow the last event. Returns the offset to continue after if the event has to be
    /// skipped.
    pub fn record(&mut self, last_offset: u64, id: Option<u64>) -> Option<u64> {
        let next = last_offset.saturating_add(1);
        let offset = id.filter(|id| *id > last_offset).unwrap_or(next);
        let earlier = self.failed.filter(|failed| failed.offset == offset);
        let reads = earlier.map_or(0, |failed| failed.reads) + 1;
        if reads >= MAX_READS {
            self.failed = None;
            return Some(offset);
        }
        self.failed = Some(FailedEvent { offset, reads });
        None
    }
}
