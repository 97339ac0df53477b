//! Records which purges are in force at which members, with their delays, and finds members that lack a purge.

use crate::scale::layout::MemberIndex;
use hdrhistogram::Histogram;
use linnetknot_simnet::Micros;

/// Upper bound of the delay histograms; longer delays are recorded as this value.
const MAX_DELAY_US: u64 = 3_600_000_000;

/// Returns an empty histogram of delays in microseconds with three significant digits.
pub fn delays() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_DELAY_US, 3).expect("valid histogram bounds")
}

/// Set of members, stored as a bitmap.
#[derive(Clone, Debug)]
struct MemberSet {
    words: Vec<u64>,
}

const WORD_BITS: usize = 64;

impl MemberSet {
    fn new(members: usize) -> Self {
        MemberSet {
            words: vec![0; members.div_ceil(WORD_BITS)],
        }
    }

    fn contains(&self, member: MemberIndex) -> bool {
        self.words[member / WORD_BITS] & (1 << (member % WORD_BITS)) != 0
    }

    /// Adds a member and returns whether it was absent before.
    fn insert(&mut self, member: MemberIndex) -> bool {
        let is_new = !self.contains(member);
        self.words[member / WORD_BITS] |= 1 << (member % WORD_BITS);
        is_new
    }

    fn remove(&mut self, member: MemberIndex) {
        self.words[member / WORD_BITS] &= !(1 << (member % WORD_BITS));
    }
}

/// A purge that was issued during the run.
#[derive(Clone, Debug)]
pub struct PurgeRecord {
    /// Time at which the purge was issued.
    pub issued_at: Micros,
    /// Member at which the purge was issued.
    pub writer: MemberIndex,
    /// Whether the purge was committed. A committed purge must reach all members, even if its writer crashes.
    pub is_committed: bool,
    /// Whether the writer crashed before the purge was committed or refused. Such a purge need not reach any member.
    pub is_abandoned: bool,
    in_force: MemberSet,
}

/// All purges of the run, indexed by their numbers.
#[derive(Clone, Debug)]
pub struct PurgeTracker {
    members: usize,
    records: Vec<PurgeRecord>,
    /// Delays from issuing a purge until it was in force, at members that were running and connected throughout.
    pub delays: Histogram<u64>,
    /// Delays at members that were down or disconnected from the writer when the purge was issued.
    pub catch_up_delays: Histogram<u64>,
}

impl PurgeTracker {
    /// Creates a tracker without purges for a fleet of `members` members.
    pub fn new(members: usize) -> Self {
        PurgeTracker {
            members,
            records: Vec::new(),
            delays: delays(),
            catch_up_delays: delays(),
        }
    }

    /// Records a purge issued at `writer` and returns its number.
    pub fn issue(&mut self, writer: MemberIndex, now: Micros) -> u64 {
        let in_force = MemberSet::new(self.members);
        self.records.push(PurgeRecord {
            issued_at: now,
            writer,
            is_committed: false,
            is_abandoned: false,
            in_force,
        });
        self.records.len() as u64 - 1
    }

    /// Returns the purge with this number, or `None` if it was not issued during the run.
    pub fn get(&self, purge: u64) -> Option<&PurgeRecord> {
        self.records.get(usize::try_from(purge).ok()?)
    }

    /// Returns the number of purges that were issued.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no purge was issued.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Marks a purge as committed.
    pub fn commit(&mut self, purge: u64) {
        if let Some(record) = usize::try_from(purge)
            .ok()
            .and_then(|purge| self.records.get_mut(purge))
        {
            record.is_committed = true;
        }
    }

    /// Marks the uncommitted purges of a crashed writer as abandoned.
    pub fn abandon(&mut self, writer: MemberIndex) {
        let open = self
            .records
            .iter_mut()
            .filter(|r| r.writer == writer && !r.is_committed);
        open.for_each(|record| record.is_abandoned = true);
    }

    /// Records that a purge is in force at a member that has been running and connected to the writer since
    /// `connected_since`.
    pub fn record_in_force(
        &mut self,
        purge: u64,
        member: MemberIndex,
        now: Micros,
        connected_since: Micros,
    ) {
        let record = usize::try_from(purge)
            .ok()
            .and_then(|purge| self.records.get_mut(purge));
        let Some(record) = record.filter(|record| !record.in_force.contains(member)) else {
            return;
        };
        record.in_force.insert(member);
        let delay = (now - record.issued_at).max(1);
        match connected_since <= record.issued_at {
            true => self.delays.saturating_record(delay),
            false => self.catch_up_delays.saturating_record(delay),
        }
    }

    /// Replaces the purges recorded as in force at a restarted member by the purges on the member's disk.
    pub fn record_restart(&mut self, member: MemberIndex, on_disk: impl Iterator<Item = u64>) {
        self.records
            .iter_mut()
            .for_each(|record| record.in_force.remove(member));
        for purge in on_disk {
            if let Some(record) = usize::try_from(purge)
                .ok()
                .and_then(|purge| self.records.get_mut(purge))
            {
                record.in_force.insert(member);
            }
        }
    }

    /// Returns whether a purge is in force at a member.
    pub fn has(&self, purge: u64, member: MemberIndex) -> bool {
        self.get(purge)
            .is_some_and(|record| record.in_force.contains(member))
    }

    /// Returns each purge that is not abandoned, paired with each of `members` at which it is not in force.
    pub fn missing<'a>(
        &'a self,
        members: &'a [MemberIndex],
    ) -> impl Iterator<Item = (u64, MemberIndex)> + 'a {
        let owed = self
            .records
            .iter()
            .enumerate()
            .filter(|(_, record)| !record.is_abandoned);
        owed.flat_map(move |(purge, record)| {
            let lacking = members
                .iter()
                .filter(|member| !record.in_force.contains(**member));
            lacking.map(move |member| (purge as u64, *member))
        })
    }
}
