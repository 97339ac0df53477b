//! The vote that a member casts, and the votes that a candidate receives.

use crate::{MemberIndex, MemberProcess, Micros};
use std::collections::BTreeMap;

/// A member's own vote, which it can give to one candidate at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Vote {
    candidate: Option<MemberProcess>,
    until: Micros,
}

impl Vote {
    /// Creates the vote of a process that starts. An earlier process of the member may have given the vote, so the new
    /// process does not give it before that vote would have expired.
    pub(crate) fn new(now: Micros, vote_duration_us: Micros) -> Self {
        Vote {
            candidate: None,
            until: now + vote_duration_us,
        }
    }

    /// Returns the member that this member currently votes for.
    pub(crate) fn voted_for(&self, now: Micros) -> Option<MemberIndex> {
        self.candidate
            .filter(|_| now < self.until)
            .map(|candidate| candidate.member)
    }

    /// Gives the vote to a candidate, or renews it, for `vote_duration_us`, unless another candidate process has it.
    /// Returns whether the candidate has the vote.
    pub(crate) fn request(
        &mut self,
        now: Micros,
        candidate: MemberProcess,
        vote_duration_us: Micros,
    ) -> bool {
        if self.candidate != Some(candidate) && now < self.until {
            return false;
        }
        self.candidate = Some(candidate);
        self.until = now + vote_duration_us;
        true
    }
}

/// The votes that a candidate has received: by voter, the time at which the vote expires by the candidate's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Votes(BTreeMap<MemberIndex, Micros>);

impl Votes {
    /// Adds a vote, or extends an existing one.
    pub(crate) fn add(&mut self, voter: MemberIndex, until: Micros) {
        let current = self.0.entry(voter).or_insert(0);
        *current = until.max(*current);
    }

    /// Returns the number of votes that have not expired.
    pub(crate) fn count(&self, now: Micros) -> u64 {
        self.0.values().filter(|until| now < **until).count() as u64
    }

    /// Returns the time until which more than half of `members` vote for the candidate; 0 if it never had a majority.
    pub(crate) fn majority_until(&self, members: usize) -> Micros {
        let mut ends: Vec<Micros> = self.0.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(members / 2).copied().unwrap_or(0)
    }
}
