//! Reports between the proxies of a fleet about a slow origin.
//!
//! A proxy among a hundred receives one response of the origin a second. Alone, each would find out by itself, seconds
//! late, what the first of them observed at once. [`Report`] is what a proxy sends in a datagram; [`OriginHealth`] decides
//! when to send one, and what follows from those received. The package is sans-IO: it has no sockets and no clock; time is
//! the `now` of each call.
//!
//! Whatever is received, and in whatever order (checked by `tests/reports.rs`, the last point by `tests/fleet.rs`):
//!
//! - Reports can only lower the share of requests that may go to the origin, never raise it, and say nothing about any
//!   cache server.
//! - Each zone counts by its last report, and a zone without a report counts as well. One zone of twelve, which may have
//!   a fault of its own, lowers the share by a twelfth at most.
//! - A report counts for `REPORT_LIFETIME_US` after it was received. Received twice it counts once, and one that is older
//!   than the last of its sender is dropped.
//! - Nothing received is passed on: a proxy reports its own responses only, so no report reinforces itself.
//! - A proxy sends at most one report in `MIN_REPORT_INTERVAL_US`, and none while another of its zone has just sent one.
//!   So the datagrams about a slow origin grow with the zones and the proxies, not with the square of the proxies.

mod report;

pub use report::{DecodeError, Report, REPORT_BYTES};

use linnetknot::{Micros, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The greatest share that is reported; with a greater one the origin is not slow.
const MAX_REPORTED_SHARE: f64 = 0.7;
/// How long a report counts.
pub const REPORT_LIFETIME_US: Micros = 1_000_000;
/// The shortest time between two reports of one proxy.
pub const MIN_REPORT_INTERVAL_US: Micros = 500_000;

/// A proxy's zone among those of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePosition {
    /// The zone's index in the list that all proxies have.
    pub zone: u16,
    /// The number of zones with proxies.
    pub zones: u16,
}

impl ZonePosition {
    /// The zone of a proxy with these settings.
    pub fn of(settings: &Settings) -> Self {
        let zones = settings.zones.iter().filter(|z| z.routers > 0).count();
        let saturated = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        ZonePosition {
            zone: saturated(settings.zone),
            zones: saturated(zones).max(1),
        }
    }
}

/// The share of requests that may go to the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OriginShare {
    /// The share, from 0 to 1.
    pub share: f64,
    /// Until when it applies.
    pub until: Micros,
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports sent, each to all peers.
    pub sent: u64,
    /// Reports not sent because another proxy of the zone had just sent one.
    pub suppressed: u64,
    /// Reports received and used.
    pub received: u64,
    /// Datagrams dropped because they were too long.
    pub too_long: u64,
    /// Datagrams dropped because they were cut short or damaged.
    pub malformed: u64,
    /// Datagrams dropped because their version is not known.
    pub unknown_version: u64,
    /// Reports dropped because they were not newer than the last of their sender.
    pub stale: u64,
}

impl Counters {
    /// Returns the number of dropped datagrams.
    pub fn dropped(&self) -> u64 {
        self.too_long + self.malformed + self.unknown_version + self.stale
    }
}

/// A peer's last report, and when it was received.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    report: Report,
    received_at: Micros,
}

/// The reports that one proxy has received from the others, and those that it has sent.
#[derive(Clone, Debug)]
pub struct OriginHealth {
    own: ZonePosition,
    started_at: Micros,
    /// The number of the last report sent.
    last_number: u32,
    sent_at: Option<Micros>,
    /// By sender, which are peers only, so that there are no more than are configured.
    last: BTreeMap<SocketAddr, LastReport>,
    counters: Counters,
}

impl OriginHealth {
    /// Creates the state of a proxy that started at a Unix time, by which its reports are distinguished from those of an
    /// earlier process at the same address.
    pub fn new(own: ZonePosition, started_at: Micros) -> Self {
        OriginHealth {
            own,
            started_at,
            last_number: 0,
            sent_at: None,
            last: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Receives a datagram from a peer. Returns false if it is of another kind, and true if it is a report, used or not.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> bool {
        match Report::decode(bytes) {
            Ok(report) => self.receive_report(now, from, report),
            Err(DecodeError::Foreign) => return false,
            Err(DecodeError::TooLong) => self.counters.too_long += 1,
            Err(DecodeError::Version(_)) => self.counters.unknown_version += 1,
            Err(DecodeError::Malformed) => self.counters.malformed += 1,
        }
        true
    }

    fn receive_report(&mut self, now: Micros, from: SocketAddr, report: Report) {
        // A sender whose clock was set back starts at an earlier time than its process before.
        let has_restarted = |last: &LastReport| {
            last.report.started_at != report.started_at
                && now >= last.received_at + REPORT_LIFETIME_US
        };
        let is_news = |last: &LastReport| report.is_newer_than(&last.report) || has_restarted(last);
        if self.last.get(&from).is_some_and(|last| !is_news(last)) {
            self.counters.stale += 1;
            return;
        }
        self.counters.received += 1;
        let last = LastReport {
            report,
            received_at: now,
        };
        self.last.insert(from, last);
    }

    /// Drops the reports of all senders that are not peers any more.
    pub fn retain_peers(&mut self, is_peer: impl Fn(&SocketAddr) -> bool) {
        self.last.retain(|peer, _| is_peer(peer));
    }

    /// Returns the greatest share of requests that may go to the origin by the reports of others: the mean over all zones,
    /// each by its last report. Returns `None` if there is no report that counts.
    pub fn origin_share(&self, now: Micros) -> Option<OriginShare> {
        let mut zones: BTreeMap<u16, &LastReport> = BTreeMap::new();
        for last in self.fresh(now) {
            let known = zones.entry(last.report.zone).or_insert(last);
            if last.received_at > known.received_at {
                *known = last;
            }
        }
        let last_received_at = zones.values().map(|last| last.received_at).max()?;
        let missing: f64 = zones
            .values()
            .map(|last| 1.0 - last.report.origin_share)
            .sum();
        // A sender may name a zone that does not exist, hence the lower bound.
        Some(OriginShare {
            share: (1.0 - missing / f64::from(self.own.zones)).max(0.0),
            until: last_received_at + REPORT_LIFETIME_US,
        })
    }

    /// Records that a response of the origin was late and which share of its requests this proxy still sends there.
    /// Returns the datagram for all peers, unless the share is not low or a report was sent from this zone just now.
    pub fn record_late_response(
        &mut self,
        now: Micros,
        origin_share: f64,
    ) -> Option<[u8; REPORT_BYTES]> {
        let next_at = self.sent_at.map_or(0, |at| at + MIN_REPORT_INTERVAL_US);
        if origin_share > MAX_REPORTED_SHARE || now < next_at {
            return None;
        }
        let zone = self.own.zone;
        let is_of_zone = |last: &LastReport| {
            last.report.zone == zone && last.report.origin_share <= MAX_REPORTED_SHARE
        };
        if self.fresh(now).any(is_of_zone) {
            self.counters.suppressed += 1;
            return None;
        }
        self.sent_at = Some(now);
        self.last_number += 1;
        self.counters.sent += 1;
        let report = Report {
            started_at: self.started_at,
            number: self.last_number,
            origin_share,
            zone,
        };
        Some(report.encode())
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the reports that still count.
    fn fresh(&self, now: Micros) -> impl Iterator<Item = &LastReport> {
        self.last
            .values()
            .filter(move |last| now < last.received_at + REPORT_LIFETIME_US)
    }
}
