//! The data types of discovery: list entries, reports of the sources, reasons, status changes and notices.

use linnetknot::{Micros, Server, ServerId, State};
use std::fmt;
use std::net::SocketAddr;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The attributes of the cache that the decision module uses.
    pub server: Server,
    /// Id of the cache on the wire.
    pub uid: String,
    /// Address at which the cache listens.
    pub endpoint: SocketAddr,
}

/// Returns the numeric id of a cache: the 64-bit FNV-1a hash of its id on the wire. The decision module ranks caches by
/// this number, so the number has to be the same at every proxy.
pub fn server_id(uid: &str) -> ServerId {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Position of a source in the order of precedence, where 0 is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

/// Properties of a source of evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name of the source, for logs and explanations.
    pub name: String,
    /// Each event of the source is published as received, with its mode and order, even if it changes nothing.
    pub relayed: bool,
    /// The health that the source reports may flap, so flap damping applies, and a returning cache gets a slow start.
    pub damped: bool,
}

/// The reason for the state or status of a cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The source states no reason.
    Reported,
    /// The check with this id is critical.
    Check(String),
    /// The service is in maintenance mode, with this note of the operator.
    ServiceMaintenance(String),
    /// The node is in maintenance mode, with this note of the operator.
    NodeMaintenance(String),
    /// The check of the node itself is critical, so its agent has failed.
    NodeFailed,
    /// The cache is registered, but the source reports no health for it.
    NoHealth,
    /// The registration of the cache has an invalid value under this key.
    InvalidRegistration(String),
    /// The full list of the source no longer contains the cache.
    Unlisted,
    /// The cache was loaded from a snapshot that was stored before a restart.
    Cached,
    /// The source with this name has removed the cache, while another source still lists it.
    RemovedBySource(String),
    /// Another cache, with this id, now uses the address.
    AddressTaken(String),
    /// The cache was lost and returned too often; it is reused once its penalty has decayed.
    Flapping,
    /// The cache flaps, but the maximum share of its zone and kind is already suppressed.
    DampingLimit,
    /// The penalty of the cache has decayed, so it is no longer suppressed.
    PenaltyDecayed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported => write!(f, "reported"),
            Self::Check(id) => write!(f, "check '{id}' is critical"),
            Self::ServiceMaintenance(note) => write!(f, "service in maintenance: {note}"),
            Self::NodeMaintenance(note) => write!(f, "node in maintenance: {note}"),
            Self::NodeFailed => write!(f, "the agent of its node has failed"),
            Self::NoHealth => write!(f, "registered, but no health is reported"),
            Self::InvalidRegistration(key) => {
                write!(f, "its registration has an invalid value: {key}")
            }
            Self::Unlisted => write!(f, "no longer listed"),
            Self::Cached => write!(f, "from the cached snapshot"),
            Self::RemovedBySource(source) => write!(f, "removed by {source}"),
            Self::AddressTaken(uid) => write!(f, "its address was taken over by {uid}"),
            Self::Flapping => write!(f, "flapping"),
            Self::DampingLimit => {
                write!(f, "flapping, but the maximum share is already suppressed")
            }
            Self::PenaltyDecayed => write!(f, "its penalty has decayed"),
        }
    }
}

/// The report of a source on one cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The entry of the cache, including the state that the source reports.
    pub entry: Entry,
    /// The reason for the reported state.
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

/// The reports that a source provides at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    /// The full list of the source. A cache that the source listed before and that is absent from this list is gone
    /// according to the source.
    Full(Vec<Report>),
    /// The reports that have changed.
    Delta(Vec<Report>),
}

/// The published status of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointStatus {
    /// The cache gets new requests, as a target or as the source of a fill.
    Ready,
    /// The cache is reported ready but suppressed by damping.
    Suppressed,
    /// The cache finishes its requests in flight and gets no new requests.
    Draining,
    /// No source lists the cache.
    Gone,
}

impl EndpointStatus {
    /// Returns the state that is sent to the decision module.
    pub fn state(self) -> State {
        match self {
            Self::Ready => State::Ready,
            Self::Suppressed | Self::Draining => State::Draining,
            Self::Gone => State::Gone,
        }
    }

    /// Returns the name of the status in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Suppressed => "suppressed",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// A change of the status of a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// Id of the cache.
    pub uid: String,
    /// The previous status; `Gone` for an unknown cache.
    pub old: EndpointStatus,
    /// The new status.
    pub new: EndpointStatus,
    /// The reason for the new status.
    pub reason: Reason,
    /// The source whose report determines the status.
    pub source: SourceId,
    /// The flap penalty of the cache.
    pub penalty: f64,
}

/// A condition other than a status change that is logged for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The table is full, so the cache with this id is not added.
    TableFull(String),
    /// Two sources, or two entries of one source, use the same id for different caches. The first cache keeps the id.
    DuplicateId {
        /// The id that both caches use.
        uid: String,
        /// Address of the cache that keeps the id.
        accepted: SocketAddr,
        /// Address of the other cache, which is skipped.
        rejected: SocketAddr,
        /// The source that reports the other cache.
        source: SourceId,
    },
    /// Two caches are reported at the same address. The cache whose reports at this address began most recently gets
    /// the address.
    DuplicateAddress {
        /// Id of the newly reported cache.
        uid: String,
        /// Id of the other cache.
        other: String,
        /// The address that both caches use.
        endpoint: SocketAddr,
    },
    /// A cache is reported at a new address.
    Moved {
        /// Id of the cache.
        uid: String,
        /// The address at which the cache was reported before.
        from: SocketAddr,
        /// The address at which the cache is reported now.
        to: SocketAddr,
    },
}

/// An explanation of the status of a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The entry of the cache that was last published.
    pub entry: Entry,
    /// The status of the cache that was last published.
    pub status: EndpointStatus,
    /// Time since which the cache has been published with that status.
    pub since: Micros,
    /// The reason for the status.
    pub reason: Reason,
    /// The source whose report determines the status.
    pub source: SourceId,
    /// The flap penalty of the cache, decayed to the current time.
    pub penalty: f64,
    /// Time at which a suppressed cache is reused if it is not lost again.
    pub suppressed_until: Option<Micros>,
}
