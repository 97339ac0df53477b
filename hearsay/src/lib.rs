//! What the proxies of a fleet tell each other of a slow origin.
//!
//! A proxy among a hundred has one answer of the origin a second, so each would find out by itself, seconds late,
//! what the first of them saw at once. [`Word`] is what one tells in a datagram; [`Hearsay`] decides when to tell and
//! what to make of what is heard. The package is sans-IO: it has no sockets and no clock; time is the `now` of each
//! call.
//!
//! What holds, whatever is heard and in whatever order (checked by `tests/hearsay.rs`, the last by `tests/fleet.rs`):
//!
//! - What is heard can only lower the share of requests that may have the origin asked, never raise it, and says
//!   nothing of any box.
//! - Each zone has one voice, a silent one finds nothing: one zone of twelve, which may have its own trouble, lowers
//!   the share by a twelfth at most.
//! - A word counts for `FRESH_US` after it was heard, and heard twice it counts once. One that is older
//!   than what is known of its sender is dropped.
//! - Nothing heard is told on: a proxy speaks of its own answers only, so no rumour feeds itself.
//! - One proxy speaks once in `PAUSE_US` at most, and not at all while another of its zone has just done
//!   so: the datagrams of a trouble grow with the zones and the proxies, not with the square of the proxies.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod word;

pub use word::{Unusable, Word, LENGTH};

use linnetknot::{Micros, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A share above this is no trouble, and not told.
const TROUBLE: f64 = 0.7;
/// How long a word counts.
pub const FRESH_US: Micros = 1_000_000;
/// Least time between two words of one proxy.
pub const PAUSE_US: Micros = 500_000;

/// Where a proxy stands in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone, by its place in the list that all have.
    pub zone: u16,
    /// How many zones have proxies.
    pub zones: u16,
}

impl Place {
    /// As the settings have it.
    pub fn of(settings: &Settings) -> Self {
        let zones = settings.zones.iter().filter(|z| z.routers > 0).count();
        let short = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        Place { zone: short(settings.zone), zones: short(zones).max(1) }
    }
}

/// What was heard and told so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Words told, each to all.
    pub told: u64,
    /// Words not told because others had.
    pub spared: u64,
    /// Words taken in.
    pub heard: u64,
    /// Longer than a datagram between proxies may be.
    pub too_long: u64,
    /// Cut short or damaged.
    pub torn: u64,
    /// Of a version that is not known here.
    pub version: u64,
    /// Told before something that is known already, or the same once more.
    pub old: u64,
}

impl Tally {
    /// All that was dropped.
    pub fn dropped(&self) -> u64 {
        self.too_long + self.torn + self.version + self.old
    }
}

/// A peer's last word.
struct Last {
    start: Micros,
    number: u32,
    origin: f64,
    zone: u16,
    at: Micros,
}

/// What one proxy has heard from the others, and has told them.
pub struct Hearsay {
    place: Place,
    start: Micros,
    number: u32,
    told_at: Option<Micros>,
    /// By sender: peers only, so there are no more than are configured.
    last: BTreeMap<SocketAddr, Last>,
    tally: Tally,
}

impl Hearsay {
    /// Nothing heard yet. `start`: the Unix time at which this proxy started; it tells its words from those of the
    /// process before it at the same address.
    pub fn new(place: Place, start: Micros) -> Self {
        Hearsay { place, start, number: 0, told_at: None, last: BTreeMap::new(), tally: Tally::default() }
    }

    /// Takes in a peer's datagram. False: it is of another kind; else it was a word, whether or not it was of use.
    pub fn hear(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> bool {
        let word = match Word::read(bytes) {
            Ok(word) => word,
            Err(Unusable::Foreign) => return false,
            Err(e) => {
                *match e {
                    Unusable::TooLong => &mut self.tally.too_long,
                    Unusable::Version(_) => &mut self.tally.version,
                    _ => &mut self.tally.torn,
                } += 1;
                return true;
            }
        };
        let news = |last: &Last| (last.start, last.number) < (word.start, word.number);
        if self.last.get(&from).is_some_and(|last| !news(last)) {
            self.tally.old += 1;
            return true;
        }
        self.tally.heard += 1;
        let Word { start, number, origin, zone } = word;
        self.last.insert(from, Last { start, number, origin, zone, at: now });
        true
    }

    /// Who may be listened to from here on; what others have said is forgotten.
    pub fn keep(&mut self, is_peer: impl Fn(&SocketAddr) -> bool) {
        self.last.retain(|peer, _| is_peer(peer));
    }

    /// The share of requests that may have the origin asked at most, by what others find, and until when that holds:
    /// the mean over all zones, each by its last word. None: nothing is heard.
    pub fn origin(&self, now: Micros) -> Option<(f64, Micros)> {
        let mut zones: BTreeMap<u16, (Micros, f64)> = BTreeMap::new();
        for l in self.fresh(now) {
            let said = zones.entry(l.zone).or_insert((l.at, l.origin));
            if l.at > said.0 {
                *said = (l.at, l.origin);
            }
        }
        let until = zones.values().map(|s| s.0).max()? + FRESH_US;
        let missing: f64 = zones.values().map(|s| 1.0 - s.1).sum();
        // A sender may name a zone that there is not.
        Some(((1.0 - missing / f64::from(self.place.zones)).max(0.0), until))
    }

    /// An answer was late, and this proxy lets so many of its requests ask the origin: the datagram for all others,
    /// if they should know and have not been told from this zone just now.
    pub fn found(&mut self, now: Micros, origin: f64) -> Option<[u8; LENGTH]> {
        if origin > TROUBLE || self.told_at.is_some_and(|at| now < at + PAUSE_US) {
            return None;
        }
        let zone = self.place.zone;
        if self.fresh(now).any(|l| l.zone == zone && l.origin <= TROUBLE) {
            self.tally.spared += 1;
            return None;
        }
        self.told_at = Some(now);
        self.number += 1;
        self.tally.told += 1;
        Some(Word { start: self.start, number: self.number, origin, zone }.write())
    }

    /// What was heard and told so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = &Last> {
        self.last.values().filter(move |l| now < l.at + FRESH_US)
    }
}
