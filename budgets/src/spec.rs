//! The specification of a budget: its limit, the reserved minimum of each member, and the settling time.

use crate::{Amount, Micros};
use std::fmt;

/// The configured specification of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BudgetSpec {
    /// The total that all members together may spend.
    pub limit: Amount,
    /// The minimum that each configured member may always spend. It is part of the limit.
    pub reserved: Amount,
    /// The settling time: how long a spent amount may occupy the resource, which may be beyond the end of its lease.
    pub settling_us: Micros,
}

/// The error for a limit that is less than the sum of all reserved minimums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LimitTooSmall {
    /// The sum of the reserved minimums of all members.
    pub reserved_total: Amount,
}

impl fmt::Display for LimitTooSmall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // `floor` is the key of the reserved minimum in the operators' file.
        write!(
            f,
            "less than {}, the sum of the floors",
            self.reserved_total
        )
    }
}

impl std::error::Error for LimitTooSmall {}

impl BudgetSpec {
    /// Returns the part of the limit that is left for leases with this number of members.
    ///
    /// # Errors
    /// Fails if the limit is less than the sum of the reserved minimums.
    pub fn leasable_amount(self, members: usize) -> Result<Amount, LimitTooSmall> {
        let reserved_total = self.reserved.saturating_mul(members as u64);
        self.limit
            .checked_sub(reserved_total)
            .ok_or(LimitTooSmall { reserved_total })
    }
}
