//! The section `budgets`: the limits that all proxies share.

use super::validation::range;
use super::{InterconnectError, PeerAddresses, Result};
use linnetknot::{Budget, Micros, Settings};
use linnetknot_budgets::{kinds, spec::BudgetSpec};
use schemars::JsonSchema;
use serde::Deserialize;

/// The largest limit of the origin, in requests at a time.
const MAX_ORIGIN_REQUESTS: u64 = 1_000_000;

/// What all proxies spend together, divided among them so that their parts never sum to more than the whole. Needs
/// `peers.copies`, by which proxies know each other. The same at all of them.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetsFile {
    /// Requests that the origin holds at a time; null: each proxy guesses by what it hears.
    pub origin: Option<OriginFile>,
    /// What cold boxes and hub caches bear is divided by need, and not in as many equal parts as there are proxies.
    pub cold: bool,
    /// Share of what cold servers bear that is set aside, in equal parts for all proxies, whatever they can reach.
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

/// Requests that the origin holds at a time.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OriginFile {
    /// Of all proxies together.
    #[schemars(range(min = 1, max = 1_000_000))]
    // The file's key `whole` stands for the limit.
    #[serde(rename = "whole")]
    pub limit: u64,
    /// Set aside of that for each proxy in `peers`, whatever it can reach.
    // The file's key `floor` stands for the reserved minimum.
    #[serde(rename = "floor", default = "one")]
    #[schemars(range(min = 0, max = 1_000_000))]
    pub reserved: u64,
}

fn one() -> u64 {
    1
}

/// One thing that is shared.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedBudget {
    /// Its name.
    pub name: String,
    /// What its amounts count.
    pub unit: kinds::Unit,
    /// What the module knows it as; none: it is another zone's.
    pub module_budget: Option<linnetknot::Budget>,
    /// Its limit and reserved minimum.
    pub spec: BudgetSpec,
}

/// What is shared, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Budgets {
    /// This proxy's index in the list of all.
    pub index: usize,
    /// How many are in it.
    pub members: usize,
    /// Stands for what is shared among how many: whose is another does not share with this proxy.
    pub fingerprint: u64,
    /// What is shared.
    pub list: Vec<SharedBudget>,
}

impl Budgets {
    /// How long a request may be open at most, whatever its client says; none: places at the origin are not shared, so
    /// that it need not be bounded.
    pub fn max_request_us(&self) -> Option<Micros> {
        let origin = self
            .list
            .iter()
            .find(|shared| shared.module_budget == Some(Budget::Origin));
        origin.map(|shared| shared.spec.settling_us)
    }
}

impl BudgetsFile {
    /// What the daemon uses, for these settings and the peers of the configuration.
    ///
    /// # Errors
    /// Fails on a number out of range, without replication, and where this proxy is not among the peers.
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
        // Without peers a file is checked by itself, and nothing can be said of how many share.
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

    /// What caches in slow start take: of the parents, and of the caches of each zone.
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
    /// The origin's requests as a budget of so many members.
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

/// Stands for what is shared among how many. A limit may differ for a while, as it is changed at one proxy after the
/// other: it is left out.
fn fingerprint(members: usize, list: &[SharedBudget]) -> u64 {
    let mut text = members.to_string();
    for SharedBudget { name, spec, .. } in list {
        text += &format!("\n{name} {} {}", spec.reserved, spec.settling_us);
    }
    linnetknot_discovery::server_id(&text)
}
