//! What can be read of a hollow member: its logs, its leases and how much it holds.

use super::budget_share::BudgetShare;
use super::HollowMember;
use crate::scale::purge_number::PurgeNumber;
use crate::scale::run::Defect;
use linnetknot_replication::{Index, LogId, LogPosition};
use linnetknot_simnet::Micros;

/// How far a log goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEnd {
    /// The log.
    pub log: LogId,
    /// Its last index.
    pub index: Index,
}

/// How much a member holds, by kind of state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Entries in force in all logs.
    pub entries: usize,
    /// Logs.
    pub logs: usize,
    /// Members of which something is believed.
    pub claims: usize,
    /// Commits that wait for acknowledgements.
    pub pending_commits: usize,
    /// Entries on their way to the disk.
    pub disk_queue: usize,
    /// Bytes of the compact table of older purges.
    pub table_bytes: usize,
}

impl HollowMember {
    /// How much it may spend of a budget now.
    pub fn may_spend(&self, budget: usize, now: Micros) -> u64 {
        let Some(budgets) = &self.budgets else {
            return 0;
        };
        let amount = budgets.core().lease(now, budget).amount;
        match self.defect {
            Some(Defect::SpendsTwice) => 2 * amount,
            _ => amount,
        }
    }

    /// Whether it allocates any budget.
    pub fn is_allocator(&self, now: Micros) -> bool {
        let Some(core) = self.budgets.as_ref().map(BudgetShare::core) else {
            return false;
        };
        (0..self.config.budgets.len()).any(|budget| core.leads(now, core.group(budget)))
    }

    /// Whether no copy of a purge's object from before the purge would be served.
    pub fn is_in_force(&self, purge: PurgeNumber, at: Micros) -> bool {
        self.purge_log.is_in_force(purge, at)
    }

    /// A sum over all its logs: members with the same sum have the same logs.
    pub fn digest(&self) -> u64 {
        self.purge_log.replica().log_store().checksum()
    }

    /// Its logs and how far it has each.
    pub fn log_ends(&self) -> Vec<LogEnd> {
        let ends = self.purge_log.replica().log_store().last_indexes();
        ends.into_iter()
            .map(|LogPosition { log, index }| LogEnd { log, index })
            .collect()
    }

    /// Whether it has logs up to these places at least.
    pub fn has_logs(&self, ends: &[LogEnd]) -> bool {
        let store = self.purge_log.replica().log_store();
        ends.iter()
            .all(|end| store.last_index(end.log) >= end.index)
    }

    /// Whether it has all that it committed before it lost its disk, or has waited for that as long as it may.
    pub fn has_recovered(&self) -> bool {
        self.purge_log.has_recovered()
    }

    /// How much it holds.
    pub fn state_size(&self) -> StateSize {
        let store = self.purge_log.replica().log_store();
        StateSize {
            entries: store.len(),
            logs: store.log_count(),
            claims: self
                .membership
                .members()
                .iter()
                .filter(|member| member.claim.is_some())
                .count(),
            pending_commits: self.purge_log.pending_commits(),
            disk_queue: self.purge_log.disk_queue(),
            table_bytes: store.table().memory_bytes(),
        }
    }
}
