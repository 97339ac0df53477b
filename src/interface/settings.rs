//! What a router is started with: classes of requests, zones, what the deployment offers, and the figures of the rules.

use super::Micros;

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be repeated at will.
    Safe,
    /// Carries a key: a group of servers drops repeats for a while.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the server that was tried.
    Zone,
    /// Those in the cell of the server that was tried.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, as requests carry it.
    pub name: String,
    /// An answer within this time earns the full worth.
    pub objective_us: Micros,
    /// The aim grows by this many times the request's own sending time.
    pub objective_stretch: f64,
    /// When clients give up at the latest.
    pub deadline_us: Micros,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth that a late answer earns.
    pub late_weight: f64,
    /// How often it may take effect.
    pub repeat: Repeat,
    /// For keyed classes: who drops repeats.
    pub scope: DedupScope,
    /// For keyed classes: for how long repeats are dropped.
    pub window_us: Micros,
    /// The answer is a stream: once begun it belongs to the client.
    pub streaming: bool,
    /// Its objects have several parts.
    pub parts: bool,
    /// Runs at the origin and is never kept.
    pub write: bool,
    /// How long a copy is fresh; 0: until purged.
    pub fresh_us: Micros,
    /// How long past that it may still be served.
    pub grace_us: Micros,
    /// Share of the worth that an answer past its fresh time earns.
    pub stale_weight: f64,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as requests carry it.
    pub name: String,
    /// Requests a second within its share, over all routers.
    pub quota_rps: f64,
}

/// A zone: a location with caches and routers, or a hub with parents.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name, as the list of servers carries it.
    pub name: String,
    /// How many routers serve it.
    pub routers: u32,
    /// The zone that is its hub.
    pub hub: usize,
    /// What its one link for fills carries, KB a second; 0: not told.
    pub link_kb_per_s: f64,
}

/// Which caches may be the source of another cache's fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    Off,
    /// Those of the same location.
    Location,
    /// Any.
    Any,
}

/// What answers tell of where they came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tells {
    /// How each answer was made, and why a fill failed.
    All,
    /// Hit or filled only.
    Hit,
    /// Nothing.
    Off,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// In answers and probe results.
    Answers,
    /// In probe results only.
    Probes,
    /// There are none.
    Off,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A server that drains or is gone gets nothing new later than this after word of it.
    pub drain_grace_us: Micros,
    /// A just-started cache has this share of its capacity, or more.
    pub slow_start_share: f64,
    /// It is warm after this long at most.
    pub slow_start_us: Micros,
    /// Sent more than this multiple of its present capacity for `fall_us`, it falls over.
    pub overload_multiple: f64,
    /// See `overload_multiple`; also holds for parents.
    pub fall_us: Micros,
    /// As `slow_start_share`, for parents.
    pub parent_slow_start_share: f64,
    /// As `slow_start_us`, for parents.
    pub parent_slow_start_us: Micros,
    /// As `overload_multiple`, for parents.
    pub parent_overload_multiple: f64,
    /// A purge must be kept from this long after word of it.
    pub purge_grace_us: Micros,
    /// After this long, the servers have dropped older copies by themselves.
    pub purge_done_us: Micros,
    /// Where the list must be asked for: without word for this long, a router counts as told.
    pub ask_within_us: Micros,
}

/// What a router is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The router's own zone, as a place in `zones`.
    pub zone: usize,
    /// The router's number among all that share these settings, from 0; none: not told.
    pub rank: Option<u32>,
    /// The kind of server that is a parent, if the deployment has any.
    pub parent_kind: Option<String>,
    /// The kind of server that is the origin.
    pub origin_kind: String,
    /// The list of servers must be asked for; else it is pushed.
    pub polls_list: bool,
    /// Parents and the origin take requests too.
    pub direct: bool,
    /// A request may wait for a fill that is under way.
    pub joins_fills: bool,
    /// Which caches may fill others.
    pub siblings: Siblings,
    /// What answers tell.
    pub answer_detail: Tells,
    /// Where load reports come from.
    pub reports: Reports,
    /// Weights in the list are link sizes in transfers at full pace.
    pub weights_known: bool,
    /// Pace of one transfer to a client at most, KB a second; 0: not told.
    pub flow_kb_per_s: f64,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of a request may be out together.
    pub hedged_requests: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after_us: Micros,
    /// The origin stops for a while when asked for this multiple of what it can do; 0: it does not.
    pub origin_overload_multiple: f64,
    /// The rules' figures.
    pub rules: Rules,
}
