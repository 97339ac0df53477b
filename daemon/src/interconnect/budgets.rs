//! The section `budgets`: the limits that all proxies share.

use super::validation::range;
use super::Result;
use linnetknot::{Budget, Micros, Settings};
use linnetknot_budgets::{kinds, spec::BudgetSpec};
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;

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
pub struct Shared {
    /// Its name.
    pub name: String,
    /// What its amounts count.
    pub unit: kinds::Unit,
    /// What the module knows it as; none: it is another zone's.
    pub of: Option<linnetknot::Budget>,
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
    pub list: Vec<Shared>,
}

impl Budgets {
    /// How long a request may be open at most, whatever its client says; none: places at the origin are not shared, so
    /// that it need not be bounded.
    pub fn longest_open_us(&self) -> Option<Micros> {
        let origin = self
            .list
            .iter()
            .find(|shared| shared.of == Some(Budget::Origin));
        origin.map(|shared| shared.spec.settling_us)
    }
}

impl BudgetsFile {
    /// What the daemon uses, for these settings and the peers of the configuration.
    pub fn check(
        &self,
        settings: &Settings,
        copies: bool,
        peers: Option<&(SocketAddr, Vec<SocketAddr>)>,
    ) -> Result<Budgets> {
        let reserved_share = range("budgets.cold_floors", self.cold_reserved, 0.01, 1.0)?;
        if let Some(origin) = &self.origin {
            range("budgets.origin.whole", origin.limit, 1, 1_000_000)?;
            range("budgets.origin.floor", origin.reserved, 0, 1_000_000)?;
        }
        if self.origin.is_none() && !self.cold {
            return Ok(Budgets::default());
        }
        if !copies {
            return Err(
                "budgets: needs 'peers.copies', by which the proxies know each other".into(),
            );
        }
        // Without peers a file is checked by itself, and nothing can be said of how many share.
        let Some((own, all)) = peers else {
            return Ok(Budgets::default());
        };
        let index = all.iter().position(|peer| peer == own).ok_or(
            "budgets: 'peers' does not name this proxy's own 'peer_listen', by whose place there it is known",
        )?;
        let members = all.len();
        let share = |kind: kinds::Kind, zone: &str, of, spec| {
            let name = if zone.is_empty() {
                kind.name.to_owned()
            } else {
                format!("{}:{zone}", kind.name)
            };
            Shared {
                name,
                unit: kind.unit,
                of,
                spec,
            }
        };
        let mut list = Vec::new();
        if let Some(OriginFile { limit, reserved }) = self.origin {
            let settling_us = settings
                .classes
                .iter()
                .map(|class| class.deadline_us)
                .max()
                .unwrap_or(0);
            let spec = BudgetSpec {
                limit,
                reserved,
                settling_us,
            };
            spec.shared(members)
                .map_err(|e| format!("budgets.origin.whole: {} is {e}", spec.limit))?;
            list.push(share(kinds::ORIGIN, "", Some(Budget::Origin), spec));
        }
        if self.cold {
            let all = kinds::CACHES.unit.one();
            let reserved = (reserved_share * all as f64 / members as f64) as u64;
            let spec = BudgetSpec {
                limit: all,
                reserved,
                settling_us: settings.rules.fall_us,
            };
            if settings.parent_kind.is_some() {
                list.push(share(kinds::PARENTS, "", Some(Budget::Parents), spec));
            }
            for (n, zone) in settings.zones.iter().enumerate() {
                let of = (n == settings.zone).then_some(Budget::Caches);
                list.push(share(kinds::CACHES, &zone.name, of, spec));
            }
        }
        let names = list
            .iter()
            .map(|b| format!("{} {} {}", b.name, b.spec.reserved, b.spec.settling_us));
        let text = names.fold(format!("{members}"), |text, name| text + "\n" + &name);
        Ok(Budgets {
            index,
            members,
            fingerprint: linnetknot_discovery::server_id(&text),
            list,
        })
    }
}
