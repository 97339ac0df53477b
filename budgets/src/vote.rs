//! Whom a member votes for, and for how long a candidate has the votes of more than half.

use crate::{MemberIndex, Micros, ProcessId};
use std::collections::BTreeMap;

/// A process that may be an allocator: a member in one of its processes. Another process of the same member knows nothing of what
/// this one granted.
pub(crate) type Candidate = (MemberIndex, ProcessId);

/// A member's one vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Vote {
    given: Option<Candidate>,
    until: Micros,
}

impl Vote {
    /// Of a process that starts: it may have given its vote in its process before, and gives none until that is over.
    pub(crate) fn new(now: Micros, vote_us: Micros) -> Self {
        Vote { given: None, until: now + vote_us }
    }

    /// Whose it is.
    pub(crate) fn voted_for(&self, now: Micros) -> Option<MemberIndex> {
        self.given.filter(|_| now < self.until).map(|(member, _)| member)
    }

    /// Whether the candidate has it from now on for `vote_us`.
    pub(crate) fn request(&mut self, now: Micros, candidate: Candidate, vote_us: Micros) -> bool {
        if self.given != Some(candidate) && now < self.until {
            return false;
        }
        (self.given, self.until) = (Some(candidate), now + vote_us);
        true
    }
}

/// The votes that a candidate has, by whom, each until a time by the candidate's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Votes(BTreeMap<MemberIndex, Micros>);

impl Votes {
    pub(crate) fn add(&mut self, from: MemberIndex, until: Micros) {
        let known = self.0.entry(from).or_insert(0);
        *known = until.max(*known);
    }

    /// How many there are.
    pub(crate) fn count(&self, now: Micros) -> u64 {
        self.0.values().filter(|until| now < **until).count() as u64
    }

    /// Until when more than half of so many members vote for it.
    pub(crate) fn majority_until(&self, members: usize) -> Micros {
        let mut ends: Vec<Micros> = self.0.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(members / 2).copied().unwrap_or(0)
    }
}
