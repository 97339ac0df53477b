//! Checks of the rules during and at the end of a run.

use super::{
    Event, Simulation, ALLOCATOR_SAMPLE_INTERVAL_US, BUDGET_CHECK_INTERVAL_US, MAX_SETTLING_US,
    START, STATE_COMPARISON_INTERVAL_US,
};
use crate::scale::fault::joiner;
use crate::scale::hollow::{HollowMember, StateSize};
use crate::scale::layout::MemberIndex;
use crate::scale::prefill;
use crate::scale::verdict::Rule;
use linnetknot_simnet::Micros;
use std::collections::BTreeMap;

impl Simulation<'_> {
    pub(super) fn check_purge(&mut self, purge: u64) {
        let Some(record) = self.purges.get(purge).filter(|record| !record.is_abandoned) else {
            return;
        };
        let (writer, issued_at) = (record.writer, record.issued_at);
        for member in 0..self.nodes.len() {
            if self.has_purge(purge, issued_at, member) || self.nodes[member].member.is_none() {
                continue;
            }
            if self.connected_since(member, writer, issued_at) <= issued_at {
                let example =
                    || format!("purge {purge}, issued at member {writer}, at member {member}");
                self.verdict.add(Rule::PurgeInTime, example);
            }
        }
    }

    /// Returns whether a purge is in force at a member, either through its log or through the compact table of a
    /// snapshot.
    fn has_purge(&self, purge: u64, issued_at: Micros, member: MemberIndex) -> bool {
        let holds = |node: &HollowMember| node.is_in_force(purge, issued_at);
        self.purges.has(purge, member) || self.nodes[member].member.as_ref().is_some_and(holds)
    }

    /// Returns each purge that must reach all of `members`, paired with each member at which it is not in force.
    fn missing_purges<'a>(
        &'a self,
        members: &'a [MemberIndex],
    ) -> impl Iterator<Item = (u64, MemberIndex)> + 'a {
        let missing = self.purges.missing(members);
        missing.filter(|(purge, member)| {
            let issued_at = self.purges.get(*purge).map_or(0, |record| record.issued_at);
            !self.has_purge(*purge, issued_at, *member)
        })
    }

    pub(super) fn running(&self) -> impl Iterator<Item = (MemberIndex, &HollowMember)> + '_ {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(index, node)| node.member.as_ref().map(|member| (index, member)))
    }

    pub(super) fn check_budgets(&mut self) {
        self.queue
            .schedule(self.now + BUDGET_CHECK_INTERVAL_US, Event::CheckBudgets);
        for number in 0..self.config.budgets.len() {
            let limit = self.config.budgets[number].spec.limit;
            let sum: u64 = self
                .running()
                .map(|(_, member)| member.may_spend(number, self.now))
                .sum();
            if sum > limit {
                let example = || format!("budget {number}: {sum} of {limit}");
                self.verdict.add(Rule::BudgetLimit, example);
            }
        }
    }

    pub(super) fn sample_allocators(&mut self) {
        if !self.is_measured() {
            return;
        }
        self.queue.schedule(
            self.now + ALLOCATOR_SAMPLE_INTERVAL_US,
            Event::SampleAllocators,
        );
        let allocators = self
            .running()
            .filter(|(_, member)| member.is_allocator(self.now));
        let allocators: Vec<MemberIndex> = allocators.map(|(index, _)| index).collect();
        self.allocators.extend(allocators);
    }

    pub(super) fn states(&self) -> BTreeMap<MemberIndex, StateSize> {
        self.running()
            .map(|(index, member)| (index, member.state_size()))
            .collect()
    }

    /// Runs until all members have all purges and identical logs, and returns how long that took. Then waits until all
    /// deaths are detected.
    pub(super) fn settle(&mut self) -> Option<Micros> {
        let until = self.window.until + MAX_SETTLING_US;
        while !self.is_settled() {
            // Members without room for an entry never converge.
            if self.now >= until || self.verdict.breaks(Rule::PurgeHasRoom) {
                return None;
            }
            self.run_until(self.now + STATE_COMPARISON_INTERVAL_US);
        }
        let settled = self.now - self.window.until;
        while !self.deaths_are_known() && self.now < until {
            self.run_until(self.now + STATE_COMPARISON_INTERVAL_US);
        }
        Some(settled)
    }

    /// Returns whether each crashed member that stayed down is considered dead by all members running since before the
    /// crash. Members started later never saw the crashed process.
    pub(super) fn deaths_are_known(&self) -> bool {
        let is_known = |victim: MemberIndex, crashed_at: Micros| {
            let mut observers = self.running().map(|(observer, _)| observer);
            observers.all(|observer| {
                let ran_then = self.nodes[observer].running_since <= crashed_at;
                !ran_then || self.deaths_known.contains(&(observer, victim))
            })
        };
        let mut nodes = self.nodes.iter().enumerate();
        nodes.all(|(victim, node)| {
            node.crashed_at
                .is_none_or(|crashed_at| is_known(victim, crashed_at))
        })
    }

    pub(super) fn is_settled(&self) -> bool {
        let mut digests = self.running().map(|(_, member)| member.digest());
        let first = digests.next();
        if digests.any(|digest| Some(digest) != first) || self.joining.is_some() {
            return false;
        }
        let running: Vec<MemberIndex> = self.running().map(|(index, _)| index).collect();
        let is_missing = self.missing_purges(&running).next().is_some();
        !is_missing
    }

    pub(super) fn check_end_state(&mut self) {
        let running: Vec<MemberIndex> = self.running().map(|(index, _)| index).collect();
        let missing: Vec<(u64, MemberIndex)> = self.missing_purges(&running).collect();
        let joiner = joiner(self.run.fault, self.network.layout());
        let compacted = prefill::compacted(self.run, &self.config, START).map(|c| (c.purge, c.at));
        let lost: Vec<u64> = match joiner.and_then(|joiner| self.nodes[joiner].member.as_ref()) {
            Some(joiner) => compacted
                .filter(|(purge, at)| !joiner.is_in_force(*purge, *at))
                .map(|c| c.0)
                .collect(),
            None => Vec::new(),
        };
        for purge in lost {
            self.verdict.add(Rule::PurgeEverywhere, || {
                format!("compacted purge {purge} at the joining member")
            });
        }
        for (purge, member) in missing {
            self.verdict.add(Rule::PurgeEverywhere, || {
                format!("purge {purge} at member {member}")
            });
        }
        let mut by_digest = BTreeMap::<u64, Vec<MemberIndex>>::new();
        for (index, member) in self.running() {
            by_digest.entry(member.digest()).or_default().push(index);
        }
        let states = by_digest.len();
        let mut groups: Vec<Vec<MemberIndex>> = by_digest.into_values().collect();
        // The largest group of members with identical logs is the reference for the others.
        groups.sort_by_key(Vec::len);
        groups.pop();
        for member in groups.into_iter().flatten() {
            let example = || format!("member {member}; {states} different states in all");
            self.verdict.add(Rule::SameState, example);
        }
    }
}
