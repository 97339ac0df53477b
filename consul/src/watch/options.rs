//! What is watched, and how.

use linnetknot::Micros;

/// Consul's consistency modes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// Read by the leader, which for a moment may be a deposed one.
    #[default]
    Default,
    /// Read by the leader after it has verified its leadership.
    Consistent,
    /// Read by any server, however far behind; bounded by [`Options::max_stale_us`].
    Stale,
}

/// What is watched, and how. All durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the service.
    pub service: String,
    /// Datacenter; none: the agent's own.
    pub datacenter: Option<String>,
    /// Namespace; none: the token's own.
    pub namespace: Option<String>,
    /// Tags that an instance must all have.
    pub tags: Vec<String>,
    /// Filter expression of the health API.
    pub filter: Option<String>,
    /// Consistency of the queries.
    pub consistency: Consistency,
    /// Longest time without contact to the leader for a stale response to be used.
    pub max_stale_us: Micros,
    /// How long a blocking query waits for a change.
    pub blocking_wait_us: Micros,
    /// Timeout of a query, besides the wait of a blocking one.
    pub response_timeout_us: Micros,
    /// Number of agents to choose from, which calls name by index.
    pub agents: usize,
    /// Share of the known caches that a health response must list to be believed without confirmation.
    pub min_share: f64,
    /// Delay after the first failure.
    pub min_backoff_us: Micros,
    /// Longest delay after failures.
    pub max_backoff_us: Micros,
    /// After a failover, the first agent is tried again about this often.
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
