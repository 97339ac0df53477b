//! The status of the shared budgets for `linnetknot fleet budgets`, and the log lines about budgets.

use crate::budgets::{BudgetStatus, GrantStatus, Status, MAX_BUDGETS, MAX_GRANTS};
use crate::daemon::Daemon;
use crate::interconnect::SharedBudget;
use linnetknot::Micros;
use linnetknot_budgets::{Change, Demand, Lease, Member, MemberIndex, OutstandingGrant};
use std::cmp::Ordering;

impl Daemon {
    /// Returns the status of the budgets; `None` if none are shared.
    pub(in crate::daemon) fn budgets_status(&self) -> Option<Status> {
        let member = &self.shared_budgets.as_ref()?.member;
        let config = &self.config.budgets;
        let now = self.clock.now();
        let listed = config.list.iter().enumerate().take(MAX_BUDGETS);
        Some(Status {
            name: self.config.name.clone(),
            members: config.members,
            budgets: listed
                .map(|(index, budget)| self.budget_status(member, now, index, budget))
                .collect(),
            budgets_total: config.list.len(),
        })
    }

    fn budget_status(
        &self,
        member: &Member,
        now: Micros,
        index: usize,
        budget: &SharedBudget,
    ) -> BudgetStatus {
        let spec = member.spec(index).unwrap_or(budget.spec);
        let Lease {
            amount: lease,
            until,
        } = member.lease(now, index);
        let Demand {
            amount: demand,
            unsettled,
        } = member.demand(index);
        let group = member.group(index);
        let leads = member.leads(now, group);
        let grants = if leads {
            member.outstanding_grants(index)
        } else {
            Vec::new()
        };
        BudgetStatus {
            name: budget.name.clone(),
            unit: budget.unit.name().to_owned(),
            limit: spec.limit,
            reserved: spec.reserved,
            lease,
            ends_in_ms: (until != Micros::MAX).then_some(until.saturating_sub(now) / 1000),
            demand,
            unsettled,
            allocator: self.member_name(member.allocator(now, group)),
            leads,
            reserved_only: until == Micros::MAX,
            granted_total: grants.iter().map(|grant| grant.amount).sum(),
            holders: grants.len(),
            granted: grants
                .iter()
                .take(MAX_GRANTS)
                .map(|grant| self.grant_status(grant))
                .collect(),
        }
    }

    fn grant_status(&self, grant: &OutstandingGrant) -> GrantStatus {
        GrantStatus {
            name: self.member_name(grant.holder),
            amount: grant.amount,
        }
    }

    /// Returns the name of a member, or its address until the name is known.
    fn member_name(&self, index: MemberIndex) -> String {
        let own = self.config.budgets.index;
        let peer = match index.cmp(&own) {
            Ordering::Equal => return self.config.name.clone(),
            Ordering::Less => index,
            Ordering::Greater => index - 1,
        };
        let member = self
            .membership
            .as_ref()
            .and_then(|membership| membership.members().get(peer));
        let name = member
            .and_then(|member| member.names.as_ref())
            .map(|names| names.name.clone());
        let address = || {
            self.config
                .replication
                .machines
                .get(peer)
                .map(|(address, _)| address.to_string())
        };
        name.or_else(address).unwrap_or_default()
    }

    pub(super) fn log_change(&self, change: Change) {
        let Some(shared) = &self.shared_budgets else {
            return;
        };
        match change {
            Change::Leader { group, leads } => self.log_leadership(&shared.member, group, leads),
            Change::ReservedOnly {
                budget,
                active: true,
            } => {
                let name = self.config.budgets.list[budget].name.as_str();
                let reserved = shared.member.spec(budget).map_or(0, |spec| spec.reserved);
                log::warn!(
                    budget = name, reserved = reserved;
                    "budget has no valid lease: only the reserved minimum may be spent"
                );
            }
            Change::ReservedOnly {
                budget,
                active: false,
            } => {
                let name = self.config.budgets.list[budget].name.as_str();
                log::info!(budget = name; "budget has a valid lease again");
            }
        }
    }

    fn log_leadership(&self, member: &Member, group: usize, leads: bool) {
        let budgets = self.config.budgets.list.iter().enumerate();
        let of_group = budgets.filter(|(index, _)| member.group(*index) == group);
        let names: Vec<&str> = of_group.map(|(_, budget)| budget.name.as_str()).collect();
        if !names.is_empty() {
            log::info!(budgets = names.join(" ").as_str(), leads = leads; "allocator of budgets changed");
        }
    }

    /// Logs the counters of leases at shutdown.
    pub(in crate::daemon) fn log_budgets(&self) {
        let Some(shared) = &self.shared_budgets else {
            return;
        };
        let counters = shared.member.counters();
        log::info!(
            granted = counters.granted, accepted = counters.accepted, stale = counters.stale,
            misdirected = counters.misdirected;
            "leases of shared budgets"
        );
    }
}
