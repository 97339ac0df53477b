//! Discovery of the pop caches in the daemon: evidence of the sources goes to the endpoint table
//! (`linnetknot_discovery`), its list events to the core, and its changes to the log.

use super::Daemon;
use linnetknot::Micros;
use linnetknot_discovery::{
    EndpointTable, Evidence, ListEvent, Notice, SourceId, StatusChange, TableUpdate,
};
use std::collections::BTreeSet;

/// The event bus, which is the first source.
pub(super) const BUS: SourceId = SourceId(0);
/// Consul; each further data centre is the next source.
pub(super) const CONSUL: SourceId = SourceId(1);

/// Penalties are logged with two decimals.
const PENALTY_SCALE: f64 = 100.0;

/// The lines that were logged, so that an answer that a source repeats is not logged each time.
#[derive(Default)]
pub(super) struct LoggedLines(BTreeSet<String>);

impl LoggedLines {
    /// Whether a line was not logged yet. Once `max` lines are known all are forgotten, and may be logged again.
    pub(super) fn is_new(&mut self, line: &str, max: usize) -> bool {
        if self.0.len() >= max {
            self.0.clear();
        }
        self.0.insert(line.to_owned())
    }
}

fn log_change(table: &EndpointTable, change: &StatusChange) {
    log::info!(
        cache = change.uid.as_str(),
        old = change.old.name(),
        new = change.new.name(),
        reason = change.reason.to_string().as_str(),
        source = table.source_name(change.source),
        penalty = (change.penalty * PENALTY_SCALE).round() / PENALTY_SCALE;
        "a pop cache's state has changed"
    );
}

/// Returns the log line of a notice.
fn notice_line(table: &EndpointTable, notice: Notice) -> String {
    match notice {
        Notice::TableFull(uid) => format!("the table of pop caches is full: {uid} is not added"),
        Notice::DuplicateId {
            uid,
            accepted,
            rejected,
            source,
        } => {
            let source = table.source_name(source);
            format!("{source} names {uid} at {rejected} too, which is ignored: it is at {accepted}")
        }
        Notice::DuplicateAddress {
            uid,
            other,
            endpoint,
        } => format!("{uid} has taken the address {endpoint} over from {other}"),
        Notice::Moved { uid, from, to } => format!("{uid} has moved from {from} to {to}"),
    }
}

impl Daemon {
    /// Receives evidence of a source.
    pub(super) fn receive_evidence(&mut self, now: Micros, source: SourceId, evidence: Evidence) {
        let output = self.members.apply(now, source, evidence);
        self.apply_discovery(now, output);
    }

    /// Adds the caches again whose flap damping is over.
    fn poll_discovery(&mut self, now: Micros) {
        self.members_due = None;
        let output = self.members.poll(now);
        self.apply_discovery(now, output);
    }

    fn apply_discovery(&mut self, now: Micros, output: TableUpdate) {
        for ListEvent { mode, entries } in output.events {
            let entries = self.without_bans(mode, entries);
            self.core.update_endpoints(now, mode, entries);
        }
        for change in &output.changes {
            log_change(&self.members, change);
        }
        for notice in output.notices {
            let line = notice_line(&self.members, notice);
            if self.logged.is_new(&line, self.limits.said) {
                log::warn!("the endpoint table: {line}");
            }
        }
        let due = self.members.next_due(now);
        if due != self.members_due.map(|planned| planned.at) {
            let old = self.members_due.take();
            self.members_due = self.instead(old, due, Daemon::poll_discovery);
        }
    }
}
