//! Errors of calls to Consul agents, of the lists in their responses, and of single instances.

use crate::http::TransportError;
use std::net::IpAddr;

/// Why a call to an agent had no usable result.
///
/// The texts follow the agent's name: `agent 0 has no leader`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// There is no complete HTTP response.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The servers behind the agent have elected no leader, so their data may be arbitrarily old.
    #[error("has no leader")]
    NoLeader,
    /// The token is missing, wrong or lacks a permission.
    #[error("denies the query ({status})")]
    PermissionDenied {
        /// HTTP status, 401 or 403.
        status: u16,
    },
    /// Any other status than 200.
    #[error("answers {status} ({summary})")]
    Status {
        /// HTTP status.
        status: u16,
        /// First line of the body, shortened.
        summary: String,
    },
    /// The body is no list of instances.
    #[error("gives no list: {0}")]
    InvalidList(#[from] ListError),
}

/// Why the body of a response is no list that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The body is not one JSON list.
    #[error("it is no list")]
    NotAList,
    /// An element is missing between two separators.
    #[error("a list is malformed")]
    Malformed,
    /// An element is longer than any instance can be.
    #[error("an instance is too long")]
    ElementTooLong,
    /// The body ends before the list does.
    #[error("it is incomplete")]
    Incomplete,
    /// An element is no JSON; the text is the parser's.
    #[error("{0}")]
    InvalidJson(String),
    /// An entry of the catalog does not identify its instance. Passing it over would make that instance look
    /// deregistered, so the whole list is rejected.
    #[error("{0}")]
    Unidentified(#[from] KeyError),
}

/// A key of an instance whose value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {error}")]
pub struct KeyError {
    /// Path of the key from the instance down, such as `Service.Meta.az`.
    pub key: String,
    /// What is wrong with its value.
    pub error: ValueError,
}

impl KeyError {
    /// An error at this key.
    pub(crate) fn new(key: impl Into<String>, error: ValueError) -> Self {
        KeyError {
            key: key.into(),
            error,
        }
    }
}

/// Why a value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// A required value is absent or `null`.
    #[error("it is missing")]
    Missing,
    /// The value has another type; the text is the parser's.
    #[error("{0}")]
    WrongType(String),
    /// The text is no finite, non-negative number.
    #[error("'{}' is no figure", .0.escape_default())]
    NotANumber(String),
    /// The zone is none of the deployment's.
    #[error("'{}' is no zone of this deployment ({})", .zone.escape_default(), .known.join(", "))]
    UnknownZone {
        /// The zone of the instance.
        zone: String,
        /// The zones of the deployment.
        known: Vec<String>,
    },
    /// The id is empty, too long or holds a character that the list fields sent to caches can't carry.
    #[error("'{}' can't be the id of a cache", .0.escape_default())]
    InvalidId(String),
    /// The address is no IP address; host names are not resolved.
    #[error("'{}' is no IP address, and names are not looked up", .0.escape_default())]
    NotAnIpAddress(String),
    /// The address is unspecified or multicast.
    #[error("{0} is no address of a cache")]
    UnusableAddress(IpAddr),
    /// The port is absent, 0 or above 65535.
    #[error("it is no port to connect to")]
    InvalidPort,
}

/// An instance that is left out because its registration can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("instance '{}' is skipped: {fault}", .uid.escape_default())]
pub struct SkippedInstance {
    /// Its id, or `?` where that can't be read.
    pub uid: String,
    /// The first key at fault.
    pub fault: KeyError,
}
