//! The logs that a proxy has: each without holes up to some place, less what later entries superseded.

use crate::{Entry, Life, Log, Micros, Seq, What, Writer};
use std::collections::BTreeMap;

/// There is no room for one more entry or log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl std::fmt::Display for Full {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("there is no room for one more entry")
    }
}

impl std::error::Error for Full {}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It was the next one.
    New,
    /// It was there, or superseded.
    Known,
    /// Others before it are missing: the log is had up to this place.
    Early {
        /// The place.
        have: Seq,
    },
    /// There was no room.
    Refused(Full),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Track {
    /// All entries up to here are had, or were superseded.
    through: Seq,
    /// Those in force.
    live: BTreeMap<Seq, (What, Micros, bool)>,
    /// Where the entry in force of each purge stands.
    last: BTreeMap<What, Seq>,
}

/// Logs by writer and life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Book {
    tracks: BTreeMap<Log, Track>,
    live: usize,
    sum: u64,
}

/// A log's part of the sum by which two books are compared.
fn part(log: Log, through: Seq) -> u64 {
    let mut x = log.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ log.1.rotate_left(31);
    for by in [through, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30) ^ by).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
    }
    x
}

impl Book {
    /// Adds the next entry of a log that is written here.
    pub fn append(
        &mut self,
        log: Log,
        (what, at, lifted): (What, Micros, bool),
        most: usize,
    ) -> Result<Entry, Full> {
        let prev = self.tracks.get(&log).and_then(|t| t.live.keys().next_back().copied()).unwrap_or(0);
        let entry = Entry { log, seq: self.end(log) + 1, prev, what, at, lifted };
        // A log of one's own is always had in full.
        match self.take(&entry, most, usize::MAX) {
            Taken::New => Ok(entry),
            _ => Err(Full),
        }
    }

    /// Takes an entry in, if it is the next one of its log.
    pub fn take(&mut self, entry: &Entry, entries: usize, logs: usize) -> Taken {
        let have = self.end(entry.log);
        if entry.seq <= have {
            return Taken::Known;
        }
        if entry.prev > have {
            return Taken::Early { have };
        }
        let known = self.tracks.get(&entry.log);
        let replaces = known.is_some_and(|t| t.last.contains_key(&entry.what));
        if known.is_none() && self.tracks.len() >= logs || !replaces && self.live >= entries {
            return Taken::Refused(Full);
        }
        let track = self.tracks.entry(entry.log).or_default();
        if track.through > 0 {
            self.sum = self.sum.wrapping_sub(part(entry.log, track.through));
        }
        self.sum = self.sum.wrapping_add(part(entry.log, entry.seq));
        track.through = entry.seq;
        if let Some(old) = track.last.insert(entry.what.clone(), entry.seq) {
            track.live.remove(&old);
            self.live -= 1;
        }
        track.live.insert(entry.seq, (entry.what.clone(), entry.at, entry.lifted));
        self.live += 1;
        Taken::New
    }

    /// Up to which place a log is had; 0: not at all.
    pub fn end(&self, log: Log) -> Seq {
        self.tracks.get(&log).map_or(0, |t| t.through)
    }

    /// All logs and how far they are had.
    pub fn ends(&self) -> Vec<(Log, Seq)> {
        self.tracks.iter().map(|(log, t)| (*log, t.through)).collect()
    }

    /// How many logs there are.
    pub fn logs(&self) -> usize {
        self.tracks.len()
    }

    /// A sum over all logs and their ends: equal books have equal ones, and others hardly ever.
    pub fn sum(&self) -> u64 {
        self.sum
    }

    /// Entries in force of a log behind a place, in order.
    pub fn behind(&self, log: Log, place: Seq) -> impl Iterator<Item = Entry> + '_ {
        let track = self.tracks.get(&log);
        let before = track.and_then(|t| t.live.range(..=place).next_back()).map_or(0, |(seq, _)| *seq);
        let live = track.into_iter().flat_map(move |t| t.live.range(place.saturating_add(1)..));
        live.scan(before, move |prev, (seq, (what, at, lifted))| {
            let entry = Entry { log, seq: *seq, prev: *prev, what: what.clone(), at: *at, lifted: *lifted };
            *prev = *seq;
            Some(entry)
        })
    }

    /// When something was last purged, by whoever's log.
    pub fn latest(&self, what: &What) -> Option<Micros> {
        let of = |t: &Track| t.last.get(what).and_then(|seq| t.live.get(seq)).map(|(_, at, _)| *at);
        self.tracks.values().filter_map(of).max()
    }

    /// What the operators of a writer decided, by its latest word on each, of all its lives: whether it is lifted.
    pub fn decided(&self, writer: Writer) -> BTreeMap<What, bool> {
        let mut latest = BTreeMap::<What, (Life, Seq, bool)>::new();
        for log in self.tracks.keys().filter(|log| log.0 == writer) {
            for e in self.behind(*log, 0).filter(|e| matches!(e.what, What::Ban(_) | What::Drain)) {
                // A later life's word counts, also where the clock was set back between the two.
                let word = (e.log.1, e.seq, e.lifted);
                let known = latest.entry(e.what).or_insert(word);
                *known = word.max(*known);
            }
        }
        latest.into_iter().map(|(what, (.., lifted))| (what, lifted)).collect()
    }

    /// All entries in force, log by log.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        self.tracks.keys().flat_map(|log| self.behind(*log, 0))
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
