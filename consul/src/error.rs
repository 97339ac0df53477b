//! Errors of calls to Consul agents, of the lists in their responses, and of individual instances.

use crate::http::TransportError;
use std::net::IpAddr;

/// The error of a call to an agent that did not return a usable result.
///
/// The message completes a sentence that begins with the agent: `agent 0 has no leader`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No complete HTTP response was received.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The servers of the agent have no leader, so their data may be arbitrarily old.
    #[error("has no leader")]
    NoLeader,
    /// The token is missing, invalid or lacks a permission.
    #[error("denies the call with status {status}")]
    PermissionDenied {
        /// HTTP status, 401 or 403.
        status: u16,
    },
    /// The response has a status other than 200.
    #[error("responds with status {status} ({summary})")]
    Status {
        /// HTTP status.
        status: u16,
        /// First line of the body, shortened.
        summary: String,
    },
    /// The body is not a valid list of instances.
    #[error("responds with an invalid list: {0}")]
    InvalidList(#[from] ListError),
}

/// The error of a response body that is not a valid list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The body is not a single JSON list.
    #[error("the body is not a JSON list")]
    NotAList,
    /// An element is missing between two separators.
    #[error("an element is missing")]
    Malformed,
    /// An element exceeds the size limit.
    #[error("an instance is too long")]
    ElementTooLong,
    /// The body ends before the list does.
    #[error("the list is incomplete")]
    Incomplete,
    /// An element is not valid JSON; the text is the error of the parser.
    #[error("{0}")]
    InvalidJson(String),
    /// An entry of the catalog does not identify its instance. If the entry were skipped, the instance would count as
    /// deregistered, so the whole list is rejected.
    #[error("{0}")]
    Unidentified(#[from] KeyError),
}

/// A key of an instance with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {error}")]
pub struct KeyError {
    /// Path of the key within the instance, such as `Service.Meta.az`.
    pub key: String,
    /// The reason why the value is invalid.
    pub error: ValueError,
}

impl KeyError {
    pub(crate) fn new(key: impl Into<String>, error: ValueError) -> Self {
        KeyError {
            key: key.into(),
            error,
        }
    }
}

/// The error of an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// A required value is absent or `null`.
    #[error("the value is missing")]
    Missing,
    /// The value has the wrong type; the text is the error of the parser.
    #[error("{0}")]
    WrongType(String),
    /// The text is not a finite, non-negative number.
    #[error("'{}' is not a finite, non-negative number", .0.escape_default())]
    NotANumber(String),
    /// The deployment does not have the zone.
    #[error("'{}' is not a zone of this deployment ({})", .zone.escape_default(), .known.join(", "))]
    UnknownZone {
        /// The zone of the instance.
        zone: String,
        /// The zones of the deployment.
        known: Vec<String>,
    },
    /// The id is empty, too long or contains a character that is not allowed in the list fields sent to caches.
    #[error("'{}' is not a valid id of a cache", .0.escape_default())]
    InvalidId(String),
    /// The address is not an IP address; host names are not resolved.
    #[error("'{}' is not an IP address, and host names are not resolved", .0.escape_default())]
    NotAnIpAddress(String),
    /// The address is unspecified or multicast.
    #[error("{0} is an unspecified or multicast address")]
    UnusableAddress(IpAddr),
    /// The port is absent, 0 or above 65535.
    #[error("the port is missing or not between 1 and 65535")]
    InvalidPort,
}

/// An instance that is skipped because its registration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("instance '{}' is skipped: {fault}", .uid.escape_default())]
pub struct SkippedInstance {
    /// Id of the instance, or `?` if the id can't be read.
    pub uid: String,
    /// The first key with an invalid value.
    pub fault: KeyError,
}
