//! `linnetknot fleet budgets`: the status of the shared budgets, as the admin listener of a running proxy returns it.

use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// The maximum number of budgets in a status. A status with this many budgets and `MAX_GRANTS` grants for each fits
/// into the send buffer of the admin listener.
pub const MAX_BUDGETS: usize = 16;
/// The maximum number of grants in the status of a budget.
pub const MAX_GRANTS: usize = 8;

/// The status of the budgets of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the proxy that reports this status.
    pub name: String,
    /// The number of configured proxies. A minimum of each budget is reserved for each of them.
    pub members: usize,
    /// The status of up to `MAX_BUDGETS` budgets.
    pub budgets: Vec<BudgetStatus>,
    /// The number of all budgets.
    #[serde(rename = "budgets_in_all")]
    pub budgets_total: usize,
}

/// The status of a budget, as known to the queried proxy.
// The JSON keys must not change, because tools read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The name of the budget.
    pub name: String,
    /// The unit of the amounts of the budget.
    pub unit: String,
    /// The limit for all proxies together.
    #[serde(rename = "whole")]
    pub limit: u64,
    /// The minimum that is reserved for each proxy.
    #[serde(rename = "floor")]
    pub reserved: u64,
    /// The amount that the queried proxy may spend now, including its reserved minimum.
    #[serde(rename = "part")]
    pub lease: u64,
    /// The time until the lease expires unless it is renewed; null for the reserved minimum, which does not expire.
    pub ends_in_ms: Option<u64>,
    /// The demand of the queried proxy beyond its reserved minimum.
    #[serde(rename = "wanted")]
    pub demand: u64,
    /// The amount that the queried proxy has spent beyond its reserved minimum and that is still in use, or may be.
    #[serde(rename = "out")]
    pub unsettled: u64,
    /// The name of the allocator, as known to the queried proxy.
    #[serde(rename = "divider")]
    pub allocator: String,
    /// Whether the queried proxy is the allocator, elected by a majority.
    #[serde(rename = "divides")]
    pub leads: bool,
    /// Whether no lease is in force, so that only the reserved minimum may be spent.
    #[serde(rename = "on_floor")]
    pub reserved_only: bool,
    /// The total amount beyond the reserved minimums that is granted, or that former holders may still be using. Known
    /// only if the queried proxy is the allocator.
    #[serde(rename = "granted_in_all")]
    pub granted_total: u64,
    /// The number of proxies that hold a part of that total.
    pub holders: usize,
    /// Up to `MAX_GRANTS` of the grants.
    pub granted: Vec<GrantStatus>,
}

/// The grant of the allocator to one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantStatus {
    /// The name of the proxy, or its address while the name is unknown.
    pub name: String,
    /// The maximum amount beyond its reserved minimum that the proxy may be using.
    pub amount: u64,
}

impl Status {
    /// Formats the status as tables. The headings are the keys of the JSON.
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
    /// Writes the grants of the allocator for a fleet with this number of members.
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
