//! What the proxies of a fleet tell each other of a slow origin.
//!
//! A proxy among a hundred has one answer of the origin a second, so each would find out by itself, seconds late,
//! what the first of them saw at once. [`Report`] is what one tells in a datagram; [`OriginHealth`] decides when to tell and
//! what to make of what is received. The package is sans-IO: it has no sockets and no clock; time is the `now` of each
//! call.
//!
//! What holds, whatever is received and in whatever order (checked by `tests/reports.rs`, the last by `tests/fleet.rs`):
//!
//! - What is received can only lower the share of requests that may have the origin asked, never raise it, and says
//!   nothing of any box.
//! - Each zone counts by its last report, one that sends none finds nothing: one zone of twelve, which may have its own trouble, lowers
//!   the share by a twelfth at most.
//! - A report counts for `REPORT_LIFETIME_US` after it was received, and received twice it counts once. One that is older
//!   than what is known of its sender is dropped.
//! - Nothing received is sent on: a proxy speaks of its own answers only, so no report feeds itself.
//! - One proxy speaks once in `MIN_REPORT_INTERVAL_US` at most, and not at all while another of its zone has just done
//!   so: the datagrams of a trouble grow with the zones and the proxies, not with the square of the proxies.

mod report;

pub use report::{DecodeError, Report, REPORT_BYTES};

use linnetknot::{Micros, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A share above this is no trouble, and not sent.
const MAX_REPORTED_SHARE: f64 = 0.7;
/// How long a report counts.
pub const REPORT_LIFETIME_US: Micros = 1_000_000;
/// Least time between two reports of one proxy.
pub const MIN_REPORT_INTERVAL_US: Micros = 500_000;

/// Where a proxy stands in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePlace {
    /// Its zone, by its place in the list that all have.
    pub zone: u16,
    /// How many zones have proxies.
    pub zones: u16,
}

impl ZonePlace {
    /// As the settings have it.
    pub fn of(settings: &Settings) -> Self {
        let zones = settings.zones.iter().filter(|z| z.routers > 0).count();
        let short = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        ZonePlace {
            zone: short(settings.zone),
            zones: short(zones).max(1),
        }
    }
}

/// What was received and sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports sent, each to all.
    pub sent: u64,
    /// Reports not sent because others had.
    pub suppressed: u64,
    /// Reports taken in.
    pub received: u64,
    /// Longer than a datagram between proxies may be.
    pub too_long: u64,
    /// Cut short or damaged.
    pub torn: u64,
    /// Of a version that is not known here.
    pub version: u64,
    /// Told before something that is known already, or the same once more.
    pub old: u64,
}

impl Counters {
    /// All that was dropped.
    pub fn dropped(&self) -> u64 {
        self.too_long + self.torn + self.version + self.old
    }
}

/// A peer's last report.
#[derive(Clone, Debug)]
struct Last {
    start: Micros,
    number: u32,
    origin: f64,
    zone: u16,
    at: Micros,
}

/// What one proxy has received from the others, and has sent them.
#[derive(Clone, Debug)]
pub struct OriginHealth {
    place: ZonePlace,
    start: Micros,
    number: u32,
    sent_at: Option<Micros>,
    /// By sender: peers only, so there are no more than are configured.
    last: BTreeMap<SocketAddr, Last>,
    counters: Counters,
}

impl OriginHealth {
    /// Nothing received yet. `start`: the Unix time at which this proxy started; it tells its reports from those of the
    /// process before it at the same address.
    pub fn new(place: ZonePlace, start: Micros) -> Self {
        OriginHealth {
            place,
            start,
            number: 0,
            sent_at: None,
            last: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Takes in a peer's datagram. False: it is of another kind; else it was a report, whether or not it was of use.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> bool {
        let report = match Report::read(bytes) {
            Ok(report) => report,
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                *match e {
                    DecodeError::TooLong => &mut self.counters.too_long,
                    DecodeError::Version(_) => &mut self.counters.version,
                    _ => &mut self.counters.torn,
                } += 1;
                return true;
            }
        };
        // A sender whose clock was set back starts with an earlier time than its process before.
        let restarted =
            |last: &Last| last.start != report.start && now >= last.at + REPORT_LIFETIME_US;
        let news = |last: &Last| {
            (last.start, last.number) < (report.start, report.number) || restarted(last)
        };
        if self.last.get(&from).is_some_and(|last| !news(last)) {
            self.counters.old += 1;
            return true;
        }
        self.counters.received += 1;
        let Report {
            start,
            number,
            origin,
            zone,
        } = report;
        self.last.insert(
            from,
            Last {
                start,
                number,
                origin,
                zone,
                at: now,
            },
        );
        true
    }

    /// Who may be listened to from here on; what others have said is forgotten.
    pub fn retain_peers(&mut self, is_peer: impl Fn(&SocketAddr) -> bool) {
        self.last.retain(|peer, _| is_peer(peer));
    }

    /// The share of requests that may have the origin asked at most, by what others find, and until when that holds:
    /// the mean over all zones, each by its last report. None: nothing is received.
    pub fn origin_share(&self, now: Micros) -> Option<(f64, Micros)> {
        let mut zones: BTreeMap<u16, (Micros, f64)> = BTreeMap::new();
        for l in self.fresh(now) {
            let said = zones.entry(l.zone).or_insert((l.at, l.origin));
            if l.at > said.0 {
                *said = (l.at, l.origin);
            }
        }
        let until = zones.values().map(|s| s.0).max()? + REPORT_LIFETIME_US;
        let missing: f64 = zones.values().map(|s| 1.0 - s.1).sum();
        // A sender may name a zone that there is not.
        Some((
            (1.0 - missing / f64::from(self.place.zones)).max(0.0),
            until,
        ))
    }

    /// An answer was late, and this proxy lets so many of its requests ask the origin: the datagram for all others,
    /// if they should know and have not been sent from this zone just now.
    pub fn observe(&mut self, now: Micros, origin: f64) -> Option<[u8; REPORT_BYTES]> {
        if origin > MAX_REPORTED_SHARE
            || self
                .sent_at
                .is_some_and(|at| now < at + MIN_REPORT_INTERVAL_US)
        {
            return None;
        }
        let zone = self.place.zone;
        if self
            .fresh(now)
            .any(|l| l.zone == zone && l.origin <= MAX_REPORTED_SHARE)
        {
            self.counters.suppressed += 1;
            return None;
        }
        self.sent_at = Some(now);
        self.number += 1;
        self.counters.sent += 1;
        Some(
            Report {
                start: self.start,
                number: self.number,
                origin,
                zone,
            }
            .write(),
        )
    }

    /// What was received and sent so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = &Last> {
        self.last
            .values()
            .filter(move |l| now < l.at + REPORT_LIFETIME_US)
    }
}
