//! All sizes, counts and times that limit the daemon. They are set at the start.

mod machine;

pub use machine::MAX_CACHES;

use crate::front::cdni::triggers;
use crate::interconnect::Replication;
use linnetknot::Settings;
use linnetknot_discovery::Limits as DiscoveryLimits;
use linnetknot_replication::Options as ReplicationOptions;

/// The limits of the daemon. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    // Descriptors and connections.
    /// The maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Client connections.
    pub max_client_connections: usize,
    /// The maximum number of all connections: to clients, cache servers, the event bus and others.
    pub max_connections: usize,
    /// The number of connections that are reserved for the sources of the endpoint list and for operators, and not used
    /// for cache servers.
    pub reserved_connections: usize,
    /// The pause before accepting again after no descriptor was free.
    pub accept_backoff_us: u64,

    // Requests.
    /// The maximum number of open requests.
    pub max_requests: usize,
    /// The maximum number of open requests on one client connection.
    pub max_requests_per_client: usize,
    /// The maximum number of open requests on one client connection while at least half of the request table is in use.
    pub max_requests_per_client_under_load: usize,
    /// The maximum number of responses, regardless of their size, that are queued on one client connection.
    pub max_pending_responses_per_client: usize,
    /// The maximum number of reads from a client connection before its requests are processed. Several reads allow the
    /// proxy to detect that the client has closed the connection before its requests are started.
    pub max_reads_per_client: usize,
    /// The time after which a client's step reads no further, so that hundreds of clients with costly input delay the
    /// others by a fraction of a second only.
    pub max_read_time_us: u64,
    /// The maximum number of requests of a client connection that one step of the event loop processes. Further requests
    /// wait until the other clients had their turn.
    pub max_requests_per_step: usize,
    /// The maximum number of datagrams of peers that one step of the event loop receives.
    pub max_datagrams_per_step: usize,
    /// The maximum number of client connections that are read in search of one that may be evicted.
    pub max_eviction_polls: usize,
    /// An attempt starts only if the input of its client was read within this time, unless the client has sent none.
    pub max_unread_input_age_us: u64,
    /// The maximum number of bytes of the parameters of a request.
    pub max_params_bytes: usize,
    /// The maximum number of bytes of the bodies of all open requests. The same limit applies separately to the
    /// buffered bytes of all incomplete requests.
    pub max_total_body_bytes: usize,
    /// The maximum number of bytes of the body of a request.
    pub max_body_bytes: usize,
    /// The longest time budget that a client may state in a request.
    pub max_request_budget_us: u64,
    /// The highest part number of an object.
    pub max_part: u64,
    /// The largest size of a part that a client may state, in KB.
    pub max_size_kb: f64,
    /// The maximum number of bytes of the body of a response.
    pub max_object_bytes: usize,
    /// The maximum number of bytes of all queued responses. New requests are rejected while it is exceeded.
    pub max_pending_response_bytes: usize,
    /// How long before the deadline of the client the final response is sent at the latest. The time is reserved for
    /// the transfer of the response.
    pub response_margin_us: u64,
    /// The retry delay that clients are told when their requests are rejected because the request table is full.
    pub overload_retry_after_us: u64,

    // Buffers.
    /// The size of the receive buffer of a connection, in bytes.
    pub input_buffer_bytes: usize,
    /// The size of the send buffer of a connection, in bytes.
    pub output_buffer_bytes: usize,
    /// The maximum number of bytes of a line of HTTP.
    pub max_line_bytes: usize,

    // Client connections.
    /// The time after which a client connection is closed that has sent no request, or only part of one.
    pub partial_request_timeout_us: u64,
    /// The time after which an idle client connection is closed. Usual clients close theirs earlier.
    pub client_idle_timeout_us: u64,
    /// The maximum time for which a half-closed connection is kept so that the client can read the remaining responses.
    pub client_linger_timeout_us: u64,
    /// The time after which a client that reads none of its responses is disconnected.
    pub client_write_timeout_us: u64,
    /// The interval at which the timeouts of a client connection are checked.
    pub client_check_interval_us: u64,
    /// The time after a change of its state during which a client connection is not evicted in favor of a new one.
    pub client_eviction_grace_us: u64,

    // Connections to cache servers.
    /// The maximum number of connections to one cache server.
    pub max_connections_per_cache: usize,
    /// A further connection to a cache server is opened if each existing one has at least this number of attempts.
    pub attempts_before_new_connection: usize,
    /// The maximum number of attempts on one connection to a cache server.
    pub max_attempts_per_connection: usize,
    /// The maximum number of connections to one cache server that are being established.
    pub max_connects_per_cache: usize,
    /// The idle time after which a connection to a cache server is no longer used, because the server may be closing
    /// the connection; 0 for no limit.
    pub cache_idle_timeout_us: u64,
    /// The time within which a connection must be established. After it, attempts that wait for a connection to a cache
    /// server are sent to another cache server.
    pub connect_timeout_us: u64,
    /// The time after which a connection to a cache server is closed if it is still not established.
    pub connect_abort_us: u64,
    /// The assumed transfer time of an abort. An aborted attempt counts as ended this long after its abort was written.
    pub abort_transit_us: u64,
    /// The time without further bytes after which a partial response of a cache server counts as truncated.
    pub response_stall_timeout_us: u64,
    /// The time after which a partial response of a cache server counts as truncated even if bytes still arrive. No
    /// client waits longer than this.
    pub response_timeout_us: u64,
    /// The time for which the ids of aborted and answered attempts are kept on a connection.
    pub finished_stream_retention_us: u64,
    /// The time without a whole response after which a connection to a cache server with attempts in flight is suspected
    /// to be dead.
    pub suspect_timeout_us: u64,
    /// The time after which a connection to a cache server is closed if it accepts no bytes although some are to be
    /// written.
    pub write_stall_timeout_us: u64,

    // The endpoint list and the event bus.
    /// The maximum size of a cached snapshot of the endpoint list, in bytes.
    pub max_cached_list_bytes: usize,
    /// The maximum number of bytes of an event of the bus. One event may change the state of every cache server.
    pub max_event_bytes: usize,
    /// The maximum number of cache servers that all sources together may list.
    pub max_caches: usize,
    /// The maximum number of cache servers that have left the list but are remembered for flap damping.
    pub max_remembered_caches: usize,
    /// The delay after which a changed endpoint list is stored, so that several changes are stored once.
    pub list_store_delay_us: u64,
    /// The interval at which an unchanged endpoint list is stored again to update its timestamp, which shows how old
    /// the list is.
    pub list_store_interval_us: u64,
    /// The time without a whole message, or without a byte while one arrives, after which the connection to the event bus
    /// is replaced.
    pub bus_read_timeout_us: u64,
    /// The maximum time for which a message of the event bus may arrive.
    pub bus_message_timeout_us: u64,
    /// The first backoff before reconnecting to the event bus.
    pub bus_min_backoff_us: u64,
    /// The longest backoff before reconnecting to the event bus.
    pub bus_max_backoff_us: u64,

    // Purges, their logs and the store.
    /// The maximum number of purges that the replicated logs hold as single entries. When it is exceeded, the oldest
    /// are moved to the compact table.
    pub max_exact_purges: usize,
    /// The maximum number of entries with trigger statuses in all logs.
    pub max_status_entries: usize,
    /// The maximum number of replicated logs. Each proxy has one log per epoch.
    pub max_purge_logs: usize,
    /// The maximum number of responses that wait for a commit.
    pub max_pending_commits: usize,
    /// The time after which a proxy that started without its store becomes ready, even if it has not recovered its own
    /// log completely.
    pub recovery_timeout_us: u64,
    /// The maximum total time of a recovery that is extended because a snapshot of the peers makes progress.
    pub recovery_total_timeout_us: u64,
    /// The interval at which a recovering proxy polls its peers.
    pub recovery_poll_interval_us: u64,
    /// The maximum number of writes in the queue of the store's worker.
    pub max_store_writes: usize,
    /// The interval at which a plain purge datagram is resent, because datagrams may be lost.
    pub purge_resend_interval_us: u64,
    /// After a peer has sent a plain purge datagram, the time within which membership must show that the peer
    /// replicates logs. Otherwise the purge is appended to the log of this proxy. Also the interval at which a purge that
    /// no log contains is checked again.
    pub plain_purge_grace_us: u64,
    /// The maximum number of purges that wait for `plain_purge_grace_us`. Further plain purges are written immediately,
    /// and further purges of entries that arrived out of order are not retained.
    pub max_unwritten_purges: usize,

    // Peer CDNs.
    /// The maximum number of trigger status resources of this proxy.
    pub max_triggers: usize,
    /// The maximum number of messages that are being delivered to peer CDNs.
    pub max_posts: usize,
    /// The maximum number of attempts to deliver a message to a peer CDN.
    pub max_post_attempts: u32,
    /// The timeout of the delivery of a message to a peer CDN.
    pub post_timeout_us: u64,

    // The admin listener and the log.
    /// The maximum number of connections to the admin listener. A new connection beyond it replaces the oldest.
    pub max_admin_connections: usize,
    /// The maximum time for a call at the admin listener. Connections that exceed it, including idle ones, are closed.
    pub admin_timeout_us: u64,
    /// The size of the receive buffer of a connection to the admin listener, in bytes. Must exceed the longest request
    /// head.
    pub admin_input_buffer_bytes: usize,
    /// The size of the send buffer of a connection to the admin listener, in bytes. Must hold the longest response, the
    /// fleet status.
    pub admin_output_buffer_bytes: usize,
    /// The maximum number of log lines that are remembered so that repetitions are not written.
    pub max_remembered_log_lines: usize,

    // Shutdown and draining.
    /// The time after SIGTERM for which new connections and requests are accepted.
    pub shutdown_accept_us: u64,
    /// The time after SIGTERM from which half-closed client connections no longer delay the end of the process.
    pub shutdown_linger_us: u64,
    /// The time after SIGTERM within which every request is answered. The process may be killed soon after it.
    pub shutdown_response_us: u64,
    /// The time after the start of a drain during which client connections that are to be closed still accept requests.
    /// It must be short enough that 4 s after the start, no connection has received a request for 2 s.
    pub drain_accept_us: u64,
}

/// The state of a client connection. If there are too many connections, those whose state comes first in this order are
/// closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientState {
    /// The connection is half-closed by the proxy, and the client may still read responses.
    Lingering,
    /// No request has been received.
    Silent,
    /// Part of a request has been received.
    Partial,
    /// All received requests are answered.
    Idle,
    /// A request is in flight, or a response is being written.
    Busy,
}

/// The maximum time for which the longest deadline of a class extends the shutdown. The process may be killed 0.7 s
/// after SIGTERM plus that deadline.
const MAX_SHUTDOWN_DEADLINE_US: u64 = 3_000_000;
/// Added to the longest deadline: the time after SIGTERM until which half-closed connections are kept and requests are
/// accepted.
const SHUTDOWN_LINGER_AFTER_US: u64 = 400_000;
/// Added to the longest deadline: the time after SIGTERM by which every request is answered.
const SHUTDOWN_RESPONSE_AFTER_US: u64 = 500_000;

impl Limits {
    /// Returns when a client connection that entered its state at `since` is closed; `None` while responses are
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

    /// Whether a new request of a client connection may be admitted. `pending` is the number of pending responses of
    /// the connection, including the response to the new request. Under load the limit is lower, so that one client
    /// can't exhaust the request table.
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

    /// Applies the settings of a site, and the timeouts of connections to its cache servers: `connect_us` for
    /// establishing and `idle_us` for idle connections (0 if unknown).
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
            // The server closes the connection after the full time, and a request sent just before could be lost.
            cache_idle_timeout_us: idle_us / 10 * 9,
            shutdown_linger_us,
            shutdown_response_us: shutdown_deadline_us + SHUTDOWN_RESPONSE_AFTER_US,
            // A request that arrives when the grace period ends must still be answered at a site with short deadlines.
            shutdown_accept_us: self.shutdown_accept_us.min(shutdown_linger_us),
            ..self
        }
    }

    /// Copies the limits that depend on the settings from `other`, after a reload.
    pub fn apply_settings_from(&mut self, other: &Limits) {
        self.overload_retry_after_us = other.overload_retry_after_us;
        self.response_timeout_us = other.response_timeout_us;
        self.shutdown_linger_us = other.shutdown_linger_us;
        self.shutdown_response_us = other.shutdown_response_us;
    }
}
