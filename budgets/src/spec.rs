//! The limit of a budget, and the minimums that are reserved of it.

use crate::{Amount, Micros};
use std::fmt;

/// A budget as it is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetSpec {
    /// What all members may spend together.
    pub limit: Amount,
    /// What each configured member may always spend; part of the limit.
    pub reserved: Amount,
    /// The settling time: how long a spend may occupy the resource, also beyond the end of the lease that allowed it.
    pub settling_us: Micros,
}

/// The error of a limit that does not cover the reserved minimums of all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LimitTooSmall {
    /// The sum of the reserved minimums.
    pub reserved_total: Amount,
}

impl fmt::Display for LimitTooSmall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Operators know the reserved minimum by the key of their file, `floor`.
        write!(
            f,
            "less than {}, the sum of the floors",
            self.reserved_total
        )
    }
}

impl std::error::Error for LimitTooSmall {}

impl BudgetSpec {
    /// Returns what is left to be leased among so many members.
    ///
    /// # Errors
    /// Fails where the limit is less than the sum of the reserved minimums.
    pub fn leasable_amount(self, members: usize) -> Result<Amount, LimitTooSmall> {
        let reserved_total = self.reserved.saturating_mul(members as u64);
        self.limit
            .checked_sub(reserved_total)
            .ok_or(LimitTooSmall { reserved_total })
    }
}
