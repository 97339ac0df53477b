//! What happens at a hollow member that its host must know.

use crate::scale::purge_number::PurgeNumber;
use linnetknot_simnet::Micros;

/// Why a purge is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// There is no room for one more entry, log or pending commit.
    Capacity,
    /// The disk is too far behind, or did not take it.
    Disk,
    /// Too few further machines acknowledged it in time.
    Acknowledgements,
}

/// What happened at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A purge is in force here; it may be said again.
    InForce {
        /// Which.
        purge: PurgeNumber,
    },
    /// A purge that was told here is committed.
    Committed {
        /// Which.
        purge: PurgeNumber,
    },
    /// A purge that was told here is refused.
    Refused {
        /// Which.
        purge: PurgeNumber,
        /// Why.
        reason: Refusal,
    },
    /// A purge that a peer told is in force and can't be kept.
    NotStored {
        /// Which.
        purge: PurgeNumber,
        /// Why.
        reason: Refusal,
    },
    /// A peer is believed to be dead.
    Died {
        /// Its place in the list of peers.
        peer: usize,
        /// When the process began that is believed to be dead.
        started: Micros,
    },
}
