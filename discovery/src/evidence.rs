//! What sources report of caches, and what the table tells of them: entries, reasons, changes and notices.

use linnetknot::{Micros, Server, ServerId, State};
use std::fmt;
use std::net::SocketAddr;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The cache as the decision module knows it.
    pub server: Server,
    /// Id of the cache on the wire.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
}

/// The number of a cache's id (64-bit FNV-1a), the same at every proxy: the decision module ranks caches by it.
pub fn server_id(uid: &str) -> ServerId {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}

/// A source's position in the order of precedence: 0 comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

/// The properties of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its name, for logs and explanations.
    pub name: String,
    /// Each of its events is published as it came, in its mode and order, whether it changes anything or not.
    pub relayed: bool,
    /// Its reports on health may flap, so they are damped, and a cache that returns is started slowly.
    pub damped: bool,
}

/// Why a cache has its state or status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The source states no reason.
    Reported,
    /// This check is critical.
    Check(String),
    /// The service was put in maintenance, with the note given there.
    ServiceMaintenance(String),
    /// Its node was put in maintenance, with the note given there.
    NodeMaintenance(String),
    /// The node's own check is critical: its agent has failed.
    NodeFailed,
    /// It is registered, but the source reports no health for it.
    NoHealth,
    /// Its registration can't be used, because of the value under this key.
    InvalidRegistration(String),
    /// The source's full list no longer contains it.
    Unlisted,
    /// It is from a list cached before a restart.
    Cached,
    /// One source has removed it while another still lists it.
    RemovedBySource(String),
    /// Another cache has taken over its address.
    AddressTaken(String),
    /// It was lost and came back too often; it is reused once its penalty has decayed.
    Flapping,
    /// It flaps, but too many of its group are suppressed already.
    DampingLimit,
    /// Its penalty has decayed.
    PenaltyDecayed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported => write!(f, "reported"),
            Self::Check(id) => write!(f, "check '{id}' is critical"),
            Self::ServiceMaintenance(note) => write!(f, "service in maintenance: {note}"),
            Self::NodeMaintenance(note) => write!(f, "node in maintenance: {note}"),
            Self::NodeFailed => write!(f, "its node's agent has failed"),
            Self::NoHealth => write!(f, "registered without health"),
            Self::InvalidRegistration(key) => write!(f, "its registration can't be used: {key}"),
            Self::Unlisted => write!(f, "not listed any more"),
            Self::Cached => write!(f, "from the cached snapshot"),
            Self::RemovedBySource(source) => write!(f, "removed by {source}"),
            Self::AddressTaken(uid) => write!(f, "its address belongs to {uid} now"),
            Self::Flapping => write!(f, "flapping"),
            Self::DampingLimit => write!(f, "flapping, but too many are suppressed already"),
            Self::PenaltyDecayed => write!(f, "steady again"),
        }
    }
}

/// A source's report on one cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The cache, with its state according to the source.
    pub entry: Entry,
    /// Why it has that state.
    pub reason: Reason,
}

impl From<Entry> for Report {
    fn from(entry: Entry) -> Self {
        Report {
            entry,
            reason: Reason::Reported,
        }
    }
}

/// What a source reports at one moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    /// Its full list: what it listed before and does not list now is gone, as far as it knows.
    Full(Vec<Report>),
    /// What has changed.
    Delta(Vec<Report>),
}

/// The published status of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointStatus {
    /// Takes new work, as target or as source of a fill.
    Ready,
    /// Reported ready, but suppressed by damping.
    Suppressed,
    /// Finishes its work and takes no more.
    Draining,
    /// Not listed by any source.
    Gone,
}

impl EndpointStatus {
    /// The state for the decision module.
    pub fn state(self) -> State {
        match self {
            Self::Ready => State::Ready,
            Self::Suppressed | Self::Draining => State::Draining,
            Self::Gone => State::Gone,
        }
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Suppressed => "suppressed",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// A change of a cache's status.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// Id of the cache.
    pub uid: String,
    /// Status before; `Gone` for an unknown cache.
    pub old: EndpointStatus,
    /// Status from now on.
    pub new: EndpointStatus,
    /// Why the status is new.
    pub reason: Reason,
    /// The source whose report decides.
    pub source: SourceId,
    /// Its penalty for flaps.
    pub penalty: f64,
}

/// Something that operators should know besides the changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The table is full: the cache with this id is not added.
    TableFull(String),
    /// Two sources, or two entries of one, use one id for different caches: the first keeps it.
    DuplicateId {
        /// The id.
        uid: String,
        /// Address of the cache that keeps the id.
        accepted: SocketAddr,
        /// Address of the other one, which is skipped.
        rejected: SocketAddr,
        /// The source of the other one.
        source: SourceId,
    },
    /// Two caches are reported at one address: the one that was first reported there last has it.
    DuplicateAddress {
        /// Id of the one that has it.
        uid: String,
        /// Id of the other one.
        other: String,
        /// The address.
        endpoint: SocketAddr,
    },
    /// A cache is reported at another address.
    Moved {
        /// Id of the cache.
        uid: String,
        /// Its address before.
        from: SocketAddr,
        /// Its address now.
        to: SocketAddr,
    },
}

/// Why a cache has its status.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The cache as it is published.
    pub entry: Entry,
    /// Its status.
    pub status: EndpointStatus,
    /// Since when it has that status.
    pub since: Micros,
    /// Why it has that status.
    pub reason: Reason,
    /// The source whose report decides.
    pub source: SourceId,
    /// Its penalty for flaps, as decayed by now.
    pub penalty: f64,
    /// When a suppressed cache is reused, if it stays steady.
    pub suppressed_until: Option<Micros>,
}
