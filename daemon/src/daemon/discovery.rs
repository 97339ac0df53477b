//! Discovery of the pop caches: passes reports of the sources to the endpoint table (`linnetknot_discovery`), the
//! resulting endpoint lists to the core, and notices about changes to the process log.

use super::Daemon;
use linnetknot::Micros;
use linnetknot_discovery::{
    EndpointTable, Evidence, ListEvent, Notice, SourceId, StatusChange, TableUpdate,
};
use std::collections::BTreeSet;

/// The id of the event bus as a source.
pub(super) const BUS: SourceId = SourceId(0);
/// The id of the first data centre of Consul as a source. Further data centres have the ids that follow.
pub(super) const CONSUL: SourceId = SourceId(1);

/// The factor by which logged penalties are rounded to two decimals.
const PENALTY_SCALE: f64 = 100.0;

/// The lines that were already logged, so that repeated responses of a source do not log them again.
#[derive(Default)]
pub(super) struct LoggedNotices(BTreeSet<String>);

impl LoggedNotices {
    /// Returns whether a line was not logged yet. When `max` lines are stored, all of them are removed and may be
    /// logged again.
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
        Notice::TableFull(uid) => format!("the table of pop caches is full: {uid} was not added"),
        Notice::DuplicateId {
            uid,
            accepted,
            rejected,
            source,
        } => {
            let source = table.source_name(source);
            format!(
                "{source} also lists {uid} at {rejected}, which is ignored: it is at {accepted}"
            )
        }
        Notice::DuplicateAddress {
            uid,
            other,
            endpoint,
        } => format!("{uid} has taken over the address {endpoint} from {other}"),
        Notice::Moved { uid, from, to } => format!("{uid} has moved from {from} to {to}"),
    }
}

impl Daemon {
    /// Applies a report of a source to the endpoint table.
    pub(super) fn receive_evidence(&mut self, now: Micros, source: SourceId, evidence: Evidence) {
        let output = self.endpoint_table.apply(now, source, evidence);
        self.apply_discovery(now, output);
    }

    /// Updates the endpoint table, which adds caches again once their flap damping has ended.
    fn poll_discovery(&mut self, now: Micros) {
        self.endpoint_table_due = None;
        let output = self.endpoint_table.poll(now);
        self.apply_discovery(now, output);
    }

    fn apply_discovery(&mut self, now: Micros, output: TableUpdate) {
        for ListEvent { mode, entries } in output.events {
            let entries = self.apply_bans(mode, entries);
            self.core.update_endpoints(now, mode, entries);
        }
        for change in &output.changes {
            log_change(&self.endpoint_table, change);
        }
        for notice in output.notices {
            let line = notice_line(&self.endpoint_table, notice);
            if self
                .logged_notices
                .is_new(&line, self.limits.max_remembered_log_lines)
            {
                log::warn!("endpoint table: {line}");
            }
        }
        let due = self.endpoint_table.next_due(now);
        if due != self.endpoint_table_due.map(|planned| planned.at) {
            let old = self.endpoint_table_due.take();
            self.endpoint_table_due = self.reschedule(old, due, Daemon::poll_discovery);
        }
    }
}
