//! A member's own vote, and the votes that a candidate has.

use crate::{MemberIndex, MemberProcess, Micros};
use std::collections::BTreeMap;

/// A member's own vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Vote {
    candidate: Option<MemberProcess>,
    until: Micros,
}

impl Vote {
    /// The vote of a process that starts. An earlier process may have given it: it is free once that vote has expired.
    pub(crate) fn new(now: Micros, vote_duration_us: Micros) -> Self {
        Vote {
            candidate: None,
            until: now + vote_duration_us,
        }
    }

    /// Returns the member that has the vote.
    pub(crate) fn voted_for(&self, now: Micros) -> Option<MemberIndex> {
        self.candidate
            .filter(|_| now < self.until)
            .map(|candidate| candidate.member)
    }

    /// Gives the vote to a candidate for `vote_duration_us`, unless another one has it. Returns whether the candidate has
    /// it.
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

/// The votes that a candidate has, by voter: until when each lasts, by the candidate's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Votes(BTreeMap<MemberIndex, Micros>);

impl Votes {
    /// Adds a vote, or extends it.
    pub(crate) fn add(&mut self, voter: MemberIndex, until: Micros) {
        let current = self.0.entry(voter).or_insert(0);
        *current = until.max(*current);
    }

    /// Counts the votes that have not expired.
    pub(crate) fn count(&self, now: Micros) -> u64 {
        self.0.values().filter(|until| now < **until).count() as u64
    }

    /// Returns until when more than half of so many members vote for the candidate; 0 where they never did.
    pub(crate) fn majority_until(&self, members: usize) -> Micros {
        let mut ends: Vec<Micros> = self.0.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(members / 2).copied().unwrap_or(0)
    }
}
