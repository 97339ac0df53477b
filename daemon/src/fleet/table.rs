//! The status as tables, for people.

use super::{LogStatus, PeerStatus, Status};
use std::fmt::Write as _;

impl Status {
    /// Formats the status as tables.
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
            let _ = writeln!(table, "\nand {more_peers} peers and {more_logs} logs more");
        }
        table
    }

    /// The lines before the tables, each with its name.
    fn summary(&self) -> [(&'static str, String); 7] {
        [
            (
                "proxy",
                format!("{} on {}, life {}", self.name, self.machine, self.epoch),
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
                "promises",
                format!(
                    "{} given, {} refused, {} waiting for {} further machines",
                    self.committed, self.rejected, self.pending_commits, self.min_acks
                ),
            ),
            ("members", self.members_summary()),
            (
                "short",
                format!(
                    "{} with fewer copies than {}",
                    self.under_replicated, self.replication_factor
                ),
            ),
        ]
    }

    fn log_summary(&self) -> String {
        match &self.store_error {
            None => format!("{} places, {} on disk", self.last_index, self.durable_index),
            Some(reason) => format!("the store can't be opened: {reason}"),
        }
    }

    fn table_summary(&self) -> String {
        let progress = if self.catching_up {
            "; catching up with a snapshot"
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
            "; this process was replaced"
        } else {
            ""
        };
        format!("{} up{replaced}", self.alive_members)
    }
}

fn write_peers(table: &mut String, peers: &[PeerStatus]) {
    let head = ["peer", "name", "machine", "standing", "held", "behind"].map(str::to_owned);
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
    for [address, name, machine, standing, held, behind] in std::iter::once(head).chain(rows) {
        let _ = writeln!(
            table,
            "{address:<22} {name:<14} {machine:<14} {standing:<9} {held:>9} {behind:>9}"
        );
    }
}

fn write_logs(table: &mut String, logs: &[LogStatus]) {
    let _ = writeln!(
        table,
        "{:<18} {:<14} {:>10} {:>10}",
        "held for", "life", "places", "on disk"
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
