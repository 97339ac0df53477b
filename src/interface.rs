//! What goes into the decision module and what comes out: settings, events and actions. Plain data, no logic.

/// Time or duration in microseconds, on the clock of whoever feeds the router.
pub type Micros = u64;
/// A cache, parent or origin, by the id that the list of servers gives it.
pub type ServerId = u64;
/// A client's try of a request. Never used twice.
pub type RequestId = u64;

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be repeated at will.
    Safe,
    /// Carries a key: a group of servers drops repeats for a while.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the server that was tried.
    Zone,
    /// Those in the cell of the server that was tried.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, as requests carry it.
    pub name: String,
    /// An answer within this time earns the full worth.
    pub aim_us: Micros,
    /// The aim grows by this many times the request's own sending time.
    pub aim_stretch: f64,
    /// When clients give up at the latest.
    pub deadline_us: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// How often it may take effect.
    pub repeat: Repeat,
    /// For keyed classes: who drops repeats.
    pub scope: DedupScope,
    /// For keyed classes: for how long repeats are dropped.
    pub window_us: Micros,
    /// The answer is a stream: once begun it belongs to the client.
    pub streaming: bool,
    /// Its objects have several parts.
    pub parts: bool,
    /// Runs at the origin and is never kept.
    pub write: bool,
    /// How long a copy is fresh; 0: until purged.
    pub fresh_us: Micros,
    /// How long past that it may still be served.
    pub grace_us: Micros,
    /// Share of the worth that an answer past its fresh time earns.
    pub stale_worth: f64,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as requests carry it.
    pub name: String,
    /// Requests a second within its share, over all routers.
    pub quota_rps: f64,
}

/// A zone: a location with caches and routers, or a hub with parents.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name, as the list of servers carries it.
    pub name: String,
    /// How many routers serve it.
    pub routers: u32,
    /// The zone that is its hub.
    pub hub: usize,
    /// What its one link for fills carries, KB a second; 0: not told.
    pub link_kb_per_s: f64,
}

/// Which caches may be the source of another cache's fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    Off,
    /// Those of the same location.
    Location,
    /// Any.
    Any,
}

/// What answers tell of where they came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tells {
    /// How each answer was made, and why a fill failed.
    All,
    /// Hit or filled only.
    Hit,
    /// Nothing.
    Off,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// In answers and probe results.
    Answers,
    /// In probe results only.
    Probes,
    /// There are none.
    Off,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A server that drains or is gone gets nothing new later than this after word of it.
    pub drain_grace_us: Micros,
    /// A just-started cache has this share of its capacity, or more.
    pub cold_share: f64,
    /// It is warm after this long at most.
    pub cold_us: Micros,
    /// Sent more than this multiple of its present capacity for `fall_us`, it falls over.
    pub fall_multiple: f64,
    /// See `fall_multiple`; also holds for parents.
    pub fall_us: Micros,
    /// As `cold_share`, for parents.
    pub parent_cold_share: f64,
    /// As `cold_us`, for parents.
    pub parent_cold_us: Micros,
    /// As `fall_multiple`, for parents.
    pub parent_fall_multiple: f64,
    /// A purge must be kept from this long after word of it.
    pub purge_grace_us: Micros,
    /// After this long, the servers have dropped older copies by themselves.
    pub purge_done_us: Micros,
    /// Where the list must be asked for: without word for this long, a router counts as told.
    pub ask_within_us: Micros,
}

/// What a router is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// All zones.
    pub zones: Vec<Zone>,
    /// The router's own zone, as a place in `zones`.
    pub zone: usize,
    /// The router's number among all that share these settings, from 0; none: not told.
    pub rank: Option<u32>,
    /// The kind of server that is a parent, if the deployment has any.
    pub parent_kind: Option<String>,
    /// The kind of server that is the origin.
    pub origin_kind: String,
    /// The list of servers must be asked for; else it is pushed.
    pub ask_for_list: bool,
    /// Parents and the origin take requests too.
    pub direct: bool,
    /// A request may wait for a fill that is under way.
    pub joins: bool,
    /// Which caches may fill others.
    pub siblings: Siblings,
    /// What answers tell.
    pub tells: Tells,
    /// Where load reports come from.
    pub reports: Reports,
    /// Weights in the list are link sizes in transfers at full pace.
    pub weights_told: bool,
    /// Pace of one transfer to a client at most, KB a second; 0: not told.
    pub flow_kb_per_s: f64,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after_us: Micros,
    /// The origin stops for a while when asked for this multiple of what it can do; 0: it does not.
    pub origin_fall_multiple: f64,
    /// The rules' figures.
    pub rules: Rules,
}

/// Where a server is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Gone.
    #[default]
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// Name of its zone.
    pub zone: String,
    /// Its cell: servers that share which keys they have seen.
    pub cell: u64,
    /// Its kind.
    pub kind: String,
    /// Its size; see `Settings::weights_told`.
    pub weight: f64,
    /// Where it is in its life.
    pub state: State,
    /// When it last started; none: long ago.
    pub started: Option<Micros>,
}

/// How much of the list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// All of it; what is not named is gone.
    Full,
    /// Changed entries only.
    Delta,
    /// The call for it failed.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Name of its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The object asked for.
    pub object: String,
    /// Which part of it.
    pub part: u64,
    /// The object's group, as purges may name it.
    pub group: u64,
    /// Size of this part in KB; 0: not told.
    pub size_kb: f64,
    /// Time until the client gives up.
    pub remaining_us: Micros,
    /// The client marked it as a repeat.
    pub repeated: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server failed it; it may have run.
    Error,
    /// Turned away unseen, or the source of its fill refused.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// No connection came up in time, and none was refused: it never ran, and its process may be there all the same.
    Unreached,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// No copy that will do, and none was filled.
    Miss,
}

/// How an answer was made, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Not told.
    None,
    /// Found in the cache.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill under way.
    Joined,
    /// A copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceLost,
    /// The source lacks the object.
    SourceLacks,
    /// All places for fills are taken in the cache.
    NoFillPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A server's report of its load; values that it does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// How busy its cores are.
    pub util: Option<f64>,
    /// Requests that it holds.
    pub inflight: Option<f64>,
    /// Its recent share of hits.
    pub hit_share: Option<f64>,
    /// Of a cache: how full its location's link is. Of a parent: fetches out.
    pub link_use: Option<f64>,
}

/// What all routers of a fleet spend from together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Budget {
    /// Requests that the origin holds at a time, for whichever class: a number.
    Origin,
    /// What the cold caches of this router's zone bear, each of them: a share.
    Caches,
    /// What the cold parents bear, each of them: a share.
    Parents,
}

/// A router's lease of a budget, its reserved minimum included. It goes before the router's own guess of what the others spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Of which.
    pub budget: Budget,
    /// How much may be spent until `until`.
    pub amount: f64,
    /// The time from which on the lease is `reserved`, unless another one was received.
    pub until: Micros,
    /// How much may be spent for ever.
    pub reserved: f64,
}

/// What a router hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers, or changes to it.
    List {
        /// How much of it.
        mode: ListMode,
        /// The entries.
        servers: Vec<Server>,
    },
    /// A client's request; the router owes it one final answer.
    Request(Request),
    /// A streamed answer has begun.
    Begun {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The server tried.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The request has its final answer.
        settled: bool,
        /// How the answer was made.
        note: Note,
        /// The fill's wait for its first byte.
        waited_us: Micros,
        /// The server's report.
        load: Option<Load>,
    },
    /// The client left: no answer is owed any more.
    Left {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// As given in the action.
        tag: u64,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The server's report.
        load: Option<Load>,
    },
    /// Other routers find the origin late: makes this one more cautious while it counts, never less.
    Heard {
        /// Share of the requests that may have the origin asked at most, by what they found.
        origin_share: f64,
        /// How long that counts.
        for_us: Micros,
    },
    /// What this router may spend of a budget of all. It holds from now on, also for what is under way: nothing is
    /// called off for it, and nothing more is sent until enough of that has ended.
    Lease(Lease),
    /// An object, or with no object a whole group, was purged.
    Purged {
        /// The object.
        object: Option<String>,
        /// Its group.
        group: u64,
        /// Time since the purge.
        age_us: Micros,
    },
}

/// How a miss is filled, and what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// Where from; the server itself: no fill.
    pub source: ServerId,
    /// Rank at which the copy is kept, 1 to 3; 0: not kept.
    pub keep: u8,
    /// Oldest copy that will do; none: the class's fresh time.
    pub max_age_us: Option<Micros>,
    /// Wait for a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The parent keeps no copy.
    pub bypass_parent: bool,
    /// Renew an ageing copy behind the answer.
    pub renew: bool,
}

/// What a router does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Try a server.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out; none: until the client gives up.
        timeout_us: Option<Micros>,
        /// How a miss is filled; none: what the server holds only.
        fill: Option<Fill>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: refused; asking again does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back; none: no advice.
        retry_after_us: Option<Micros>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the router.
    Timer {
        /// When.
        at: Micros,
        /// Comes back with the event.
        tag: u64,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Follow the list of servers from now on.
    Watch,
    /// A line for the operators.
    Report {
        /// The line.
        line: String,
    },
}
