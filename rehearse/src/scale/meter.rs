//! Network and processor use of each member during the measured interval.

use crate::scale::fault::Window;
use crate::scale::network::HEADER_BYTES;
use linnetknot_simnet::Micros;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

const SECOND_US: Micros = 1_000_000;

/// Returns the processor time of this thread, which excludes other load on the machine.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Resources used by one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// Datagrams sent, including lost ones.
    pub sent_datagrams: u64,
    /// Bytes sent, with headers.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Bytes received, with headers.
    pub received_bytes: u64,
    /// Processor time spent in the member's protocol code.
    pub busy: Duration,
    /// Largest number of bytes sent and received within one second.
    pub worst_second_bytes: u64,
    /// Bytes sent and received while the fault was active.
    pub during_fault_bytes: u64,
    /// Bytes sent and received after the fault ended.
    pub after_fault_bytes: u64,
    /// Interval in which the fault is active, if it has one.
    fault: Option<Window>,
    /// Second that is being counted.
    second: u64,
    second_bytes: u64,
}

impl Meter {
    /// Creates a meter for a run whose fault is active in this interval, if any.
    pub fn new(fault: Option<Window>) -> Self {
        Meter {
            fault,
            ..Meter::default()
        }
    }

    /// Counts a datagram of `bytes` bytes that was sent.
    pub fn sent(&mut self, bytes: usize, now: Micros) {
        self.sent_datagrams += 1;
        self.sent_bytes += bytes as u64 + HEADER_BYTES;
        self.count(bytes, now);
    }

    /// Counts a datagram of `bytes` bytes that was received.
    pub fn received(&mut self, bytes: usize, now: Micros) {
        self.received_datagrams += 1;
        self.received_bytes += bytes as u64 + HEADER_BYTES;
        self.count(bytes, now);
    }

    fn count(&mut self, bytes: usize, now: Micros) {
        let second = now / SECOND_US;
        if second != self.second {
            self.second = second;
            self.second_bytes = 0;
        }
        let bytes = bytes as u64 + HEADER_BYTES;
        self.second_bytes += bytes;
        self.worst_second_bytes = self.worst_second_bytes.max(self.second_bytes);
        match self.fault {
            Some(fault) if now >= fault.until => self.after_fault_bytes += bytes,
            Some(fault) if now >= fault.from => self.during_fault_bytes += bytes,
            _ => {}
        }
    }
}
