//! What the operators should know of a watch, with its words.

use crate::schema::SkippedInstance;
use linnetknot::Micros;
use std::fmt;
use std::net::SocketAddr;

/// Something that the operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// An agent failed a query.
    QueryFailed {
        /// Which.
        agent: usize,
        /// How.
        reason: String,
    },
    /// Answers come again after so many failures in a row.
    Recovered {
        /// From which agent.
        agent: usize,
        /// Failures.
        failures: u32,
    },
    /// The token is missing, wrong or has too few rights.
    PermissionDenied {
        /// Which agent says so.
        agent: usize,
        /// In what words.
        message: String,
    },
    /// An instance can't be used.
    InstanceSkipped(SkippedInstance),
    /// More than half of an answer's instances can't be used: rather the mapping is wrong than each of them.
    MostlyUnusable {
        /// How many can't be used.
        unusable: usize,
        /// Of how many.
        total: usize,
        /// One of them, and the key at fault there.
        first: SkippedInstance,
    },
    /// An id is registered twice, and one of the two is passed over.
    DuplicateId {
        /// The id.
        uid: String,
        /// Who keeps it.
        accepted: SocketAddr,
        /// Who does not get it.
        rejected: SocketAddr,
    },
    /// An answer leaves out so many that it has to be confirmed.
    ConfirmationPending {
        /// How many of those that ran it names.
        named: usize,
        /// How many ran.
        known: usize,
    },
    /// What was held is true.
    Confirmed,
    /// What was held is not true: the catalogue names so many.
    Contradicted {
        /// How many of those that ran the catalogue names.
        registered: usize,
    },
    /// A server has not heard its leader for so long that its answer is not used.
    StaleResponse(Micros),
    /// The index went back or was 0: the list is read anew.
    IndexReset {
        /// The index before.
        from: u64,
        /// The index of the answer.
        to: u64,
    },
}

impl fmt::Display for WatchEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QueryFailed { agent, reason } => write!(f, "agent {agent} {reason}; the last list holds"),
            Self::Recovered { agent, failures } => {
                write!(f, "agent {agent} answers again, after {failures} failures in a row")
            }
            Self::PermissionDenied { agent, message } => write!(f, "agent {agent} denies the query: {message}"),
            Self::InstanceSkipped(s) => write!(f, "{s}"),
            Self::MostlyUnusable { unusable, total, first } => write!(
                f,
                "{unusable} of {total} instances can't be used, as with '{}': {}: {}; see 'consul' in the configuration",
                first.uid.escape_default(),
                first.key,
                first.why
            ),
            Self::DuplicateId { uid, accepted, rejected } => write!(
                f,
                "id '{uid}' is registered at {accepted} and {rejected}: the latter is passed over (see 'identity')"
            ),
            Self::ConfirmationPending { named, known } => {
                write!(f, "an answer names {named} of {known} boxes that ran: held until it is confirmed")
            }
            Self::Confirmed => write!(f, "what was held is confirmed by the catalogue"),
            Self::Contradicted { registered } => {
                write!(f, "what was held is not true: the catalogue names {registered} of those boxes")
            }
            Self::StaleResponse(us) => {
                write!(f, "a server has not heard its leader for {} ms: its answer is not used", us / 1000)
            }
            Self::IndexReset { from, to } => {
                write!(f, "the index went from {from} to {to}: the list is read anew")
            }
        }
    }
}
