//! The form of a scenario: JSON, read with the path of the key at fault, its JSON Schema made from the types.

mod check;

pub use check::InvalidScenario;

use linnetknot_harness::links::LinkConditions;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A scenario: how long it lasts, what is asked for, and what goes wrong when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long clients ask, in seconds.
    pub seconds: f64,
    /// Proxies that clients come to.
    pub proxies: u32,
    /// What is asked for.
    pub load: Load,
    /// The boxes, hub caches and origin behind the proxies; the figures of a small site where left out.
    #[serde(default)]
    pub site: SiteForm,
    /// The proxies talk to each other, as peers on the platform do, each pair through a fault-injecting link of the kit's own.
    #[serde(default)]
    pub peers: bool,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second at factor 1, over all classes.
    pub rate: f64,
    /// The evening's rise and fall: at these seconds these factors, in lines between them; 1 throughout if empty.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// Classes.
    pub classes: Vec<ClassLoad>,
    /// Purges of single objects, a second.
    #[serde(default)]
    pub purges: f64,
}

/// What is asked for of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Its name, as the settings have it.
    pub name: String,
    /// Its share of all requests.
    pub share: f64,
    /// Objects among which requests choose.
    pub objects: u64,
    /// Exponent of their popularity, by Zipf's law.
    pub zipf: f64,
    /// Share of requests for objects that nobody else asks for.
    #[serde(default)]
    pub once: f64,
    /// Places by which the order of popularity moves on, a second.
    #[serde(default)]
    pub drift: f64,
    /// Parts of an object, asked for in turn: least and most.
    #[serde(default = "one_part")]
    pub parts: (u64, u64),
    /// Seconds between parts: least and most.
    #[serde(default)]
    pub gap: (f64, f64),
    /// Median size of a part, in KB.
    pub median_kb: f64,
    /// Spread of the sizes: the standard deviation of their logarithm.
    #[serde(default)]
    pub sigma: f64,
    /// How long clients wait, in milliseconds.
    pub budget_ms: u64,
    /// Requests carry a key.
    #[serde(default)]
    pub keyed: bool,
}

fn one_part() -> (u64, u64) {
    (1, 1)
}

/// The nodes behind the proxies and what joins them. Each figure left out is that of a small site: four boxes a
/// proxy, two hub caches and an origin of few workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct SiteForm {
    /// Edge boxes for each proxy.
    pub boxes_per_proxy: u32,
    /// Hub caches, shared by all proxies.
    pub hubs: u32,
    /// Each edge box.
    #[serde(rename = "box")]
    pub edge_box: NodeForm,
    /// Each hub cache.
    pub hub: NodeForm,
    /// The origin store; its `fills` are its workers and its memory is none.
    pub origin: NodeForm,
    /// The one link in that all fills share, in transfers to a client at full pace, for each box.
    pub link_per_box: f64,
    /// How many times as fast as a transfer to a client a fill can be.
    pub fill_pace: f64,
    /// One transfer to a client at full pace, in KB a second.
    pub flow_kb_per_s: f64,
    /// The way to a hub cache and back, in milliseconds.
    pub near_ms: f64,
    /// The way to the origin and back, in milliseconds.
    pub far_ms: f64,
    /// The origin's answer when it is not crowded, in milliseconds.
    pub origin_ms: f64,
    /// How long the origin drops a repeat of a key, in milliseconds.
    pub key_ms: f64,
    /// How long a photo may be served from a copy, in milliseconds; parts and posts are never kept.
    pub photo_fresh_ms: f64,
    /// Within this time of a purge boxes and hub caches drop their older copies, each in its own time, in
    /// milliseconds.
    pub purge_takes_ms: f64,
    /// They still keep what a fill brings that was under way when they dropped: harder than the platform's word.
    pub late_fills: bool,
}

/// The figures of one kind of node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeForm {
    /// Requests in work at a time.
    pub slots: u32,
    /// Requests that wait for a slot; one more is answered 503.
    pub waiting: u32,
    /// Its outgoing link, in transfers to a client at full pace; the proxies are told it as the capacity hint.
    pub capacity: f64,
    /// Its memory of objects, in KB.
    pub memory_kb: u64,
    /// Fills at a time; of the origin, workers.
    pub fills: u32,
    /// A fill is given up where nothing has come for this long, in milliseconds.
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

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds; 0 for what happens at once.
    #[serde(default)]
    pub lasts: f64,
    /// What.
    pub what: What,
}

/// What can go wrong in what is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// A share of all groups is purged at once.
    MassPurge {
        /// The share.
        share: f64,
    },
    /// One new object of a class draws this share of its requests.
    HotObject {
        /// The class.
        class: String,
        /// The share.
        share: f64,
    },
    /// Boxes are told to drain; where the fault lasts, they are told ready again after it, started anew
    /// with an empty memory and cold.
    BoxDrains {
        /// How many.
        boxes: u32,
        /// The place of the first of them among all boxes, from 0.
        #[serde(default)]
        first: u32,
    },
    /// Boxes die without a word: their connections are reset and new ones refused. Where the fault
    /// lasts, another box takes each address after it, cold, and is told as ready with its late start.
    BoxDies {
        /// How many.
        boxes: u32,
        /// The place of the first of them among all boxes, from 0.
        #[serde(default)]
        first: u32,
    },
    /// Boxes take requests and send nothing for as long as the fault lasts.
    BoxStalls {
        /// How many.
        boxes: u32,
        /// The place of the first of them among all boxes, from 0.
        #[serde(default)]
        first: u32,
    },
    /// The origin answers this many times as slowly for as long as the fault lasts.
    SlowOrigin {
        /// The factor.
        times: f64,
    },
    /// The event bus ends the connections of all who read.
    BusBreaks,
    /// Proxies are killed (SIGKILL); where the fault lasts, each is started again after it on its address, with the
    /// configuration that it had. Clients go to the next proxy meanwhile.
    ProxyKilled {
        /// How many.
        proxies: u32,
        /// The place of the first of them, from 0.
        #[serde(default)]
        first: u32,
    },
    /// Proxies stand still (SIGSTOP) for as long as the fault lasts, and then go on as if nothing had been. Clients go
    /// to the next proxy meanwhile; what they had open is lost to them.
    ProxyStalled {
        /// How many.
        proxies: u32,
        /// The place of the first of them, from 0.
        #[serde(default)]
        first: u32,
    },
    /// The links between these proxies and all others have these conditions for as long as the fault lasts; needs
    /// `peers`.
    Links {
        /// How many.
        proxies: u32,
        /// The place of the first of them, from 0.
        #[serde(default)]
        first: u32,
        /// What the links do.
        // Scenarios call the conditions `weather`.
        #[serde(rename = "weather")]
        conditions: LinkConditions,
        /// Only what these proxies send, not what is sent to them.
        #[serde(default)]
        one_way: bool,
    },
    /// Proxies are told to end (SIGTERM) under load: what they took is still theirs to answer. Where the fault lasts,
    /// each is started again after it, once it has ended.
    ProxyStopped {
        /// How many.
        proxies: u32,
        /// The place of the first of them, from 0.
        #[serde(default)]
        first: u32,
    },
}

/// Why a scenario can't be read or scaled.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text has not the form of a scenario.
    #[error("{path}: {error}")]
    Malformed {
        /// The path of the key at fault.
        path: String,
        /// What is wrong there.
        error: serde_json::Error,
    },
    /// There is more behind it.
    #[error("{0}")]
    TrailingText(serde_json::Error),
    /// A value that it can't have.
    #[error(transparent)]
    Invalid(#[from] InvalidScenario),
    /// A value that it can't have in another length of time.
    #[error("--time-scale {factor}: {error}")]
    Scaled {
        /// The factor.
        factor: f64,
        /// The value at fault.
        error: InvalidScenario,
    },
}

impl Scenario {
    /// The same scenario in another length of time: its seconds, the points of its shape and its faults' times and
    /// lengths by `factor`; rates, sizes and clients' gaps as they are, so that a second is as busy as before. A
    /// factor that would leave it shorter than a second, or above an hour, is refused.
    ///
    /// # Errors
    /// Where a value of the scaled scenario can't be.
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

    /// Reads a scenario.
    ///
    /// # Errors
    /// Where the text is none; the key at fault is named by its path.
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
    /// The edge boxes in all.
    pub fn boxes(&self, proxies: u32) -> usize {
        (self.boxes_per_proxy * proxies) as usize
    }
}

/// The form's JSON Schema.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Scenario)).unwrap_or_default() + "\n"
}
