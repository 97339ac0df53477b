//! What one proxy was told and all must keep: purges by neighbours, as logs that are copied from proxy to proxy.
//!
//! Sans-IO. Each proxy is the only writer of its own log, so nothing has to be agreed on: an entry is named by writer,
//! life and sequence and never changes. Proxies tell each other how far they have each log, and whoever has more
//! sends what is missing, its own entries and those of others alike. So an entry reaches a proxy that was away, that
//! is cut off from the writer alone, or whose disk is lost, by way of any other that has it.
//!
//! A life is one run of a log. A proxy that starts with its disk goes on with its life; one that lost it begins a new
//! one, and the entries of its old life come back from the others as any entry does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod book;
mod wire;

pub use book::{Book, Full, Taken};
pub use wire::{Datagram, Unreadable, MOST};

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

/// What a purge is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum What {
    /// An object.
    Object(String),
    /// All objects of a group.
    Group(u64),
}

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its log.
    pub log: Log,
    /// Its place there.
    pub seq: Seq,
    /// The place of the entry before it that is still in force, or 0: all between the two were superseded.
    pub prev: Seq,
    /// What was purged.
    pub what: What,
    /// When.
    pub at: Micros,
}

/// Bounds and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Entries of all logs together.
    pub entries: usize,
    /// Logs: writers by their lives.
    pub logs: usize,
    /// How often a peer is told how far the logs are had here.
    pub period_us: Micros,
    /// Entries sent in answer to one word of a peer that has less.
    pub batch: usize,
    /// Entries sent in one period, to all: copying must leave the loop to requests.
    pub per_period: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { entries: 20_000, logs: 1_024, period_us: 500_000, batch: 64, per_period: 512 }
    }
}

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
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
}

/// The logs that one proxy has, and what it tells its peers.
#[derive(Clone, Debug)]
pub struct Copies {
    own: Log,
    book: Book,
    options: Options,
    random: u64,
    due: Micros,
    /// Entries that may still be sent in this period.
    allowance: usize,
    /// The log with which the next word begins, where they don't fit into one.
    next: Option<Log>,
    tally: Tally,
}

impl Copies {
    /// The logs of a proxy: its own goes on in this life, behind what `book` holds of it.
    pub fn new(own: Log, book: Book, seed: u64, options: Options) -> Self {
        let random = seed ^ own.0.rotate_left(17) ^ own.1 | 1;
        Copies {
            own,
            book,
            options,
            random,
            due: 0,
            allowance: options.per_period,
            next: None,
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

    /// A new entry of its own log. It is for the caller to put it on the disk and to send it to all peers at once;
    /// those whom that misses get it later.
    pub fn add(&mut self, what: What, at: Micros) -> Result<Entry, Full> {
        self.book.append(self.own, what, at, self.options.entries)
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Once a period: what to tell which peer, by its place among so many.
    pub fn tick(&mut self, now: Micros, peers: usize) -> Vec<(usize, Datagram)> {
        if now < self.due {
            return Vec::new();
        }
        // Spread by up to a quarter, so that the words of many proxies do not fall together.
        self.due = now + self.options.period_us + self.draw() % (self.options.period_us / 4).max(1);
        self.allowance = self.options.per_period;
        if peers == 0 {
            return Vec::new();
        }
        let peer = (self.draw() % peers as u64) as usize;
        vec![(peer, self.word())]
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
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

    /// Takes in what a peer says.
    pub fn hear(&mut self, datagram: Datagram) -> Heard {
        match datagram {
            Datagram::Entry(entry) => self.take(entry),
            Datagram::Want { ends } => self.compare(&ends).0,
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
                    lacks.into_iter().for_each(|log| self.send(log, 0, &mut heard.replies));
                } else if settled {
                    // What it named of its many is the same here: the difference is elsewhere.
                    heard.replies.push(Datagram::Want { ends: self.some_ends() });
                }
                heard
            }
        }
    }

    fn take(&mut self, entry: Entry) -> Heard {
        let mut heard = Heard::default();
        let log = entry.log;
        match self.book.take(&entry, self.options.entries, self.options.logs) {
            Taken::New => {
                self.tally.learned += 1;
                heard.new.push(entry);
            }
            Taken::Known => self.tally.known += 1,
            Taken::Early { have } => {
                self.tally.early += 1;
                heard.early.push(entry);
                heard.replies.push(Datagram::Want { ends: vec![(log, have)] });
            }
            Taken::Refused(Full) => {
                self.tally.refused += 1;
                heard.refused.push(entry);
            }
        }
        heard
    }

    /// Sends what a peer lacks and asks for what it has more of; true where there was nothing of either.
    fn compare(&mut self, ends: &[(Log, Seq)]) -> (Heard, bool) {
        let mut heard = Heard::default();
        let mut wanted = Vec::new();
        for (log, theirs) in ends {
            let ours = self.book.end(*log);
            if ours > *theirs {
                self.send(*log, *theirs, &mut heard.replies);
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

    /// Entries of a log behind a place, as many as this period leaves.
    fn send(&mut self, log: Log, place: Seq, replies: &mut Vec<Datagram>) {
        let room = self.options.batch.min(self.allowance);
        let before = replies.len();
        replies.extend(self.book.behind(log, place).take(room).map(Datagram::Entry));
        let sent = replies.len() - before;
        self.allowance -= sent;
        self.tally.sent += sent as u64;
    }
}
