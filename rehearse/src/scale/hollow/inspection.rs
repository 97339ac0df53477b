//! Read-only views of a hollow member: its logs, leases and state size.

use super::budget_share::BudgetShare;
use super::HollowMember;
use crate::scale::purge_number::PurgeNumber;
use crate::scale::run::Defect;
use linnetknot_replication::{Index, LogId, LogPosition};
use linnetknot_simnet::Micros;

/// Last index of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEnd {
    /// Identifier of the log.
    pub log: LogId,
    /// Index of the log's last entry.
    pub index: Index,
}

/// Size of a member's state, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Entries in force in all logs.
    pub entries: usize,
    /// Number of logs.
    pub logs: usize,
    /// Members with a membership claim.
    pub claims: usize,
    /// Commits that wait for acknowledgements.
    pub pending_commits: usize,
    /// Entries queued for the disk.
    pub disk_queue: usize,
    /// Bytes of the compact table of older purges.
    pub table_bytes: usize,
}

impl HollowMember {
    /// Returns the amount of a budget that the member may spend now.
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

    /// Returns whether the member allocates any budget.
    pub fn is_allocator(&self, now: Micros) -> bool {
        let Some(core) = self.budgets.as_ref().map(BudgetShare::core) else {
            return false;
        };
        (0..self.config.budgets.len()).any(|budget| core.leads(now, core.group(budget)))
    }

    /// Returns whether the purge is in force, so that copies from before `at` are not served.
    pub fn is_in_force(&self, purge: PurgeNumber, at: Micros) -> bool {
        self.purge_log.is_in_force(purge, at)
    }

    /// Returns a checksum over all logs; members with equal logs have equal checksums.
    pub fn digest(&self) -> u64 {
        self.purge_log.replica().log_store().checksum()
    }

    /// Returns the last index of each log.
    pub fn log_ends(&self) -> Vec<LogEnd> {
        let ends = self.purge_log.replica().log_store().last_indexes();
        ends.into_iter()
            .map(|LogPosition { log, index }| LogEnd { log, index })
            .collect()
    }

    /// Returns whether the member has all logs up to at least these indexes.
    pub fn has_logs(&self, ends: &[LogEnd]) -> bool {
        let store = self.purge_log.replica().log_store();
        ends.iter()
            .all(|end| store.last_index(end.log) >= end.index)
    }

    /// Returns whether recovery is over, by completion or timeout, and the member is not catching up with its peers.
    pub fn has_recovered(&self) -> bool {
        self.purge_log.has_recovered()
    }

    /// Returns the size of the member's state.
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
