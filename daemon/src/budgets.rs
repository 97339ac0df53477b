//! `linnetknot fleet budgets`: what a running proxy tells, by its admin listener, of what all proxies spend together.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Budgets that one answer tells of: with their grants they fit the admin listener's ring.
pub const MOST_BUDGETS: usize = 16;
/// Holders that one budget tells of.
pub const MOST_GRANTS: usize = 8;

/// Where a proxy's parts of what all spend stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Proxies that are configured, for each of which a floor is set aside.
    pub members: usize,
    /// What is shared.
    pub budgets: Vec<BudgetStatus>,
    /// How many there are.
    pub budgets_in_all: usize,
}

/// One budget, as the asked proxy knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Its name.
    pub name: String,
    /// What its amounts count.
    pub unit: String,
    /// In all.
    pub whole: u64,
    /// Set aside for each proxy.
    pub floor: u64,
    /// What the asked proxy may spend now, its floor with it.
    pub part: u64,
    /// When that ends without more word; null: it is the floor, which does not.
    pub ends_in_ms: Option<u64>,
    /// What it wants beyond its floor.
    pub wanted: u64,
    /// What it has out beyond its floor.
    pub out: u64,
    /// Who divides, as far as it knows.
    pub divider: String,
    /// It divides, by the votes of more than half.
    pub divides: bool,
    /// It lives on its floor: no part is in force.
    pub on_floor: bool,
    /// Where it divides: what is granted and may be felt still, floors aside.
    pub granted_in_all: u64,
    /// To how many.
    pub holders: usize,
    /// To whom, the first of them.
    pub granted: Vec<GrantStatus>,
}

/// What a divider granted to one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantStatus {
    /// Its name, or its address until that is known.
    pub name: String,
    /// The most that may be felt of it, its floor aside.
    pub amount: u64,
}

impl Status {
    /// As tables, for people.
    pub fn to_table(&self) -> String {
        let mut out = format!("{} shares with {} proxies, itself among them\n\n", self.name, self.members);
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "{:<22} {:>9} {:>8} {:>9} {:>9} {:>9}  {:<14} ends",
            "budget", "whole", "floor", "part", "out", "wanted", "divider"
        );
        for b in &self.budgets {
            let ends = match b.ends_in_ms {
                Some(ms) => format!("in {ms} ms"),
                None => "on its floor".to_owned(),
            };
            let (out_now, wanted) = (b.out, b.wanted);
            let _ = writeln!(
                out,
                "{:<22} {:>9} {:>8} {:>9} {:>9} {:>9}  {:<14} {ends}",
                b.name, b.whole, b.floor, b.part, out_now, wanted, b.divider
            );
        }
        for b in self.budgets.iter().filter(|b| b.divides) {
            let floors = b.floor * self.members as u64;
            let free = b.whole.saturating_sub(floors + b.granted_in_all);
            let _ = writeln!(out, "\n{} ({}): {floors} in floors, {free} not granted", b.name, b.unit);
            for grant in &b.granted {
                let _ = writeln!(out, "    {:<22} {:>9}", grant.name, grant.amount);
            }
            if b.holders > b.granted.len() {
                let _ = writeln!(out, "    and {} more", b.holders - b.granted.len());
            }
        }
        if self.budgets_in_all > self.budgets.len() {
            let _ = writeln!(out, "\nand {} budgets more", self.budgets_in_all - self.budgets.len());
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::to_json;

    #[test]
    fn the_longest_answer_fits_the_admins_ring_and_is_read_again() {
        let grant = |n| GrantStatus { name: format!("proxy-with-a-long-name-{n}"), amount: 1_000_000 };
        let budget = |n| BudgetStatus {
            name: format!("cold-caches:a-zone-with-a-name-{n}"),
            unit: "held at a time".into(),
            whole: 1_000_000,
            floor: 1_000,
            part: 100_000,
            ends_in_ms: Some(1_000),
            wanted: 1_000_000,
            out: 1_000_000,
            divider: "proxy-with-a-long-name".into(),
            divides: true,
            on_floor: false,
            granted_in_all: 900_000,
            holders: 9,
            granted: (0..MOST_GRANTS).map(grant).collect(),
        };
        let budgets = (0..MOST_BUDGETS).map(budget).collect();
        let status = Status { name: "p0".into(), members: 9, budgets, budgets_in_all: MOST_BUDGETS + 2 };
        let ring = crate::limits::Limits::for_machine(256, 32).admin_output;
        assert!(to_json(&status).len() + 256 < ring, "{}", to_json(&status).len());
        assert_eq!(serde_json::from_str::<Status>(&to_json(&status)).unwrap(), status);
        let table = status.to_table();
        assert!(
            table.contains("9000 in floors, 91000 not granted") && table.contains("and 1 more"),
            "{table}"
        );
        assert!(table.contains("and 2 budgets more") && table.contains("in 1000 ms"), "{table}");
    }
}
