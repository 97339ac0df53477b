//! Formats the replication status as tables.

use super::{LogStatus, PeerStatus, Status};
use std::fmt::Write as _;

impl Status {
    /// Formats the status as a summary and tables of the peers and logs.
    pub fn to_table(&self) -> String {
        let mut table = String::new();
        // Writing to a string does not fail.
        for (name, value) in self.summary() {
            let _ = writeln!(table, "{name:<9} {value}");
        }
        let _ = writeln!(table);
        write_peers(&mut table, &self.peers);
        let _ = writeln!(table);
        write_logs(&mut table, &self.logs);
        let more_peers = self.peers_total - self.peers.len();
        let more_logs = self.logs_total - self.logs.len();
        if more_peers > 0 || more_logs > 0 {
            let _ = writeln!(
                table,
                "\nand {more_peers} more peers and {more_logs} more logs"
            );
        }
        table
    }

    /// Returns the lines of the summary, each with its label.
    fn summary(&self) -> [(&'static str, String); 7] {
        [
            (
                "proxy",
                format!("{} on {}, epoch {}", self.name, self.machine, self.epoch),
            ),
            ("log", self.log_summary()),
            (
                "entries",
                format!(
                    "{} in force of {} logs, digest {}",
                    self.entries, self.logs_total, self.digest
                ),
            ),
            ("compacted", self.table_summary()),
            (
                "commits",
                format!(
                    "{} committed, {} rejected, {} pending; {} further machines acknowledge each",
                    self.committed, self.rejected, self.pending_commits, self.min_acks
                ),
            ),
            ("members", self.members_summary()),
            (
                "lagging",
                format!(
                    "{} under-replicated entries of replication factor {}; {} purges in no log yet; {} entries out of order",
                    self.under_replicated,
                    self.replication_factor,
                    self.unlogged_purges,
                    self.reordered_entries
                ),
            ),
        ]
    }

    fn log_summary(&self) -> String {
        match &self.store_error {
            None => format!(
                "last index {}, durable index {}",
                self.last_index, self.durable_index
            ),
            Some(reason) => format!("the store can't be opened: {reason}"),
        }
    }

    fn table_summary(&self) -> String {
        let progress = if self.catching_up {
            "; receiving a snapshot"
        } else {
            ""
        };
        format!(
            "{} purges in a table of {} bytes{progress}",
            self.compacted, self.table_bytes
        )
    }

    fn members_summary(&self) -> String {
        let replaced = if self.replaced {
            "; replaced by a later process"
        } else {
            ""
        };
        format!("{} alive{replaced}", self.alive_members)
    }
}

fn write_peers(table: &mut String, peers: &[PeerStatus]) {
    let head = ["peer", "name", "machine", "state", "acked", "lag"].map(str::to_owned);
    let rows = peers.iter().map(|peer| {
        [
            peer.address.to_string(),
            peer.name.clone(),
            peer.machine.clone(),
            peer.state.clone(),
            peer.acked_index.to_string(),
            peer.lag.to_string(),
        ]
    });
    for [address, name, machine, state, acked, lag] in std::iter::once(head).chain(rows) {
        let _ = writeln!(
            table,
            "{address:<22} {name:<14} {machine:<14} {state:<9} {acked:>9} {lag:>9}"
        );
    }
}

fn write_logs(table: &mut String, logs: &[LogStatus]) {
    let _ = writeln!(
        table,
        "{:<18} {:<14} {:>10} {:>10}",
        "log of", "epoch", "last", "durable"
    );
    for log in logs {
        let own = if log.own { " (own)" } else { "" };
        let _ = writeln!(
            table,
            "{:<18} {:<14} {:>10} {:>10}{own}",
            log.writer, log.epoch, log.last_index, log.durable_index
        );
    }
}
