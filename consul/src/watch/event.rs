//! What operators should know of a watch, with the text of each log line.

use crate::error::{CallError, SkippedInstance};
use linnetknot::Micros;
use std::fmt;
use std::net::SocketAddr;

/// Something that operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A query failed.
    QueryFailed {
        /// Index of the agent.
        agent: usize,
        /// The failure.
        error: CallError,
    },
    /// A query succeeded after failures.
    Recovered {
        /// Index of the agent.
        agent: usize,
        /// Failures in a row, of all agents.
        failures: u32,
    },
    /// The token is missing, wrong or lacks a permission.
    PermissionDenied {
        /// Index of the agent.
        agent: usize,
        /// The agent's message.
        message: String,
    },
    /// An instance can't be used.
    InstanceSkipped(SkippedInstance),
    /// More than half of a response's instances can't be used, which points to the mapping rather than to each of them.
    MostlyUnusable {
        /// Number of unusable instances.
        unusable: usize,
        /// Number of all instances.
        total: usize,
        /// One that is unusable.
        first: SkippedInstance,
    },
    /// An id is registered at two addresses.
    DuplicateId {
        /// The id.
        uid: String,
        /// The address that is used.
        accepted: SocketAddr,
        /// The address that is not.
        rejected: SocketAddr,
    },
    /// A health response leaves out so many known caches that the catalog has to confirm it.
    ConfirmationPending {
        /// How many of the known caches it lists.
        listed: usize,
        /// Number of known caches.
        known: usize,
    },
    /// The catalog confirms a health response that awaited it.
    Confirmed,
    /// The catalog contradicts a health response that awaited it.
    Contradicted {
        /// How many of the known caches are registered.
        registered: usize,
    },
    /// The server that answered lost contact with its leader for longer than the bound, in microseconds.
    StaleResponse(Micros),
    /// The index went backwards or was 0, so the list is read without blocking.
    IndexReset {
        /// The index before.
        from: u64,
        /// The index of the response.
        to: u64,
    },
}

impl fmt::Display for WatchEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QueryFailed { agent, error } => write!(
                f,
                "agent {agent} {error}; the last endpoint list stays in force"
            ),
            Self::Recovered { agent, failures } => write!(
                f,
                "agent {agent} answers again, after {failures} failures in a row"
            ),
            Self::PermissionDenied { agent, message } => {
                write!(f, "agent {agent} denies the query: {message}")
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
                 the others stay until the catalog confirms it",
            ),
            Self::Confirmed => f.write_str("the catalog confirms the shrunken list"),
            Self::Contradicted { registered } => write!(
                f,
                "the catalog contradicts the shrunken list: it has {registered} of the known caches",
            ),
            Self::StaleResponse(us) => write!(
                f,
                "a server has had no contact with its leader for {} ms: its response is not used",
                us / 1000,
            ),
            Self::IndexReset { from, to } => write!(
                f,
                "the index went from {from} to {to}: the list is read from scratch"
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
        "{unusable} of {total} instances can't be used, as with '{uid}': {fault}; \
         see 'consul' in the configuration",
    )
}
