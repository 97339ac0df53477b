//! Probes and their timeouts. One member is probed in each period, in rounds of random order. If it does not answer
//! within the timeout, other members are asked for indirect probes. If these are not answered either, the member is
//! suspected.

use super::Membership;
use crate::member::MemberState;
use crate::wire::Body;
use crate::{Id, Micros, PeerIndex};

/// The number in discovery pings. Probes are numbered from 1, so the acknowledgement of a discovery ping matches no
/// probe.
const DISCOVERY_PING_NUMBER: u32 = 0;

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) peer: PeerIndex,
    pub(super) number: u32,
    pub(super) started_at: Micros,
    /// The number of members that were asked for indirect probes; `None` before the requests are sent.
    pub(super) helpers: Option<usize>,
    /// The number of those members that reported that they received no answer either.
    pub(super) nacks: usize,
}

impl Probe {
    /// Returns whether no indirect probes have been requested yet.
    pub(super) fn is_direct(&self) -> bool {
        self.helpers.is_none()
    }
}

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    pub(super) requester: PeerIndex,
    /// The number of the request, which the acknowledgement or nack repeats.
    pub(super) number: u32,
    pub(super) target: Id,
    pub(super) deadline: Micros,
}

impl Membership {
    pub(super) fn begin_probe(&mut self, now: Micros) {
        self.next_probe = now + self.options.protocol_period_us * Micros::from(1 + self.health);
        self.send_discovery_pings();
        if self.round.is_empty() {
            self.draw_round();
        }
        let Some(peer) = self.round.pop() else { return };
        let number = self.next_number();
        self.counters.probes += 1;
        self.probe = Some(Probe {
            peer,
            number,
            started_at: now,
            helpers: None,
            nacks: 0,
        });
        self.ping(peer, number);
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Pings a member that is not known to be up, to discover it sooner. The ping is not a probe, and a member that
    /// does not answer it is not suspected.
    pub fn send_discovery_ping(&mut self, peer: PeerIndex) {
        let member = self.members.get(peer);
        if !self.has_left && member.is_some_and(|member| !member.is_up()) {
            self.ping(peer, DISCOVERY_PING_NUMBER);
        }
    }

    /// Sends discovery pings to members from which nothing has been received. Several pings are sent per period until
    /// each such member has been sent one, and then one ping to a random member per period.
    fn send_discovery_pings(&mut self) {
        let is_unknown =
            |membership: &Self, peer: &PeerIndex| membership.members[*peer].claim.is_none();
        let is_first_pass = !self.undiscovered.is_empty();
        if !is_first_pass {
            let all = 0..self.members.len();
            self.undiscovered = all.filter(|peer| is_unknown(self, peer)).collect();
        }
        let max_pings = if is_first_pass {
            self.options.discovery_pings_per_period
        } else {
            1
        };
        for _ in 0..max_pings.min(self.undiscovered.len()) {
            let index = self.random.below(self.undiscovered.len() as u64) as usize;
            let peer = self.undiscovered.swap_remove(index);
            if is_unknown(self, &peer) {
                self.ping(peer, DISCOVERY_PING_NUMBER);
            }
        }
        if max_pings == 1 {
            self.undiscovered.clear();
        }
    }

    /// Draws the next round of probes in random order. A round contains all members that may be up, and a few of those
    /// that are down.
    fn draw_round(&mut self) {
        for peer in 0..self.members.len() {
            let member = &self.members[peer];
            let is_down = member.claim.is_some() && !member.is_up();
            if !is_down || self.random.below(self.options.dead_probe_interval) == 0 {
                let position = self.random.below(self.round.len() as u64 + 1) as usize;
                self.round.insert(position, peer);
            }
        }
    }

    fn ping(&mut self, peer: PeerIndex, number: u32) {
        let names = self.members[peer].names.is_none();
        self.send(peer, Body::Ping { number, names }, None);
    }

    /// Requests indirect probes if the direct probe was not acknowledged before its timeout.
    pub(super) fn extend_probe(&mut self, now: Micros) {
        let timeout_us = self.scaled_ack_timeout_us();
        let has_timed_out =
            |probe: &Probe| probe.is_direct() && probe.started_at + timeout_us <= now;
        let Some(probe) = self.probe.clone().filter(has_timed_out) else {
            return;
        };
        let helpers = self.request_indirect_probes(&probe);
        if let Some(probe) = &mut self.probe {
            probe.helpers = Some(helpers);
        }
    }

    /// Requests indirect probes from random members, and returns their number.
    fn request_indirect_probes(&mut self, probe: &Probe) -> usize {
        let Some(target) = self.members[probe.peer].id else {
            return 0;
        };
        let mut candidates: Vec<PeerIndex> = (0..self.members.len())
            .filter(|peer| *peer != probe.peer && self.members[*peer].is_up())
            .collect();
        let mut helpers = 0;
        while helpers < self.options.indirect_probes && !candidates.is_empty() {
            let index = self.random.below(candidates.len() as u64) as usize;
            let helper = candidates.swap_remove(index);
            let request = Body::PingRequest {
                number: probe.number,
                target,
            };
            self.send(helper, request, None);
            helpers += 1;
        }
        helpers
    }

    /// Ends the probe of the previous period. A member that did not answer it directly or indirectly is suspected.
    pub(super) fn end_probe(&mut self, now: Micros) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.counters.failed += 1;
        if !self.members[probe.peer].is_up() {
            return;
        }
        // Helpers send a nack if the member does not answer them. A missing nack means that the exchange with the
        // helper failed, so this failure detector may be at fault. The penalty does not depend on the number of missing
        // nacks: the helpers may be dead or unreachable, and a large penalty would delay the detection of that.
        let may_be_at_fault = probe
            .helpers
            .is_none_or(|helpers| helpers == 0 || probe.nacks < helpers);
        if may_be_at_fault {
            self.degrade_health(1);
        }
        self.claim_observed(now, probe.peer, MemberState::Suspect);
    }

    /// Processes a member's acknowledgement of a ping.
    pub(super) fn receive_ack(&mut self, number: u32, from: Id) {
        let indirect = self.indirect.get(&number);
        if indirect.is_some_and(|probe| probe.target == from) {
            self.forward_ack(number);
            return;
        }
        let answers_probe =
            |probe: &Probe| probe.number == number && self.members[probe.peer].id == Some(from);
        if self.probe.as_ref().is_some_and(answers_probe) {
            self.probe = None;
            self.health = self.health.saturating_sub(1);
        }
    }

    fn forward_ack(&mut self, number: u32) {
        if let Some(probe) = self.indirect.remove(&number) {
            let ack = Body::Ack {
                number: probe.number,
                target: Some(probe.target),
                names: None,
            };
            self.send(probe.requester, ack, None);
        }
    }

    /// Receives a helper's report that the target of an indirect probe did not answer.
    pub(super) fn receive_nack(&mut self, number: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.nacks += 1;
        }
    }

    /// Pings a member on behalf of another, or refuses with a nack.
    pub(super) fn receive_ping_request(
        &mut self,
        now: Micros,
        requester: PeerIndex,
        number: u32,
        target: Id,
    ) {
        let has_capacity = self.indirect.len() < self.options.max_indirect_probes;
        let peer = self.index_of(target).filter(|peer| *peer != requester);
        let Some(peer) = peer.filter(|_| has_capacity) else {
            self.send(requester, Body::Nack { number }, None);
            return;
        };
        let own_number = self.next_number();
        let probe = IndirectProbe {
            requester,
            number,
            target,
            deadline: now + self.options.ack_timeout_us,
        };
        self.indirect.insert(own_number, probe);
        self.ping(peer, own_number);
    }

    /// Sends a nack for each ping on behalf of another member that was not acknowledged before its timeout.
    pub(super) fn expire_indirect_probes(&mut self, now: Micros) {
        let indirect = self.indirect.iter();
        let expired: Vec<u32> = indirect
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if let Some(probe) = self.indirect.remove(&number) {
                let nack = Body::Nack {
                    number: probe.number,
                };
                self.send(probe.requester, nack, None);
            }
        }
    }
}
