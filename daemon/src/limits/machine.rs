//! Derives the limits from the file descriptors and the memory of the machine.

use super::Limits;

/// The memory that is assumed for a machine that states less.
const MIN_MEMORY_MB: usize = 16;
const MIN_MEMORY_BYTES: usize = MIN_MEMORY_MB << 20;
/// The memory reserved for each open request, in bytes.
const REQUEST_BYTES: usize = 16 << 10;
/// The maximum number of open requests, regardless of the memory.
const MAX_REQUESTS: usize = 8192;

/// The maximum number of cache servers.
pub const MAX_CACHES: usize = 20_000;
/// The space for an entry of the endpoint list in an event of the bus, in bytes of JSON.
const EVENT_ENTRY_BYTES: usize = 512;
/// An event of the bus may take up the memory divided by this number, as its text and its entries are held together.
const EVENT_MEMORY_DIVISOR: usize = 8;

/// The number of descriptors that are reserved for listeners, files and other uses than connections.
const OTHER_DESCRIPTORS: usize = 24;
/// The minimum number of connections for purposes other than clients: cache servers, the event bus and so on.
const MIN_OTHER_CONNECTIONS: usize = 16;
/// If there are at least `MIN_USUAL_DESCRIPTORS` descriptors, `NON_CLIENT_DESCRIPTORS` of them are reserved for uses
/// other than client connections.
const MIN_USUAL_DESCRIPTORS: usize = 64;
const NON_CLIENT_DESCRIPTORS: usize = 40;
/// The smallest and the largest value of `Limits::reserved_connections`.
const MIN_RESERVED_CONNECTIONS: usize = 2;
const MAX_RESERVED_CONNECTIONS: usize = 24;

/// The limits of the smallest machine. Most of them apply to all machines; the others are raised by `for_machine`.
const BASE_LIMITS: Limits = Limits {
    // Descriptors and connections.
    max_descriptors: 1,
    max_client_connections: 1,
    max_connections: MIN_OTHER_CONNECTIONS + 1,
    reserved_connections: MIN_RESERVED_CONNECTIONS,
    accept_backoff_us: 20_000,

    // Requests.
    max_requests: MIN_MEMORY_BYTES / REQUEST_BYTES,
    max_requests_per_client: 32,
    max_requests_per_client_under_load: 4,
    max_pending_responses_per_client: 256,
    max_reads_per_client: 16,
    max_read_time_us: 1_000,
    max_requests_per_step: 16,
    max_datagrams_per_step: 256,
    max_eviction_polls: 8,
    max_unread_input_age_us: 50_000,
    max_params_bytes: 16 << 10,
    max_total_body_bytes: MIN_MEMORY_BYTES / 4,
    max_body_bytes: 48_000,
    max_request_budget_us: 120_000_000,
    max_part: 65_535,
    max_size_kb: 1e6,
    max_object_bytes: 512 << 10,
    max_pending_response_bytes: MIN_MEMORY_BYTES / 4,
    response_margin_us: 10_000,
    overload_retry_after_us: 200_000,

    // Buffers.
    input_buffer_bytes: 16 << 10,
    output_buffer_bytes: 64 << 10,
    max_line_bytes: 64 << 10,

    // Client connections.
    partial_request_timeout_us: 2_000_000,
    client_idle_timeout_us: 5_000_000,
    client_linger_timeout_us: 1_000_000,
    client_write_timeout_us: 10_000_000,
    client_check_interval_us: 500_000,
    client_eviction_grace_us: 150_000,

    // Connections to cache servers.
    max_connections_per_cache: 8,
    attempts_before_new_connection: 2,
    max_attempts_per_connection: 100,
    max_connects_per_cache: 2,
    cache_idle_timeout_us: 0,
    connect_timeout_us: 400_000,
    connect_abort_us: 2_000_000,
    abort_transit_us: 5_000,
    response_stall_timeout_us: 150_000,
    response_timeout_us: 10_000_000,
    finished_stream_retention_us: 5_000_000,
    suspect_timeout_us: 1_000_000,
    write_stall_timeout_us: 500_000,

    // The endpoint list and the event bus.
    max_cached_list_bytes: 16 << 20,
    max_event_bytes: MIN_MEMORY_BYTES / EVENT_MEMORY_DIVISOR,
    max_caches: MAX_CACHES,
    max_remembered_caches: 2_000,
    list_store_delay_us: 500_000,
    list_store_interval_us: 60_000_000,
    bus_read_timeout_us: 2_000_000,
    bus_message_timeout_us: 5_000_000,
    bus_min_backoff_us: 100_000,
    bus_max_backoff_us: 800_000,

    // Purges, their logs and the store.
    max_exact_purges: 65_536,
    max_status_entries: 20_000,
    max_purge_logs: 16_384,
    max_pending_commits: 1_024,
    recovery_timeout_us: 5_000_000,
    recovery_total_timeout_us: 25_000_000,
    recovery_poll_interval_us: 100_000,
    max_store_writes: 4_096,
    purge_resend_interval_us: 40_000,
    plain_purge_grace_us: 1_000_000,
    max_unwritten_purges: 1_024,

    // Peer CDNs.
    max_triggers: 1024,
    max_posts: 64,
    max_post_attempts: 3,
    post_timeout_us: 1_000_000,

    // The admin listener and the log.
    max_admin_connections: 1,
    admin_timeout_us: 5_000_000,
    admin_input_buffer_bytes: 9 << 10,
    admin_output_buffer_bytes: 16 << 10,
    max_remembered_log_lines: 1_000,

    // Shutdown and draining.
    shutdown_accept_us: 900_000,
    shutdown_linger_us: 3_400_000,
    shutdown_response_us: 3_500_000,
    drain_accept_us: 1_500_000,
};

impl Limits {
    /// Returns the limits for a machine with this number of descriptors and this memory in MB.
    pub fn for_machine(descriptors: usize, memory_mb: usize) -> Self {
        let mut limits = BASE_LIMITS;
        limits.set_connection_limits(descriptors);
        limits.set_memory_limits(memory_mb.max(MIN_MEMORY_MB) << 20);
        limits
    }

    /// Sets the limits that depend on the number of descriptors.
    fn set_connection_limits(&mut self, descriptors: usize) {
        // The remaining descriptors are for cache servers, the event bus and files.
        let share = (descriptors * 3 / 5).max(1);
        self.max_descriptors = descriptors;
        self.max_client_connections = if descriptors >= MIN_USUAL_DESCRIPTORS {
            share.min(descriptors - NON_CLIENT_DESCRIPTORS)
        } else {
            share
        };
        self.max_connections = descriptors
            .saturating_sub(OTHER_DESCRIPTORS)
            .max(self.max_client_connections + MIN_OTHER_CONNECTIONS);
        self.reserved_connections =
            (self.max_connections / 8).clamp(MIN_RESERVED_CONNECTIONS, MAX_RESERVED_CONNECTIONS);
        self.max_admin_connections = (self.reserved_connections * 2 / 3).max(1);
    }

    /// Sets the limits that depend on the memory.
    fn set_memory_limits(&mut self, memory: usize) {
        self.max_requests = MAX_REQUESTS.min(memory / REQUEST_BYTES);
        self.max_total_body_bytes = memory / 4;
        self.max_pending_response_bytes = memory / 4;
        self.max_event_bytes = (memory / EVENT_MEMORY_DIVISOR).min(MAX_CACHES * EVENT_ENTRY_BYTES);
    }
}
