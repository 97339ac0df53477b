//! The options of a member, and its counters.

use crate::Micros;

/// Times and bounds of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The protocol period: one member is probed in each.
    pub protocol_period_us: Micros,
    /// The time after which a probe that was not answered is continued by indirect probes.
    pub ack_timeout_us: Micros,
    /// How many other members are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The greatest health score; see [`crate::Membership::health`].
    pub max_health: u32,
    /// Members that are dead or have left are probed in one of so many rounds, as they may be back.
    pub dead_probe_interval: u64,
    /// The most pending pings on behalf of other members.
    pub max_indirect_probes: usize,
    /// The most members never heard of that are greeted in one period, in addition to the probe.
    pub discovery_pings_per_period: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            protocol_period_us: 500_000,
            ack_timeout_us: 150_000,
            indirect_probes: 3,
            max_health: 4,
            dead_probe_interval: 8,
            max_indirect_probes: 64,
            discovery_pings_per_period: 8,
        }
    }
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes begun.
    pub probes: u64,
    /// Probes that were not answered in any way.
    pub failed: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// How often it detected that it had stalled.
    pub stalls: u64,
    /// Datagrams that could not be decoded.
    pub unreadable: u64,
}
