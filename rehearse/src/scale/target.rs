//! The figures that a fleet is measured against, as one file has them: its size, its load, its limits and its links.

use linnetknot_simnet::LinkConditions;
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// The target that is built in.
const BUILT_IN: &str = include_str!("../../targets/fleet.json");

/// Why a target can't be used.
#[derive(Debug, Error)]
pub enum TargetError {
    /// The file can't be read.
    #[error("{0}")]
    Read(std::io::Error),
    /// It is no target: the key at fault is in the message.
    #[error("{0}")]
    Parse(serde_path_to_error::Error<serde_json::Error>),
    /// A figure that must be positive is 0.
    #[error("{0}: must be above 0")]
    Zero(&'static str),
}

/// What a proxy may spend for control.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlLimits {
    /// Of one core.
    pub processor_percent: f64,
    /// Resident memory.
    pub memory_mb: f64,
    /// Sent and received together, with the headers of IP and UDP.
    pub kilobytes_per_second: f64,
    /// Machines that are set aside for control.
    pub control_machines: u32,
}

/// How often what fails.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRates {
    /// Machines that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Proxies that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// How long two regions lose each other.
    pub regions_apart_seconds: u64,
    /// Proxies behind one switch.
    pub proxies_per_rack: usize,
}

/// What the proxies spend together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetFigures {
    /// Requests that the origin holds at a time, for each proxy.
    pub origin_requests_per_proxy: u64,
    /// How long such a request is held at most.
    pub origin_settling_ms: u64,
    /// How long work for a cold cache occupies it.
    pub cold_settling_ms: u64,
    /// Share of the budgets of cold caches that is reserved for all proxies, in equal parts.
    pub cold_reserved_share: f64,
}

/// Conditions of a link by the distance between its ends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFigures {
    /// Within a site.
    pub site: LinkClass,
    /// Between sites of one zone.
    pub zone: LinkClass,
    /// Between zones of one region.
    pub region: LinkClass,
    /// Between regions.
    pub between_regions: LinkClass,
}

/// `LinkConditions`, as the file has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkClass {
    delay_us: u64,
    spread_us: u64,
    jitter_us: u64,
    loss_ppm: u64,
    duplication_ppm: u64,
    reordering_ppm: u64,
}

impl From<LinkClass> for LinkConditions {
    fn from(class: LinkClass) -> Self {
        LinkConditions {
            delay_us: class.delay_us,
            spread_us: class.spread_us,
            jitter_us: class.jitter_us,
            loss_ppm: class.loss_ppm,
            duplication_ppm: class.duplication_ppm,
            reordering_ppm: class.reordering_ppm,
        }
    }
}

/// The target.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Edge proxies.
    pub proxies: usize,
    /// Their sites.
    pub sites: usize,
    /// The zones of those.
    pub zones: usize,
    /// The regions of those.
    pub regions: usize,
    /// Pop caches behind the proxies.
    pub caches: usize,
    /// Purges told to the whole fleet in a second, whatever its size.
    pub purges_per_second: u64,
    /// A purge is done everywhere within this.
    pub purge_limit_ms: u64,
    /// Changes of configuration.
    pub configuration_changes_per_day: u64,
    /// A change of configuration is in force everywhere within this.
    pub configuration_limit_ms: u64,
    /// What control may cost.
    pub limits: ControlLimits,
    /// How often what fails.
    pub faults: FaultRates,
    /// What the proxies spend together.
    pub budgets: BudgetFigures,
    /// Links.
    pub links: LinkFigures,
}

impl Target {
    /// The target that is built in, or the one of a file.
    ///
    /// # Errors
    /// Where the file can't be read or is no target.
    pub fn load(file: Option<&Path>) -> Result<Self, TargetError> {
        let text = file
            .map(std::fs::read_to_string)
            .transpose()
            .map_err(TargetError::Read)?;
        Self::parse(text.as_deref().unwrap_or(BUILT_IN))
    }

    /// Reads a target.
    ///
    /// # Errors
    /// Where the text is none.
    pub fn parse(text: &str) -> Result<Self, TargetError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let target: Target =
            serde_path_to_error::deserialize(&mut json).map_err(TargetError::Parse)?;
        let positive = [
            ("proxies", target.proxies as u64),
            ("sites", target.sites as u64),
            ("zones", target.zones as u64),
            ("regions", target.regions as u64),
            ("purges_per_second", target.purges_per_second),
            ("purge_limit_ms", target.purge_limit_ms),
            (
                "faults.proxies_per_rack",
                target.faults.proxies_per_rack as u64,
            ),
        ];
        match positive.into_iter().find(|(_, figure)| *figure == 0) {
            Some((key, _)) => Err(TargetError::Zero(key)),
            None => Ok(target),
        }
    }
}
