//! Sends and receives purges as plain datagrams, for peers that do not replicate logs. `crate::plain_purges` decides
//! which purges are resent or stored.

use super::membership::replicating_process;
use super::peer_index::PeerIndex;
use super::Daemon;
use crate::ledger::{self, Ledger};
use crate::peers::{self, Purge};
use crate::plain_purges::{PurgeSender, RetainedPurge, Treatment};
use linnetknot::Micros;
use linnetknot_replication::{Entry, LogPosition};

/// Returns whether a log contains a purge.
fn is_logged(ledger: Option<&Ledger>, purge: &Purge) -> bool {
    ledger.is_some_and(|ledger| ledger.contains_purge(purge))
}

/// Returns whether a log contains a retained purge.
fn is_retained_logged(ledger: Option<&Ledger>, retained: &RetainedPurge) -> bool {
    let has_reached = |ledger: &Ledger| {
        let log_store = ledger.replica().log_store();
        let position = retained.position;
        position.is_some_and(|position| log_store.last_index(position.log) >= position.index)
    };
    ledger.is_some_and(has_reached) || is_logged(ledger, &retained.purge)
}

impl Daemon {
    /// Applies a purge that was received as a plain datagram, and stores it if necessary.
    pub(super) fn receive_plain_purge(&mut self, now: Micros, from: Option<usize>, purge: Purge) {
        self.share_purge(&purge);
        let Purge { object, group, at } = purge.clone();
        self.core.record_purge(now, object, group, at);
        // Without membership, no sender can be known to replicate logs.
        let from = from.filter(|_| self.membership.is_some());
        let sender = from.map(|peer| PurgeSender {
            peer,
            process: replicating_process(self.membership.as_ref(), peer),
        });
        let is_logged = is_logged(self.ledger.as_ref(), &purge);
        match self.plain_purges.receive(now, sender, is_logged, purge) {
            Treatment::Replicated => self.schedule_plain_purges(),
            Treatment::Greet => {
                if let (Some(membership), Some(peer)) = (&mut self.membership, from) {
                    membership.send_discovery_ping(peer);
                    self.flush_membership(now);
                }
                self.schedule_plain_purges();
            }
            Treatment::Write(purge) => self.write_plain_purge(&purge),
        }
    }

    /// Retains the purges of log entries that arrived out of order from a peer, until a log contains them.
    pub(super) fn retain_out_of_order(&mut self, now: Micros, peer: usize, entries: &[Entry]) {
        if self.membership.is_none() {
            return;
        }
        let sender = PurgeSender {
            peer,
            process: replicating_process(self.membership.as_ref(), peer),
        };
        for entry in entries {
            let Some(purge) = ledger::purge(entry) else {
                continue;
            };
            let position = LogPosition {
                log: entry.log,
                index: entry.index,
            };
            self.plain_purges
                .receive_out_of_order(now, sender, purge, position);
        }
        if !entries.is_empty() {
            self.schedule_plain_purges();
        }
    }

    /// Appends a purge that is in no log to this proxy's log, so that it persists across restarts and reaches all peers.
    pub(super) fn write_plain_purge(&mut self, purge: &Purge) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        if let Some(pending) = &mut self.pending_store {
            return pending.buffer_purge(purge.clone());
        }
        if let Err(e) = ledger.append_if_newer(purge.object.as_deref(), purge.group, purge.at) {
            log::error!("a purge of a peer is applied but not stored for the next start: {e}");
        }
    }

    /// Sends a purge as a plain datagram to the peers that are not known to replicate logs, and schedules its
    /// repetitions.
    pub(super) fn send_plain_purge(
        &mut self,
        now: Micros,
        object: Option<&str>,
        group: u64,
        at: Micros,
    ) {
        let Some(text) = peers::write(object, group, at).filter(|_| self.peers.is_some()) else {
            return;
        };
        self.send_where_not_replicated(&text);
        self.plain_purges.sent(now, text);
        self.schedule_plain_purges();
    }

    fn send_where_not_replicated(&self, text: &str) {
        let membership = self.membership.as_ref();
        for peer in self.other_peers() {
            let index = self.peer_index.find(&peer).and_then(|entry| entry.index);
            let process = index.and_then(|index| replicating_process(membership, index));
            if process.is_none() {
                self.send_to_peer(peer, text.as_bytes());
            }
        }
    }

    fn schedule_plain_purges(&mut self) {
        let due = self.plain_purges.due();
        let old = self.plain_purges_due.take();
        self.plain_purges_due = self.reschedule(old, due, |daemon, now| {
            daemon.plain_purges_due = None;
            daemon.tick_plain_purges(now);
        });
    }

    fn tick_plain_purges(&mut self, now: Micros) {
        let (membership, ledger) = (self.membership.as_ref(), self.ledger.as_ref());
        let overdue = self.plain_purges.tick(
            now,
            |peer| replicating_process(membership, peer),
            |retained| is_retained_logged(ledger, retained),
        );
        overdue
            .resends
            .iter()
            .for_each(|text| self.send_where_not_replicated(text));
        overdue
            .writes
            .iter()
            .for_each(|purge| self.write_plain_purge(purge));
        self.schedule_plain_purges();
    }

    /// Returns the number of retained purges, which are in force here and which no log contains yet.
    pub(super) fn unlogged_purges(&self) -> usize {
        let ledger = self.ledger.as_ref();
        self.plain_purges
            .unlogged(|retained| is_retained_logged(ledger, retained))
    }

    /// Rebuilds the index of the peers by address. Has to be called after each change of the configured peers.
    pub(super) fn index_peers(&mut self) {
        let peers = self
            .peers
            .iter()
            .flat_map(|(_, peers)| peers.iter().copied());
        let members = self
            .config
            .replication
            .machines
            .iter()
            .map(|(address, _)| *address);
        self.peer_index = PeerIndex::new(peers, members);
        let unwritten = self.plain_purges.take_unwritten();
        unwritten
            .iter()
            .for_each(|purge| self.write_plain_purge(purge));
    }
}
