//! Reports of a slow origin between the proxies of a fleet.
//!
//! In a large fleet each proxy receives only few responses of the origin. Without reports each proxy would have to
//! detect a slow origin from its own responses, seconds after the first proxy has detected it. A proxy sends a
//! [`Report`] to its peers in a datagram. [`OriginHealth`] decides when to send a report, and derives the share of
//! requests that may go to the origin from the reports of others. The package is sans-IO: it has no sockets and no
//! clock, and the time is the `now` argument of each call.
//!
//! The following holds for any datagrams in any order:
//!
//! - Reports can only lower the share of requests that may go to the origin, never raise it, and do not affect the
//!   state of any cache.
//! - Only the latest report of each zone counts, and a zone without a report counts as healthy. With twelve zones, one
//!   zone lowers the share by at most a twelfth, because the fault may be in that zone.
//! - A report counts for [`REPORT_LIFETIME_US`] after it was received. A duplicate of a sender's latest report, or a
//!   report older than the latest, is dropped.
//! - Reports are never forwarded. A proxy only reports responses that it received itself, so reports can't reinforce
//!   each other.
//! - A proxy sends at most one report in [`MIN_REPORT_INTERVAL_US`], and none while a report of another proxy in its
//!   zone counts. The number of datagrams therefore grows with the number of zones times the number of proxies, not
//!   with the square of the number of proxies.

mod report;

pub use report::{DecodeError, Report, REPORT_BYTES};

use linnetknot::{Micros, Settings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum share that is reported. A proxy with a greater share does not consider the origin slow.
const MAX_REPORTED_SHARE: f64 = 0.7;
/// The time for which a report counts after it was received.
pub const REPORT_LIFETIME_US: Micros = 1_000_000;
/// The minimum interval between two reports of one proxy.
pub const MIN_REPORT_INTERVAL_US: Micros = 500_000;

/// A proxy's zone among the zones of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePosition {
    /// The zone's index in the list of zones, which is the same at all proxies.
    pub zone: u16,
    /// The number of zones with proxies.
    pub zones: u16,
}

impl ZonePosition {
    /// Returns the zone of a proxy with these settings.
    pub fn of(settings: &Settings) -> Self {
        let zones = settings
            .zones
            .iter()
            .filter(|zone| zone.routers > 0)
            .count();
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
    /// The share of requests, between 0 and 1.
    pub share: f64,
    /// The time until which the share applies.
    pub until: Micros,
}

/// Counters since the start of this process, which are shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports sent, each to all peers.
    pub sent: u64,
    /// Reports not sent because a report of another proxy in the zone still counted.
    pub suppressed: u64,
    /// Reports received and accepted as newer than the sender's latest report.
    pub received: u64,
    /// Datagrams dropped because they were too long.
    pub too_long: u64,
    /// Datagrams dropped because they were truncated or corrupt.
    pub malformed: u64,
    /// Datagrams dropped because their version is unknown.
    pub unknown_version: u64,
    /// Reports dropped because they were not newer than the sender's latest one.
    pub stale: u64,
}

impl Counters {
    /// Returns the number of dropped datagrams.
    pub fn dropped(&self) -> u64 {
        self.too_long + self.malformed + self.unknown_version + self.stale
    }
}

/// A peer's latest report and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    report: Report,
    received_at: Micros,
}

/// The state of one proxy: the reports that it has received from its peers, and its own latest report.
#[derive(Clone, Debug)]
pub struct OriginHealth {
    own_zone: ZonePosition,
    started_at: Micros,
    /// The number of the latest report sent.
    last_number: u32,
    sent_at: Option<Micros>,
    /// The latest report by sender. Senders are configured peers, which bounds the size of the map.
    latest_reports: BTreeMap<SocketAddr, PeerReport>,
    counters: Counters,
}

impl OriginHealth {
    /// Creates the state of a proxy. `started_at` is the Unix time of its start, which distinguishes its reports from
    /// those of an earlier process at the same address.
    pub fn new(own_zone: ZonePosition, started_at: Micros) -> Self {
        OriginHealth {
            own_zone,
            started_at,
            last_number: 0,
            sent_at: None,
            latest_reports: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Receives a datagram from a peer. Returns whether it belongs to this protocol, even if it is dropped.
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
        // If the sender's clock was set back, its new process reports an earlier start time than the previous one.
        let has_restarted = |latest: &PeerReport| {
            latest.report.started_at != report.started_at
                && now >= latest.received_at + REPORT_LIFETIME_US
        };
        let is_newer =
            |latest: &PeerReport| report.is_newer_than(&latest.report) || has_restarted(latest);
        if self
            .latest_reports
            .get(&from)
            .is_some_and(|latest| !is_newer(latest))
        {
            self.counters.stale += 1;
            return;
        }
        self.counters.received += 1;
        let latest = PeerReport {
            report,
            received_at: now,
        };
        self.latest_reports.insert(from, latest);
    }

    /// Drops the reports of all senders that are no longer peers.
    pub fn retain_peers(&mut self, is_peer: impl Fn(&SocketAddr) -> bool) {
        self.latest_reports.retain(|peer, _| is_peer(peer));
    }

    /// Returns the maximum share of requests that may go to the origin according to the reports of others: the mean
    /// over all zones of the share in each zone's latest report. Returns `None` if no report counts.
    pub fn origin_share(&self, now: Micros) -> Option<OriginShare> {
        let mut zones: BTreeMap<u16, &PeerReport> = BTreeMap::new();
        for received in self.valid_reports(now) {
            let latest = zones.entry(received.report.zone).or_insert(received);
            if received.received_at > latest.received_at {
                *latest = received;
            }
        }
        let last_received_at = zones.values().map(|latest| latest.received_at).max()?;
        let missing: f64 = zones
            .values()
            .map(|latest| 1.0 - latest.report.origin_share)
            .sum();
        // The lower bound is needed because a sender may name a zone that does not exist.
        Some(OriginShare {
            share: (1.0 - missing / f64::from(self.own_zone.zones)).max(0.0),
            until: last_received_at + REPORT_LIFETIME_US,
        })
    }

    /// Records a late response of the origin and the share of requests that this proxy still sends there. Returns a
    /// report as a datagram for all peers. Returns `None` if the share is above the maximum that is reported, or if
    /// this proxy or another proxy in its zone has just sent a report.
    pub fn record_late_response(
        &mut self,
        now: Micros,
        origin_share: f64,
    ) -> Option<[u8; REPORT_BYTES]> {
        let next_report_at = self.sent_at.map_or(0, |at| at + MIN_REPORT_INTERVAL_US);
        if origin_share > MAX_REPORTED_SHARE || now < next_report_at {
            return None;
        }
        let zone = self.own_zone.zone;
        let is_of_own_zone = |latest: &PeerReport| {
            latest.report.zone == zone && latest.report.origin_share <= MAX_REPORTED_SHARE
        };
        if self.valid_reports(now).any(is_of_own_zone) {
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
    fn valid_reports(&self, now: Micros) -> impl Iterator<Item = &PeerReport> {
        self.latest_reports
            .values()
            .filter(move |latest| now < latest.received_at + REPORT_LIFETIME_US)
    }
}
