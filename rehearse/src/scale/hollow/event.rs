//! Events of a hollow member that it reports to its host.

use crate::scale::purge_number::PurgeNumber;
use linnetknot_simnet::Micros;

/// Reason why a purge is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The limit of entries, logs or pending commits is reached.
    Capacity,
    /// The write queue of the disk is full, or a write failed.
    Disk,
    /// Fewer machines than required acknowledged the purge before the commit timeout.
    Acknowledgements,
}

/// Event of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A purge is in force at this member. The event may occur several times for the same purge.
    InForce {
        /// Number of the purge.
        purge: PurgeNumber,
    },
    /// A purge issued at this member is committed.
    Committed {
        /// Number of the purge.
        purge: PurgeNumber,
    },
    /// A purge issued at this member is refused.
    Refused {
        /// Number of the purge.
        purge: PurgeNumber,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// A purge received from a peer is in force but cannot be stored.
    NotStored {
        /// Number of the purge.
        purge: PurgeNumber,
        /// Reason why the purge cannot be stored.
        reason: Refusal,
    },
    /// A peer is considered dead.
    Died {
        /// Index of the peer in the member's peer list.
        peer: usize,
        /// Start time of the process that is considered dead.
        started: Micros,
    },
}
