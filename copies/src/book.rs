//! The logs that a proxy has: each without holes up to some place, less what later entries superseded.

use crate::{Entry, Life, Log, Micros, Seq, What, Writer};
use std::collections::BTreeMap;

/// What a book has room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Entries that hold for good.
    pub entries: usize,
    /// Entries that are of use for a time only: they must not take the room of the others.
    pub passing: usize,
    /// Logs.
    pub logs: usize,
}

impl Room {
    /// For whatever comes.
    pub const ENOUGH: Room = Room { entries: usize::MAX, passing: usize::MAX, logs: usize::MAX };
}

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
    /// Others before it are missing.
    Early,
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
    /// Those of them that are of use for a time only.
    passing: usize,
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
        room: Room,
    ) -> Result<Entry, Full> {
        let prev = self.tracks.get(&log).and_then(|t| t.live.keys().next_back().copied()).unwrap_or(0);
        let entry = Entry { log, seq: self.end(log) + 1, prev, what, at, lifted };
        // A log of one's own is always had in full.
        match self.take(&entry, Room { logs: usize::MAX, ..room }) {
            Taken::New => Ok(entry),
            _ => Err(Full),
        }
    }

    /// Takes an entry in, if it is the next one of its log.
    pub fn take(&mut self, entry: &Entry, room: Room) -> Taken {
        let have = self.end(entry.log);
        if entry.seq <= have {
            return Taken::Known;
        }
        if entry.prev > have {
            return Taken::Early;
        }
        let known = self.tracks.get(&entry.log);
        let replaces = known.is_some_and(|t| t.last.contains_key(&entry.what));
        let full = match entry.what.is_passing() {
            true => self.passing >= room.passing,
            false => self.live - self.passing >= room.entries,
        };
        if known.is_none() && self.tracks.len() >= room.logs || !replaces && full {
            return Taken::Refused(Full);
        }
        let passing = usize::from(entry.what.is_passing());
        let track = self.tracks.entry(entry.log).or_default();
        if track.through > 0 {
            self.sum = self.sum.wrapping_sub(part(entry.log, track.through));
        }
        self.sum = self.sum.wrapping_add(part(entry.log, entry.seq));
        track.through = entry.seq;
        if let Some(old) = track.last.insert(entry.what.clone(), entry.seq) {
            track.live.remove(&old);
            self.live -= 1;
            self.passing -= passing;
        }
        track.live.insert(entry.seq, (entry.what.clone(), entry.at, entry.lifted));
        self.live += 1;
        self.passing += passing;
        Taken::New
    }

    /// Lets go what was said `keep` or longer ago and is of use for a time only. The last entry of a log stays, whatever
    /// it is: it is what others learn from how far the log goes.
    ///
    /// That a status is gone is kept twice as long, as long as any proxy may have the status still.
    pub fn expire(&mut self, now: Micros, keep: Micros) -> Vec<Entry> {
        let mut over = Vec::new();
        for (log, track) in &mut self.tracks {
            let last = track.live.keys().next_back().copied();
            let is_over = |seq: &Seq, (what, at, _): &(What, Micros, bool)| {
                let keep = if matches!(what, What::Gone { .. }) { 2 * keep } else { keep };
                what.is_passing() && at + keep <= now && Some(*seq) != last
            };
            let gone: Vec<Seq> =
                track.live.iter().filter(|(seq, said)| is_over(seq, said)).map(|(seq, _)| *seq).collect();
            for seq in gone {
                if let Some((what, at, lifted)) = track.live.remove(&seq) {
                    track.last.remove(&what);
                    over.push(Entry { log: *log, seq, prev: 0, what, at, lifted });
                }
            }
        }
        self.live -= over.len();
        self.passing -= over.len();
        over
    }

    /// The status of a trigger, if all of its pieces are had and no neighbour has done with it. Whether they are all is for
    /// the text to tell, of which no part is whole.
    pub fn status(&self, writer: Writer, number: u64) -> Option<String> {
        if self.latest(&What::Gone { writer, number }).is_some() {
            return None;
        }
        let piece = |part| What::Status { number, part, text: String::new() };
        let lives = self.tracks.range((writer, 0)..=(writer, Life::MAX)).rev();
        let mut texts = lives.map(|(_, track)| {
            let pieces = track.last.range(piece(0)..).map(|(what, _)| what);
            let pieces =
                pieces.take_while(|what| matches!(what, What::Status { number: n, .. } if *n == number));
            pieces.zip(0..).map_while(|(what, place): (_, u16)| match what {
                What::Status { part, text, .. } if *part == place => Some(text.as_str()),
                _ => None,
            })
        });
        texts.find_map(|pieces| Some(pieces.collect::<String>()).filter(|text| !text.is_empty()))
    }

    /// The triggers of which a status, or a part of one, is had.
    pub fn triggers(&self) -> std::collections::BTreeSet<(Writer, u64)> {
        let of = |(log, track): (&Log, &Track)| -> Vec<(Writer, u64)> {
            let number = |what: &What| match what {
                What::Status { number, .. } => Some((log.0, *number)),
                _ => None,
            };
            track.last.keys().filter_map(number).collect()
        };
        self.tracks.iter().flat_map(of).collect()
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
