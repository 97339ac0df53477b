//! All sizes, counts and times that limit the daemon, set at the start.

mod machine;

use crate::front::cdni::triggers;
use crate::interconnect::Replication;
use linnetknot::Settings;
use linnetknot_discovery::Limits as DiscoveryLimits;
use linnetknot_replication::Options as ReplicationOptions;

/// The limits of the daemon. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    // Descriptors and connections.
    /// File descriptors of the process.
    pub max_descriptors: usize,
    /// Client connections.
    pub max_client_connections: usize,
    /// All connections: clients, cache servers, the bus and others.
    pub max_connections: usize,
    /// Connections that may not be used for cache servers, but for the endpoint list and the operators.
    pub reserved_connections: usize,
    /// The pause before accepting again once no descriptor was free.
    pub accept_backoff_us: u64,

    // Requests.
    /// Open requests.
    pub max_requests: usize,
    /// Open requests on one client connection.
    pub max_requests_per_client: usize,
    /// The same while at least half of the request table is in use.
    pub max_requests_per_client_under_load: usize,
    /// Responses, regardless of their size, that are queued on one client connection.
    pub max_pending_responses_per_client: usize,
    /// Reads of a client connection before its requests are processed, so that the close of a client that sent a lot
    /// and closed is seen first.
    pub max_reads_per_client: usize,
    /// Bytes of the parameters of a request.
    pub max_params_bytes: usize,
    /// Bytes of the bodies of all open requests, and as many of incomplete requests.
    pub max_total_body_bytes: usize,
    /// Bytes of the body of a request.
    pub max_body_bytes: usize,
    /// The longest time that a client may state as its budget.
    pub max_request_budget_us: u64,
    /// The highest part number of an object.
    pub max_part: u64,
    /// The largest size of a part that a client may state, in KB.
    pub max_size_kb: f64,
    /// Bytes of the body of a response.
    pub max_object_bytes: usize,
    /// Bytes of all queued responses.
    pub max_pending_response_bytes: usize,
    /// The time before the deadline of the client at which the final response is sent, for its transfer.
    pub response_margin_us: u64,
    /// The Retry-After of requests that are rejected because the request table is full.
    pub overload_retry_after_us: u64,

    // Buffers.
    /// Bytes of the receive buffer of a connection.
    pub input_buffer_bytes: usize,
    /// Bytes of the send buffer of a connection.
    pub output_buffer_bytes: usize,
    /// Bytes of one line or event of text.
    pub max_line_bytes: usize,

    // Client connections.
    /// The time after which a client connection is closed that has sent no request, or only part of one.
    pub partial_request_timeout_us: u64,
    /// The time after which an idle client connection is closed. Usual clients close theirs earlier.
    pub client_idle_timeout_us: u64,
    /// The time for which a connection that was closed here stays open for its client to read the rest.
    pub client_linger_timeout_us: u64,
    /// The time after which a client is disconnected that reads none of its responses.
    pub client_write_timeout_us: u64,
    /// The interval at which a client connection is checked.
    pub client_check_interval_us: u64,
    /// The time after a change of state for which a client connection is not closed in favor of another.
    pub client_eviction_grace_us: u64,

    // Connections to cache servers.
    /// Connections to one cache server.
    pub max_connections_per_cache: usize,
    /// The number of attempts on the least used connection to a cache server from which a further connection is opened.
    pub attempts_before_new_connection: usize,
    /// Attempts on one connection to a cache server.
    pub max_attempts_per_connection: usize,
    /// Connections to one cache server that are being established.
    pub max_connects_per_cache: usize,
    /// The idle time after which a connection to a cache server is no longer used, as the server may be closing it; 0
    /// for no limit.
    pub cache_idle_timeout_us: u64,
    /// The time within which a connection must be established. An attempt that waits for one to a cache server is then
    /// made elsewhere.
    pub connect_timeout_us: u64,
    /// The time after which a connection to a cache server that is not established is closed.
    pub connect_abort_us: u64,
    /// The time after the abort of an attempt was written at which the attempt has ended, for the transfer of the
    /// abort.
    pub abort_transit_us: u64,
    /// The time without further bytes after which a partial response of a cache server counts as truncated.
    pub response_stall_timeout_us: u64,
    /// The time after which a partial response of a cache server counts as truncated even if bytes arrive, as no client
    /// waits longer.
    pub response_timeout_us: u64,
    /// The time for which the ids of aborted and answered attempts are kept on a connection.
    pub finished_stream_retention_us: u64,
    /// The silence after which a connection to a cache server with attempts in flight is suspected to be dead.
    pub suspect_timeout_us: u64,
    /// The time after which a connection to a cache server is closed that accepts none of the bytes to write.
    pub write_stall_timeout_us: u64,

    // The endpoint list and the event bus.
    /// Bytes of a cached snapshot of the endpoint list.
    pub max_cached_list_bytes: usize,
    /// Cache servers that all sources may list together.
    pub max_caches: usize,
    /// Cache servers that are gone and whose flaps still count.
    pub max_remembered_caches: usize,
    /// The delay after which a changed endpoint list is stored, so that several changes are stored once.
    pub list_store_delay_us: u64,
    /// The interval at which an unchanged endpoint list is stored, which updates its time.
    pub list_store_interval_us: u64,
    /// The silence after which the connection to the event bus is replaced.
    pub bus_read_timeout_us: u64,
    /// The first backoff before reconnecting to the event bus.
    pub bus_min_backoff_us: u64,
    /// The longest backoff before reconnecting to the event bus.
    pub bus_max_backoff_us: u64,

    // Purges, their logs and the store.
    /// Purges that the replicated logs hold as single entries. Older ones are in the compact table.
    pub max_exact_purges: usize,
    /// Entries with trigger statuses, in all logs.
    pub max_status_entries: usize,
    /// Replicated logs: one per epoch of each proxy.
    pub max_purge_logs: usize,
    /// Responses to peer CDNs that wait for the commit of a purge.
    pub max_pending_commits: usize,
    /// The time after which a proxy that started without its disk is ready, even if part of its own log is missing.
    pub recovery_timeout_us: u64,
    /// The same, in total, while a snapshot of the peers' compacted purges makes progress.
    pub recovery_total_timeout_us: u64,
    /// The interval at which that proxy polls its peers.
    pub recovery_poll_interval_us: u64,
    /// Writes in the queue of the store's worker.
    pub max_store_writes: usize,
    /// The interval at which a plain purge datagram is resent, as any may be lost.
    pub purge_resend_interval_us: u64,
    /// The time within which a peer that sent a plain purge datagram must show that it replicates logs.
    pub plain_purge_grace_us: u64,
    /// Plain purges that wait for this. Further ones are written at once.
    pub max_unwritten_purges: usize,

    // Peer CDNs.
    /// Trigger status resources.
    pub max_triggers: usize,
    /// Messages being delivered to peer CDNs.
    pub max_posts: usize,
    /// Attempts to deliver a message to a peer CDN.
    pub max_post_attempts: u32,
    /// The timeout of the delivery of a message to a peer CDN.
    pub post_timeout_us: u64,

    // The admin listener and the log.
    /// Connections to the admin listener. A further one replaces the oldest.
    pub max_admin_connections: usize,
    /// The time for a whole call at the admin listener. It frees connections that send no call.
    pub admin_timeout_us: u64,
    /// Bytes of the receive buffer of the admin listener, which exceeds the longest head.
    pub admin_input_buffer_bytes: usize,
    /// Bytes of the send buffer of the admin listener, which holds the longest response, the fleet status.
    pub admin_output_buffer_bytes: usize,
    /// Log lines that are remembered, so that each is written once.
    pub max_remembered_log_lines: usize,

    // Shutdown and draining.
    /// The time after SIGTERM for which new connections and requests are accepted.
    pub shutdown_accept_us: u64,
    /// The time after SIGTERM up to which lingering client connections delay the end of the process.
    pub shutdown_linger_us: u64,
    /// The time after SIGTERM within which every request is answered, as the process may be killed soon after.
    pub shutdown_response_us: u64,
    /// The time after the start of a drain for which a client connection that is to close accepts requests. Within 4 s
    /// of the start, no connection may have received a request in the last 2 s.
    pub drain_accept_us: u64,
}

/// The state of a client connection. If there are too many connections, those in the first states are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientState {
    /// Closed here, while the client may still read.
    Lingering,
    /// No request has been received.
    Silent,
    /// Part of a request has been received.
    Partial,
    /// All requests are answered.
    Idle,
    /// A request is in flight, or a response is being written.
    Busy,
}

/// The maximum of the longest deadline of a class that delays the shutdown. SIGKILL may follow 0.7 s after SIGTERM and
/// that deadline.
const MAX_SHUTDOWN_DEADLINE_US: u64 = 3_000_000;
/// How long after SIGTERM and the longest deadline connections linger and requests are accepted.
const SHUTDOWN_LINGER_AFTER_US: u64 = 400_000;
/// How long after SIGTERM and the longest deadline every request is answered.
const SHUTDOWN_RESPONSE_AFTER_US: u64 = 500_000;

impl Limits {
    /// Returns when a client connection is closed that entered its state at `since`; `None` while responses are
    /// pending.
    pub fn close_at(&self, state: ClientState, pending: usize, since: u64) -> Option<u64> {
        let after = match state {
            ClientState::Silent | ClientState::Partial => self.partial_request_timeout_us,
            ClientState::Idle => self.client_idle_timeout_us,
            ClientState::Lingering => self.client_linger_timeout_us,
            ClientState::Busy if pending > 0 => return None,
            // All responses are complete, but the client reads none of them.
            ClientState::Busy => self.client_write_timeout_us,
        };
        Some(since + after)
    }

    /// Whether a client connection with this number of pending responses, including that to a new request, may have the
    /// request admitted. Under load the limit is lower, so that one client can't exhaust the request table.
    pub fn admits(&self, pending: usize, under_load: bool) -> bool {
        let limit = if under_load {
            self.max_requests_per_client_under_load
        } else {
            self.max_requests_per_client
        };
        pending <= limit
    }

    /// Returns the limits of the endpoint table.
    pub fn discovery(&self) -> DiscoveryLimits {
        DiscoveryLimits {
            max_caches: self.max_caches,
            max_remembered: self.max_remembered_caches,
        }
    }

    /// Returns the options of the replicated logs.
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

    /// Applies the settings of a site, and its connect timeout and idle timeout for cache servers (0 if unknown).
    pub fn for_site(self, settings: &Settings, connect_us: u64, idle_us: u64) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline_us);
        let longest_us = deadlines.max().unwrap_or(0);
        let shutdown_deadline_us = longest_us.min(MAX_SHUTDOWN_DEADLINE_US);
        let shutdown_linger_us = shutdown_deadline_us + SHUTDOWN_LINGER_AFTER_US;
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
            // The server closes the connection after the full time, and a request sent shortly before would race with
            // that.
            cache_idle_timeout_us: idle_us / 10 * 9,
            shutdown_linger_us,
            shutdown_response_us: shutdown_deadline_us + SHUTDOWN_RESPONSE_AFTER_US,
            // A request that arrives when the grace period ends must still be answered at a site with short deadlines.
            shutdown_accept_us: self.shutdown_accept_us.min(shutdown_linger_us),
            ..self
        }
    }

    /// Applies the limits that follow from the settings of a reload.
    pub fn apply_settings_from(&mut self, other: &Limits) {
        self.overload_retry_after_us = other.overload_retry_after_us;
        self.response_timeout_us = other.response_timeout_us;
        self.shutdown_linger_us = other.shutdown_linger_us;
        self.shutdown_response_us = other.shutdown_response_us;
    }
}
