//! Every size, count and time that bounds the daemon, in one type that is filled at the start.

mod machine;

use crate::front::cdni::triggers;
use crate::interconnect::Replication;
use linnetknot::Settings;
use linnetknot_discovery::Limits as DiscoveryLimits;
use linnetknot_replication::Options as ReplicationOptions;

/// Bounds on what the daemon holds and waits for. Times in microseconds.
/// Bounds on what the daemon holds and waits for. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    // Descriptors and connections.
    /// File descriptors in all.
    pub max_descriptors: usize,
    /// Connections from clients.
    pub max_client_connections: usize,
    /// Connections in all: clients, cache servers, the bus and the rest.
    pub max_connections: usize,
    /// Connections that those to cache servers leave free, for the endpoint list and the operators.
    pub reserved_connections: usize,
    /// Pause of accepting after no descriptor was left.
    pub accept_backoff_us: u64,

    // Requests.
    /// Requests open at a time.
    pub max_requests: usize,
    /// Requests open on one client connection.
    pub max_requests_per_client: usize,
    /// The same once half of the table of requests is taken.
    pub max_requests_per_client_under_load: usize,
    /// Responses that wait on one client connection to be written, small ones too.
    pub max_pending_responses_per_client: usize,
    /// A client's connection is read so many times before the requests on it are taken up: of a client that sent
    /// much and closed, the close is known first.
    pub max_reads_per_client: usize,
    /// Bytes of a request's parameters.
    pub max_params_bytes: usize,
    /// Bytes of the bodies of all open requests, and as many of requests that are not yet complete.
    pub max_total_body_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// The longest time that a client may say it waits.
    pub max_request_budget_us: u64,
    /// The highest part of an object.
    pub max_part: u64,
    /// The largest size of a part that a client may announce, in KB.
    pub max_size_kb: f64,
    /// Bytes of a response's body.
    pub max_object_bytes: usize,
    /// Bytes of all responses that wait for slow readers.
    pub max_pending_response_bytes: usize,
    /// A final response leaves this long before the client gives up: it has a way to go.
    pub response_margin_us: u64,
    /// Retry-After of a client that was rejected because the table of requests is full.
    pub overload_retry_after_us: u64,

    // Buffers.
    /// Bytes of a connection's ring buffer for what is received.
    pub input_buffer_bytes: usize,
    /// Bytes of a connection's ring buffer for what is sent.
    pub output_buffer_bytes: usize,
    /// Bytes of one line or event of text.
    pub max_line_bytes: usize,

    // Client connections.
    /// A client's connection that has sent no request, or one that does not become complete, is closed after so
    /// long.
    pub partial_request_timeout_us: u64,
    /// An idle client connection is closed after so long: longer than usual clients keep one.
    pub client_idle_timeout_us: u64,
    /// A client's connection that was closed here with all requests answered is kept so long for the client to
    /// read the rest.
    pub client_linger_timeout_us: u64,
    /// A client that reads none of its responses for so long is disconnected.
    pub client_write_timeout_us: u64,
    /// Interval of the checks of a client's connection.
    pub client_check_interval_us: u64,
    /// A client's connection is not closed in favour of another in the first moments of a new state.
    pub client_eviction_grace_us: u64,

    // Connections to cache servers.
    /// Connections to one cache server.
    pub max_connections_per_cache: usize,
    /// A further connection to a cache server is begun once the least used one has so many attempts.
    pub attempts_before_new_connection: usize,
    /// Attempts that share one connection to a cache server.
    pub max_attempts_per_connection: usize,
    /// Connections to one cache server that may be begun and not up.
    pub max_connects_per_cache: usize,
    /// A connection to a cache server that was idle for so long is not used any more, as the server may be about
    /// to close it; 0: no bound.
    pub cache_idle_timeout_us: u64,
    /// A connection must be up within this: an attempt that waits for one to a cache server is then made
    /// elsewhere.
    pub connect_timeout_us: u64,
    /// A connection to a cache server that is not up by then is closed.
    pub connect_abort_us: u64,
    /// A cancelled attempt is over so long after its cancellation was written: it has a way to go.
    pub abort_transit_us: u64,
    /// A response from a cache server that has begun and of which nothing more arrives for so long is cut short.
    pub response_stall_timeout_us: u64,
    /// A response from a cache server that has begun and is not complete after so long never will be: nobody
    /// waits longer.
    pub response_timeout_us: u64,
    /// Cancelled attempts are remembered on a connection for so long.
    pub finished_stream_retention_us: u64,
    /// A connection to a cache server with attempts in flight on which nothing arrives for so long is suspected
    /// to be dead.
    pub suspect_timeout_us: u64,
    /// A connection to a cache server that accepts none of what is written for so long is closed.
    pub write_stall_timeout_us: u64,

    // The endpoint list and the event bus.
    /// Bytes of a cached snapshot of the endpoint list.
    pub max_cached_list_bytes: usize,
    /// Cache servers that all sources together may list.
    pub max_caches: usize,
    /// Cache servers that are gone, and whose flaps still count.
    pub max_remembered_caches: usize,
    /// An endpoint list that has changed is stored after this, so that many changes are stored once.
    pub list_store_delay_us: u64,
    /// One that stays as it is is stored at this interval, so that its time tells how old it is.
    pub list_store_interval_us: u64,
    /// An event bus from which nothing arrives for so long is connected to again.
    pub bus_read_timeout_us: u64,
    /// Backoff before the event bus is connected to again: the first.
    pub bus_min_backoff_us: u64,
    /// The longest such backoff.
    pub bus_max_backoff_us: u64,

    // Purges, their logs and the store.
    /// Purges that the logs exchanged with the peers hold one by one. Older ones are held by a table.
    pub max_exact_purges: usize,
    /// Entries with the status of triggers, in all logs.
    pub max_status_entries: usize,
    /// Logs of purges: proxies by their incarnations.
    pub max_purge_logs: usize,
    /// Responses to peer CDNs that wait for the replication of a purge.
    pub max_pending_commits: usize,
    /// A proxy that began without its disk is ready after this, whatever of its own log is missing.
    pub recovery_timeout_us: u64,
    /// The same, in all, where a snapshot of what its peers have compacted is on its way and makes progress.
    pub recovery_total_timeout_us: u64,
    /// Interval at which it polls its peers meanwhile.
    pub recovery_poll_interval_us: u64,
    /// Writes that wait for the store's worker.
    pub max_store_writes: usize,
    /// Interval of the datagrams that repeat a purge to the peers: any of them may be lost.
    pub purge_resend_interval_us: u64,
    /// A peer that sent a purge as a plain datagram shows within this whether it replicates logs.
    pub plain_purge_grace_us: u64,
    /// Such purges that wait for that; more are written at once.
    pub max_unwritten_purges: usize,

    // Peer CDNs.
    /// Trigger status resources.
    pub max_triggers: usize,
    /// Messages on their way to peer CDNs.
    pub max_posts: usize,
    /// Attempts to deliver a message to a peer CDN.
    pub max_post_attempts: u32,
    /// Deadline of the delivery of a message to a peer CDN.
    pub post_timeout_us: u64,

    // The admin listener and the log.
    /// Callers at the admin listener at a time; where there are as many, the oldest is disconnected.
    pub max_admin_connections: usize,
    /// A caller at the admin listener has this long for its whole call: callers that hold a connection for 4 s
    /// with none must not take the capacity.
    pub admin_timeout_us: u64,
    /// Bytes of the ring buffer for what a caller at the admin listener sends: the longest head it reads, and
    /// some.
    pub admin_input_buffer_bytes: usize,
    /// Bytes of the ring buffer for the one response to it, the longest of which is the fleet's status.
    pub admin_output_buffer_bytes: usize,
    /// Lines of the log that are remembered, so that each is written once.
    pub max_remembered_log_lines: usize,

    // Shutdown and draining.
    /// After SIGTERM, new connections and requests are accepted for so long.
    pub shutdown_accept_us: u64,
    /// Lingering client connections delay the end of the process for no longer than this after SIGTERM.
    pub shutdown_linger_us: u64,
    /// So long after SIGTERM every request has its response: the process may be killed a little later.
    pub shutdown_response_us: u64,
    /// In a drain, a client connection that is to close accepts requests for so long after the call (by 4 s none
    /// may have one from the last 2 s).
    pub drain_accept_us: u64,
}

/// The state of a client's connection. Where there are too many, those first in this order are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientState {
    /// It was closed here, and its client may still read.
    Lingering,
    /// It has sent no request yet.
    Silent,
    /// Part of a request has been received.
    Partial,
    /// All its requests are answered.
    Idle,
    /// A request is in flight, or a response is being written.
    Busy,
}

/// SIGKILL may come 0.7 s after SIGTERM and the longest deadline, of which no more than this counts.
const MAX_TERM_DEADLINE_US: u64 = 3_000_000;
/// After SIGTERM and the longest deadline, connections linger and requests are accepted for no longer than this.
const TERM_LINGER_AFTER_US: u64 = 400_000;
/// After SIGTERM and the longest deadline, every request has its response within this.
const TERM_ANSWER_AFTER_US: u64 = 500_000;

impl Limits {
    /// When a client's connection is closed that has stayed in its state `since` then; none while responses are pending.
    pub fn close_at(&self, state: ClientState, pending: usize, since: u64) -> Option<u64> {
        let after = match state {
            ClientState::Silent | ClientState::Partial => self.partial_request_timeout_us,
            ClientState::Idle => self.client_idle_timeout_us,
            ClientState::Lingering => self.client_linger_timeout_us,
            ClientState::Busy if pending > 0 => return None,
            // All responses are made, and the client reads none of them.
            ClientState::Busy => self.client_write_timeout_us,
        };
        Some(since + after)
    }

    /// Whether a client connection with so many pending responses, that to its new request among them, may send one
    /// request more: a flood by one client must leave capacity for the others.
    pub fn admits(&self, pending: usize, under_load: bool) -> bool {
        let limit = if under_load {
            self.max_requests_per_client_under_load
        } else {
            self.max_requests_per_client
        };
        pending <= limit
    }

    /// The bounds of the table of endpoints.
    pub fn discovery(&self) -> DiscoveryLimits {
        DiscoveryLimits {
            max_caches: self.max_caches,
            max_remembered: self.max_remembered_caches,
        }
    }

    /// The bounds of the logs of purges, and how they are replicated.
    pub fn replication(&self, replication: &Replication) -> ReplicationOptions {
        ReplicationOptions {
            max_exact_entries: replication
                .purge_table
                .exact
                .unwrap_or(self.max_exact_purges),
            max_logs: self.max_purge_logs,
            expiring_entries: self.max_status_entries,
            expiry_us: triggers::STALE_S * 1_000_000,
            max_pending_commits: self.max_pending_commits,
            min_acks: replication.min_acks,
            replication_factor: replication.replication_factor,
            commit_timeout_us: replication.commit_timeout_us,
            ..ReplicationOptions::default()
        }
    }

    /// The bounds of a site: what follows from its settings, and from how long its connections to cache servers may take
    /// to be up and may be idle (0: unknown).
    pub fn for_site(self, settings: &Settings, connect_us: u64, idle_us: u64) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline_us);
        let longest_us = deadlines.max().unwrap_or(0);
        let term_us = longest_us.min(MAX_TERM_DEADLINE_US);
        let shutdown_linger_us = term_us + TERM_LINGER_AFTER_US;
        Limits {
            overload_retry_after_us: settings
                .max_retry_after_us
                .min(self.overload_retry_after_us),
            connect_timeout_us: if connect_us > 0 {
                connect_us
            } else {
                self.connect_timeout_us
            },
            connect_abort_us: self.connect_abort_us.max(connect_us),
            response_timeout_us: if longest_us > 0 {
                longest_us.max(self.response_stall_timeout_us)
            } else {
                self.response_timeout_us
            },
            // The server closes a connection at the full time: what is sent a moment before crosses that.
            cache_idle_timeout_us: idle_us / 10 * 9,
            shutdown_linger_us,
            shutdown_response_us: term_us + TERM_ANSWER_AFTER_US,
            // A request that arrives at the end of the grace of a site with short deadlines must still be answered.
            shutdown_accept_us: self.shutdown_accept_us.min(shutdown_linger_us),
            ..self
        }
    }

    /// Takes over from other bounds what follows from the settings, after these have changed.
    pub fn apply_settings_from(&mut self, other: &Limits) {
        self.overload_retry_after_us = other.overload_retry_after_us;
        self.response_timeout_us = other.response_timeout_us;
        self.shutdown_linger_us = other.shutdown_linger_us;
        self.shutdown_response_us = other.shutdown_response_us;
    }
}
