//! Every size, count and time that bounds the daemon, in one type that is filled at the start.

use crate::front::cdni::triggers;

/// Bounds on what the daemon holds and waits for. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// File descriptors in all.
    pub descriptors: usize,
    /// Connections from clients.
    pub clients: usize,
    /// Connections in all: clients, boxes, the bus and the rest.
    pub connections: usize,
    /// Connections to one box.
    pub box_connections: usize,
    /// A further connection to a box is begun once the least used one has so many attempts.
    pub box_shared: usize,
    /// Places for connections that those to boxes leave free, for the list of boxes and the operators.
    pub spare_connections: usize,
    /// Attempts that share one connection to a box.
    pub box_streams: usize,
    /// Requests open at a time.
    pub requests: usize,
    /// Requests open on one client connection.
    pub client_requests: usize,
    /// The same once half of the table is taken.
    pub crowded_requests: usize,
    /// Answers that wait on one client connection to be written, small ones too.
    pub client_answers: usize,
    /// So many times a client's connection is read before what it asked is taken up: a client that sent much and has
    /// gone is known to have gone first.
    pub client_reads: usize,
    /// Bytes of a request's parameters.
    pub params: usize,
    /// Bytes of the bodies of all open requests, and as many of requests that have not come whole.
    pub bodies: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// The longest time that a client may say it waits.
    pub budget_us: u64,
    /// The highest part of an object.
    pub part: u64,
    /// The largest size of a part that a client may tell, in KB.
    pub size_kb: f64,
    /// Bytes of an answer's body.
    pub object: usize,
    /// Bytes of all answers that wait for slow readers.
    pub waiting_answers: usize,
    /// Bytes of a connection's ring for what comes in.
    pub input_ring: usize,
    /// Bytes of a connection's ring for what goes out.
    pub output_ring: usize,
    /// Bytes of one line or event of text.
    pub line: usize,
    /// Bytes of a kept list of boxes.
    pub list: usize,
    /// Boxes that all sources together may list.
    pub boxes: usize,
    /// Boxes that are gone, whose flaps are still held against them.
    pub gone_boxes: usize,
    /// Lines of the log that are remembered, so that each is said once.
    pub said: usize,
    /// Purges that are held one by one in the logs that are exchanged with the peers. Older ones are held by a table.
    pub purges: usize,
    /// Pieces of the status of triggers, in all logs.
    pub statuses: usize,
    /// Logs of purges: proxies by their lives.
    pub purge_logs: usize,
    /// Answers to neighbours that wait for copies of what was promised.
    pub promises: usize,
    /// A proxy that began without its disk is ready after this, whatever of its own promises is missing.
    pub recovery_us: u64,
    /// The same where a snapshot of what its peers have compacted is on its way and makes progress, in all.
    pub recovery_max_us: u64,
    /// Meanwhile it asks its peers so often what they have.
    pub recovery_ask_us: u64,
    /// Writes that wait for the store's worker.
    pub store_writes: usize,
    /// Trigger status resources.
    pub triggers: usize,
    /// Payloads on their way to neighbours.
    pub posts: usize,
    /// How often a payload to a neighbour is tried.
    pub post_tries: u32,
    /// A neighbour must have taken a payload within this.
    pub post_us: u64,
    /// A list that has changed is written down after this, so that many changes are written once.
    pub keep_soon_us: u64,
    /// One that stays as it is is written down so often, so that its time tells how old it is.
    pub keep_seldom_us: u64,
    /// Wait between the datagrams that repeat a purge to the peers: any of them may be lost.
    pub repeat_us: u64,
    /// A peer that sent a purge as a plain datagram shows within this whether it replicates logs.
    pub plain_purge_grace_us: u64,
    /// Such purges that wait for that; more are written at once.
    pub unwritten_purges: usize,
    /// When a client comes back that a full table turned away.
    pub back_off_us: u64,
    /// A connection must be up within this: what waits for one to a box goes on elsewhere then.
    pub connect_us: u64,
    /// A connection to a box that is not up by then is waited for no more.
    pub dial_us: u64,
    /// So many connections to one box may be begun and not up.
    pub box_dials: usize,
    /// A connection to a box on which nothing went either way for so long is not used any more, as the box may be about
    /// to end it; 0: no bound.
    pub box_idle_us: u64,
    /// A final answer leaves this long before the client gives up: it has a way to go.
    pub answer_ahead_us: u64,
    /// An event bus that says nothing for so long is called again.
    pub bus_silence_us: u64,
    /// Wait before the event bus is called again; the first, and the longest when calls come to nothing.
    pub bus_again_us: u64,
    /// See `bus_again_us`.
    pub bus_again_most_us: u64,
    /// After SIGTERM, new connections and requests are taken for so long.
    pub term_grace_us: u64,
    /// Wait before accepting again where no descriptor was left.
    pub accept_again_us: u64,
    /// A client's connection that has asked for nothing, or for a request that does not become whole, is ended
    /// after so long.
    pub client_half_us: u64,
    /// A client's connection on which all is answered is ended after so long: longer than usual clients keep one.
    pub client_idle_us: u64,
    /// A client's connection that was ended here with all answered is kept so long for the client to read the rest.
    pub client_linger_us: u64,
    /// Such connections hold the process back for no longer than this after SIGTERM.
    pub term_linger_us: u64,
    /// So long after SIGTERM every request has its answer: the process may be killed a little later.
    pub term_answer_us: u64,
    /// A client that takes none of its answers for so long is ended.
    pub client_stalled_us: u64,
    /// How often a client's connection is looked at.
    pub client_look_us: u64,
    /// A client's connection makes no room for another in the first moments of being as it is.
    pub settle_us: u64,
    /// An attempt that was given up is over so long after the word of it was written: it has a way to go.
    pub give_up_us: u64,
    /// An answer from a box that has begun and brings nothing more for so long has stopped short.
    pub half_answer_us: u64,
    /// An answer from a box that has begun and is not whole after so long never will be: nobody waits longer.
    pub answer_us: u64,
    /// What was given up on a connection is remembered there for so long.
    pub forget_us: u64,
    /// A connection to a box that says nothing for so long, while it is asked, may lead nowhere any more.
    pub suspect_us: u64,
    /// A connection to a box that takes none of what is written for so long is broken off.
    pub stalled_us: u64,
    /// Callers at the admin listener at a time; where all places are taken the one there longest leaves.
    pub admin_callers: usize,
    /// A caller at the admin listener has this long for its whole call: callers that hold a connection for 4 s with none
    /// must not keep the places.
    pub admin_call_us: u64,
    /// Bytes of the ring for what comes in of a caller at the admin listener: the longest head it reads, and some.
    pub admin_input: usize,
    /// Bytes of an admin listener connection's ring for its one answer, the longest of which tells of the fleet.
    pub admin_output: usize,
    /// In a drain, a client connection that is to close takes requests for so long after the call (by 4 s none may
    /// have one from the last 2 s).
    pub drain_last_taken_us: u64,
}

/// What a client's connection is at, those first that make room for others first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It was ended here, and its client may still read.
    Lingering,
    /// It has asked for nothing yet.
    Silent,
    /// A request has come in part.
    Half,
    /// All that it asked for is answered.
    Idle,
    /// It waits for an answer, or one is on its way out.
    Busy,
}

/// Of a longest deadline beyond this, no more than this passes from SIGTERM until SIGKILL may come.
const MAX_TERM_DEADLINE_US: u64 = 3_000_000;

impl Limits {
    /// When a client's connection ends that stays what it has been `since` then; none while answers are owed.
    pub fn leaves_at(&self, standing: Standing, owed: usize, since: u64) -> Option<u64> {
        let after = match standing {
            Standing::Silent | Standing::Half => self.client_half_us,
            Standing::Idle => self.client_idle_us,
            Standing::Lingering => self.client_linger_us,
            Standing::Busy if owed > 0 => return None,
            // All is said, and the client takes none of it.
            Standing::Busy => self.client_stalled_us,
        };
        Some(since + after)
    }

    /// Whether a client connection that is owed so many answers, its new one with them, may ask for one more: a
    /// flood by one must leave room for the requests of the others.
    pub fn admits(&self, owed: usize, crowded: bool) -> bool {
        owed <= if crowded {
            self.crowded_requests
        } else {
            self.client_requests
        }
    }

    /// The bounds of the book of boxes.
    pub fn members(&self) -> linnetknot_discovery::Limits {
        linnetknot_discovery::Limits {
            max_caches: self.boxes,
            max_remembered: self.gone_boxes,
        }
    }

    /// The bounds of the logs of purges, and what is promised of them.
    pub fn replication(
        &self,
        promised: &crate::interconnect::Copies,
    ) -> linnetknot_replication::Options {
        linnetknot_replication::Options {
            max_exact_entries: promised.purge_table.exact.unwrap_or(self.purges),
            max_logs: self.purge_logs,
            expiring: self.statuses,
            expiry_us: triggers::STALE_S * 1_000_000,
            max_pending: self.promises,
            min_acks: promised.wait,
            replication_factor: promised.holders,
            commit_timeout_us: promised.within_us,
            ..Default::default()
        }
    }

    /// The same for a site: what follows from its settings, and from how long its connections to boxes may take to come
    /// up and may rest (0: not told).
    pub fn for_site(self, settings: &linnetknot::Settings, connect_us: u64, idle_us: u64) -> Self {
        let longest = settings
            .classes
            .iter()
            .map(|c| c.deadline_us)
            .max()
            .unwrap_or(0);
        Limits {
            back_off_us: settings.max_retry_after_us.min(self.back_off_us),
            connect_us: if connect_us > 0 {
                connect_us
            } else {
                self.connect_us
            },
            dial_us: self.dial_us.max(connect_us),
            answer_us: if longest > 0 {
                longest.max(self.half_answer_us)
            } else {
                self.answer_us
            },
            // Its box ends a connection at the full time: what is sent a moment before crosses that.
            box_idle_us: idle_us / 10 * 9,
            // SIGKILL may come 0.7 s after the longest deadline, of which more than 3 s don't count.
            term_linger_us: longest.min(MAX_TERM_DEADLINE_US) + 400_000,
            term_answer_us: longest.min(MAX_TERM_DEADLINE_US) + 500_000,
            // What comes at the end of a short one's grace still has to be answered.
            term_grace_us: self
                .term_grace_us
                .min(longest.min(MAX_TERM_DEADLINE_US) + 400_000),
            ..self
        }
    }

    /// Takes over from other bounds what follows from the settings, after these have changed.
    pub fn follow(&mut self, other: &Limits) {
        let Limits {
            back_off_us,
            answer_us,
            term_linger_us,
            term_answer_us,
            ..
        } = *other;
        (self.back_off_us, self.answer_us) = (back_off_us, answer_us);
        (self.term_linger_us, self.term_answer_us) = (term_linger_us, term_answer_us);
    }

    /// The bounds that fit a machine with so many descriptors and MB of memory.
    pub fn for_machine(descriptors: usize, memory_mb: usize) -> Self {
        // The rest is for boxes, the bus and what the process itself has open.
        let clients = (descriptors * 3 / 5).max(1);
        let clients = if descriptors >= 64 {
            clients.min(descriptors - 40)
        } else {
            clients
        };
        let memory = memory_mb.max(16) << 20;
        let connections = descriptors.saturating_sub(24).max(clients + 16);
        let spare = (connections / 8).clamp(2, 24);
        Limits {
            descriptors,
            clients,
            connections,
            box_connections: 8,
            box_shared: 2,
            spare_connections: spare,
            box_streams: 100,
            requests: 8192.min(memory / (16 << 10)),
            client_requests: 32,
            crowded_requests: 4,
            client_answers: 256,
            client_reads: 16,
            bodies: memory / 4,
            params: 16 << 10,
            body: 48_000,
            budget_us: 120_000_000,
            part: 65_535,
            size_kb: 1e6,
            object: 512 << 10,
            waiting_answers: memory / 4,
            input_ring: 16 << 10,
            output_ring: 64 << 10,
            line: 64 << 10,
            list: 16 << 20,
            boxes: 20_000,
            gone_boxes: 2_000,
            said: 1_000,
            purges: 65_536,
            statuses: 20_000,
            purge_logs: 16_384,
            promises: 1_024,
            recovery_us: 5_000_000,
            recovery_max_us: 25_000_000,
            recovery_ask_us: 100_000,
            store_writes: 4_096,
            triggers: 1024,
            posts: 64,
            post_tries: 3,
            post_us: 1_000_000,
            keep_soon_us: 500_000,
            keep_seldom_us: 60_000_000,
            repeat_us: 40_000,
            plain_purge_grace_us: 1_000_000,
            unwritten_purges: 1_024,
            back_off_us: 200_000,
            connect_us: 400_000,
            dial_us: 2_000_000,
            box_dials: 2,
            box_idle_us: 0,
            answer_ahead_us: 10_000,
            bus_silence_us: 2_000_000,
            bus_again_us: 100_000,
            bus_again_most_us: 800_000,
            term_grace_us: 900_000,
            accept_again_us: 20_000,
            client_half_us: 2_000_000,
            client_idle_us: 5_000_000,
            client_linger_us: 1_000_000,
            term_linger_us: 3_400_000,
            term_answer_us: 3_500_000,
            client_stalled_us: 10_000_000,
            client_look_us: 500_000,
            settle_us: 150_000,
            give_up_us: 5_000,
            half_answer_us: 150_000,
            answer_us: 10_000_000,
            forget_us: 5_000_000,
            suspect_us: 1_000_000,
            stalled_us: 500_000,
            admin_callers: (spare * 2 / 3).max(1),
            admin_call_us: 5_000_000,
            admin_input: 9 << 10,
            admin_output: 16 << 10,
            drain_last_taken_us: 1_500_000,
        }
    }
}
