//! One member's part in the election of the allocator of a group of budgets.
//!
//! The candidate is the member with the highest weight among those that are believed to be up. This belief only selects
//! candidates: a candidate becomes the allocator only if more than half of all configured members vote for it.

use crate::pending::PendingRequests;
use crate::vote::{Vote, Votes};
use crate::{MemberIndex, MemberProcess, Micros, Options, VoteRequest, VoteResponse};
use std::collections::BTreeMap;

/// The member that is believed to be the allocator or has received a vote, and the time at which this information
/// expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownLeader {
    member: MemberIndex,
    until: Micros,
}

impl KnownLeader {
    fn is_current(&self, member: MemberIndex, now: Micros) -> bool {
        self.member == member && now < self.until
    }
}

/// One member's state in the election of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Election {
    group: usize,
    own: MemberProcess,
    /// The number of configured members.
    members: usize,
    options: Options,
    vote: Vote,
    /// The member that this member has voted for, or that more than half of the members named when they refused their
    /// votes to this member. This information expires and is never passed on, because members could otherwise confirm
    /// each other's outdated information forever.
    known_leader: Option<KnownLeader>,
    /// By voter, the member that the voter named when it refused its vote.
    refusals: BTreeMap<MemberIndex, KnownLeader>,
    /// Since when this member has been a candidate without a majority.
    candidate_since: Option<Micros>,
    /// The time until which this member requests no votes, so that another candidate can get them.
    backoff_until: Micros,
    votes: Votes,
    requests: PendingRequests,
    /// Whether this member was the allocator according to the last report to the caller.
    reported_leads: bool,
    /// Since when this member has been granting leases.
    serving_since: Option<Micros>,
}

impl Election {
    pub(crate) fn new(
        group: usize,
        own: MemberProcess,
        members: usize,
        now: Micros,
        options: Options,
    ) -> Self {
        Election {
            group,
            own,
            members,
            options,
            vote: Vote::new(now, options.vote_duration_us),
            known_leader: None,
            refusals: BTreeMap::new(),
            candidate_since: None,
            backoff_until: 0,
            votes: Votes::default(),
            requests: PendingRequests::default(),
            reported_leads: false,
            serving_since: None,
        }
    }

    /// Returns the time until which more than half of all configured members vote for this member.
    pub(crate) fn majority_until(&self) -> Micros {
        self.votes.majority_until(self.members)
    }

    /// Returns whether this member is the allocator.
    pub(crate) fn leads(&self, now: Micros) -> bool {
        now < self.majority_until()
    }

    /// Returns the allocator if this member has learnt which member it is, otherwise the candidate among the members
    /// that are up.
    pub(crate) fn leader(&self, now: Micros, up: &[bool]) -> MemberIndex {
        if self.leads(now) {
            return self.own.member;
        }
        // A known leader takes precedence over the candidate, so that a restarted member with a higher weight does not
        // replace it.
        if let Some(leader) = self.known_leader.filter(|leader| now < leader.until) {
            return leader.member;
        }
        let running = (0..up.len()).filter(|member| up[*member]);
        running
            .max_by_key(|member| weight(*member, self.group))
            .unwrap_or(self.own.member)
    }

    /// Ends this member's candidacy.
    pub(crate) fn withdraw(&mut self) {
        self.candidate_since = None;
    }

    /// Decides whether this candidate requests votes now. `last_number` is the number of its last request.
    ///
    /// Candidates that split the votes would otherwise renew them forever without a majority. A candidate that gets no
    /// majority within a timeout stops requesting votes until its votes have expired, for a time that differs between
    /// members.
    pub(crate) fn may_request_votes(&mut self, now: Micros, last_number: u64) -> bool {
        if now < self.backoff_until {
            return false;
        }
        let candidate_since = *self.candidate_since.get_or_insert(now);
        if self.leads(now) {
            self.candidate_since = Some(now);
            return true;
        }
        // Candidates with fewer votes back off sooner, so that the votes converge on one candidate.
        let timeout_us = (2 + self.votes.count(now)) * self.options.vote_duration_us;
        if now < candidate_since + timeout_us {
            return true;
        }
        self.back_off(now, last_number);
        false
    }

    fn back_off(&mut self, now: Micros, last_number: u64) {
        let vote_duration_us = self.options.vote_duration_us;
        let spread =
            weight(self.own.member, self.group) ^ self.own.process.rotate_left(17) ^ last_number;
        self.candidate_since = None;
        self.backoff_until = now + vote_duration_us + spread % vote_duration_us.max(1);
    }

    /// Creates a vote request with this number, and records it as sent.
    pub(crate) fn vote_request(&mut self, now: Micros, number: u64) -> VoteRequest {
        self.requests.insert(number, now);
        VoteRequest {
            group: self.group,
            number,
        }
    }

    /// Processes a candidate's vote request, and returns the response.
    pub(crate) fn receive_request(
        &mut self,
        now: Micros,
        from: MemberProcess,
        request: VoteRequest,
    ) -> VoteResponse {
        let vote_duration_us = self.options.vote_duration_us;
        let granted = self.vote.request(now, from, vote_duration_us);
        if granted || self.yields_to(now, from.member) {
            self.known_leader = Some(KnownLeader {
                member: from.member,
                until: now + vote_duration_us,
            });
        }
        VoteResponse {
            group: self.group,
            number: request.number,
            granted,
            voted_for: self.vote.voted_for(now),
        }
    }

    /// Returns whether this member, as a candidate without a majority, yields to a candidate with a higher weight. If
    /// that candidate does not get the votes either, it backs off.
    fn yields_to(&self, now: Micros, candidate: MemberIndex) -> bool {
        let own = self.own.member;
        let is_candidate = self
            .known_leader
            .is_none_or(|leader| leader.member == own || now >= leader.until);
        !self.leads(now) && is_candidate && weight(candidate, self.group) > weight(own, self.group)
    }

    /// Processes the response to a vote request.
    pub(crate) fn receive_response(
        &mut self,
        now: Micros,
        voter: MemberIndex,
        response: VoteResponse,
    ) {
        let Some(sent_at) = self.requests.sent_at(response.number) else {
            return;
        };
        if response.granted {
            self.refusals.remove(&voter);
            self.votes.add(
                voter,
                sent_at
                    + self
                        .options
                        .shortened_by_drift(self.options.vote_duration_us),
            );
            return;
        }
        let refused_for = response
            .voted_for
            .filter(|leader| *leader != self.own.member);
        if let Some(leader) = refused_for {
            self.receive_refusal(now, voter, leader);
        }
    }

    /// Records a refused vote. If more than half of the members have named the same leader, this member
    /// treats it as the allocator.
    fn receive_refusal(&mut self, now: Micros, voter: MemberIndex, leader: MemberIndex) {
        let known = KnownLeader {
            member: leader,
            until: now + self.options.vote_duration_us,
        };
        self.refusals.insert(voter, known);
        let agreeing = self
            .refusals
            .values()
            .filter(|refusal| refusal.is_current(leader, now))
            .count();
        if agreeing > self.members / 2 && !self.leads(now) {
            self.known_leader = Some(known);
        }
    }

    /// Returns whether this member is the allocator, if this has changed since the last call that returned a value.
    pub(crate) fn leadership_change(&mut self, now: Micros) -> Option<bool> {
        let leads = self.leads(now);
        let reported = std::mem::replace(&mut self.reported_leads, leads);
        (reported != leads).then_some(leads)
    }

    /// Marks this member as granting leases, if it was not already. Returns since when it has been.
    pub(crate) fn start_serving(&mut self, now: Micros) -> Micros {
        *self.serving_since.get_or_insert(now)
    }

    /// Marks this member as not granting leases, because its votes expire too soon.
    pub(crate) fn stop_serving(&mut self) {
        self.serving_since = None;
    }
}

/// Returns a member's weight for a group by rendezvous hashing.
fn weight(member: MemberIndex, group: usize) -> u64 {
    let mut x = (member as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ (group as u64 + 1).rotate_left(32);
    for multiplier in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(multiplier);
    }
    x ^ (x >> 31)
}
