//! The kinds of budgets and their units.

use crate::Amount;

/// The ratio of a member's demand to its unsettled amount. It exceeds one so that a member with a growing load requests
/// a larger lease before the current one is used up.
const DEMAND_FACTOR: Amount = 2;
/// The number of requests that are added to each demand for concurrent requests.
const SPARE_REQUESTS: Amount = 4;
/// Divisor of a server's capacity. The result is added to each demand for capacity as a reserve.
const SPARE_DIVISOR: Amount = 10;

/// The unit in which the amounts of a budget are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// The amount is a number of concurrent requests.
    Concurrent,
    /// The amount is in millionths of a server's capacity.
    Millionths,
}

impl Unit {
    /// Returns the name that `fleet budgets` shows. Tools read it, so it must not change.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Concurrent => "held at a time",
            Unit::Millionths => "millionths",
        }
    }

    /// Returns the amount that corresponds to one request or to the full capacity of one server.
    pub fn scale(self) -> Amount {
        match self {
            Unit::Concurrent => 1,
            Unit::Millionths => 1_000_000,
        }
    }

    /// Returns the demand of a member with an unsettled amount.
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

/// A kind of budget. Budgets of one kind limit the use of the same type of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The name that `fleet budgets` and the log show.
    pub name: &'static str,
    /// The unit of the limits, demands and leases of budgets of this kind.
    pub unit: Unit,
}

/// Concurrent requests at the origin, sent directly or for a fill.
pub const ORIGIN: Kind = Kind {
    name: "origin",
    unit: Unit::Concurrent,
};
/// The capacity of each parent cache in slow start.
pub const PARENTS: Kind = Kind {
    name: "cold-parents",
    unit: Unit::Millionths,
};
/// The capacity of each cache of a zone in slow start. There is one budget for each zone.
pub const CACHES: Kind = Kind {
    name: "cold-caches",
    unit: Unit::Millionths,
};
