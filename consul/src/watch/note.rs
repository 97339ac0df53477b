//! What the operators should know of a watch, with its words.

use crate::answer::Skipped;
use linnetknot::Micros;
use std::fmt;
use std::net::SocketAddr;

/// Something that the operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// An agent failed a query.
    Failed {
        /// Which.
        agent: usize,
        /// How.
        why: String,
    },
    /// Answers come again after so many failures in a row.
    Back {
        /// From which agent.
        agent: usize,
        /// Failures.
        failures: u32,
    },
    /// The token is missing, wrong or has too few rights.
    Denied {
        /// Which agent says so.
        agent: usize,
        /// In what words.
        says: String,
    },
    /// An instance can't be used.
    Skipped(Skipped),
    /// More than half of an answer's instances can't be used: rather the mapping is wrong than each of them.
    MostlyUnusable {
        /// How many can't be used.
        unusable: usize,
        /// Of how many.
        of: usize,
        /// One of them, and the key at fault there.
        first: Skipped,
    },
    /// An id is registered twice, and one of the two is passed over.
    SameId {
        /// The id.
        uid: String,
        /// Who keeps it.
        kept: SocketAddr,
        /// Who does not get it.
        refused: SocketAddr,
    },
    /// An answer leaves out so many that it has to be confirmed.
    Held {
        /// How many of those that ran it names.
        named: usize,
        /// How many ran.
        ran: usize,
    },
    /// What was held is true.
    Confirmed,
    /// What was held is not true: the catalogue names so many.
    Contradicted {
        /// How many of those that ran the catalogue names.
        registered: usize,
    },
    /// A server has not heard its leader for so long that its answer is not used.
    Stale(Micros),
    /// The index went back or was 0: the list is read anew.
    IndexReset {
        /// The index before.
        from: u64,
        /// The index of the answer.
        to: u64,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed { agent, why } => write!(f, "agent {agent} {why}; the last list holds"),
            Self::Back { agent, failures } => {
                write!(f, "agent {agent} answers again, after {failures} failures in a row")
            }
            Self::Denied { agent, says } => write!(f, "agent {agent} denies the query: {says}"),
            Self::Skipped(s) => write!(f, "{s}"),
            Self::MostlyUnusable { unusable, of, first } => write!(
                f,
                "{unusable} of {of} instances can't be used, as with '{}': {}: {}; see 'consul' in the configuration",
                first.uid.escape_default(),
                first.key,
                first.why
            ),
            Self::SameId { uid, kept, refused } => write!(
                f,
                "id '{uid}' is registered at {kept} and {refused}: the latter is passed over (see 'identity')"
            ),
            Self::Held { named, ran } => {
                write!(f, "an answer names {named} of {ran} boxes that ran: held until it is confirmed")
            }
            Self::Confirmed => write!(f, "what was held is confirmed by the catalogue"),
            Self::Contradicted { registered } => {
                write!(f, "what was held is not true: the catalogue names {registered} of those boxes")
            }
            Self::Stale(us) => {
                write!(f, "a server has not heard its leader for {} ms: its answer is not used", us / 1000)
            }
            Self::IndexReset { from, to } => {
                write!(f, "the index went from {from} to {to}: the list is read anew")
            }
        }
    }
}
