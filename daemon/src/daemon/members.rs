//! The book of boxes in the daemon: evidence goes in, list events go to the core, changes go to the log.

use super::Daemon;
use linnetknot::Micros;
use linnetknot_discovery::{Evidence, ListEvent, Notice, SourceId, TableUpdate};
use std::collections::BTreeSet;

/// The event bus, which comes first.
pub(super) const BUS: SourceId = SourceId(0);
/// Consul; each further data centre follows.
pub(super) const CONSUL: SourceId = SourceId(1);

/// What was said once need not be said with every answer of a source that repeats it.
#[derive(Default)]
pub(super) struct Said(BTreeSet<String>);

impl Said {
    /// Whether this is news. At `most` lines all is forgotten, and may be said once more.
    pub(super) fn is_new(&mut self, line: &str, most: usize) -> bool {
        if self.0.len() >= most {
            self.0.clear();
        }
        self.0.insert(line.to_owned())
    }
}

impl Daemon {
    /// A source has told something of the boxes.
    pub(super) fn evidence(&mut self, now: Micros, source: SourceId, evidence: Evidence) {
        let out = self.members.apply(now, source, evidence);
        self.follow(now, out);
    }

    /// Boxes that have been steady for long enough are taken in again.
    pub(super) fn review_members(&mut self, now: Micros) {
        self.members_due = None;
        let out = self.members.poll(now);
        self.follow(now, out);
    }

    fn follow(&mut self, now: Micros, out: TableUpdate) {
        for ListEvent { mode, entries } in out.events {
            let entries = self.without_bans(mode, entries);
            self.core.update_endpoints(now, mode, entries);
        }
        for c in out.changes {
            log::info!(
                "box" = c.uid.as_str(),
                old = c.old.name(),
                new = c.new.name(),
                reason = c.reason.to_string().as_str(),
                source = self.members.source(c.source),
                penalty = (c.penalty * 100.0).round() / 100.0;
                "a box's standing has changed"
            );
        }
        for notice in out.notices {
            let line = match notice {
                Notice::TableFull(uid) => {
                    format!("the table of boxes is full: {uid} is not taken in")
                }
                Notice::DuplicateId {
                    uid,
                    accepted,
                    rejected,
                    source,
                } => {
                    let source = self.members.source(source);
                    format!("{source} names {uid} at {rejected} too, which is passed over: it is at {accepted}")
                }
                Notice::DuplicateAddress {
                    uid,
                    other,
                    endpoint,
                } => {
                    format!("{uid} has taken the address {endpoint} over from {other}")
                }
                Notice::Moved { uid, from, to } => format!("{uid} has moved from {from} to {to}"),
            };
            if self.said.is_new(&line, self.limits.said) {
                log::warn!("{line}");
            }
        }
        let due = self.members.next_due(now);
        if due != self.members_due.map(|planned| planned.at) {
            let old = self.members_due.take();
            self.members_due = self.instead(old, due, Daemon::review_members);
        }
    }
}
