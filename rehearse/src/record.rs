//! What a rehearsal records: requests and answers, attempts that reached a cache, and notices to proxies. Plain data with
//! times, so that rules and scores are judged from the records alone, after the fact and without a socket.

pub use linnetknot_harness::time::Micros;

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// At will.
    Safe,
    /// Once for a key: repeats within so long are dropped.
    Keyed(Micros),
    /// Once.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How often one may take effect.
    pub repeat: Repeat,
    /// An answer within this time, and `stretch` times its own sending time, is in time.
    pub objective_us: Micros,
    /// See `aim_us`.
    pub stretch: f64,
    /// Priority weight of one.
    pub weight: f64,
    /// Share of the weight that a late answer earns.
    pub late_weight: f64,
}

/// A request as a client sent it; its retries are requests of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id, new with every retry.
    pub id: String,
    /// The first request that this one retries; its own id for a first one.
    pub first: String,
    /// Its class, by its place.
    pub class: usize,
    /// Which proxy it went to.
    pub proxy: usize,
    /// The object.
    pub object: String,
    /// Group of the object.
    pub group: u64,
    /// The idempotency key.
    pub key: Option<String>,
    /// Sending time of its answer.
    pub work_us: Micros,
    /// When it was due to be sent.
    pub due: Micros,
    /// When its last byte was written.
    pub at: Micros,
    /// When the client gives up.
    pub deadline: Micros,
    /// No answer is due from then on: the client aborted it, or the rehearsal ended the proxy's process.
    pub released: Option<Micros>,
}

/// A final answer, as its client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served: when its copy was made, and whether its bytes are those of the part.
    Served {
        /// When the origin sent the copy; none: not known.
        made: Option<Micros>,
        /// Its bytes are complete and unchanged.
        intact: bool,
    },
    /// Refused, and whether the client was told when to come back.
    Refused {
        /// It was.
        advised: bool,
    },
    /// Failed.
    Failed,
}

/// A final answer and when it was complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// The request.
    pub id: String,
    /// When.
    pub at: Micros,
    /// What.
    pub answer: FinalAnswer,
}

/// How an attempt ended at its box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It ran.
    Ran,
    /// Rejected: it never ran.
    Unseen,
    /// Given up by the proxy, or its connection ended: it may have run.
    GivenUp,
}

/// An attempt that arrived at a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub id: String,
    /// The proxy that sent it.
    pub proxy: usize,
    /// The box, hub cache or origin.
    pub target: String,
    /// The source named for its fill.
    pub source: Option<String>,
    /// When its first byte came, and its last.
    pub first_byte: Micros,
    /// See `first_byte`.
    pub at: Micros,
    /// How it ended, and when; none: it never did.
    pub ended: Option<(Micros, Ended)>,
    /// Its sending time, as work for the target; 0 for one that only looked.
    pub work_us: Micros,
    /// Work that its fill was for its source; 0 where none was asked.
    pub fill_us: Micros,
}

/// What a proxy is notified of, or counts as notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeKind {
    /// A cache takes requests, again or for the first time.
    Ready(String),
    /// A cache is draining or gone.
    OutOfService(String),
    /// An object, or with none a group, was purged at this time.
    Purged {
        /// The object.
        object: Option<String>,
        /// The group.
        group: u64,
        /// When.
        at: Micros,
    },
}

/// A notice to one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The proxy.
    pub proxy: usize,
    /// When.
    pub at: Micros,
    /// What.
    pub kind: NoticeKind,
}

/// A box or hub cache that started during the rehearsal.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStart {
    /// Its id.
    pub uid: String,
    /// When it started.
    pub at: Micros,
    /// What it can give when warm, in transfers at full pace.
    pub capacity: f64,
    /// Share of that at its start.
    pub share: f64,
    /// When it is warm, from its start.
    pub warm_us: Micros,
    /// Asked for more than this multiple of its present capacity for `overload_window_us`, it falls over.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window_us: Micros,
}

impl ColdStart {
    /// What it can do between two times, in microseconds of work: its capacity rises in a line until it is warm.
    pub fn work_capacity_us(&self, from: Micros, to: Micros) -> f64 {
        // The integral of the line up to a time from its start.
        let upto = |at: Micros| {
            let t = at.saturating_sub(self.at) as f64;
            let warm = self.warm_us.max(1) as f64;
            let rising = t.min(warm);
            let line = self.share * rising + (1.0 - self.share) * rising * rising / (2.0 * warm);
            self.capacity * (line + (t - rising))
        };
        upto(to) - upto(from)
    }

    /// What it can give at a time, in transfers at full pace.
    pub fn capacity_at(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.at) as f64 / self.warm_us.max(1) as f64;
        self.capacity * (self.share + (1.0 - self.share) * age).min(1.0)
    }
}

/// The figures of the rules, with what sockets add to every time limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Nothing new to a cache later than this after the notice that it is draining or gone.
    pub drain_us: Micros,
    /// Nothing older than a purge later than this after the notice of it.
    pub purge_us: Micros,
    /// Attempts for a request.
    pub attempts: usize,
    /// How late the rehearsal itself was: what two of its threads saw closer together than this may have been the
    /// other way round.
    pub tolerance_us: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            drain_us: 1_050_000,
            purge_us: 350_000,
            attempts: 6,
            tolerance_us: 0,
        }
    }
}

/// All that a rehearsal recorded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Classes.
    pub classes: Vec<Class>,
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// Final answers.
    pub answered: Vec<Answered>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// Notices to proxies.
    pub notices: Vec<Notice>,
    /// Caches that started.
    pub cold_starts: Vec<ColdStart>,
}
