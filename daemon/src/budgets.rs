//! `linnetknot fleet budgets`: the status of the fleet-wide budgets, as a running proxy's admin listener shows it.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// The number of budgets that one status shows: with their grants they fit the admin listener's ring.
pub const MAX_BUDGETS: usize = 16;
/// The number of holders that the status of one budget shows.
pub const MAX_GRANTS: usize = 8;

/// The status of a proxy's budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the proxy.
    pub name: String,
    /// The number of configured proxies, for each of which a minimum is reserved.
    pub members: usize,
    /// The budgets, the first of them.
    pub budgets: Vec<BudgetStatus>,
    /// The number of all budgets.
    #[serde(rename = "budgets_in_all")]
    pub budgets_total: usize,
}

/// The status of one budget, as the asked proxy knows it.
// Keys of the JSON, which tools read: `whole` stands for the limit, `floor` for the reserved minimum, `part` for the lease,
// `wanted` for the demand, `out` for what is spent and not settled, `divider` for the allocator, `divides` for leading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The name of the budget.
    pub name: String,
    /// The unit of its amounts.
    pub unit: String,
    /// What all proxies may spend together.
    #[serde(rename = "whole")]
    pub limit: u64,
    /// What is reserved for each proxy.
    #[serde(rename = "floor")]
    pub reserved: u64,
    /// What the asked proxy may spend now, its reserved minimum included.
    #[serde(rename = "part")]
    pub lease: u64,
    /// When that expires unless it is renewed; null where it is the reserved minimum, which does not.
    pub ends_in_ms: Option<u64>,
    /// What it demands beyond its reserved minimum.
    #[serde(rename = "wanted")]
    pub demand: u64,
    /// What it spent beyond its reserved minimum and is not settled.
    #[serde(rename = "out")]
    pub unsettled: u64,
    /// The name of the allocator, as far as it knows.
    #[serde(rename = "divider")]
    pub allocator: String,
    /// Whether it is the allocator, by the votes of more than half.
    #[serde(rename = "divides")]
    pub leads: bool,
    /// Whether only its reserved minimum may be spent, as no lease is in force.
    #[serde(rename = "on_floor")]
    pub reserved_only: bool,
    /// Where it is the allocator: what is granted or unsettled, without the reserved minimums.
    #[serde(rename = "granted_in_all")]
    pub granted_total: u64,
    /// The number of holders of that.
    pub holders: usize,
    /// The holders, the first of them.
    pub granted: Vec<GrantStatus>,
}

/// What the allocator has granted to one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantStatus {
    /// The name of the proxy, or its address until that is known.
    pub name: String,
    /// The most that it may spend or have unsettled, without its reserved minimum.
    pub amount: u64,
}

impl Status {
    /// Formats the status as tables for people. The headings are the same words as the keys of the file and of the JSON.
    pub fn to_table(&self) -> String {
        let mut table = format!(
            "{} shares with {} proxies, itself among them\n\n",
            self.name, self.members
        );
        self.write_budgets(&mut table);
        for budget in self.budgets.iter().filter(|budget| budget.leads) {
            budget.write_grants(self.members, &mut table);
        }
        let more_budgets = self.budgets_total.saturating_sub(self.budgets.len());
        if more_budgets > 0 {
            // Writing to a string does not fail.
            let _ = writeln!(table, "\nand {more_budgets} budgets more");
        }
        table
    }

    fn write_budgets(&self, table: &mut String) {
        let _ = writeln!(
            table,
            "{:<22} {:>9} {:>8} {:>9} {:>9} {:>9}  {:<14} ends",
            "budget", "whole", "floor", "part", "out", "wanted", "divider"
        );
        for budget in &self.budgets {
            let ends = match budget.ends_in_ms {
                Some(ms) => format!("in {ms} ms"),
                None => "on its floor".to_owned(),
            };
            let _ = writeln!(
                table,
                "{:<22} {:>9} {:>8} {:>9} {:>9} {:>9}  {:<14} {ends}",
                budget.name,
                budget.limit,
                budget.reserved,
                budget.lease,
                budget.unsettled,
                budget.demand,
                budget.allocator
            );
        }
    }
}

impl BudgetStatus {
    /// Writes what the allocator of this budget has granted to so many members.
    fn write_grants(&self, members: usize, table: &mut String) {
        let reserved_total = self.reserved * members as u64;
        let free = self
            .limit
            .saturating_sub(reserved_total + self.granted_total);
        let _ = writeln!(
            table,
            "\n{} ({}): {reserved_total} in floors, {free} not granted",
            self.name, self.unit
        );
        for grant in &self.granted {
            let _ = writeln!(table, "    {:<22} {:>9}", grant.name, grant.amount);
        }
        let more_holders = self.holders.saturating_sub(self.granted.len());
        if more_holders > 0 {
            let _ = writeln!(table, "    and {more_holders} more");
        }
    }
}
