//! Settings of a router: classes of requests, zones, features of the deployment, and limits that its decisions must
//! respect.

use super::Micros;

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent and can be repeated freely.
    Safe,
    /// The request carries an idempotency key; a group of servers drops repeats within a window.
    Keyed,
    /// The request is not idempotent and must not run twice.
    Unsafe,
}

/// The servers that recognise the repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers in the zone of the first server tried.
    Zone,
    /// The servers in the cell of the first server tried.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name, as requests carry it.
    pub name: String,
    /// Latency objective: an answer within this time counts with the full `priority_weight`.
    pub objective_us: Micros,
    /// Extension of the objective, as a multiple of the request's transfer time at full rate.
    pub objective_stretch: f64,
    /// Longest time that a client waits for an answer.
    pub deadline_us: Micros,
    /// Priority weight of a request.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` with which an answer after the objective counts.
    pub late_weight: f64,
    /// Whether a request that may have run can be sent again.
    pub repeat: Repeat,
    /// For [`Repeat::Keyed`], the servers that recognise repeats.
    pub dedup_scope: DedupScope,
    /// For [`Repeat::Keyed`], the time for which servers recognise repeats.
    pub dedup_window_us: Micros,
    /// The answer is streamed; after it has started, no other attempt can serve the client.
    pub streaming: bool,
    /// Objects of this class consist of several parts.
    pub multipart: bool,
    /// Requests run at the origin, and their answers are never cached.
    pub write: bool,
    /// Time for which a copy is fresh; 0 if it stays fresh until it is purged.
    pub fresh_us: Micros,
    /// Additional time for which a stale copy may be served.
    pub grace_us: Micros,
    /// Fraction of `priority_weight` with which a stale answer counts.
    pub stale_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as requests carry it.
    pub name: String,
    /// Quota in requests per second over all routers.
    pub quota_rps: f64,
}

/// A zone: a location with caches and routers, or one with parent caches and the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name of the zone, as the server list gives it.
    pub name: String,
    /// Number of routers in the zone.
    pub routers: u32,
    /// Index in [`Settings::zones`] of the zone with its parent caches.
    pub parent_zone: usize,
    /// Capacity of the zone's fill link in KB per second; 0 if unknown.
    pub link_kb_per_s: f64,
}

/// The caches that may be the source of another cache's fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    /// No cache may be the source of a fill.
    Off,
    /// Only caches in the same location as the cache that is filled.
    Location,
    /// Caches in all locations.
    Any,
}

/// Detail that answers give about how they were produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerDetail {
    /// How each answer was produced, and why a fill failed.
    All,
    /// Only whether the answer was a hit or a fill.
    Hit,
    /// Answers do not state how they were produced.
    Off,
}

/// Where the load reports of servers are taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// Load reports arrive with answers and with health checks.
    Answers,
    /// Load reports arrive only with health checks.
    Probes,
    /// Servers send no load reports.
    Off,
}

/// Limits that the deployment imposes on all routers: drains, slow start, overload and purges.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time after which a router must send no new requests to a server reported as draining or gone.
    pub drain_grace_us: Micros,
    /// Minimum share of its capacity that a cache has just after its start.
    pub slow_start_share: f64,
    /// Time after its start within which a cache reaches its full capacity.
    pub slow_start_us: Micros,
    /// A cache that receives more than this multiple of its current capacity during `overload_window_us` fails.
    pub overload_multiple: f64,
    /// Window of `overload_multiple`, for caches and parents.
    pub overload_window_us: Micros,
    /// Like `slow_start_share`, for parents.
    pub parent_slow_start_share: f64,
    /// Like `slow_start_us`, for parents.
    pub parent_slow_start_us: Micros,
    /// Like `overload_multiple`, for parents.
    pub parent_overload_multiple: f64,
    /// Time after which a router must respect a purge that it has received.
    pub purge_grace_us: Micros,
    /// Time after which servers have dropped purged copies themselves.
    pub purge_completion_us: Micros,
    /// For a polled server list, the maximum time between polls. A router is expected to have received a change of the
    /// list when this time has passed.
    pub max_poll_age_us: Micros,
}

/// Settings of a router: the requests, zones and servers of the deployment, and the actions that a router may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests; at least one is required.
    pub classes: Vec<Class>,
    /// Tenants; the list may be empty.
    pub tenants: Vec<Tenant>,
    /// All zones of the deployment, including those without routers.
    pub zones: Vec<Zone>,
    /// Index of the router's own zone in `zones`.
    pub zone: usize,
    /// Index of the router among all routers with these settings, starting at 0; `None` if unknown.
    pub router_index: Option<u32>,
    /// Kind of the servers that are parent caches, if the deployment has any.
    pub parent_kind: Option<String>,
    /// Kind of the server that is the origin.
    pub origin_kind: String,
    /// The server list is polled rather than pushed.
    pub polls_list: bool,
    /// Attempts may be sent directly to parents and the origin.
    pub direct_to_upstream: bool,
    /// A request may wait for a fill already in progress.
    pub coalesces_fills: bool,
    /// The caches that may be the source of another cache's fill.
    pub siblings: Siblings,
    /// Detail that answers give about how they were produced.
    pub answer_detail: AnswerDetail,
    /// Where the load reports of servers are taken from.
    pub load_reports: LoadReports,
    /// Weights in the server list are link capacities, in transfers at full rate.
    pub weights_known: bool,
    /// Maximum rate of one transfer to a client in KB per second; 0 if unknown.
    pub flow_kb_per_s: f64,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// A request may have two attempts in flight at once.
    pub hedged_requests: bool,
    /// The router may cancel attempts that are in flight.
    pub cancel: bool,
    /// Health checks may be sent to servers.
    pub probes: bool,
    /// Refusals carry a Retry-After header that clients follow.
    pub retry_after: bool,
    /// Longest Retry-After that clients follow; 0 if none is sent.
    pub max_retry_after_us: Micros,
    /// Multiple of its capacity at which an overloaded origin stops serving for a while; 0 if it does not stop.
    pub origin_overload_multiple: f64,
    /// Limits that the decisions must respect.
    pub rules: Rules,
}
