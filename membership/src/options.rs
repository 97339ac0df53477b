//! The options of the failure detector, and its counters.

use crate::Micros;

/// Durations and bounds of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The protocol period. One member is probed in each period.
    pub protocol_period_us: Micros,
    /// The time after which indirect probes are requested for a probe that was not acknowledged.
    pub ack_timeout_us: Micros,
    /// The number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The maximum health score; see [`crate::Membership::health`].
    pub max_health: u32,
    /// Members that are dead or have left are probed in one of this many rounds on average, to detect their return.
    pub dead_probe_interval: u64,
    /// The maximum number of pending pings on behalf of other members.
    pub max_indirect_probes: usize,
    /// The maximum number of discovery pings in one period while there are members that have not been sent one yet.
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

/// Counters since the start of this process, which are shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes of other members that this member started.
    pub probes: u64,
    /// Probes that were neither acknowledged directly nor indirectly.
    pub failed: u64,
    /// False claims about this member that the member refuted.
    pub refuted: u64,
    /// Stalls of this process that were detected by a late tick.
    pub stalls: u64,
    /// Datagrams that could not be decoded.
    pub unreadable: u64,
}
