//! The configuration that all hollow members of one fleet have in common.

use crate::scale::run::{DisabledParts, Run};
use crate::scale::target::Target;
use linnetknot_budgets::kinds::{self, Unit};
use linnetknot_budgets::spec::BudgetSpec;
use linnetknot_budgets::Options as BudgetOptions;
use linnetknot_daemon::interconnect::{CopiesFile, Replication};
use linnetknot_daemon::limits::Limits;
use linnetknot_discovery::server_id;
use linnetknot_replication::Options as ReplicationOptions;

/// Descriptors and megabytes of a proxy's machine: they decide on clients, and on nothing that a hollow member has.
const DESCRIPTORS: usize = 1_024;
const MEMORY_MB: usize = 256;

/// A member's names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberName {
    /// Its own.
    pub name: String,
    /// The machine that it stands on.
    pub machine: String,
    /// By which its log and its claims are known.
    pub id: u64,
    /// The machine's.
    pub machine_id: u64,
    /// Its zone.
    pub zone: usize,
}

/// A budget that all members share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBudget {
    /// What its amounts count.
    pub unit: Unit,
    /// Its limit and the minimum that is reserved for each member.
    pub spec: BudgetSpec,
    /// The zone whose members spend of it; none: all do.
    pub zone: Option<usize>,
}

/// What all members have in common.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// All members, by their index.
    pub members: Vec<MemberName>,
    /// The budgets: the origin's, the cold parents', and one of cold caches for each zone of the target.
    pub budgets: Vec<SharedBudget>,
    /// Stands for what is shared, and among how many: members with another one do not share.
    pub budget_fingerprint: u64,
    /// Bounds of the logs, by which the daemon runs them.
    pub replication: ReplicationOptions,
    /// The daemon's bounds.
    pub limits: Limits,
}

/// What a commit waits for, where an operator's file says nothing of it.
fn commitments() -> Replication {
    let CopiesFile {
        min_acks,
        commit_timeout_ms,
        ..
    } = CopiesFile::default();
    let replication_factor = ReplicationOptions::default().replication_factor;
    Replication {
        enabled: true,
        min_acks,
        replication_factor,
        commit_timeout_us: commit_timeout_ms * 1_000,
        ..Replication::default()
    }
}

fn shared_budgets(members: usize, target: &Target) -> Vec<SharedBudget> {
    let figures = &target.budgets;
    let all = kinds::CACHES.unit.scale();
    let reserved = (figures.cold_reserved_share * all as f64 / members as f64) as u64;
    let cold = BudgetSpec {
        limit: all,
        reserved,
        settling_us: figures.cold_settling_ms * 1_000,
    };
    let limit = figures.origin_requests_per_proxy * members as u64;
    let origin = BudgetSpec {
        limit,
        reserved: 1,
        settling_us: figures.origin_settling_ms * 1_000,
    };
    let mut list = vec![
        SharedBudget {
            unit: kinds::ORIGIN.unit,
            spec: origin,
            zone: None,
        },
        SharedBudget {
            unit: kinds::PARENTS.unit,
            spec: cold,
            zone: None,
        },
    ];
    let of_zone = |zone| SharedBudget {
        unit: kinds::CACHES.unit,
        spec: cold,
        zone: Some(zone),
    };
    list.extend((0..target.zones).map(of_zone));
    list
}

impl FleetConfig {
    /// The configuration of members that stand in these zones.
    pub fn new(zones: &[usize], target: &Target, disabled: DisabledParts) -> Self {
        let limits = Limits::for_machine(DESCRIPTORS, MEMORY_MB);
        let replication = limits.replication(&commitments());
        let member = |(index, zone): (usize, &usize)| {
            let (name, machine) = (format!("edge-{index:05}"), format!("host-{index:05}"));
            let (id, machine_id) = (server_id(&name), server_id(&machine));
            MemberName {
                name,
                machine,
                id,
                machine_id,
                zone: *zone,
            }
        };
        FleetConfig {
            members: zones.iter().enumerate().map(member).collect(),
            budgets: if disabled.budgets {
                Vec::new()
            } else {
                shared_budgets(zones.len(), target)
            },
            budget_fingerprint: zones.len() as u64,
            replication,
            limits,
        }
    }

    /// The configuration of a run's members, that stand in these zones.
    pub fn of(run: &Run, zones: &[usize]) -> Self {
        let mut config = FleetConfig::new(zones, &run.target, run.disabled);
        if let Some(entries) = run.exact_entries {
            config.replication.max_exact_entries = entries;
        }
        config
    }

    /// All budgets as they are configured.
    pub fn budget_specs(&self) -> Vec<BudgetSpec> {
        self.budgets.iter().map(|budget| budget.spec).collect()
    }

    /// Times of the budgets' core.
    pub fn budget_options(&self) -> BudgetOptions {
        let settling_us = self
            .budgets
            .iter()
            .map(|budget| budget.spec.settling_us)
            .max()
            .unwrap_or(0);
        BudgetOptions::default().with_settling_time(settling_us)
    }

    /// The peers of a member, in the order of its list.
    pub fn peers_of(&self, index: usize) -> impl Iterator<Item = &MemberName> {
        self.members
            .iter()
            .enumerate()
            .filter(move |(peer, _)| *peer != index)
            .map(|(_, member)| member)
    }
}
