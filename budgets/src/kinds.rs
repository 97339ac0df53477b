//! The kinds of budgets and their units.

use crate::Amount;

/// A demand is so many times what is unsettled, so that a lease is there before it is needed.
const DEMAND_FACTOR: Amount = 2;
/// The requests demanded in addition.
const SPARE_REQUESTS: Amount = 4;
/// One part in so many of what a server can bear is demanded in addition.
const SPARE_DIVISOR: Amount = 10;

/// The unit of an amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Concurrent requests.
    Concurrent,
    /// Millionths of what a server can bear.
    Millionths,
}

impl Unit {
    /// Returns the name that `fleet budgets` shows. Tools read it, so that it must not change.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Concurrent => "held at a time",
            Unit::Millionths => "millionths",
        }
    }

    /// Returns the amount that stands for one request, or for all that a server can bear.
    pub fn scale(self) -> Amount {
        match self {
            Unit::Concurrent => 1,
            Unit::Millionths => 1_000_000,
        }
    }

    /// Returns the demand of a member that has so much unsettled.
    pub fn demand(self, unsettled: Amount) -> Amount {
        let spare = match self {
            Unit::Concurrent => SPARE_REQUESTS,
            Unit::Millionths => self.scale() / SPARE_DIVISOR,
        };
        if unsettled == 0 {
            0
        } else {
            DEMAND_FACTOR * unsettled + spare
        }
    }
}

/// A kind of budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The name, as `fleet budgets` and the log show it.
    pub name: &'static str,
    /// The unit of its amounts.
    pub unit: Unit,
}

/// Concurrent requests at the origin, whether they were made directly or for a fill.
pub const ORIGIN: Kind = Kind {
    name: "origin",
    unit: Unit::Concurrent,
};
/// What each parent cache that is warming up can bear.
pub const PARENTS: Kind = Kind {
    name: "cold-parents",
    unit: Unit::Millionths,
};
/// What each cache of a zone that is warming up can bear; there is one budget for each zone.
pub const CACHES: Kind = Kind {
    name: "cold-caches",
    unit: Unit::Millionths,
};
