//! Claims about members, and the refutation of claims about this member.

use super::Membership;
use crate::member::{Change, Claim, MemberState};
use crate::suspicion::Suspicion;
use crate::wire::{Sender, Update};
use crate::{Micros, PeerIndex, ProcessId};

impl Membership {
    /// Makes a claim about a member from this member's own observation.
    pub(super) fn claim_observed(&mut self, now: Micros, peer: PeerIndex, state: MemberState) {
        let member = &self.members[peer];
        if let (Some(id), Some(claim)) = (member.id, member.claim) {
            let update = Update {
                id,
                observer: self.own.id,
                claim: Claim { state, ..claim },
            };
            self.receive_claim(now, update);
        }
    }

    /// Processes a claim by this member or another.
    pub(super) fn receive_claim(&mut self, now: Micros, update: Update) {
        if update.id == self.own.id {
            return self.refute(now, update.claim);
        }
        // Members are configured by address, and the id of a member is unknown until something has been received from
        // it.
        let Some(peer) = self.index_of(update.id) else {
            return;
        };
        let old = self.members[peer].claim;
        if !self.members[peer].apply_claim(update.claim) {
            if old == Some(update.claim) {
                self.confirm_suspicion(peer, update);
            }
            return;
        }
        self.suspicions.remove(&peer);
        if update.claim.state == MemberState::Suspect {
            let suspicion = Suspicion::new(
                now,
                update.observer,
                self.up(),
                self.options.protocol_period_us,
            );
            self.suspicions.insert(peer, suspicion);
        }
        // Each member discovers its peers by itself and discards claims about members that it has not discovered. The
        // first claim that a member is alive is therefore not gossiped. When a large fleet starts, such claims would
        // leave no room for refutations.
        if old.is_some() || update.claim.state != MemberState::Alive {
            self.gossip.add(update);
        }
        self.changes.push(Change {
            peer,
            old,
            new: update.claim,
        });
    }

    /// Processes a suspicion that is already the current claim, and gossips it if it is a new confirmation.
    fn confirm_suspicion(&mut self, peer: PeerIndex, update: Update) {
        if update.claim.state != MemberState::Suspect {
            return;
        }
        let suspicion = self.suspicions.get_mut(&peer);
        if suspicion.is_some_and(|suspicion| suspicion.confirm(update.observer)) {
            self.gossip.add(update);
        }
    }

    /// Processes a claim about this member itself, and refutes it if it is false.
    fn refute(&mut self, now: Micros, claim: Claim) {
        if claim.process > self.own.process {
            self.receive_later_process(now, claim.process);
        } else if claim.process == self.own.process
            && claim.state != MemberState::Alive
            && claim.incarnation >= self.own.incarnation
        {
            self.own.incarnation = claim.incarnation + 1;
            self.counters.refuted += 1;
            self.degrade_health(1);
            self.announce_self();
        }
    }

    /// Processes the report of a process with a greater id. That process is this process's successor, or its
    /// predecessor if that is expected. A process id is the time at which the process started. An id in the future
    /// comes from a clock that has been set back since, so it is the id of the predecessor. The clock has already
    /// reached the start time of a successor.
    fn receive_later_process(&mut self, now: Micros, process: ProcessId) {
        let is_expected = now < self.predecessor_until && !self.is_replaced;
        let is_predecessor = is_expected && process > now;
        match process.checked_add(1) {
            Some(next) if is_predecessor => {
                self.own.process = next;
                self.own.incarnation = 0;
                self.counters.refuted += 1;
                self.announce_self();
            }
            _ => self.is_replaced = true,
        }
    }

    fn announce_self(&mut self) {
        let Sender {
            id,
            process,
            incarnation,
        } = self.own;
        let claim = Claim {
            process,
            incarnation,
            state: MemberState::Alive,
        };
        self.gossip.add(Update {
            id,
            observer: id,
            claim,
        });
    }
}
