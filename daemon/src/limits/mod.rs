//! Every size, count and time that bounds the daemon, in one type that is filled at the start.

mod machine;

use crate::front::cdni::triggers;
use crate::interconnect::Copies;
use linnetknot::Settings;
use linnetknot_discovery::Limits as DiscoveryLimits;
use linnetknot_replication::Options as ReplicationOptions;

/// Bounds on what the daemon holds and waits for. Times in microseconds.
/// Bounds on what the daemon holds and waits for. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    // Descriptors and connections.
    /// File descriptors in all.
    pub descriptors: usize,
    /// Connections from clients.
    pub clients: usize,
    /// Connections in all: clients, cache servers, the bus and the rest.
    pub connections: usize,
    /// Connections that those to cache servers leave free, for the endpoint list and the operators.
    pub spare_connections: usize,
    /// Pause of accepting after no descriptor was left.
    pub accept_again_us: u64,

    // Requests.
    /// Requests open at a time.
    pub requests: usize,
    /// Requests open on one client connection.
    pub client_requests: usize,
    /// The same once half of the table of requests is taken.
    pub crowded_requests: usize,
    /// Responses that wait on one client connection to be written, small ones too.
    pub client_answers: usize,
    /// A client's connection is read so many times before the requests on it are taken up: of a client that sent
    /// much and closed, the close is known first.
    pub client_reads: usize,
    /// Bytes of a request's parameters.
    pub params: usize,
    /// Bytes of the bodies of all open requests, and as many of requests that are not yet complete.
    pub bodies: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// The longest time that a client may say it waits.
    pub budget_us: u64,
    /// The highest part of an object.
    pub part: u64,
    /// The largest size of a part that a client may announce, in KB.
    pub size_kb: f64,
    /// Bytes of a response's body.
    pub object: usize,
    /// Bytes of all responses that wait for slow readers.
    pub waiting_answers: usize,
    /// A final response leaves this long before the client gives up: it has a way to go.
    pub answer_ahead_us: u64,
    /// Retry-After of a client that was rejected because the table of requests is full.
    pub back_off_us: u64,

    // Buffers.
    /// Bytes of a connection's ring buffer for what is received.
    pub input_ring: usize,
    /// Bytes of a connection's ring buffer for what is sent.
    pub output_ring: usize,
    /// Bytes of one line or event of text.
    pub line: usize,

    // Client connections.
    /// A client's connection that has sent no request, or one that does not become complete, is closed after so
    /// long.
    pub client_half_us: u64,
    /// An idle client connection is closed after so long: longer than usual clients keep one.
    pub client_idle_us: u64,
    /// A client's connection that was closed here with all requests answered is kept so long for the client to
    /// read the rest.
    pub client_linger_us: u64,
    /// A client that reads none of its responses for so long is disconnected.
    pub client_stalled_us: u64,
    /// Interval of the checks of a client's connection.
    pub client_look_us: u64,
    /// A client's connection is not closed in favour of another in the first moments of a new state.
    pub settle_us: u64,

    // Connections to cache servers.
    /// Connections to one cache server.
    pub box_connections: usize,
    /// A further connection to a cache server is begun once the least used one has so many attempts.
    pub box_shared: usize,
    /// Attempts that share one connection to a cache server.
    pub box_streams: usize,
    /// Connections to one cache server that may be begun and not up.
    pub box_dials: usize,
    /// A connection to a cache server that was idle for so long is not used any more, as the server may be about
    /// to close it; 0: no bound.
    pub box_idle_us: u64,
    /// A connection must be up within this: an attempt that waits for one to a cache server is then made
    /// elsewhere.
    pub connect_us: u64,
    /// A connection to a cache server that is not up by then is closed.
    pub dial_us: u64,
    /// A cancelled attempt is over so long after its cancellation was written: it has a way to go.
    pub give_up_us: u64,
    /// A response from a cache server that has begun and of which nothing more arrives for so long is cut short.
    pub half_answer_us: u64,
    /// A response from a cache server that has begun and is not complete after so long never will be: nobody
    /// waits longer.
    pub answer_us: u64,
    /// Cancelled attempts are remembered on a connection for so long.
    pub forget_us: u64,
    /// A connection to a cache server with attempts in flight on which nothing arrives for so long is suspected
    /// to be dead.
    pub suspect_us: u64,
    /// A connection to a cache server that accepts none of what is written for so long is closed.
    pub stalled_us: u64,

    // The endpoint list and the event bus.
    /// Bytes of a cached snapshot of the endpoint list.
    pub list: usize,
    /// Cache servers that all sources together may list.
    pub boxes: usize,
    /// Cache servers that are gone, and whose flaps still count.
    pub gone_boxes: usize,
    /// An endpoint list that has changed is stored after this, so that many changes are stored once.
    pub keep_soon_us: u64,
    /// One that stays as it is is stored at this interval, so that its time tells how old it is.
    pub keep_seldom_us: u64,
    /// An event bus from which nothing arrives for so long is connected to again.
    pub bus_silence_us: u64,
    /// Backoff before the event bus is connected to again: the first.
    pub bus_again_us: u64,
    /// The longest such backoff.
    pub bus_again_most_us: u64,

    // Purges, their logs and the store.
    /// Purges that the logs exchanged with the peers hold one by one. Older ones are held by a table.
    pub purges: usize,
    /// Entries with the status of triggers, in all logs.
    pub statuses: usize,
    /// Logs of purges: proxies by their incarnations.
    pub purge_logs: usize,
    /// Responses to peer CDNs that wait for the replication of a purge.
    pub promises: usize,
    /// A proxy that began without its disk is ready after this, whatever of its own log is missing.
    pub recovery_us: u64,
    /// The same, in all, where a snapshot of what its peers have compacted is on its way and makes progress.
    pub recovery_max_us: u64,
    /// Interval at which it polls its peers meanwhile.
    pub recovery_ask_us: u64,
    /// Writes that wait for the store's worker.
    pub store_writes: usize,
    /// Interval of the datagrams that repeat a purge to the peers: any of them may be lost.
    pub repeat_us: u64,
    /// A peer that sent a purge as a plain datagram shows within this whether it replicates logs.
    pub plain_purge_grace_us: u64,
    /// Such purges that wait for that; more are written at once.
    pub unwritten_purges: usize,

    // Peer CDNs.
    /// Trigger status resources.
    pub triggers: usize,
    /// Messages on their way to peer CDNs.
    pub posts: usize,
    /// Attempts to deliver a message to a peer CDN.
    pub post_tries: u32,
    /// Deadline of the delivery of a message to a peer CDN.
    pub post_us: u64,

    // The admin listener and the log.
    /// Callers at the admin listener at a time; where there are as many, the oldest is disconnected.
    pub admin_callers: usize,
    /// A caller at the admin listener has this long for its whole call: callers that hold a connection for 4 s
    /// with none must not take the capacity.
    pub admin_call_us: u64,
    /// Bytes of the ring buffer for what a caller at the admin listener sends: the longest head it reads, and
    /// some.
    pub admin_input: usize,
    /// Bytes of the ring buffer for the one response to it, the longest of which is the fleet's status.
    pub admin_output: usize,
    /// Lines of the log that are remembered, so that each is written once.
    pub said: usize,

    // Shutdown and draining.
    /// After SIGTERM, new connections and requests are accepted for so long.
    pub term_grace_us: u64,
    /// Lingering client connections delay the end of the process for no longer than this after SIGTERM.
    pub term_linger_us: u64,
    /// So long after SIGTERM every request has its response: the process may be killed a little later.
    pub term_answer_us: u64,
    /// In a drain, a client connection that is to close accepts requests for so long after the call (by 4 s none
    /// may have one from the last 2 s).
    pub drain_last_taken_us: u64,
}

/// The state of a client's connection. Where there are too many, those first in this order are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It was closed here, and its client may still read.
    Lingering,
    /// It has sent no request yet.
    Silent,
    /// Part of a request has been received.
    Half,
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
    pub fn leaves_at(&self, standing: Standing, pending: usize, since: u64) -> Option<u64> {
        let after = match standing {
            Standing::Silent | Standing::Half => self.client_half_us,
            Standing::Idle => self.client_idle_us,
            Standing::Lingering => self.client_linger_us,
            Standing::Busy if pending > 0 => return None,
            // All responses are made, and the client reads none of them.
            Standing::Busy => self.client_stalled_us,
        };
        Some(since + after)
    }

    /// Whether a client connection with so many pending responses, that to its new request among them, may send one
    /// request more: a flood by one client must leave capacity for the others.
    pub fn admits(&self, pending: usize, crowded: bool) -> bool {
        let limit = if crowded {
            self.crowded_requests
        } else {
            self.client_requests
        };
        pending <= limit
    }

    /// The bounds of the table of endpoints.
    pub fn members(&self) -> DiscoveryLimits {
        DiscoveryLimits {
            max_caches: self.boxes,
            max_remembered: self.gone_boxes,
        }
    }

    /// The bounds of the logs of purges, and how they are replicated.
    pub fn replication(&self, copies: &Copies) -> ReplicationOptions {
        ReplicationOptions {
            max_exact_entries: copies.purge_table.exact.unwrap_or(self.purges),
            max_logs: self.purge_logs,
            expiring_entries: self.statuses,
            expiry_us: triggers::STALE_S * 1_000_000,
            max_pending_commits: self.promises,
            min_acks: copies.wait,
            replication_factor: copies.holders,
            commit_timeout_us: copies.within_us,
            ..ReplicationOptions::default()
        }
    }

    /// The bounds of a site: what follows from its settings, and from how long its connections to cache servers may take
    /// to be up and may be idle (0: unknown).
    pub fn for_site(self, settings: &Settings, connect_us: u64, idle_us: u64) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline_us);
        let longest_us = deadlines.max().unwrap_or(0);
        let term_us = longest_us.min(MAX_TERM_DEADLINE_US);
        let term_linger_us = term_us + TERM_LINGER_AFTER_US;
        Limits {
            back_off_us: settings.max_retry_after_us.min(self.back_off_us),
            connect_us: if connect_us > 0 {
                connect_us
            } else {
                self.connect_us
            },
            dial_us: self.dial_us.max(connect_us),
            answer_us: if longest_us > 0 {
                longest_us.max(self.half_answer_us)
            } else {
                self.answer_us
            },
            // The server closes a connection at the full time: what is sent a moment before crosses that.
            box_idle_us: idle_us / 10 * 9,
            term_linger_us,
            term_answer_us: term_us + TERM_ANSWER_AFTER_US,
            // A request that arrives at the end of the grace of a site with short deadlines must still be answered.
            term_grace_us: self.term_grace_us.min(term_linger_us),
            ..self
        }
    }

    /// Takes over from other bounds what follows from the settings, after these have changed.
    pub fn follow(&mut self, other: &Limits) {
        self.back_off_us = other.back_off_us;
        self.answer_us = other.answer_us;
        self.term_linger_us = other.term_linger_us;
        self.term_answer_us = other.term_answer_us;
    }
}
