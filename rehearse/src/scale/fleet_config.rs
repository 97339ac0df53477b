//! Configuration shared by all hollow members of a fleet (simulated proxies without clients or sockets).

use crate::scale::run::{DisabledParts, Run};
use crate::scale::target::Target;
use linnetknot_budgets::kinds::{self, Unit};
use linnetknot_budgets::spec::BudgetSpec;
use linnetknot_budgets::Options as BudgetOptions;
use linnetknot_daemon::interconnect::{CopiesFile, Replication};
use linnetknot_daemon::limits::Limits;
use linnetknot_discovery::server_id;
use linnetknot_replication::Options as ReplicationOptions;

/// Resources of each proxy's machine, from which the daemon derives its limits on client traffic. Hollow members have
/// no client traffic, so the values do not affect the results.
const DESCRIPTORS: usize = 1_024;
const MEMORY_MB: usize = 256;

/// Names and identifiers of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberName {
    /// Name of the member.
    pub name: String,
    /// Name of the machine that hosts it.
    pub machine: String,
    /// Identifier of the member as a log writer and in membership claims.
    pub id: u64,
    /// Identifier of the machine.
    pub machine_id: u64,
    /// Index of the member's zone.
    pub zone: usize,
}

/// Budget shared by the members of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBudget {
    /// Unit of the budget's amounts.
    pub unit: Unit,
    /// Limit of the budget and the minimum reserved for each member.
    pub spec: BudgetSpec,
    /// Zone whose members spend from the budget, or `None` if all members do.
    pub zone: Option<usize>,
}

/// Configuration that all members of a fleet have in common.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// All members, by index.
    pub members: Vec<MemberName>,
    /// Budgets for the origin, for cold parents, and for the cold caches of each zone of the target.
    pub budgets: Vec<SharedBudget>,
    /// Fingerprint of the shared budgets and of the fleet size. Members exchange budgets only with members that have
    /// the same fingerprint.
    pub budget_fingerprint: u64,
    /// Replication settings, with the daemon's limits.
    pub replication: ReplicationOptions,
    /// The daemon's limits.
    pub limits: Limits,
}

/// Returns the replication settings that the daemon uses by default.
fn default_replication() -> Replication {
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
    /// Builds the configuration of members in these zones, one zone index per member.
    pub fn new(zones: &[usize], target: &Target, disabled: DisabledParts) -> Self {
        let limits = Limits::for_machine(DESCRIPTORS, MEMORY_MB);
        let replication = limits.replication(&default_replication());
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

    /// Builds the configuration of a run's members in these zones.
    pub fn of(run: &Run, zones: &[usize]) -> Self {
        let mut config = FleetConfig::new(zones, &run.target, run.disabled);
        if let Some(entries) = run.exact_entries {
            config.replication.max_exact_entries = entries;
        }
        config
    }

    /// Returns the specifications of all budgets.
    pub fn budget_specs(&self) -> Vec<BudgetSpec> {
        self.budgets.iter().map(|budget| budget.spec).collect()
    }

    /// Returns the options of the budget protocol. The settling time is the longest of all budgets.
    pub fn budget_options(&self) -> BudgetOptions {
        let settling_us = self
            .budgets
            .iter()
            .map(|budget| budget.spec.settling_us)
            .max()
            .unwrap_or(0);
        BudgetOptions::default().with_settling_time(settling_us)
    }

    /// Returns the peers of a member, in the order of its peer list.
    pub fn peers_of(&self, index: usize) -> impl Iterator<Item = &MemberName> {
        self.members
            .iter()
            .enumerate()
            .filter(move |(peer, _)| *peer != index)
            .map(|(_, member)| member)
    }
}
