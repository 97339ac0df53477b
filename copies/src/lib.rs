//! What one proxy was told and all must keep: purges by neighbours and the status of their triggers, and what
//! operators decided, as logs that are copied from proxy to proxy.
//!
//! Sans-IO. Each proxy is the only writer of its own log, so nothing has to be agreed on: an entry is named by writer,
//! life and sequence and never changes. Proxies tell each other how far they have each log, and whoever has more
//! sends what is missing, its own entries and those of others alike. So an entry reaches a proxy that was away, that
//! is cut off from the writer alone, or whose disk is lost, by way of any other that has it.
//!
//! A life is one run of a log. A proxy that starts with its disk goes on with its life; one that lost it begins a new
//! one, and the entries of its old life come back from the others as any entry does.
//!
//! What a proxy promised must outlive its machine. So it is told by its disk and by its peers what each has for good,
//! and says which promises may be given (`promise`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ahead;
mod book;
mod promise;
mod recovery;
mod status;
mod wire;

use ahead::Ahead;
use linnetknot_words::Random;
use promise::{Promises, Unkept};
use std::collections::BTreeMap;

pub use book::{Book, Full, Room, Taken};
pub use linnetknot_words::{Unreadable, MOST};
pub use promise::{Machine, Promise, Settled, Why};
pub use recovery::Recovery;
pub use status::pieces;
pub use wire::Datagram;

/// Time or duration in microseconds, Unix time where it is a time of day.
pub type Micros = u64;
/// A writer: a hash of the proxy's name.
pub type Writer = u64;
/// A life of a writer's log: the time of its beginning.
pub type Life = u64;
/// Place in a log, from 1.
pub type Seq = u64;
/// A log.
pub type Log = (Writer, Life);

/// What an entry is about: what was purged, what the operators of its writer decided, or a trigger's status.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum What {
    /// An object.
    Object(String),
    /// All objects of a group.
    Group(u64),
    /// An operator's ban of a pop cache, by its id.
    Ban(String),
    /// An operator's drain of the proxy.
    Drain,
    /// One of the pieces, from 0, into which the status of a trigger is cut (`pieces`). It never changes.
    Status {
        /// The trigger's number, its writer's alone.
        number: u64,
        /// Which piece.
        part: u16,
        /// Its text.
        text: String,
    },
    /// A neighbour has done with the status of a trigger, which another proxy may have written.
    Gone {
        /// Whose trigger it was.
        writer: Writer,
        /// Its number there.
        number: u64,
    },
}

impl What {
    /// Whether an entry of this is of use for a time only, and gone after it.
    pub fn is_passing(&self) -> bool {
        matches!(self, What::Status { .. } | What::Gone { .. })
    }
}

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Its log.
    pub log: Log,
    /// Its place there.
    pub seq: Seq,
    /// The place of the entry before it that is still in force, or 0: all between the two were superseded.
    pub prev: Seq,
    /// What it is about.
    pub what: What,
    /// When.
    pub at: Micros,
    /// What the operators decided is over; a purge never is.
    pub lifted: bool,
}

/// Bounds and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Entries of all logs together that hold for good.
    pub entries: usize,
    /// Those of the status of triggers, besides.
    pub passing: usize,
    /// These are of use for so long.
    pub passing_us: Micros,
    /// Logs: writers by their lives.
    pub logs: usize,
    /// How often a peer is told how far the logs are had here.
    pub period_us: Micros,
    /// Entries sent in answer to one word of a peer that has less.
    pub batch: usize,
    /// Entries sent in one period, to all: copying must leave the loop to requests.
    pub per_period: usize,
    /// Entries that came early, kept until those before them come.
    pub ahead: usize,
    /// What stands before those is asked for after this.
    pub gap_us: Micros,
    /// Further machines that must have a promise on their disks before it is given.
    pub wait: usize,
    /// Further machines that are to have each entry in the end.
    pub holders: usize,
    /// A promise that can't be given within this is refused.
    pub within_us: Micros,
    /// Peers are asked so often what they have, while a promise waits for them.
    pub ask_us: Micros,
    /// Promises that may wait at a time.
    pub promises: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            entries: 20_000,
            passing: 20_000,
            passing_us: 3_600_000_000,
            logs: 1_024,
            period_us: 500_000,
            batch: 256,
            per_period: 512,
            ahead: 1_024,
            gap_us: 10_000,
            wait: 1,
            holders: 2,
            within_us: 1_000_000,
            ask_us: 50_000,
            promises: 1_024,
        }
    }
}

/// Logs of which what is missing is asked for at a time, and datagrams that name it of one.
const LACKING: usize = 8;

/// What is missing is asked for so often in haste, while nothing comes of it.
const IN_VAIN: u32 = 16;

/// What came of a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Entries that were not known here, to be put in force and on the disk.
    pub new: Vec<Entry>,
    /// Entries before which others are missing: to be put in force, as a floor does not wait for those before it. They
    /// come again.
    pub early: Vec<Entry>,
    /// What the sender is to be told.
    pub replies: Vec<Datagram>,
    /// An entry that there was no room for. It is asked for again; in force it must be all the same.
    pub refused: Vec<Entry>,
}

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    /// Entries sent to peers.
    pub sent: u64,
    /// Entries that were new here.
    pub learned: u64,
    /// Entries that were known.
    pub known: u64,
    /// Entries that came before ones that are missing still.
    pub early: u64,
    /// Entries for which there was no room.
    pub refused: u64,
    /// Promises given.
    pub promised: u64,
    /// Promises refused.
    pub denied: u64,
}

/// The logs that one proxy has, and what it tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Copies {
    own: Log,
    /// This process among those of its name.
    begun: u64,
    book: Book,
    ahead: Ahead,
    /// Who sent the last of them.
    ahead_from: usize,
    /// When peers are asked for what stands before those, and how often they were since anything came of it.
    lacks: Option<(Micros, u32)>,
    options: Options,
    random: Random,
    due: Micros,
    /// Entries that may still be sent in this period.
    allowance: usize,
    /// The log with which the next word begins, where they don't fit into one.
    next: Option<Log>,
    /// What is not on this proxy's disk.
    unkept: Unkept,
    /// Peers that are to be told once it is, by log, up to the place that they sent.
    owed: BTreeMap<(Log, usize), Seq>,
    promises: Promises,
    /// When peers are asked again what they have.
    ask: Micros,
    tally: Tally,
}

impl Copies {
    /// The logs of a proxy: its own goes on in this life, behind what `book` holds of it. `begun` grows with each process
    /// of this name, and seeds what it draws.
    pub fn new(own: Log, book: Book, begun: u64, options: Options) -> Self {
        let random = Random::new(begun ^ own.0.rotate_left(17) ^ own.1);
        Copies {
            own,
            begun,
            book,
            ahead: Ahead::default(),
            ahead_from: 0,
            lacks: None,
            options,
            random,
            due: 0,
            allowance: options.per_period,
            next: None,
            unkept: Unkept::default(),
            owed: BTreeMap::new(),
            promises: Promises::default(),
            ask: 0,
            tally: Tally::default(),
        }
    }

    /// Its own log.
    pub fn own(&self) -> Log {
        self.own
    }

    /// What it has.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Counts so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Whose machine is which: this proxy's own and those of its peers, by whose places in this list they are known
    /// from here on.
    pub fn peers(&mut self, own: Machine, peers: Vec<Machine>) {
        self.promises.peers(own, peers);
        self.owed.clear();
    }

    /// A new entry of its own log. It is for the caller to put it on the disk and to send it to all peers at once;
    /// those whom that misses get it later.
    pub fn say(&mut self, what: What, at: Micros, lifted: bool) -> Result<Entry, Full> {
        let entry = self.book.append(self.own, (what, at, lifted), self.room())?;
        self.unkept.add(entry.log, entry.seq);
        Ok(entry)
    }

    fn room(&self) -> Room {
        let Options { entries, passing, logs, .. } = self.options;
        Room { entries, passing, logs }
    }

    /// Lets entries go whose time is over, to be taken off the disk, too.
    pub fn expire(&mut self, now: Micros) -> Vec<Entry> {
        self.book.expire(now, self.options.passing_us)
    }

    /// When `tick` or `settle` has something to do.
    pub fn due(&self) -> Micros {
        let waits = self.promises.until(self.options.within_us).map(|until| until.min(self.ask));
        let lacks = (!self.ahead.is_empty()).then_some(self.lacks.map_or(0, |(at, _)| at));
        [waits, lacks].into_iter().flatten().fold(self.due, Micros::min)
    }

    /// Once a period: what to tell which peer, by its place. While a promise waits, those that it may wait for are
    /// asked more often.
    pub fn tick(&mut self, now: Micros) -> Vec<(usize, Datagram)> {
        let mut told = Vec::new();
        let peers = self.promises.count();
        self.ask_for_lacking(now, &mut told);
        let (is_waiting, is_due) = (self.promises.is_waiting(), now >= self.due);
        if is_due {
            // Spread by up to a quarter, so that the words of many proxies do not fall together.
            self.due = now + self.options.period_us + self.random.below(self.options.period_us / 4);
            self.allowance = self.options.per_period;
            if peers > 0 {
                let peer = self.random.below(peers as u64) as usize;
                told.push((peer, self.word()));
            }
        } else if !is_waiting || now < self.ask {
            return told;
        }
        self.ask = now + self.options.ask_us;
        self.ask_holders(&mut told);
        told
    }

    /// Asks a peer for what stands before entries that came early; any may have it.
    fn ask_for_lacking(&mut self, now: Micros, told: &mut Vec<(usize, Datagram)>) {
        let peers = self.promises.count() as u64;
        if self.ahead.is_empty() || peers == 0 {
            self.lacks = None;
            return;
        }
        // Most of what is missing at first was overtaken on its way, and comes by itself.
        let (at, asked) = *self.lacks.get_or_insert((now + self.options.gap_us, 0));
        if now < at {
            return;
        }
        // What nobody has any more, as its writer was lost with it, is asked for as seldom as all else.
        let wait = if asked < IN_VAIN { self.options.ask_us } else { self.options.period_us };
        self.lacks = Some((now + wait, asked + 1));
        // Who sent what is behind it has it mostly; any other may, should that one's link be cut.
        let drawn = self.random.below(2 * peers) as usize;
        let peer = if drawn < peers as usize { drawn } else { self.ahead_from };
        for log in self.ahead.logs().take(LACKING) {
            let gaps = self.ahead.gaps(log, self.book.end(log));
            let words = gaps.chunks(wire::MOST_GAPS).take(LACKING);
            told.extend(words.map(|gaps| (peer, Datagram::Lack { log, gaps: gaps.to_vec() })));
        }
    }

    /// Sends the last entry of each of its own lives to those peers that are not known to have it on their disks:
    /// whoever has it says so again, and whoever lacks entries before it asks for them.
    fn ask_holders(&mut self, told: &mut Vec<(usize, Datagram)>) {
        let own = self.own.0;
        let lives = self.book.ends().into_iter().filter(|((writer, _), _)| *writer == own);
        for (log, end) in lives.collect::<Vec<_>>() {
            let Some(last) = self.book.behind(log, end - 1).next() else { continue };
            for peer in (0..self.promises.count()).filter(|peer| self.promises.of(*peer, log.1) < end) {
                if self.allowance == 0 {
                    return;
                }
                self.allowance -= 1;
                told.push((peer, Datagram::Entry(last.clone())));
            }
        }
    }

    // ---- Promises ----

    /// The answer to whoever told what stands in this life's log up to a place is to wait until it is kept, or can't be.
    /// Places never go down from one promise to the next.
    pub fn promise(&mut self, now: Micros, place: Seq) -> Result<Promise, Why> {
        if !self.promises.is_waiting() {
            // Peers were sent the entry just now: they are asked again only after a while.
            self.ask = now + self.options.ask_us;
        }
        let opened = self.promises.open(now, place, self.options.promises);
        self.tally.denied += u64::from(opened.is_err());
        opened
    }

    /// Promises that are kept, and those that can't be.
    pub fn settle(&mut self, now: Micros) -> Vec<Settled> {
        let mark = self.mark(self.own);
        let (wait, within) = (self.options.wait, self.options.within_us);
        let settled = self.promises.settle(now, self.own, (mark, &self.unkept), (wait, within));
        let kept = settled.iter().filter(|s| s.kept.is_ok()).count() as u64;
        self.tally.promised += kept;
        self.tally.denied += settled.len() as u64 - kept;
        settled
    }

    /// Up to which place all that is in force of a log is on this proxy's disk.
    pub fn mark(&self, log: Log) -> Seq {
        self.unkept.through(log, self.book.end(log))
    }

    /// Whether all that the book has is on the disk.
    pub fn is_kept(&self) -> bool {
        self.unkept.is_empty()
    }

    /// An entry is on the disk: which peers are to be told so.
    pub fn kept(&mut self, log: Log, seq: Seq) -> Vec<(usize, Datagram)> {
        self.unkept.kept(log, seq);
        let mark = self.mark(log);
        let due = self.owed.range((log, 0)..=(log, usize::MAX)).filter(|(_, place)| **place <= mark);
        let peers: Vec<usize> = due.map(|((_, peer), _)| *peer).collect();
        let tell = |peer| {
            self.owed.remove(&(log, peer));
            (peer, Datagram::Held { begun: self.begun, ends: vec![(log, mark)] })
        };
        peers.into_iter().map(tell).collect()
    }

    /// The disk did not take an entry. It is in force, and is given again by `again`.
    pub fn failed(&mut self, log: Log, seq: Seq) {
        self.unkept.failed(log, seq);
    }

    /// Entries to be put on the disk again. One that was superseded meanwhile need not be there once all behind it are,
    /// the one in its place among them.
    pub fn again(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (log, seq) in self.unkept.again() {
            match self.book.behind(log, seq - 1).next().filter(|entry| entry.seq == seq) {
                Some(entry) => entries.push(entry),
                None if self.unkept.is_last(log, seq) => self.unkept.kept(log, seq),
                None => self.unkept.failed(log, seq),
            }
        }
        entries
    }

    /// Entries of its own logs that fewer further machines are known to have than are to.
    pub fn short(&self) -> usize {
        let lives = self.book.ends().into_iter().filter(|((writer, _), _)| *writer == self.own.0);
        let short = |(log, _): (Log, Seq)| {
            self.book.behind(log, self.promises.through(log.1, self.options.holders)).count()
        };
        lives.map(short).sum()
    }

    /// How far a peer is known to have the log of this life on its disk.
    pub fn held_by(&self, peer: usize) -> Seq {
        self.promises.of(peer, self.own.1)
    }

    /// How far it has its logs. One without any says so too, as that is how it gets them.
    fn word(&mut self) -> Datagram {
        let (all, sum) = (self.book.logs() as u64, self.book.sum());
        Datagram::Have { ends: self.some_ends(), all, sum }
    }

    /// As many logs as fit into a datagram, a different part each time.
    fn some_ends(&mut self) -> Vec<(Log, Seq)> {
        let all = self.book.ends();
        let from = self.next.and_then(|next| all.iter().position(|(log, _)| *log >= next)).unwrap_or(0);
        let some: Vec<_> =
            all.iter().cycle().skip(from).take(all.len().min(wire::MOST_ENDS)).copied().collect();
        self.next = all.get((from + some.len()) % all.len().max(1)).map(|(log, _)| *log);
        some
    }

    /// Takes in what a peer says, known by its place.
    pub fn hear(&mut self, from: usize, datagram: Datagram) -> Heard {
        match datagram {
            Datagram::Entry(entry) => self.take(from, entry),
            Datagram::Want { ends } => self.compare(&ends).0,
            Datagram::Lack { log, gaps } => {
                let mut heard = Heard::default();
                gaps.into_iter().for_each(|(behind, through)| {
                    self.send(log, (behind, through), &mut heard.replies);
                });
                heard
            }
            Datagram::Ask => Heard { replies: vec![self.word()], ..Heard::default() },
            Datagram::Held { begun, ends } => {
                // What others have of others' logs is for those to know.
                for ((writer, life), place) in ends {
                    if writer == self.own.0 {
                        self.promises.mark((from, begun), life, place);
                    }
                }
                Heard::default()
            }
            Datagram::Have { ends, all, sum } => {
                let (mut heard, settled) = self.compare(&ends);
                if sum == self.book.sum() {
                    return heard;
                }
                if ends.len() as u64 == all {
                    // Logs that the peer does not have at all.
                    let logs = self.book.ends().into_iter().map(|(log, _)| log);
                    let lacks: Vec<Log> =
                        logs.filter(|log| !ends.iter().any(|(named, _)| named == log)).collect();
                    lacks.into_iter().for_each(|log| self.send(log, (0, Seq::MAX), &mut heard.replies));
                } else if settled {
                    // What it named of its many is the same here: the difference is elsewhere.
                    heard.replies.push(Datagram::Want { ends: self.some_ends() });
                }
                heard
            }
        }
    }

    fn take(&mut self, from: usize, entry: Entry) -> Heard {
        let mut heard = Heard::default();
        let log = entry.log;
        self.take_one(from, entry, &mut heard);
        while let Some(next) = self.ahead.next(log, self.book.end(log)) {
            self.take_one(from, next, &mut heard);
        }
        heard
    }

    fn take_one(&mut self, from: usize, entry: Entry, heard: &mut Heard) {
        let (log, seq) = (entry.log, entry.seq);
        match self.book.take(&entry, self.room()) {
            Taken::New => {
                self.tally.learned += 1;
                self.is_filling();
                self.unkept.add(log, seq);
                self.owe(log, seq, from);
                heard.new.push(entry);
            }
            Taken::Known => {
                self.tally.known += 1;
                // Whoever sends what is known asks whether it is kept, too.
                let mark = self.mark(log);
                if mark >= seq {
                    heard.replies.push(Datagram::Held { begun: self.begun, ends: vec![(log, mark)] });
                } else {
                    self.owe(log, seq, from);
                }
            }
            Taken::Early => {
                self.tally.early += 1;
                if self.ahead.put(&entry, self.options.ahead) {
                    self.is_filling();
                }
                self.ahead_from = from;
                heard.early.push(entry);
            }
            Taken::Refused(Full) => {
                self.tally.refused += 1;
                heard.refused.push(entry);
            }
        }
    }

    /// Something that was not here has come: what is missing still is asked for as soon as at first.
    fn is_filling(&mut self) {
        self.lacks.iter_mut().for_each(|(_, asked)| *asked = 0);
    }

    /// A peer is to be told once this place is on the disk.
    fn owe(&mut self, log: Log, seq: Seq, peer: usize) {
        let place = self.owed.entry((log, peer)).or_insert(seq);
        *place = (*place).max(seq);
    }

    /// Sends what a peer lacks and asks for what it has more of; true where there was nothing of either.
    fn compare(&mut self, ends: &[(Log, Seq)]) -> (Heard, bool) {
        let mut heard = Heard::default();
        let mut wanted = Vec::new();
        for (log, theirs) in ends {
            let ours = self.book.end(*log);
            if ours > *theirs {
                self.send(*log, (*theirs, Seq::MAX), &mut heard.replies);
            } else if ours < *theirs {
                wanted.push((*log, ours));
            }
        }
        let settled = wanted.is_empty() && heard.replies.is_empty();
        if !wanted.is_empty() {
            heard.replies.push(Datagram::Want { ends: wanted });
        }
        (heard, settled)
    }

    /// Entries of a log behind a place and up to another, as many as this period leaves.
    fn send(&mut self, log: Log, (place, through): (Seq, Seq), replies: &mut Vec<Datagram>) {
        let room = self.options.batch.min(self.allowance);
        let before = replies.len();
        let entries = self.book.behind(log, place).take_while(|entry| entry.seq <= through);
        replies.extend(entries.take(room).map(Datagram::Entry));
        let sent = replies.len() - before;
        self.allowance -= sent;
        self.tally.sent += sent as u64;
    }
}
