//! The format of scenarios: JSON whose errors name the path of the invalid key, with a JSON Schema generated from the types.

mod check;

pub use check::InvalidScenario;

use linnetknot_harness::links::LinkConditions;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A scenario: its duration, its load and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// The purpose of the scenario, in a sentence.
    pub about: String,
    /// The duration of the load, in seconds.
    pub seconds: f64,
    /// The number of proxies.
    pub proxies: u32,
    /// The load.
    pub load: Load,
    /// The edge caches, parent caches and origin behind the proxies. The default is a small site.
    #[serde(default)]
    pub site: SiteForm,
    /// Whether the proxies are peers. Each pair is connected through a link that can inject faults.
    #[serde(default)]
    pub peers: bool,
    /// The faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The load of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The requests per second of all classes at load factor 1.
    pub rate: f64,
    /// The load factor over time, as points of seconds and factors with linear interpolation. The factor is 1 if empty.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// The classes of requests.
    pub classes: Vec<ClassLoad>,
    /// The purges of single objects per second.
    #[serde(default)]
    pub purges: f64,
}

/// The load of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// The name of the class in the settings.
    pub name: String,
    /// The share of all requests.
    pub share: f64,
    /// The number of objects.
    pub objects: u64,
    /// The exponent of the Zipf distribution of their popularity.
    pub zipf: f64,
    /// The share of requests for objects that are requested only once.
    #[serde(default)]
    pub once: f64,
    /// The number of ranks per second by which the order of popularity shifts.
    #[serde(default)]
    pub drift: f64,
    /// The minimum and maximum number of parts of an object, which are requested in order.
    #[serde(default = "one_part")]
    pub parts: (u64, u64),
    /// The minimum and maximum time between parts, in seconds.
    #[serde(default)]
    pub gap: (f64, f64),
    /// The median size of a part, in KB.
    pub median_kb: f64,
    /// The standard deviation of the logarithm of the size.
    #[serde(default)]
    pub sigma: f64,
    /// The time that clients wait, in milliseconds.
    pub budget_ms: u64,
    /// Whether requests carry an idempotency key.
    #[serde(default)]
    pub keyed: bool,
}

fn one_part() -> (u64, u64) {
    (1, 1)
}

/// The nodes behind the proxies and their links. The defaults describe a small site: four edge caches for each proxy, two
/// parent caches and an origin with few workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct SiteForm {
    /// The number of edge caches for each proxy.
    pub boxes_per_proxy: u32,
    /// The number of parent caches, which all proxies share.
    pub hubs: u32,
    /// The parameters of each edge cache.
    #[serde(rename = "box")]
    pub edge_box: NodeForm,
    /// The parameters of each parent cache.
    pub hub: NodeForm,
    /// The parameters of the origin. Its `fills` are its workers, and it uses no memory.
    pub origin: NodeForm,
    /// The capacity of the incoming link that all fills share, for each edge cache, in transfers to a client at full rate.
    pub link_per_box: f64,
    /// The full rate of a fill relative to that of a transfer to a client.
    pub fill_pace: f64,
    /// The full rate of a transfer to a client, in KB per second.
    pub flow_kb_per_s: f64,
    /// The round-trip time to a parent cache, in milliseconds.
    pub near_ms: f64,
    /// The round-trip time to the origin, in milliseconds.
    pub far_ms: f64,
    /// The origin's response time without queueing, in milliseconds.
    pub origin_ms: f64,
    /// The time for which the origin drops repeats of a key, in milliseconds.
    pub key_ms: f64,
    /// The time for which a copy of a single-part object is fresh, in milliseconds. Keyed requests are not cached.
    pub photo_fresh_ms: f64,
    /// The maximum time until a cache applies a purge, in milliseconds. Each cache has its own delay.
    pub purge_takes_ms: f64,
    /// Whether a fill in progress during a purge may store its old copy.
    pub late_fills: bool,
}

/// The parameters of one kind of node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeForm {
    /// The maximum number of requests being served.
    pub slots: u32,
    /// The maximum number of requests waiting for a slot. Further ones are answered 503.
    pub waiting: u32,
    /// The capacity of its outgoing link, in transfers to a client at full rate. It is announced to the proxies as the capacity
    /// hint.
    pub capacity: f64,
    /// The size of its memory, in KB.
    pub memory_kb: u64,
    /// The maximum number of concurrent fills, or the number of workers of the origin.
    pub fills: u32,
    /// The time after which a fill without a first byte is aborted, in milliseconds.
    pub fill_timeout_ms: u64,
}

impl NodeForm {
    const fn of(capacity: f64, memory_kb: u64, fills: u32) -> Self {
        NodeForm {
            slots: 60,
            waiting: 40,
            capacity,
            memory_kb,
            fills,
            fill_timeout_ms: 2500,
        }
    }
}

impl Default for SiteForm {
    fn default() -> Self {
        SiteForm {
            boxes_per_proxy: 4,
            hubs: 2,
            edge_box: NodeForm::of(12.0, 120_000, 32),
            hub: NodeForm::of(200.0, 2_000_000, 400),
            origin: NodeForm::of(100.0, 0, 64),
            link_per_box: 6.0,
            fill_pace: 3.0,
            flow_kb_per_s: 4000.0,
            near_ms: 8.0,
            far_ms: 30.0,
            origin_ms: 40.0,
            key_ms: 3000.0,
            photo_fresh_ms: 8000.0,
            purge_takes_ms: 6000.0,
            late_fills: false,
        }
    }
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The start of the fault, in seconds.
    pub at: f64,
    /// The duration of the fault, in seconds. 0 for a single event or a fault without end.
    #[serde(default)]
    pub lasts: f64,
    /// The kind of fault.
    pub what: What,
}

/// The kinds of faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Purges a share of all groups at once.
    MassPurge {
        /// The share of groups.
        share: f64,
    },
    /// Directs a share of a class's requests to one new object.
    HotObject {
        /// The class.
        class: String,
        /// The share of requests.
        share: f64,
    },
    /// Announces edge caches as draining. If the fault has a duration, they start again after it, cold and with an empty
    /// memory, and are announced as ready.
    BoxDrains {
        /// The number of edge caches.
        boxes: u32,
        /// The index of the first of them among all edge caches.
        #[serde(default)]
        first: u32,
    },
    /// Crashes edge caches: their connections are reset and new ones refused. If the fault has a duration, a cold cache takes
    /// each address after it and is announced as ready with its start time.
    BoxDies {
        /// The number of edge caches.
        boxes: u32,
        /// The index of the first of them among all edge caches.
        #[serde(default)]
        first: u32,
    },
    /// Stalls edge caches: they accept requests and send nothing during the fault.
    BoxStalls {
        /// The number of edge caches.
        boxes: u32,
        /// The index of the first of them among all edge caches.
        #[serde(default)]
        first: u32,
    },
    /// Slows down the origin by a factor during the fault.
    SlowOrigin {
        /// The factor.
        times: f64,
    },
    /// Closes the connections of all readers of the event bus.
    BusBreaks,
    /// Kills proxies (SIGKILL). If the fault has a duration, each is started again after it with its address and
    /// configuration. Clients use the next proxy meanwhile.
    ProxyKilled {
        /// The number of proxies.
        proxies: u32,
        /// The index of the first of them.
        #[serde(default)]
        first: u32,
    },
    /// Stops proxies (SIGSTOP) during the fault and resumes them after it. Clients use the next proxy meanwhile, and their
    /// open requests get no answer.
    ProxyStalled {
        /// The number of proxies.
        proxies: u32,
        /// The index of the first of them.
        #[serde(default)]
        first: u32,
    },
    /// Sets the conditions of the links between these proxies and all others during the fault. Requires `peers`.
    Links {
        /// The number of proxies.
        proxies: u32,
        /// The index of the first of them.
        #[serde(default)]
        first: u32,
        /// The conditions of the links.
        // Scenarios call the conditions `weather`.
        #[serde(rename = "weather")]
        conditions: LinkConditions,
        /// Whether only datagrams from these proxies are affected, not those to them.
        #[serde(default)]
        one_way: bool,
    },
    /// Terminates proxies (SIGTERM) under load. They still have to answer their open requests. If the fault has a duration,
    /// each is started again after it, once its process has ended.
    ProxyStopped {
        /// The number of proxies.
        proxies: u32,
        /// The index of the first of them.
        #[serde(default)]
        first: u32,
    },
}

/// An error in reading or scaling a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is not a valid scenario.
    #[error("{path}: {error}")]
    Malformed {
        /// The path of the invalid key.
        path: String,
        /// The error at this key.
        error: serde_json::Error,
    },
    /// There is text after the scenario.
    #[error("{0}")]
    TrailingText(serde_json::Error),
    /// A value is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidScenario),
    /// A value is invalid after scaling.
    #[error("--time-scale {factor}: {error}")]
    Scaled {
        /// The factor.
        factor: f64,
        /// The error.
        error: InvalidScenario,
    },
}

impl Scenario {
    /// Returns the scenario with its duration, the times of its load shape and the times and durations of its faults scaled by
    /// `factor`. Rates, sizes and gaps between parts are unchanged.
    ///
    /// # Errors
    /// Returns an error if a value of the scaled scenario is invalid, such as a duration below a second or above an hour.
    pub fn scaled(&self, factor: f64) -> Result<Self, ScenarioError> {
        let mut scaled = self.clone();
        scaled.seconds *= factor;
        scaled
            .load
            .shape
            .iter_mut()
            .for_each(|(at, _)| *at *= factor);
        for f in &mut scaled.faults {
            f.at *= factor;
            f.lasts *= factor;
        }
        scaled
            .check()
            .map_err(|error| ScenarioError::Scaled { factor, error })
            .map(|()| scaled)
    }

    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// Returns an error with the path of the invalid key if the text is not a valid scenario.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let mut de = serde_json::Deserializer::from_str(text);
        let scenario: Scenario =
            serde_path_to_error::deserialize(&mut de).map_err(|e| ScenarioError::Malformed {
                path: e.path().to_string(),
                error: e.into_inner(),
            })?;
        de.end().map_err(ScenarioError::TrailingText)?;
        scenario.check()?;
        Ok(scenario)
    }
}

impl SiteForm {
    /// Returns the total number of edge caches.
    pub fn boxes(&self, proxies: u32) -> usize {
        (self.boxes_per_proxy * proxies) as usize
    }
}

/// Returns the JSON Schema of scenarios.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Scenario)).unwrap_or_default() + "\n"
}
