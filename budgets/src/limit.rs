//! Which budgets there are. Kinds are data: what is counted, and in which unit.

use crate::Amount;
use std::fmt;

/// What a kind counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// So many in a second.
    PerSecond,
    /// So many at once.
    AtOnce,
    /// So many in a hundred first attempts.
    Percent,
}

/// A kind of budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its name in the operators' file.
    pub name: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// What it bounds.
    pub about: &'static str,
}

/// All kinds.
pub const KINDS: [Kind; 8] = [
    Kind { name: "cold-work", unit: Unit::PerSecond, about: "work sent to a box or hub cache that is cold" },
    Kind { name: "hub-fills", unit: Unit::AtOnce, about: "fills that a hub cache serves" },
    Kind { name: "origin-asks", unit: Unit::AtOnce, about: "requests that the origin has" },
    Kind { name: "box-connections", unit: Unit::AtOnce, about: "connections held at a box" },
    Kind { name: "origin-connections", unit: Unit::AtOnce, about: "connections held at the origin" },
    Kind { name: "repeats", unit: Unit::Percent, about: "repeated attempts of the fleet" },
    Kind { name: "neighbour", unit: Unit::PerSecond, about: "requests of a neighbour at the second front" },
    Kind { name: "background", unit: Unit::PerSecond, about: "copies made anew and catch-up, in kB" },
];

/// A budget: its whole, and how much of it each configured member may always spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Whole {
    /// In all.
    pub whole: Amount,
    /// For each member, set aside.
    pub floor: Amount,
}

/// Why a whole can't be divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
