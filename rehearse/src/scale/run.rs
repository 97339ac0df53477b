//! What is run: so many members, for so long, with a fault and measured against a target.

use crate::scale::fault::Fault;
use crate::scale::layout::MemberIndex;
use crate::scale::target::Target;

/// Parts of the daemon that a trial leaves out, to see what lies behind them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledParts {
    /// The budgets that all members share.
    pub budgets: bool,
}

/// A fault that tests plant in a member: the run's verdict must find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// It drops all entries and plain purges that peers send.
    DropsPurges,
    /// It spends twice its lease of each budget.
    SpendsTwice,
    /// It never compacts its logs.
    NeverCompacts,
    /// It drops the buckets that peers send it.
    DropsSnapshots,
}

/// A fault planted in a member, for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InjectedDefect {
    /// In whom.
    pub member: MemberIndex,
    /// What.
    pub defect: Defect,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Members.
    pub members: usize,
    /// The same seed gives the same run, but for what clocks say.
    pub seed: u64,
    /// Seconds of virtual time that are measured.
    pub seconds: u64,
    /// What happens.
    pub fault: Fault,
    /// What it is measured against.
    pub target: Target,
    /// Parts of the daemon that are left out, in trials.
    pub disabled: DisabledParts,
    /// Entries that a member holds exactly; none: as many as the daemon.
    pub exact_entries: Option<usize>,
    /// Planted faults; none but in tests.
    pub injected_defects: Vec<InjectedDefect>,
}
