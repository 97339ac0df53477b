//! Events of a watch, with the text of each log line.

use crate::error::{CallError, SkippedInstance};
use linnetknot::Micros;
use std::fmt;
use std::net::SocketAddr;

/// An event of a watch that is logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A query failed. Reported again only if the next failure has another agent or error.
    QueryFailed {
        /// Index of the agent that was queried.
        agent: usize,
        /// The reason why the call to the agent failed.
        error: CallError,
    },
    /// A query succeeded after failures.
    Recovered {
        /// Index of the agent.
        agent: usize,
        /// Number of consecutive failures of all agents.
        failures: u32,
    },
    /// The token is missing, invalid or lacks a permission.
    PermissionDenied {
        /// Index of the agent.
        agent: usize,
        /// The first line of the agent's response body.
        message: String,
    },
    /// The registration of an instance is invalid.
    InstanceSkipped(SkippedInstance),
    /// More than half of the instances of a response are unusable, which indicates a wrong mapping.
    MostlyUnusable {
        /// Number of instances in the response whose registration is invalid.
        unusable: usize,
        /// Number of all instances in the response.
        total: usize,
        /// The first unusable instance.
        first: SkippedInstance,
    },
    /// An id is registered at two addresses.
    DuplicateId {
        /// The id that the two registrations share.
        uid: String,
        /// The address that is used.
        accepted: SocketAddr,
        /// The address that is skipped.
        rejected: SocketAddr,
    },
    /// A health response omits so many known caches that they are not removed before the catalog confirms the response.
    ConfirmationPending {
        /// Number of known caches that the response lists.
        listed: usize,
        /// Number of caches in the last reported endpoint list.
        known: usize,
    },
    /// The catalog confirms the pending health response.
    Confirmed,
    /// The catalog contradicts the pending health response.
    Contradicted {
        /// Number of known caches that are registered.
        registered: usize,
    },
    /// The responding server had its last contact with the leader this many microseconds ago, which exceeds the limit.
    StaleResponse(Micros),
    /// Consul's index went backwards. The next query does not block, or waits for changes after index 1.
    IndexReset {
        /// Consul's index before it went backwards.
        from: u64,
        /// Consul's index in the response, which is lower.
        to: u64,
    },
}

impl fmt::Display for WatchEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QueryFailed { agent, error } => write!(
                f,
                "agent {agent} {error}; the last endpoint list remains in use"
            ),
            Self::Recovered { agent, failures } => write!(
                f,
                "agent {agent} responds again after {failures} consecutive failures"
            ),
            Self::PermissionDenied { agent, message } => {
                write!(f, "agent {agent} denies the call: {message}")
            }
            Self::InstanceSkipped(skipped) => write!(f, "{skipped}"),
            Self::MostlyUnusable {
                unusable,
                total,
                first,
            } => write_mostly_unusable(f, *unusable, *total, first),
            Self::DuplicateId {
                uid,
                accepted,
                rejected,
            } => write!(
                f,
                "id '{uid}' is registered at {accepted} and {rejected}: \
                 the latter is skipped (see 'identity')",
            ),
            Self::ConfirmationPending { listed, known } => write!(
                f,
                "a response lists {listed} of {known} known caches: \
                 the others are retained until the catalog confirms their removal",
            ),
            Self::Confirmed => {
                f.write_str("the catalog confirms the removal of the omitted caches")
            }
            Self::Contradicted { registered } => write!(
                f,
                "the catalog contradicts the removal of the omitted caches: \
                 {registered} of the known caches are registered",
            ),
            Self::StaleResponse(us) => write!(
                f,
                "a server has had no contact with its leader for {} ms: its response is discarded",
                us / 1000,
            ),
            Self::IndexReset { from, to } => write!(
                f,
                "the index went back from {from} to {to}: the list is read again"
            ),
        }
    }
}

fn write_mostly_unusable(
    f: &mut fmt::Formatter<'_>,
    unusable: usize,
    total: usize,
    first: &SkippedInstance,
) -> fmt::Result {
    let uid = first.uid.escape_default();
    let fault = &first.fault;
    write!(
        f,
        "{unusable} of {total} instances are unusable, such as '{uid}': {fault}; \
         see 'consul' in the configuration",
    )
}
