//! Target figures of a fleet, read from a JSON file: size, load, limits and link conditions.

use linnetknot_simnet::LinkConditions;
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

const BUILT_IN: &str = include_str!("../../targets/fleet.json");

/// Reason why a target cannot be used.
#[derive(Debug, Error)]
pub enum TargetError {
    /// The file cannot be read.
    #[error("{0}")]
    Read(std::io::Error),
    /// The file is not a valid target; the message names the offending key.
    #[error("{0}")]
    Parse(serde_path_to_error::Error<serde_json::Error>),
    /// A figure that must be positive is 0.
    #[error("{0}: must be above 0")]
    Zero(&'static str),
}

/// Resources that a proxy may spend on control traffic and its processing.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlLimits {
    /// Percentage of one core.
    pub processor_percent: f64,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Kilobytes sent and received per second, with IP and UDP headers.
    pub kilobytes_per_second: f64,
    /// Number of machines dedicated to control.
    pub control_machines: u32,
}

/// Rates and durations of faults.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRates {
    /// Machines that fail per day.
    pub failures_per_day: f64,
    /// Proxies that are restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Duration of a disconnection between two regions, in seconds.
    pub regions_apart_seconds: u64,
    /// Proxies behind one switch.
    pub proxies_per_rack: usize,
}

/// Figures of the budgets that the proxies share.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetFigures {
    /// Concurrent requests that the origin accepts, per proxy.
    pub origin_requests_per_proxy: u64,
    /// Longest time that a request occupies the origin.
    pub origin_settling_ms: u64,
    /// Time that a request occupies a cold cache.
    pub cold_settling_ms: u64,
    /// Fraction of the cold-cache budgets that is reserved, split equally among all proxies.
    pub cold_reserved_share: f64,
}

/// Link conditions by the distance between the ends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFigures {
    /// Links within a site.
    pub site: LinkClass,
    /// Links between sites of one zone.
    pub zone: LinkClass,
    /// Links between zones of one region.
    pub region: LinkClass,
    /// Links between regions.
    pub between_regions: LinkClass,
}

/// Serialized form of [`LinkConditions`].
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

/// Target figures of a fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Number of edge proxies.
    pub proxies: usize,
    /// Number of sites.
    pub sites: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of pop caches behind the proxies.
    pub caches: usize,
    /// Purges per second across the whole fleet, independent of its size.
    pub purges_per_second: u64,
    /// Time within which a purge must be in force everywhere.
    pub purge_limit_ms: u64,
    /// Configuration changes per day.
    pub configuration_changes_per_day: u64,
    /// Time within which a configuration change must be in force everywhere.
    pub configuration_limit_ms: u64,
    /// Limits of the resources for control.
    pub limits: ControlLimits,
    /// Rates and durations of faults.
    pub faults: FaultRates,
    /// Figures of the shared budgets.
    pub budgets: BudgetFigures,
    /// Link conditions.
    pub links: LinkFigures,
}

impl Target {
    /// Loads a target from a file, or the built-in target if there is none.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a valid target.
    pub fn load(file: Option<&Path>) -> Result<Self, TargetError> {
        let text = file
            .map(std::fs::read_to_string)
            .transpose()
            .map_err(TargetError::Read)?;
        Self::parse(text.as_deref().unwrap_or(BUILT_IN))
    }

    /// Parses a target from JSON.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid target.
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
