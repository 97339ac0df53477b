//! Claims about members, and the refutation of those about this member itself.

use super::Membership;
use crate::member::{Change, Claim, MemberState};
use crate::suspicion::Suspicion;
use crate::wire::{Sender, Update};
use crate::{Micros, PeerIndex, ProcessId};

impl Membership {
    /// Makes a claim about a member from this failure detector's own observation.
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

    /// Receives a claim, its own or another's.
    pub(super) fn receive_claim(&mut self, now: Micros, update: Update) {
        if update.id == self.own.id {
            return self.refute(now, update.claim);
        }
        // Members come from the configuration, and their ids are known once something was received from them.
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
        // Each member finds out by itself that another is there, and ignores claims about those that it has not heard of.
        // In a large fleet that starts, such claims would leave no capacity for refutations.
        if old.is_some() || update.claim.state != MemberState::Alive {
            self.gossip.add(update);
        }
        self.changes.push(Change {
            peer,
            old,
            new: update.claim,
        });
    }

    /// Receives a suspicion that is believed already, and passes it on if it is another member's.
    fn confirm_suspicion(&mut self, peer: PeerIndex, update: Update) {
        if update.claim.state != MemberState::Suspect {
            return;
        }
        let suspicion = self.suspicions.get_mut(&peer);
        if suspicion.is_some_and(|suspicion| suspicion.confirm(update.observer)) {
            self.gossip.add(update);
        }
    }

    /// Receives a claim about this member itself, and refutes it if it is not true.
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

    /// Receives the report of a process with a greater id: this one's successor, or its predecessor if that is expected. A
    /// process id is the time at which the process started. One that this process's clock has not reached yet was given by a
    /// clock that has been set back since; a successor started after this process, and so by a time that it has reached.
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
