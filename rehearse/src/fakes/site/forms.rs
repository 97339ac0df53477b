//! What goes into a fake site and comes out of it: figures, requests and answers.

use crate::fakes::cache_memory::Part;
use crate::record::Micros;

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// An edge box: keeps copies by rank and fills from others.
    EdgeCache,
    /// A hub cache: fetches what it lacks from the origin, once for all who wait.
    ParentCache,
    /// The origin store: holds everything, and runs writes.
    Origin,
}

/// What a node can do.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeParameters {
    /// Requests in work.
    pub slots: usize,
    /// Requests that wait for a slot; one more is turned away unseen.
    pub waiting: usize,
    /// Its outgoing link, in transfers at full pace.
    pub capacity: f64,
    /// Its memory, in KB.
    pub memory_kb: u64,
    /// Fills at a time; of the origin, workers.
    pub fills: usize,
    /// A fill is given up if nothing has come after this.
    pub fill_timeout_us: Micros,
}

/// What the nodes share.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteParameters {
    /// The one link in, which all fills share, in transfers at full pace to a client.
    pub link: f64,
    /// How many times as fast as a transfer to a client a fill can be.
    pub fill_pace: f64,
    /// The way to a hub cache and back.
    pub near_us: Micros,
    /// The way to the origin and back.
    pub far_us: Micros,
    /// The origin's answer when it is not crowded.
    pub origin_us: Micros,
    /// How long the origin drops repeats of a key.
    pub key_us: Micros,
    /// Within this time of a purge boxes and hub caches have dropped their older copies, each in its own time.
    pub purge_takes_us: Micros,
    /// They drop what they hold, and then still keep what a fill brings that was under way.
    pub late_fills: bool,
}

/// What is purged: an object, or else a group.
pub type PurgeTarget = Result<u64, u64>;

/// A request as it arrives at a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fetch {
    /// Its connection, as the driver numbers them.
    pub connection: u64,
    /// The proxy at its other end.
    pub proxy: usize,
    /// Its id on the wire.
    pub id: String,
    /// The object and part.
    pub part: Part,
    /// Group of the object.
    pub group: u64,
    /// Its sending time.
    pub work_us: Micros,
    /// Its size.
    pub kb: u64,
    /// Node that a miss is filled from; none: no fill.
    pub source: Option<String>,
    /// Rank at which the copy is kept; 0: not kept.
    pub rank: u8,
    /// Oldest copy that will do, by its age.
    pub max_age_us: Micros,
    /// It may join a fill that is under way.
    pub join: bool,
    /// It is a write, under this key or none.
    pub write: Option<Option<String>>,
}

/// What a node says.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteOutput {
    /// An answer to a request.
    Answer {
        /// Its connection.
        connection: u64,
        /// Its id.
        id: String,
        /// `200`, `404` or `503`.
        status: &'static str,
        /// How it was made, in the protocol's words.
        how: &'static str,
        /// The wait for the source.
        waited_us: Micros,
        /// When the copy was made.
        made: Micros,
        /// The part.
        part: Part,
    },
    /// The node has fallen over: all its connections are reset.
    Crashed(String),
}
