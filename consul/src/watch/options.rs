//! The options of a watch, which follows the instances of one Consul service.

use linnetknot::Micros;

/// Consul's consistency modes, which determine how current the data of a response must be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// The leader reads, without verifying that it is still the leader.
    #[default]
    Default,
    /// The leader reads after it has verified its leadership.
    Consistent,
    /// Any server reads. [`Options::max_stale_us`] limits how old its data may be.
    Stale,
}

/// Options of a watch. All durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the Consul service whose instances are watched.
    pub service: String,
    /// Datacenter, or `None` for the datacenter of the agent.
    pub datacenter: Option<String>,
    /// Namespace, or `None` for the namespace of the token.
    pub namespace: Option<String>,
    /// Tags, all of which an instance must have.
    pub tags: Vec<String>,
    /// Filter expression of the health API.
    pub filter: Option<String>,
    /// Consul's consistency mode for the queries.
    pub consistency: Consistency,
    /// Maximum time since the responding server's last contact with the leader. Stale responses that exceed it are
    /// discarded.
    pub max_stale_us: Micros,
    /// Time for which a blocking query waits for a change.
    pub blocking_wait_us: Micros,
    /// Maximum time without a byte of the response: until its first byte, to which `blocking_wait_us` is added for a
    /// blocking query, and between later ones. The time for the whole response has a bound that is derived from it.
    pub silence_timeout_us: Micros,
    /// Number of agents. Calls refer to an agent by its index.
    pub agents: usize,
    /// Minimum share of the known caches that a health response must list for its omissions to be applied without
    /// confirmation.
    pub min_share: f64,
    /// Delay after the first of consecutive failures.
    pub min_backoff_us: Micros,
    /// Maximum delay between calls after consecutive failures.
    pub max_backoff_us: Micros,
    /// Average interval between attempts to return to the first agent after a failover.
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
            silence_timeout_us: 2_000_000,
            agents: 1,
            min_share: 0.5,
            min_backoff_us: 100_000,
            max_backoff_us: 3_000_000,
            primary_retry_us: 60_000_000,
        }
    }
}
