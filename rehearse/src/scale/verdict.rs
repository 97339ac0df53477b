//! Rules that a run is checked against, and their violations.

use serde::Serialize;
use std::collections::BTreeMap;

/// Rule that a run is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Within the purge limit, a purge is in force at each member that is running and connected.
    PurgeInTime,
    /// At the end, a purge is in force at each running member.
    PurgeEverywhere,
    /// The writer and all replicas have room for each purge.
    PurgeHasRoom,
    /// Each purge is committed unless its writer crashed.
    PurgeCommitted,
    /// Connected members have the same logs once the time allowed for convergence after the run is over.
    SameState,
    /// The sum of all members' leases never exceeds a budget's limit.
    BudgetLimit,
}

impl Rule {
    /// Returns the message for a violation of the rule.
    pub fn verdict(self) -> &'static str {
        match self {
            Rule::PurgeInTime => "WRONG: a connected member lacks a purge when its time is over",
            Rule::PurgeEverywhere => "WRONG: a member lacks a purge in the end",
            Rule::PurgeHasRoom => "REFUSED: there is no room for a purge",
            Rule::PurgeCommitted => "WRONG: a purge is not committed",
            Rule::SameState => "WRONG: members' logs differ after the quiet time",
            Rule::BudgetLimit => "WRONG: members may spend more than a budget's limit",
        }
    }
}

/// Number of violations of a rule, and a description of the first violation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Number of violations.
    pub count: u64,
    /// Description of the first violation.
    pub first: String,
}

/// All violations of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Violations by rule.
    pub violations: BTreeMap<Rule, Violation>,
}

impl Verdict {
    /// Records a violation. `example` is called only for the first violation of each rule.
    pub fn add(&mut self, rule: Rule, example: impl FnOnce() -> String) {
        let violation = self.violations.entry(rule);
        violation
            .or_insert_with(|| Violation {
                count: 0,
                first: example(),
            })
            .count += 1;
    }

    /// Returns whether no rule was broken.
    pub fn is_sound(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns whether a rule was broken.
    pub fn breaks(&self, rule: Rule) -> bool {
        self.violations.contains_key(&rule)
    }
}
