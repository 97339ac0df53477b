//! A budget's whole, and the floors that are set aside of it.

use crate::{Amount, Micros};
use std::fmt;

/// A budget: its whole, and how much of it each configured member may always spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Whole {
    /// In all.
    pub whole: Amount,
    /// For each member, set aside.
    pub floor: Amount,
    /// What is spent is felt for so long at most: what a holder has out when its part is over counts until then.
    pub felt_us: Micros,
}

/// Why a whole can't be divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TooSmall {
    /// The sum of the floors.
    pub floors: Amount,
}

impl fmt::Display for TooSmall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "less than {}, the sum of the floors", self.floors)
    }
}

impl std::error::Error for TooSmall {}

impl Whole {
    /// What is left to be shared by leases among so many members.
    pub fn shared(self, members: usize) -> Result<Amount, TooSmall> {
        let floors = self.floor.saturating_mul(members as u64);
        self.whole.checked_sub(floors).ok_or(TooSmall { floors })
    }
}
