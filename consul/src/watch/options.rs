//! What is watched, and how.

use linnetknot::Micros;

/// Consul's consistency modes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// By the leader, which may be an old one for a moment.
    #[default]
    Default,
    /// By the leader, which makes sure that it is one.
    Consistent,
    /// By any server, however far behind; bounded by `Options::max_stale_us`.
    Stale,
}

/// What is watched, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the service.
    pub service: String,
    /// Data centre; none: the agent's own.
    pub datacenter: Option<String>,
    /// Namespace; none: the token's own.
    pub namespace: Option<String>,
    /// Tags that an instance must all have.
    pub tags: Vec<String>,
    /// Filter expression of the health API.
    pub filter: Option<String>,
    /// Consistency of the queries.
    pub consistency: Consistency,
    /// A stale answer from a server that has not heard its leader for longer is not used.
    pub max_stale_us: Micros,
    /// How long a query waits for a change.
    pub blocking_wait_us: Micros,
    /// How long a query that does not wait may take.
    pub response_timeout_us: Micros,
    /// Agents to choose from; they are asked by their place.
    pub agents: usize,
    /// An answer that names a smaller share of what ran is confirmed before it counts.
    pub min_share: f64,
    /// First wait after a failure.
    pub min_backoff_us: Micros,
    /// Longest wait after failures.
    pub max_backoff_us: Micros,
    /// After a failover, the first agent is tried again about so often.
    pub primary_retry_us: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            service: "pop-cache".into(),
            datacenter: None,
            namespace: None,
            tags: Vec::new(),
            filter: None,
            consistency: Consistency::Default,
            max_stale_us: 1_000_000,
            blocking_wait_us: 10_000_000,
            response_timeout_us: 2_000_000,
            agents: 1,
            min_share: 0.5,
            min_backoff_us: 100_000,
            max_backoff_us: 3_000_000,
            primary_retry_us: 60_000_000,
        }
    }
}
