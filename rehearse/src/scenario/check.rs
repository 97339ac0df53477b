//! Validation of scenarios. Each error names the path of the invalid key.

use super::{ClassLoad, Fault, NodeForm, Scenario, SiteForm, What};
use linnetknot_harness::links::{ConditionOutOfRange, LinkConditions};
use thiserror::Error;

/// The maximum number of proxies.
const MAX_PROXIES: f64 = 64.0;
const MAX_SECONDS: f64 = 3600.0;
/// The maximum number of arrivals, which are held in memory.
const MAX_ARRIVALS: f64 = 5e6;
/// The tolerance of the sum of the classes' shares.
const SHARE_SUM_TOLERANCE: f64 = 0.001;

/// An invalid value in a scenario.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidScenario {
    /// A value is out of range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The path of its key.
        key: String,
        /// The value.
        value: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// The points of the load's shape are out of order.
    #[error("{key}: {value} does not come after {previous}")]
    NotAscending {
        /// The path of the later point's time.
        key: String,
        /// The time.
        value: f64,
        /// The time of the previous point.
        previous: f64,
    },
    /// A fault stops a proxy without resuming it.
    #[error("{key}: a stall must end")]
    StallWithoutEnd {
        /// The path of the fault's duration.
        key: String,
    },
    /// A value of link conditions is out of range.
    #[error("{key}.{error}")]
    LinkConditions {
        /// The path of the conditions.
        key: String,
        /// The condition and its range.
        error: ConditionOutOfRange,
    },
    /// A link fault in a scenario without peers.
    #[error("{key}: the proxies have no links: 'peers' is off")]
    NoLinks {
        /// The path of the fault.
        key: String,
    },
    /// A stream condition on links that carry datagrams.
    #[error("{key}.{condition}: the proxies send each other datagrams, no streams")]
    StreamCondition {
        /// The path of the conditions.
        key: String,
        /// The condition's key.
        condition: &'static str,
    },
    /// A link fault that covers all proxies.
    #[error("{key}: there are no others than these")]
    NoOtherProxies {
        /// The path of the number of proxies.
        key: String,
    },
    /// An unknown class.
    #[error("{key}: there is no class '{class}'")]
    UnknownClass {
        /// The path of the name.
        key: String,
        /// The name.
        class: String,
    },
}

/// Returns an error unless the value is within the bounds.
fn within(key: String, value: f64, min: f64, max: f64) -> Result<(), InvalidScenario> {
    if value.is_finite() && (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(InvalidScenario::OutOfRange {
            key,
            value,
            min,
            max,
        })
    }
}

impl Scenario {
    /// Validates all values and returns an error for the first invalid one.
    pub(super) fn check(&self) -> Result<(), InvalidScenario> {
        within("seconds".into(), self.seconds, 1.0, MAX_SECONDS)?;
        within("proxies".into(), f64::from(self.proxies), 1.0, MAX_PROXIES)?;
        self.check_load()?;
        for (n, class) in self.load.classes.iter().enumerate() {
            class.check(n)?;
        }
        self.site.check()?;
        for (n, fault) in self.faults.iter().enumerate() {
            FaultCheck {
                scenario: self,
                fault,
                n,
            }
            .check()?;
        }
        Ok(())
    }

    fn check_load(&self) -> Result<(), InvalidScenario> {
        within("load.rate".into(), self.load.rate, 0.1, 100_000.0)?;
        within("load.purges".into(), self.load.purges, 0.0, 1000.0)?;
        within(
            "load.rate times seconds".into(),
            self.load.rate * self.seconds,
            1.0,
            MAX_ARRIVALS,
        )?;
        let mut last = -1.0;
        for (n, (at, factor)) in self.load.shape.iter().enumerate() {
            within(format!("load.shape[{n}][1]"), *factor, 0.0, 1.0)?;
            if *at <= last {
                return Err(InvalidScenario::NotAscending {
                    key: format!("load.shape[{n}][0]"),
                    value: *at,
                    previous: last,
                });
            }
            last = *at;
        }
        let sum: f64 = self.load.classes.iter().map(|c| c.share).sum();
        let (min, max) = (1.0 - SHARE_SUM_TOLERANCE, 1.0 + SHARE_SUM_TOLERANCE);
        within("load.classes: sum of 'share'".into(), sum, min, max)
    }
}

impl ClassLoad {
    /// Validates the class at index `n`.
    fn check(&self, n: usize) -> Result<(), InvalidScenario> {
        let key = |key: &str| format!("load.classes[{n}].{key}");
        within(key("share"), self.share, 0.0, 1.0)?;
        within(key("objects"), self.objects as f64, 1.0, 1e9)?;
        within(key("zipf"), self.zipf, 0.0, 5.0)?;
        within(key("once"), self.once, 0.0, 1.0)?;
        within(key("drift"), self.drift, 0.0, 1e6)?;
        within(key("parts[0]"), self.parts.0 as f64, 1.0, 1000.0)?;
        within(
            key("parts[1]"),
            self.parts.1 as f64,
            self.parts.0 as f64,
            1000.0,
        )?;
        within(key("gap[0]"), self.gap.0, 0.0, 60.0)?;
        within(key("gap[1]"), self.gap.1, self.gap.0, 60.0)?;
        within(key("median_kb"), self.median_kb, 0.0, 1e6)?;
        within(key("sigma"), self.sigma, 0.0, 3.0)?;
        within(key("budget_ms"), self.budget_ms as f64, 1.0, 120_000.0)
    }
}

impl SiteForm {
    fn check(&self) -> Result<(), InvalidScenario> {
        let key = |key: &str| format!("site.{key}");
        within(
            key("boxes_per_proxy"),
            f64::from(self.boxes_per_proxy),
            1.0,
            64.0,
        )?;
        within(key("hubs"), f64::from(self.hubs), 0.0, 16.0)?;
        self.edge_box.check("box")?;
        self.hub.check("hub")?;
        self.origin.check("origin")?;
        within(key("link_per_box"), self.link_per_box, 0.1, 1e4)?;
        within(key("fill_pace"), self.fill_pace, 0.1, 100.0)?;
        within(key("flow_kb_per_s"), self.flow_kb_per_s, 1.0, 1e7)?;
        within(key("near_ms"), self.near_ms, 0.0, 60_000.0)?;
        within(key("far_ms"), self.far_ms, 0.0, 60_000.0)?;
        within(key("origin_ms"), self.origin_ms, 0.0, 60_000.0)?;
        within(key("key_ms"), self.key_ms, 0.0, 3_600_000.0)?;
        within(key("purge_takes_ms"), self.purge_takes_ms, 0.0, 600_000.0)?;
        within(
            key("photo_fresh_ms"),
            self.photo_fresh_ms,
            0.0,
            86_400_000.0,
        )
    }
}

impl NodeForm {
    /// Validates the parameters of the node under this key of the site.
    fn check(&self, name: &str) -> Result<(), InvalidScenario> {
        let key = |key: &str| format!("site.{name}.{key}");
        within(key("slots"), f64::from(self.slots), 1.0, 10_000.0)?;
        within(key("waiting"), f64::from(self.waiting), 0.0, 100_000.0)?;
        within(key("capacity"), self.capacity, 0.1, 1e5)?;
        within(key("memory_kb"), self.memory_kb as f64, 0.0, 1e9)?;
        within(key("fills"), f64::from(self.fills), 1.0, 10_000.0)?;
        within(
            key("fill_timeout_ms"),
            self.fill_timeout_ms as f64,
            1.0,
            600_000.0,
        )
    }
}

/// A fault under validation, with its index in the scenario.
struct FaultCheck<'a> {
    scenario: &'a Scenario,
    fault: &'a Fault,
    n: usize,
}

impl FaultCheck<'_> {
    fn key(&self, key: &str) -> String {
        format!("faults[{}].{key}", self.n)
    }

    fn check(&self) -> Result<(), InvalidScenario> {
        within(self.key("at"), self.fault.at, 0.0, self.scenario.seconds)?;
        within(
            self.key("lasts"),
            self.fault.lasts,
            0.0,
            self.scenario.seconds,
        )?;
        match &self.fault.what {
            What::MassPurge { share } => {
                within(self.key("what.mass-purge.share"), *share, 0.0, 1.0)
            }
            What::BoxDrains { boxes, first }
            | What::BoxDies { boxes, first }
            | What::BoxStalls { boxes, first } => self.check_boxes(*boxes, *first),
            What::SlowOrigin { times } => {
                within(self.key("what.slow-origin.times"), *times, 1.0, 1000.0)
            }
            What::BusBreaks => Ok(()),
            What::ProxyKilled { proxies, first } | What::ProxyStopped { proxies, first } => {
                self.check_proxies(*proxies, *first)
            }
            What::ProxyStalled { proxies, first } => {
                if self.fault.lasts <= 0.0 {
                    return Err(InvalidScenario::StallWithoutEnd {
                        key: self.key("lasts"),
                    });
                }
                self.check_proxies(*proxies, *first)
            }
            What::Links {
                proxies,
                first,
                conditions,
                ..
            } => {
                self.check_links(*proxies, conditions)?;
                self.check_proxies(*proxies, *first)
            }
            What::HotObject { class, share } => self.check_hot_object(class, *share),
        }
    }

    fn check_boxes(&self, boxes: u32, first: u32) -> Result<(), InvalidScenario> {
        let all = self.scenario.site.boxes(self.scenario.proxies) as f64;
        within(self.key("what.first"), f64::from(first), 0.0, all - 1.0)?;
        within(
            self.key("what.boxes"),
            f64::from(boxes),
            1.0,
            all - f64::from(first),
        )
    }

    fn check_proxies(&self, proxies: u32, first: u32) -> Result<(), InvalidScenario> {
        let all = f64::from(self.scenario.proxies);
        within(self.key("what.first"), f64::from(first), 0.0, all - 1.0)?;
        within(
            self.key("what.proxies"),
            f64::from(proxies),
            1.0,
            all - f64::from(first),
        )
    }

    fn check_links(
        &self,
        proxies: u32,
        conditions: &LinkConditions,
    ) -> Result<(), InvalidScenario> {
        let key = self.key("what.links.weather");
        if let Err(error) = conditions.check() {
            return Err(InvalidScenario::LinkConditions { key, error });
        }
        if !self.scenario.peers {
            return Err(InvalidScenario::NoLinks {
                key: self.key("what.links"),
            });
        }
        if let Some(stream) = conditions.stream_only_key() {
            return Err(InvalidScenario::StreamCondition {
                key,
                condition: stream,
            });
        }
        if proxies >= self.scenario.proxies {
            return Err(InvalidScenario::NoOtherProxies {
                key: self.key("what.links.proxies"),
            });
        }
        Ok(())
    }

    fn check_hot_object(&self, class: &str, share: f64) -> Result<(), InvalidScenario> {
        within(self.key("what.hot-object.share"), share, 0.0, 1.0)?;
        if !self.scenario.load.classes.iter().any(|c| c.name == class) {
            return Err(InvalidScenario::UnknownClass {
                key: self.key("what.hot-object.class"),
                class: class.to_owned(),
            });
        }
        Ok(())
    }
}
