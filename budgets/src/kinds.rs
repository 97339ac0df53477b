//! What is shared: the kinds of budgets, with their units, as one table.

/// What an amount counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Things held at a time.
    Concurrent,
    /// Millionths of what a server bears.
    Millionths,
}

impl Unit {
    /// As it stands behind an amount.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Concurrent => "held at a time",
            Unit::Millionths => "millionths",
        }
    }

    /// How many of it are one: a thing that is held, or all that a server bears.
    pub fn one(self) -> crate::Amount {
        match self {
            Unit::Concurrent => 1,
            Unit::Millionths => 1_000_000,
        }
    }
}

/// A kind of budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// What its amounts count.
    pub unit: Unit,
}

/// Requests that the origin holds at a time, straight or behind a fill.
pub const ORIGIN: Kind = Kind { name: "origin", unit: Unit::Concurrent };
/// What each cold parent bears.
pub const PARENTS: Kind = Kind { name: "cold-parents", unit: Unit::Millionths };
/// What each cold cache of a zone bears; there is one for each zone.
pub const CACHES: Kind = Kind { name: "cold-caches", unit: Unit::Millionths };
