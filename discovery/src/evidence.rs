//! What sources say: the words in which they say it, and what is known of each source.

use linnetknot::{Micros, Server, ServerId, State};
use std::fmt;
use std::net::SocketAddr;

/// An entry of the list of boxes.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// What the decision module is told.
    pub server: Server,
    /// The box's id on the wire.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
}

/// A number for a box's id, the same at every proxy: the module's order of boxes is hashed from it.
pub fn server_id(uid: &str) -> ServerId {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}

/// A source's place in the order of precedence: 0 comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub usize);

/// What is known of a source beforehand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its name, for logs and explanations.
    pub name: String,
    /// Every event of it is passed on as it came, in its own mode and order, changed or not.
    pub relayed: bool,
    /// Its words on health may flap, so a box's returns are counted against it and taken in step by step.
    pub damped: bool,
}

/// Why a source says what it says of a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It just says so.
    Reported,
    /// This check is critical.
    Check(String),
    /// The service was put in maintenance, with the note given there.
    ServiceMaintenance(String),
    /// Its node was put in maintenance, with the note given there.
    NodeMaintenance(String),
    /// The node's own check is critical: its agent is not heard of any more.
    NodeLost,
    /// It is registered, but the source tells no health of it.
    NoHealth,
    /// Its registration can't be used, for what stands under this key.
    Unusable(String),
    /// The source's whole list does not name it any more.
    Unlisted,
    /// From a list kept over a restart.
    Cached,
    /// One source has taken it from its list while another still names it.
    GoneElsewhere(String),
    /// Another box has taken over its address.
    AddressTaken(String),
    /// It went and came back too often; taken in again once its penalty has decayed.
    Flapping,
    /// It flaps, but too many of its kind are held back already.
    DampingLimit,
    /// Its penalty has decayed.
    Steady,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported => write!(f, "told"),
            Self::Check(id) => write!(f, "check '{id}' is critical"),
            Self::ServiceMaintenance(note) => write!(f, "service in maintenance: {note}"),
            Self::NodeMaintenance(note) => write!(f, "node in maintenance: {note}"),
            Self::NodeLost => write!(f, "its node is not heard of any more"),
            Self::NoHealth => write!(f, "registered without health"),
            Self::Unusable(key) => write!(f, "its registration can't be used: {key}"),
            Self::Unlisted => write!(f, "not listed any more"),
            Self::Cached => write!(f, "from the kept list"),
            Self::GoneElsewhere(source) => write!(f, "gone by {source}"),
            Self::AddressTaken(uid) => write!(f, "its address belongs to {uid} now"),
            Self::Flapping => write!(f, "flapping"),
            Self::DampingLimit => write!(f, "flapping, but too many are held back already"),
            Self::Steady => write!(f, "steady again"),
        }
    }
}

/// A source's word on one box.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The box, with the state that the source gives it.
    pub entry: Entry,
    /// Why.
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

/// What a source tells at one moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Evidence {
    /// Its whole list: what it named before and does not name now is gone, as far as it can tell.
    Full(Vec<Report>),
    /// What has changed.
    Delta(Vec<Report>),
}

/// Where a box stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointStatus {
    /// May be given fresh work, as target or as source of a fill.
    Ready,
    /// Told ready, but held back: it went and came back too often.
    Suppressed,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Gone,
}

impl EndpointStatus {
    /// The state that the decision module is told.
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

/// A change of a box's standing.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The box.
    pub uid: String,
    /// Before; `Gone` for one that was not known.
    pub old: EndpointStatus,
    /// From now on.
    pub new: EndpointStatus,
    /// Why.
    pub reason: Reason,
    /// The source whose word decides.
    pub source: SourceId,
    /// The penalty for its flaps so far.
    pub penalty: f64,
}

/// Something that the operators should know besides the changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The table is full: this box is not taken in.
    TableFull(String),
    /// Two sources, or two places of one, name different boxes by one id: the first keeps it.
    DuplicateId {
        /// The id.
        uid: String,
        /// Where the box is that keeps it.
        accepted: SocketAddr,
        /// Where the other one is, which is passed over.
        rejected: SocketAddr,
        /// The source that names the other one.
        source: SourceId,
    },
    /// Two boxes are told to listen at one address: the one that was told there last has it.
    DuplicateAddress {
        /// The one that came last.
        uid: String,
        /// The other one.
        other: String,
        /// The address.
        endpoint: SocketAddr,
    },
    /// A box has moved.
    Moved {
        /// The box.
        uid: String,
        /// Its address before.
        from: SocketAddr,
        /// Its address now.
        to: SocketAddr,
    },
}

/// Why a box stands where it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The box.
    pub entry: Entry,
    /// Where it stands.
    pub status: EndpointStatus,
    /// Since when.
    pub since: Micros,
    /// Why.
    pub reason: Reason,
    /// The source whose word decides.
    pub source: SourceId,
    /// The penalty for its flaps, by now.
    pub penalty: f64,
    /// When a suppressed one is taken in again, if it stays steady.
    pub until: Option<Micros>,
}
