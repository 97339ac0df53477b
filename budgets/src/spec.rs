//! A budget's limit, and the reserved minimums that are set aside of it.

use crate::{Amount, Micros};
use std::fmt;

/// A budget: its limit, and how much of it each configured member may always spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetSpec {
    /// In all.
    pub limit: Amount,
    /// For each member, set aside.
    pub reserved: Amount,
    /// What is spent is felt for so long at most: what a holder has out when its lease is over counts until then.
    pub settling_us: Micros,
}

/// Why a limit can't be divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LimitTooSmall {
    /// The sum of the reserved minimums.
    pub reserved_total: Amount,
}

impl fmt::Display for LimitTooSmall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "less than {}, the sum of the floors", self.reserved_total)
    }
}

impl std::error::Error for LimitTooSmall {}

impl BudgetSpec {
    /// What is left to be shared by leases among so many members.
    pub fn shared(self, members: usize) -> Result<Amount, LimitTooSmall> {
        let reserved_total = self.reserved.saturating_mul(members as u64);
        self.limit.checked_sub(reserved_total).ok_or(LimitTooSmall { reserved_total })
    }
}
