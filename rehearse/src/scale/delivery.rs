//! Which member has which purge, since when, and which members lack one that they should have.

use crate::scale::layout::MemberIndex;
use hdrhistogram::Histogram;
use linnetknot_simnet::Micros;

/// Delays above this count as this.
const MAX_DELAY_US: u64 = 3_600_000_000;

/// A histogram of delays in microseconds, three digits exact.
pub fn delays() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_DELAY_US, 3).expect("the bounds are sound")
}

/// A set of members.
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

    /// True where it was not in it.
    fn insert(&mut self, member: MemberIndex) -> bool {
        let is_new = !self.contains(member);
        self.words[member / WORD_BITS] |= 1 << (member % WORD_BITS);
        is_new
    }

    fn remove(&mut self, member: MemberIndex) {
        self.words[member / WORD_BITS] &= !(1 << (member % WORD_BITS));
    }
}

/// A purge of the run.
#[derive(Clone, Debug)]
pub struct PurgeRecord {
    /// When it was told.
    pub issued_at: Micros,
    /// To whom.
    pub writer: MemberIndex,
    /// It was committed: all must have it in the end, whoever crashes.
    pub is_committed: bool,
    /// The writer crashed before it was committed or refused: nobody was promised anything.
    pub is_abandoned: bool,
    in_force: MemberSet,
}

/// All purges of the run, by their numbers.
#[derive(Clone, Debug)]
pub struct PurgeTracker {
    members: usize,
    records: Vec<PurgeRecord>,
    /// From when a purge was told until it was in force at a member that ran all the time.
    pub delays: Histogram<u64>,
    /// The same for members that were not there, or cut off, when it was told.
    pub catch_up_delays: Histogram<u64>,
}

impl PurgeTracker {
    /// No purges yet, of so many members.
    pub fn new(members: usize) -> Self {
        PurgeTracker {
            members,
            records: Vec::new(),
            delays: delays(),
            catch_up_delays: delays(),
        }
    }

    /// A purge is told now: its number.
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

    /// A purge by its number; none: it is not of this run.
    pub fn get(&self, purge: u64) -> Option<&PurgeRecord> {
        self.records.get(usize::try_from(purge).ok()?)
    }

    /// How many were told.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none was.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// A purge is committed.
    pub fn commit(&mut self, purge: u64) {
        if let Some(record) = usize::try_from(purge)
            .ok()
            .and_then(|purge| self.records.get_mut(purge))
        {
            record.is_committed = true;
        }
    }

    /// A writer crashed: its purges that were not committed were promised to nobody.
    pub fn abandon(&mut self, writer: MemberIndex) {
        let open = self
            .records
            .iter_mut()
            .filter(|r| r.writer == writer && !r.is_committed);
        open.for_each(|record| record.is_abandoned = true);
    }

    /// A purge is in force at a member that has been there, and not cut off from the writer, since `connected_since`.
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

    /// A member starts again, and has these purges on its disk.
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

    /// Whether a member has a purge.
    pub fn has(&self, purge: u64, member: MemberIndex) -> bool {
        self.get(purge)
            .is_some_and(|record| record.in_force.contains(member))
    }

    /// Purges, each with the first of these members that lacks it, that all of them should have in the end.
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
