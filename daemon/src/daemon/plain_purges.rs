//! Purges as plain datagrams: the form for peers that do not replicate logs, which are versions before replication and
//! proxies that have it off.
//!
//! A peer that replicates has each purge as an entry of its writer's log. It is not sent plain datagrams, and one that
//! comes from it is put in force and not written: written here as well, the same purge would stand in two logs, and the
//! second would have an index that nobody else was sent. Whether a peer replicates is known from membership, which runs
//! where replication does; a sender that was not met yet is pinged, and its purge is written only if it does not answer.

use super::peer_index::PeerIndex;
use super::Daemon;
use linnetknot::Micros;
use linnetknot_membership::Member;
use std::net::SocketAddr;

/// A purge that came as a plain datagram.
#[derive(Clone, Debug)]
struct PlainPurge {
    object: Option<String>,
    group: u64,
    at: Micros,
}

impl Daemon {
    /// Whether the peer at a place of the list of members is known to replicate logs.
    fn replicates(&self, place: Option<usize>) -> bool {
        let members = self.membership.as_ref().map(|membership| membership.members());
        let member = place.zip(members).and_then(|(place, members)| members.get(place));
        member.is_some_and(Member::is_up)
    }

    /// Takes in a purge that a peer sent as a plain datagram: in force at once.
    pub(super) fn receive_plain_purge(
        &mut self,
        now: Micros,
        from: Option<usize>,
        object: Option<String>,
        group: u64,
        at: Micros,
    ) {
        self.core.purged(now, object.clone(), group, at);
        if self.replicates(from) {
            return;
        }
        let purge = PlainPurge { object, group, at };
        match (from, &mut self.membership) {
            (Some(place), Some(membership)) if self.unwritten_purges < self.limits.unwritten_purges => {
                membership.greet(place);
                self.tend_membership(now);
                self.unwritten_purges += 1;
                let due = now + self.limits.plain_purge_grace_us;
                self.later(due, move |daemon, _| {
                    daemon.unwritten_purges -= 1;
                    if !daemon.replicates(from) {
                        daemon.write_plain_purge(&purge);
                    }
                });
            }
            _ => self.write_plain_purge(&purge),
        }
    }

    /// Writes a purge of a peer that does not replicate logs, so that the next process knows it, too.
    fn write_plain_purge(&mut self, purge: &PlainPurge) {
        let PlainPurge { object, group, at } = purge;
        let Some(ledger) = &mut self.ledger else { return };
        if let Err(e) = ledger.learn_purge(object.as_deref(), *group, *at) {
            log::error!("a purge that a peer told is in force but not kept for the next start: {e}");
        }
    }

    /// Sends a purge as a plain datagram to the peers that are not known to replicate logs, `resends` times more, as any
    /// datagram may be lost.
    pub(super) fn send_plain_purge(&mut self, now: Micros, text: String, resends: u8) {
        if self.peers.is_none() {
            return;
        }
        for peer in self.other_peers() {
            if !self.replicates(self.peer_place(&peer)) {
                self.send_to_peer(peer, text.as_bytes());
            }
        }
        if resends > 0 {
            self.later(now + self.limits.repeat_us, move |daemon, now| {
                daemon.send_plain_purge(now, text, resends - 1);
            });
        }
    }

    /// Indexes the peers by their addresses; to be called after each change of theirs.
    pub(super) fn index_peers(&mut self) {
        let peers = self.peers.iter().flat_map(|(_, peers)| peers.iter().copied());
        let members = self.config.copies.machines.iter().map(|(address, _)| *address);
        self.peer_index = PeerIndex::new(peers, members);
    }

    /// The place of the peer at an address in the list of members.
    fn peer_place(&self, address: &SocketAddr) -> Option<usize> {
        self.peer_index.find(address).and_then(|entry| entry.place)
    }
}
