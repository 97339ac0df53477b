//! The section `budgets`: limits that all proxies share.

use super::validation::range;
use super::{InterconnectError, PeerAddresses, Result};
use linnetknot::{Budget, Micros, Settings};
use linnetknot_budgets::{kinds, spec::BudgetSpec};
use schemars::JsonSchema;
use serde::Deserialize;

/// The maximum limit of the origin, in concurrent requests.
const MAX_ORIGIN_REQUESTS: u64 = 1_000_000;

/// The budgets that all proxies share. They are divided among the proxies so that the parts never exceed the limit.
/// Requires `peers.copies`. Must be the same at all proxies.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetsFile {
    /// The concurrent requests of the origin; null: each proxy estimates them by the responses that it gets.
    pub origin: Option<OriginFile>,
    /// Whether the load of caches and parents in slow start is divided by demand, instead of in equal parts.
    pub cold: bool,
    /// The share of the load of servers in slow start that is reserved in equal parts for all proxies.
    #[schemars(range(min = 0.01, max = 1.0))]
    // The file's key `cold_floors` stands for the share that is reserved.
    #[serde(rename = "cold_floors")]
    pub cold_reserved: f64,
}

impl Default for BudgetsFile {
    fn default() -> Self {
        BudgetsFile {
            origin: None,
            cold: false,
            cold_reserved: 0.25,
        }
    }
}

/// The concurrent requests of the origin.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OriginFile {
    /// The limit for all proxies together.
    #[schemars(range(min = 1, max = 1_000_000))]
    // The file's key `whole` stands for the limit.
    #[serde(rename = "whole")]
    pub limit: u64,
    /// The part of the limit that is reserved for each proxy in `peers`.
    // The file's key `floor` stands for the reserved minimum.
    #[serde(rename = "floor", default = "one")]
    #[schemars(range(min = 0, max = 1_000_000))]
    pub reserved: u64,
}

fn one() -> u64 {
    1
}

/// A shared budget.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedBudget {
    /// The name of the budget.
    pub name: String,
    /// The unit of the amounts of the budget.
    pub unit: kinds::Unit,
    /// The corresponding budget of the decision module; `None` if the budget belongs to another zone.
    pub module_budget: Option<linnetknot::Budget>,
    /// The limit and the reserved minimum.
    pub spec: BudgetSpec,
}

/// The validated section `budgets`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Budgets {
    /// The index of this proxy in the list of all proxies.
    pub index: usize,
    /// The number of proxies.
    pub members: usize,
    /// A hash of the budgets and the number of proxies. Proxies whose hashes differ do not share budgets with each
    /// other.
    pub fingerprint: u64,
    /// The shared budgets; empty if none are configured.
    pub list: Vec<SharedBudget>,
}

impl Budgets {
    /// Returns the maximum time for which a request may be open, regardless of the time budget of its client; `None` if
    /// the concurrent requests of the origin are not a shared budget.
    pub fn max_request_us(&self) -> Option<Micros> {
        let origin = self
            .list
            .iter()
            .find(|shared| shared.module_budget == Some(Budget::Origin));
        origin.map(|shared| shared.spec.settling_us)
    }
}

impl BudgetsFile {
    /// Validates the section against the settings and the peers of the configuration.
    ///
    /// # Errors
    /// Fails on a number out of range, without replication, and if this proxy is not among the peers.
    pub fn check(
        &self,
        settings: &Settings,
        replicates: bool,
        peers: Option<&PeerAddresses>,
    ) -> Result<Budgets> {
        self.check_ranges()?;
        if self.origin.is_none() && !self.cold {
            return Ok(Budgets::default());
        }
        if !replicates {
            return Err(InterconnectError::BudgetsNeedReplication);
        }
        // If there are no peers, the file is being checked without a configuration, and the number of proxies is
        // unknown.
        let Some(peers) = peers else {
            return Ok(Budgets::default());
        };
        let index = peers.own_index().ok_or(InterconnectError::NotAmongPeers)?;
        let members = peers.all.len();
        let mut list = Vec::new();
        if let Some(origin) = &self.origin {
            list.push(origin.shared(settings, members)?);
        }
        if self.cold {
            list.extend(self.slow_start_budgets(settings, members));
        }
        Ok(Budgets {
            index,
            members,
            fingerprint: fingerprint(members, &list),
            list,
        })
    }

    fn check_ranges(&self) -> Result<()> {
        range("budgets.cold_floors", self.cold_reserved, 0.01, 1.0)?;
        if let Some(origin) = &self.origin {
            range("budgets.origin.whole", origin.limit, 1, MAX_ORIGIN_REQUESTS)?;
            range(
                "budgets.origin.floor",
                origin.reserved,
                0,
                MAX_ORIGIN_REQUESTS,
            )?;
        }
        Ok(())
    }

    /// Returns the budgets for servers in slow start: one for the parents, and one for the caches of each zone.
    fn slow_start_budgets(&self, settings: &Settings, members: usize) -> Vec<SharedBudget> {
        let limit = kinds::CACHES.unit.scale();
        let spec = BudgetSpec {
            limit,
            reserved: (self.cold_reserved * limit as f64 / members as f64) as u64,
            settling_us: settings.rules.overload_window_us,
        };
        let parents = settings
            .parent_kind
            .as_ref()
            .map(|_| SharedBudget::new(kinds::PARENTS, "", Some(Budget::Parents), spec));
        let caches = settings.zones.iter().enumerate().map(|(index, zone)| {
            let module_budget = (index == settings.zone).then_some(Budget::Caches);
            SharedBudget::new(kinds::CACHES, &zone.name, module_budget, spec)
        });
        parents.into_iter().chain(caches).collect()
    }
}

impl OriginFile {
    /// Returns the budget of the concurrent requests of the origin, for this number of members.
    fn shared(&self, settings: &Settings, members: usize) -> Result<SharedBudget> {
        let deadlines = settings.classes.iter().map(|class| class.deadline_us);
        let spec = BudgetSpec {
            limit: self.limit,
            reserved: self.reserved,
            settling_us: deadlines.max().unwrap_or(0),
        };
        spec.leasable_amount(members)
            .map_err(|source| InterconnectError::OriginLimit {
                limit: spec.limit,
                source,
            })?;
        Ok(SharedBudget::new(
            kinds::ORIGIN,
            "",
            Some(Budget::Origin),
            spec,
        ))
    }
}

impl SharedBudget {
    fn new(kind: kinds::Kind, zone: &str, module_budget: Option<Budget>, spec: BudgetSpec) -> Self {
        let name = if zone.is_empty() {
            kind.name.to_owned()
        } else {
            format!("{}:{zone}", kind.name)
        };
        SharedBudget {
            name,
            unit: kind.unit,
            module_budget,
            spec,
        }
    }
}

/// Hashes the budgets and the number of members. Limits are excluded, because they differ temporarily while they are
/// changed at one proxy after another.
fn fingerprint(members: usize, list: &[SharedBudget]) -> u64 {
    let mut text = members.to_string();
    for SharedBudget { name, spec, .. } in list {
        text += &format!("\n{name} {} {}", spec.reserved, spec.settling_us);
    }
    linnetknot_discovery::server_id(&text)
}
