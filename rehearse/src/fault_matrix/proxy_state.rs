//! The replication state of a proxy after a test run that broke a rule.

use linnetknot_daemon::fleet::{LogStatus, Status};
use std::fmt;

/// The logs of a proxy, and the purges and entries that it has outside of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyState {
    /// The index of the proxy in the fleet.
    pub proxy: usize,
    /// The checksum of all logs.
    pub digest: String,
    /// The number of entries in all logs.
    pub entries: usize,
    /// The number of purges in force that no log contains.
    pub unlogged_purges: usize,
    /// The number of entries in the reorder buffer.
    pub reordered_entries: usize,
    /// The last and the durable index of each log.
    pub logs: Vec<LogStatus>,
}

impl ProxyState {
    /// Creates the state of a proxy from its status.
    pub fn new(proxy: usize, status: Status) -> Self {
        ProxyState {
            proxy,
            digest: status.digest,
            entries: status.entries,
            unlogged_purges: status.unlogged_purges,
            reordered_entries: status.reordered_entries,
            logs: status.logs,
        }
    }
}

impl fmt::Display for ProxyState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p{}: digest {}, {} entries, {} purges in no log, {} entries out of order; logs",
            self.proxy, self.digest, self.entries, self.unlogged_purges, self.reordered_entries
        )?;
        for log in &self.logs {
            let LogStatus {
                writer,
                epoch,
                last_index,
                durable_index,
                ..
            } = log;
            write!(
                f,
                " {writer}/{epoch} last {last_index} durable {durable_index}"
            )?;
        }
        Ok(())
    }
}
