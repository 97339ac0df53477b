//! What is shared: the kinds of budgets, with their units, as one table.

/// What an amount counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Things held at a time.
    Held,
    /// Millionths of what a server bears.
    Millionths,
}

impl Unit {
    /// As it stands behind an amount.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Held => "held at a time",
            Unit::Millionths => "millionths",
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
    /// What it bounds.
    pub about: &'static str,
    /// There is one for each zone.
    pub by_zone: bool,
}

/// Requests at the origin.
pub const ORIGIN: Kind = Kind {
    name: "origin",
    unit: Unit::Held,
    about: "requests that the origin holds at a time, straight or behind a fill",
    by_zone: false,
};

/// Work for cold parents.
pub const PARENTS: Kind = Kind {
    name: "cold-parents",
    unit: Unit::Millionths,
    about: "what each cold parent bears",
    by_zone: false,
};

/// Work for cold caches.
pub const CACHES: Kind = Kind {
    name: "cold-caches",
    unit: Unit::Millionths,
    about: "what each cold cache of a zone bears",
    by_zone: true,
};

/// All of them, in the order in which members know them.
pub const KINDS: [Kind; 3] = [ORIGIN, PARENTS, CACHES];

/// The whole of what a server bears.
pub const ALL: crate::Amount = 1_000_000;
