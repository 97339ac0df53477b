//! The record of a rehearsal, which is a test run of a scenario with real proxies and fake caches: requests and
//! answers, attempts that reached a cache, and notices to proxies. Rules and scores are computed from the record after
//! the run.

pub use linnetknot_harness::time::Micros;

/// The number of times that a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may take effect any number of times.
    Safe,
    /// Once for each idempotency key. Repeats within this many microseconds are dropped.
    Keyed(Micros),
    /// The request may take effect at most once.
    Unsafe,
}

/// A class of requests, with the properties that the rules and the score use.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, as in the scenario.
    pub name: String,
    /// The number of times that a request of this class may take effect.
    pub repeat: Repeat,
    /// The response time objective, to which `stretch` times the transfer time of the answer is added.
    pub objective_us: Micros,
    /// The multiple of the answer's own transfer time that is added to `objective_us`.
    pub stretch: f64,
    /// The weight of a request in the score.
    pub weight: f64,
    /// The share of the weight that a late answer earns.
    pub late_weight: f64,
}

/// A request that a client sent. Each retry is recorded as a separate request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id of this request. Each retry has a new id.
    pub id: String,
    /// The id of the first request in a series of retries, or the request's own id if it is not a retry.
    pub first: String,
    /// The index of the request's class in `Record::classes`.
    pub class: usize,
    /// The index of the proxy that it was sent to.
    pub proxy: usize,
    /// The requested object.
    pub object: String,
    /// The group of the object.
    pub group: u64,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// The time to transfer the answer at full rate.
    pub work_us: Micros,
    /// The scheduled time of sending.
    pub due: Micros,
    /// The time at which the last byte of the request was written.
    pub at: Micros,
    /// The time until which the client waits for the answer.
    pub deadline: Micros,
    /// The time from which a missing answer breaks no rule, because the client aborted the request or the test ended
    /// the proxy's process.
    pub released: Option<Micros>,
}

/// The outcome of a request at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request was served.
    Served {
        /// The time at which the origin sent the copy, if known.
        made: Option<Micros>,
        /// The body is complete and unchanged.
        intact: bool,
    },
    /// The request was refused with 429 or 503.
    Refused {
        /// The answer advised a retry delay.
        advised: bool,
    },
    /// The request failed with another status.
    Failed,
}

/// A final answer with the time at which it was complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// The id of the request.
    pub id: String,
    /// The time at which the client had read the whole answer.
    pub at: Micros,
    /// The final answer that the client received.
    pub answer: FinalAnswer,
}

/// How an attempt ended at the cache that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The cache executed the request.
    Ran,
    /// The cache rejected the request without executing it.
    Unseen,
    /// The proxy aborted the attempt, or the connection ended. The cache may have executed the request.
    GivenUp,
}

/// An attempt that arrived at a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The id of the request.
    pub id: String,
    /// The index of the proxy that sent it.
    pub proxy: usize,
    /// The uid of the cache, parent or origin that received it.
    pub target: String,
    /// The uid of the cache or origin from which the copy was to be filled, if any.
    pub source: Option<String>,
    /// The time at which the first byte of the request arrived.
    pub first_byte: Micros,
    /// The time at which the last byte of the request arrived.
    pub at: Micros,
    /// The time and the way in which the attempt ended, or `None` if it was still in progress at the end of the record.
    pub ended: Option<(Micros, Ended)>,
    /// The target's work in microseconds of transfer time. 0 if the target only looked up a copy.
    pub work_us: Micros,
    /// The work that the fill caused at its source, in the same unit. 0 without a fill.
    pub fill_us: Micros,
}

/// An event of which a proxy is notified. A notice that a test drops on purpose is recorded as if it had been sent.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeKind {
    /// A cache is ready for requests.
    Ready(String),
    /// A cache is draining or gone.
    OutOfService(String),
    /// An object was purged, or a group if there is no object.
    Purged {
        /// The purged object, or `None` if the whole group was purged.
        object: Option<String>,
        /// The purged group, or the group of the purged object.
        group: u64,
        /// The time at which the purge was issued.
        at: Micros,
    },
}

/// A notice to one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The index of the proxy.
    pub proxy: usize,
    /// The time at which the notice was sent.
    pub at: Micros,
    /// The event that the proxy is notified of.
    pub kind: NoticeKind,
}

/// The cold start of a cache, during which its capacity is reduced.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStart {
    /// The uid of the cache.
    pub uid: String,
    /// The time at which it started.
    pub at: Micros,
    /// The capacity of the warm cache, in concurrent transfers at full rate.
    pub capacity: f64,
    /// The share of `capacity` that is available at the start.
    pub share: f64,
    /// The time from the start until the full capacity is available.
    pub warm_us: Micros,
    /// The multiple of the current capacity above which the load crashes the cache.
    pub overload_multiple: f64,
    /// The window over which the load is measured.
    pub overload_window_us: Micros,
}

impl ColdStart {
    /// Returns the work that the cache can do between two times, in microseconds of transfer time. The capacity rises
    /// linearly until the cache is warm.
    pub fn work_capacity_us(&self, from: Micros, to: Micros) -> f64 {
        // The integral of the capacity from the start to a time.
        let upto = |at: Micros| {
            let t = at.saturating_sub(self.at) as f64;
            let warm = self.warm_us.max(1) as f64;
            let rising = t.min(warm);
            let line = self.share * rising + (1.0 - self.share) * rising * rising / (2.0 * warm);
            self.capacity * (line + (t - rising))
        };
        upto(to) - upto(from)
    }

    /// Returns the cache's capacity at a time, in concurrent transfers at full rate.
    pub fn capacity_at(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.at) as f64 / self.warm_us.max(1) as f64;
        self.capacity * (self.share + (1.0 - self.share) * age).min(1.0)
    }
}

/// The limits of the rules, with an allowance for the delay of sockets in each time limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The grace period after the notice that a cache is draining or gone.
    pub drain_us: Micros,
    /// The grace period after the notice of a purge.
    pub purge_us: Micros,
    /// The maximum number of attempts of a request.
    pub attempts: usize,
    /// The timing tolerance of the test harness: two threads may record events closer together than this in the wrong
    /// order.
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

/// The complete record of a test run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The classes of the scenario.
    pub classes: Vec<Class>,
    /// The requests of clients, including retries.
    pub requests: Vec<Request>,
    /// The final answers to clients.
    pub answered: Vec<Answered>,
    /// The attempts that arrived at caches.
    pub attempts: Vec<Attempt>,
    /// The notices to proxies.
    pub notices: Vec<Notice>,
    /// The cold starts of caches.
    pub cold_starts: Vec<ColdStart>,
}
