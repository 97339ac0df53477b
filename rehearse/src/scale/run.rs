//! Parameters of a run.

use crate::scale::fault::Fault;
use crate::scale::layout::MemberIndex;
use crate::scale::target::Target;

/// Features of the daemon that are disabled in a run, to compare its cost without them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledParts {
    /// Disables the budgets that all members share.
    pub budgets: bool,
}

/// Defect that a test injects into a member to check that the verdict detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The member drops all entries and plain purges received from peers.
    DropsPurges,
    /// The member reports twice its lease of each budget as spendable.
    SpendsTwice,
    /// The member never compacts its logs.
    NeverCompacts,
    /// The member drops snapshot chunks received from peers.
    DropsSnapshots,
}

/// Defect and the member that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InjectedDefect {
    /// Member with the defect.
    pub member: MemberIndex,
    /// Injected defect.
    pub defect: Defect,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of members.
    pub members: usize,
    /// Seed of the run; runs with the same seed are identical except for clock readings.
    pub seed: u64,
    /// Seconds of virtual time to measure.
    pub seconds: u64,
    /// Fault to simulate.
    pub fault: Fault,
    /// Target to compare the figures with.
    pub target: Target,
    /// Features of the daemon that are disabled.
    pub disabled: DisabledParts,
    /// Number of purges that a member stores as individual log entries before it compacts the oldest, or `None` for the
    /// daemon's limit.
    pub exact_entries: Option<usize>,
    /// Injected defects; empty outside tests.
    pub injected_defects: Vec<InjectedDefect>,
}
