//! The logs that a proxy has: each without holes up to some index, less what later entries superseded.

use crate::{Entry, Epoch, Index, LogId, Micros, Subject, Writer};
use std::collections::BTreeMap;

/// What a log_store has room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Entries that hold for good.
    pub entries: usize,
    /// Entries that are of use for a time only: they must not take the room of the others.
    pub expiring: usize,
    /// Logs.
    pub logs: usize,
}

impl Capacity {
    /// For whatever comes.
    pub const UNLIMITED: Capacity = Capacity { entries: usize::MAX, expiring: usize::MAX, logs: usize::MAX };
}

/// There is no room for one more entry or log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityExceeded;

impl std::fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("there is no capacity for one more entry")
    }
}

impl std::error::Error for CapacityExceeded {}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insertion {
    /// It was the next one.
    New,
    /// It was there, or superseded.
    Known,
    /// Others before it are missing.
    OutOfOrder,
    /// There was no room.
    Rejected(CapacityExceeded),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Track {
    /// All entries up to here are had, or were superseded.
    through: Index,
    /// Those in force.
    live: BTreeMap<Index, (Subject, Micros, bool)>,
    /// Where the entry in force of each purge stands.
    last: BTreeMap<Subject, Index>,
}

/// Logs by writer and epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LogStore {
    tracks: BTreeMap<LogId, Track>,
    live: usize,
    /// Those of them that are of use for a time only.
    expiring: usize,
    sum: u64,
}

/// A log's part of the sum by which two books are compared.
fn part(log: LogId, through: Index) -> u64 {
    let mut x = log.writer.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ log.epoch.rotate_left(31);
    for by in [through, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30) ^ by).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
    }
    x
}

impl LogStore {
    /// Adds the next entry of a log that is written here.
    pub fn append(
        &mut self,
        log: LogId,
        (subject, at, revoked): (Subject, Micros, bool),
        capacity: Capacity,
    ) -> Result<Entry, CapacityExceeded> {
        let prev = self.tracks.get(&log).and_then(|t| t.live.keys().next_back().copied()).unwrap_or(0);
        let entry = Entry { log, index: self.last_index(log) + 1, prev, subject, at, revoked };
        // A log of one's own is always had in full.
        match self.take(&entry, Capacity { logs: usize::MAX, ..capacity }) {
            Insertion::New => Ok(entry),
            _ => Err(CapacityExceeded),
        }
    }

    /// Takes an entry in, if it is the next one of its log.
    pub fn take(&mut self, entry: &Entry, capacity: Capacity) -> Insertion {
        let have = self.last_index(entry.log);
        if entry.index <= have {
            return Insertion::Known;
        }
        if entry.prev > have {
            return Insertion::OutOfOrder;
        }
        let known = self.tracks.get(&entry.log);
        let replaces = known.is_some_and(|t| t.last.contains_key(&entry.subject));
        let full = match entry.subject.is_expiring() {
            true => self.expiring >= capacity.expiring,
            false => self.live - self.expiring >= capacity.entries,
        };
        if known.is_none() && self.tracks.len() >= capacity.logs || !replaces && full {
            return Insertion::Rejected(CapacityExceeded);
        }
        let expiring = usize::from(entry.subject.is_expiring());
        let track = self.tracks.entry(entry.log).or_default();
        if track.through > 0 {
            self.sum = self.sum.wrapping_sub(part(entry.log, track.through));
        }
        self.sum = self.sum.wrapping_add(part(entry.log, entry.index));
        track.through = entry.index;
        if let Some(old) = track.last.insert(entry.subject.clone(), entry.index) {
            track.live.remove(&old);
            self.live -= 1;
            self.expiring -= expiring;
        }
        track.live.insert(entry.index, (entry.subject.clone(), entry.at, entry.revoked));
        self.live += 1;
        self.expiring += expiring;
        Insertion::New
    }

    /// Lets go what was said `keep` or longer ago and is of use for a time only. The last entry of a log stays, whatever
    /// it is: it is what others learn from how far the log goes.
    ///
    /// That a status is gone is kept twice as long, as long as any proxy may have the status still.
    pub fn expire(&mut self, now: Micros, keep: Micros) -> Vec<Entry> {
        let mut over = Vec::new();
        for (log, track) in &mut self.tracks {
            let last = track.live.keys().next_back().copied();
            let is_over = |index: &Index, (subject, at, _): &(Subject, Micros, bool)| {
                let keep = if matches!(subject, Subject::Gone { .. }) { 2 * keep } else { keep };
                subject.is_expiring() && at + keep <= now && Some(*index) != last
            };
            let gone: Vec<Index> = track
                .live
                .iter()
                .filter(|(index, said)| is_over(index, said))
                .map(|(index, _)| *index)
                .collect();
            for index in gone {
                if let Some((subject, at, revoked)) = track.live.remove(&index) {
                    track.last.remove(&subject);
                    over.push(Entry { log: *log, index, prev: 0, subject, at, revoked });
                }
            }
        }
        self.live -= over.len();
        self.expiring -= over.len();
        over
    }

    /// The status of a trigger, if all of its pieces are had and no neighbour has done with it. Whether they are all is for
    /// the text to tell, of which no part is whole.
    pub fn status(&self, writer: Writer, number: u64) -> Option<String> {
        if self.latest(&Subject::Gone { writer, number }).is_some() {
            return None;
        }
        let piece = |part| Subject::Status { number, part, text: String::new() };
        let epochs = self.tracks.range(LogId::new(writer, 0)..=LogId::new(writer, Epoch::MAX)).rev();
        let mut texts = epochs.map(|(_, track)| {
            let pieces = track.last.range(piece(0)..).map(|(subject, _)| subject);
            let pieces = pieces
                .take_while(|subject| matches!(subject, Subject::Status { number: n, .. } if *n == number));
            pieces.zip(0..).map_while(|(subject, index): (_, u16)| match subject {
                Subject::Status { part, text, .. } if *part == index => Some(text.as_str()),
                _ => None,
            })
        });
        texts.find_map(|pieces| Some(pieces.collect::<String>()).filter(|text| !text.is_empty()))
    }

    /// The triggers of which a status, or a part of one, is had.
    pub fn triggers(&self) -> std::collections::BTreeSet<(Writer, u64)> {
        let of = |(log, track): (&LogId, &Track)| -> Vec<(Writer, u64)> {
            let number = |subject: &Subject| match subject {
                Subject::Status { number, .. } => Some((log.writer, *number)),
                _ => None,
            };
            track.last.keys().filter_map(number).collect()
        };
        self.tracks.iter().flat_map(of).collect()
    }

    /// Up to which index a log is had; 0: not at all.
    pub fn last_index(&self, log: LogId) -> Index {
        self.tracks.get(&log).map_or(0, |t| t.through)
    }

    /// All logs and how far they are had.
    pub fn last_indexes(&self) -> Vec<(LogId, Index)> {
        self.tracks.iter().map(|(log, t)| (*log, t.through)).collect()
    }

    /// How many logs there are.
    pub fn logs(&self) -> usize {
        self.tracks.len()
    }

    /// A sum over all logs and their ends: equal books have equal ones, and others hardly ever.
    pub fn checksum(&self) -> u64 {
        self.sum
    }

    /// Entries in force of a log behind an index, in order.
    pub fn entries_after(&self, log: LogId, index: Index) -> impl Iterator<Item = Entry> + '_ {
        let track = self.tracks.get(&log);
        let before = track.and_then(|t| t.live.range(..=index).next_back()).map_or(0, |(index, _)| *index);
        let live = track.into_iter().flat_map(move |t| t.live.range(index.saturating_add(1)..));
        live.scan(before, move |prev, (index, (subject, at, revoked))| {
            let entry = Entry {
                log,
                index: *index,
                prev: *prev,
                subject: subject.clone(),
                at: *at,
                revoked: *revoked,
            };
            *prev = *index;
            Some(entry)
        })
    }

    /// When something was last purged, by whoever's log.
    pub fn latest(&self, subject: &Subject) -> Option<Micros> {
        let of = |t: &Track| t.last.get(subject).and_then(|index| t.live.get(index)).map(|(_, at, _)| *at);
        self.tracks.values().filter_map(of).max()
    }

    /// What the operators of a writer decided, by its latest message on each, of all its epochs: whether it is revoked.
    pub fn decisions(&self, writer: Writer) -> BTreeMap<Subject, bool> {
        let mut latest = BTreeMap::<Subject, (Epoch, Index, bool)>::new();
        for log in self.tracks.keys().filter(|log| log.writer == writer) {
            for e in
                self.entries_after(*log, 0).filter(|e| matches!(e.subject, Subject::Ban(_) | Subject::Drain))
            {
                // A later epoch's message counts, also where the clock was set back between the two.
                let message = (e.log.epoch, e.index, e.revoked);
                let known = latest.entry(e.subject).or_insert(message);
                *known = message.max(*known);
            }
        }
        latest.into_iter().map(|(subject, (.., revoked))| (subject, revoked)).collect()
    }

    /// All entries in force, log by log.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.tracks.keys().flat_map(|log| self.entries_after(*log, 0))
    }

    /// How many entries are in force.
    pub fn len(&self) -> usize {
        self.live
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.live == 0
    }
}
