//! What each member spent while a run was measured.

use crate::scale::fault::Window;
use crate::scale::network::HEADER_BYTES;
use linnetknot_simnet::Micros;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

const SECOND_US: Micros = 1_000_000;

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
    /// Bytes sent and received in the worst second.
    pub worst_second_bytes: u64,
    /// Bytes sent and received while the run's fault lasted, and after it.
    pub during_fault_bytes: u64,
    /// See `during_fault_bytes`.
    pub after_fault_bytes: u64,
    /// When the fault lasts, if it does.
    fault: Option<Window>,
    /// The second that runs, and its bytes.
    second: u64,
    second_bytes: u64,
}

impl Meter {
    /// In a run whose fault lasts for this time, or for none.
    pub fn new(fault: Option<Window>) -> Self {
        Meter {
            fault,
            ..Meter::default()
        }
    }

    /// A datagram of so many bytes is sent.
    pub fn sent(&mut self, bytes: usize, now: Micros) {
        self.sent_datagrams += 1;
        self.sent_bytes += bytes as u64 + HEADER_BYTES;
        self.count(bytes, now);
    }

    /// A datagram of so many bytes is received.
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
