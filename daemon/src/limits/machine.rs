//! The bounds that fit a machine: what its descriptors and its memory allow, and what is the same on all of them.

use super::Limits;

/// The least memory that a machine is taken to have.
const MIN_MEMORY_MB: usize = 16;
const MIN_MEMORY_BYTES: usize = MIN_MEMORY_MB << 20;
/// Memory for each request that may be open.
const REQUEST_BYTES: usize = 16 << 10;
/// The most requests that are open at a time, however much memory there is.
const MAX_REQUESTS: usize = 8192;

/// Descriptors that are neither connections to clients nor to cache servers: sockets that listen, files, and more.
const OTHER_DESCRIPTORS: usize = 24;
/// Connections to cache servers and the bus that the smallest machine has room for.
const MIN_OTHER_CONNECTIONS: usize = 16;
/// On a machine with so many descriptors, `CLIENTS_LEAVE` of them are not for clients.
const USUAL_DESCRIPTORS: usize = 64;
const CLIENTS_LEAVE: usize = 40;
/// The range of the connections that those to cache servers leave free.
const MIN_SPARE_CONNECTIONS: usize = 2;
const MAX_SPARE_CONNECTIONS: usize = 24;

/// The bounds that are the same on all machines, and those of the smallest.
const ON_ANY_MACHINE: Limits = Limits {
    // Descriptors and connections.
    descriptors: 1,
    clients: 1,
    connections: MIN_OTHER_CONNECTIONS + 1,
    spare_connections: MIN_SPARE_CONNECTIONS,
    accept_again_us: 20_000,

    // Requests.
    requests: MIN_MEMORY_BYTES / REQUEST_BYTES,
    client_requests: 32,
    crowded_requests: 4,
    client_answers: 256,
    client_reads: 16,
    params: 16 << 10,
    bodies: MIN_MEMORY_BYTES / 4,
    body: 48_000,
    budget_us: 120_000_000,
    part: 65_535,
    size_kb: 1e6,
    object: 512 << 10,
    waiting_answers: MIN_MEMORY_BYTES / 4,
    answer_ahead_us: 10_000,
    back_off_us: 200_000,

    // Buffers.
    input_ring: 16 << 10,
    output_ring: 64 << 10,
    line: 64 << 10,

    // Client connections.
    client_half_us: 2_000_000,
    client_idle_us: 5_000_000,
    client_linger_us: 1_000_000,
    client_stalled_us: 10_000_000,
    client_look_us: 500_000,
    settle_us: 150_000,

    // Connections to cache servers.
    box_connections: 8,
    box_shared: 2,
    box_streams: 100,
    box_dials: 2,
    box_idle_us: 0,
    connect_us: 400_000,
    dial_us: 2_000_000,
    give_up_us: 5_000,
    half_answer_us: 150_000,
    answer_us: 10_000_000,
    forget_us: 5_000_000,
    suspect_us: 1_000_000,
    stalled_us: 500_000,

    // The endpoint list and the event bus.
    list: 16 << 20,
    boxes: 20_000,
    gone_boxes: 2_000,
    keep_soon_us: 500_000,
    keep_seldom_us: 60_000_000,
    bus_silence_us: 2_000_000,
    bus_again_us: 100_000,
    bus_again_most_us: 800_000,

    // Purges, their logs and the store.
    purges: 65_536,
    statuses: 20_000,
    purge_logs: 16_384,
    promises: 1_024,
    recovery_us: 5_000_000,
    recovery_max_us: 25_000_000,
    recovery_ask_us: 100_000,
    store_writes: 4_096,
    repeat_us: 40_000,
    plain_purge_grace_us: 1_000_000,
    unwritten_purges: 1_024,

    // Peer CDNs.
    triggers: 1024,
    posts: 64,
    post_tries: 3,
    post_us: 1_000_000,

    // The admin listener and the log.
    admin_callers: 1,
    admin_call_us: 5_000_000,
    admin_input: 9 << 10,
    admin_output: 16 << 10,
    said: 1_000,

    // Shutdown and draining.
    term_grace_us: 900_000,
    term_linger_us: 3_400_000,
    term_answer_us: 3_500_000,
    drain_last_taken_us: 1_500_000,
};

impl Limits {
    /// The bounds that fit a machine with so many descriptors and MB of memory.
    pub fn for_machine(descriptors: usize, memory_mb: usize) -> Self {
        let mut limits = ON_ANY_MACHINE;
        limits.bound_connections(descriptors);
        limits.bound_memory(memory_mb.max(MIN_MEMORY_MB) << 20);
        limits
    }

    /// The bounds that follow from the number of descriptors.
    fn bound_connections(&mut self, descriptors: usize) {
        // The rest is for cache servers, the bus and what the process itself has open.
        let share = (descriptors * 3 / 5).max(1);
        self.descriptors = descriptors;
        self.clients = if descriptors >= USUAL_DESCRIPTORS {
            share.min(descriptors - CLIENTS_LEAVE)
        } else {
            share
        };
        self.connections = descriptors
            .saturating_sub(OTHER_DESCRIPTORS)
            .max(self.clients + MIN_OTHER_CONNECTIONS);
        self.spare_connections =
            (self.connections / 8).clamp(MIN_SPARE_CONNECTIONS, MAX_SPARE_CONNECTIONS);
        self.admin_callers = (self.spare_connections * 2 / 3).max(1);
    }

    /// The bounds that follow from the bytes of memory.
    fn bound_memory(&mut self, memory: usize) {
        self.requests = MAX_REQUESTS.min(memory / REQUEST_BYTES);
        self.bodies = memory / 4;
        self.waiting_answers = memory / 4;
    }
}
