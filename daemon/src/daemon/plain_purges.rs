//! Plain purges on the peers' socket: what `crate::plain_purges` decides is sent, greeted and written.

use super::peer_index::PeerIndex;
use super::Daemon;
use crate::peers::{self, Purge};
use crate::plain_purges::Treatment;
use linnetknot::Micros;
use linnetknot_membership::{Member, Membership};

/// Whether the peer at a place of the list of members is known to replicate logs: one that runs does, as far as membership
/// tells.
fn replicates(membership: Option<&Membership>, place: usize) -> bool {
    let member = membership.and_then(|membership| membership.members().get(place));
    member.is_some_and(Member::is_up)
}

impl Daemon {
    /// Takes in a purge that a peer sent as a plain datagram: in force at once.
    pub(super) fn receive_plain_purge(&mut self, now: Micros, from: Option<usize>, purge: Purge) {
        let (object, group, at) = purge.clone();
        self.core.record_purge(now, object, group, at);
        // Where nothing is replicated nobody can show that it does.
        let from = from.filter(|_| self.membership.is_some());
        let replicates = from.is_some_and(|place| replicates(self.membership.as_ref(), place));
        match self.plain_purges.receive(now, from, replicates, purge) {
            Treatment::Replicated => {}
            Treatment::Greet => {
                if let (Some(membership), Some(place)) = (&mut self.membership, from) {
                    membership.greet(place);
                    self.tend_membership(now);
                }
                self.plan_plain_purges();
            }
            Treatment::Write(purge) => self.write_plain_purge(&purge),
        }
    }

    /// Writes a purge of a peer that does not replicate logs, so that the next process knows it, too.
    pub(super) fn write_plain_purge(&mut self, (object, group, at): &Purge) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        if let Some(pending) = &mut self.pending_store {
            return pending.learn((object.clone(), *group, *at));
        }
        if let Err(e) = ledger.learn_purge(object.as_deref(), *group, *at) {
            log::error!(
                "a purge that a peer told is in force but not kept for the next start: {e}"
            );
        }
    }

    /// Sends a purge as a plain datagram to the peers that are not known to replicate logs, now and again.
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
        self.plan_plain_purges();
    }

    fn send_where_not_replicated(&self, text: &str) {
        let membership = self.membership.as_ref();
        for peer in self.other_peers() {
            let place = self.peer_index.find(&peer).and_then(|entry| entry.place);
            if !place.is_some_and(|place| replicates(membership, place)) {
                self.send_to_peer(peer, text.as_bytes());
            }
        }
    }

    fn plan_plain_purges(&mut self) {
        let due = self.plain_purges.due();
        let old = self.plain_purges_due.take();
        self.plain_purges_due = self.instead(old, due, |daemon, now| {
            daemon.plain_purges_due = None;
            daemon.tick_plain_purges(now);
        });
    }

    fn tick_plain_purges(&mut self, now: Micros) {
        let membership = self.membership.as_ref();
        let overdue = self
            .plain_purges
            .tick(now, |place| replicates(membership, place));
        overdue
            .resends
            .iter()
            .for_each(|text| self.send_where_not_replicated(text));
        overdue
            .writes
            .iter()
            .for_each(|purge| self.write_plain_purge(purge));
        self.plan_plain_purges();
    }

    /// Indexes the peers by their addresses; to be called after each change of theirs.
    pub(super) fn index_peers(&mut self) {
        let peers = self
            .peers
            .iter()
            .flat_map(|(_, peers)| peers.iter().copied());
        let members = self
            .config
            .copies
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
