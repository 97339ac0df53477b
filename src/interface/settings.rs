//! What a router is started with: classes of requests, zones, what the deployment offers, and the limits of its rules.

use super::Micros;

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: it may be repeated at will.
    Safe,
    /// It carries an idempotency key: a group of servers drops repeats for a while.
    Keyed,
    /// Not idempotent: it must not run twice.
    Unsafe,
}

/// Which servers recognise the repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the server that was tried first.
    Zone,
    /// Those in the cell of the server that was tried first.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, as requests carry it.
    pub name: String,
    /// The latency objective: an answer within this time has the full weight.
    pub objective_us: Micros,
    /// The objective is extended by this multiple of the request's own transfer time.
    pub objective_stretch: f64,
    /// When clients give up at the latest.
    pub deadline_us: Micros,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the objective has.
    pub late_weight: f64,
    /// Whether a request may be sent again after it may have run.
    pub repeat: Repeat,
    /// For [`Repeat::Keyed`]: which servers recognise repeats.
    pub dedup_scope: DedupScope,
    /// For [`Repeat::Keyed`]: for how long they do.
    pub dedup_window_us: Micros,
    /// The answer is a stream: once it has begun, no other attempt can serve the client.
    pub streaming: bool,
    /// Its objects have several parts.
    pub multipart: bool,
    /// It runs at the origin, and its answer is never cached.
    pub write: bool,
    /// How long a copy is fresh; 0: until it is purged.
    pub fresh_us: Micros,
    /// How long after that a stale copy may still be served.
    pub grace_us: Micros,
    /// Share of the weight that a stale answer has.
    pub stale_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as requests carry it.
    pub name: String,
    /// Requests per second within its quota, over all routers.
    pub quota_rps: f64,
}

/// A zone: a location with caches and routers, or one with parent caches and the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name, as the list of servers carries it.
    pub name: String,
    /// How many routers serve it.
    pub routers: u32,
    /// The zone with its parent caches, as a place in [`Settings::zones`].
    pub parent_zone: usize,
    /// Capacity of its link for fills in KB per second; 0: unknown.
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

/// What answers tell of how they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDetail {
    /// How each answer was made, and why a fill failed.
    All,
    /// Only whether it was a hit or a fill.
    Hit,
    /// Nothing.
    Off,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Answers and health checks.
    Answers,
    /// Health checks only.
    Probes,
    /// There are none.
    Off,
}

/// The limits of the rules that the platform checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A server gets nothing new later than this after the router heard that it drains or is gone.
    pub drain_grace_us: Micros,
    /// Share of its capacity that a cache has at least when it has just started.
    pub slow_start_share: f64,
    /// Time after its start at which a cache has its whole capacity at the latest.
    pub slow_start_us: Micros,
    /// A cache that is sent more than this multiple of its present capacity for `fall_us` fails.
    pub overload_multiple: f64,
    /// The window of `overload_multiple`, for caches and parents.
    pub overload_window_us: Micros,
    /// As `slow_start_share`, for parents.
    pub parent_slow_start_share: f64,
    /// As `slow_start_us`, for parents.
    pub parent_slow_start_us: Micros,
    /// As `overload_multiple`, for parents.
    pub parent_overload_multiple: f64,
    /// A purge must be respected from this long after the router heard of it.
    pub purge_grace_us: Micros,
    /// After this long, the servers have dropped older copies by themselves.
    pub purge_completion_us: Micros,
    /// Where the list must be polled: a router that has not polled for this long counts as informed.
    pub max_poll_age_us: Micros,
}

/// What a router is started with.
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
    /// The router's number among all that share these settings, from 0; `None`: unknown.
    pub router_index: Option<u32>,
    /// The kind of server that is a parent cache, if the deployment has any.
    pub parent_kind: Option<String>,
    /// The kind of server that is the origin.
    pub origin_kind: String,
    /// The list of servers must be polled; otherwise it is pushed.
    pub polls_list: bool,
    /// Parents and the origin may be the target of an attempt too.
    pub direct_to_upstream: bool,
    /// A request may wait for a fill that is under way.
    pub coalesces_fills: bool,
    /// Which caches may fill others.
    pub siblings: Siblings,
    /// What answers tell of how they were made.
    pub answer_detail: AnswerDetail,
    /// Where load reports come from.
    pub load_reports: LoadReports,
    /// Weights in the list are link capacities, in transfers at full pace.
    pub weights_known: bool,
    /// Greatest pace of one transfer to a client, in KB per second; 0: unknown.
    pub flow_kb_per_s: f64,
    /// Greatest number of attempts of a request.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight together.
    pub hedged_requests: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be sent health checks.
    pub probes: bool,
    /// Refusals carry a Retry-After that clients follow.
    pub retry_after: bool,
    /// The longest Retry-After that clients follow; 0: none is sent.
    pub max_retry_after_us: Micros,
    /// The origin stops for a while when it is asked for this multiple of its capacity; 0: it does not.
    pub origin_overload_multiple: f64,
    /// The limits of the rules.
    pub rules: Rules,
}
