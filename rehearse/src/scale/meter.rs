//! What each member spent while a run was measured.

use crate::scale::network::HEADER_BYTES;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// The processor time of this thread: what others do on the machine is not in it.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What one member spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// Datagrams sent, lost ones among them.
    pub sent_datagrams: u64,
    /// Their bytes, with headers.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Their bytes, with headers.
    pub received_bytes: u64,
    /// Processor time within the cores.
    pub busy: Duration,
}

impl Meter {
    /// A datagram of so many bytes is sent.
    pub fn sent(&mut self, bytes: usize) {
        self.sent_datagrams += 1;
        self.sent_bytes += bytes as u64 + HEADER_BYTES;
    }

    /// A datagram of so many bytes is received.
    pub fn received(&mut self, bytes: usize) {
        self.received_datagrams += 1;
        self.received_bytes += bytes as u64 + HEADER_BYTES;
    }
}
