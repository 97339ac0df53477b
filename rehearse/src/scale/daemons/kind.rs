//! What a datagram between members is about, for counts by kind.

use linnetknot_budgets::wire as budgets;
use linnetknot_membership::{DecodeError, Message};
use linnetknot_replication::Datagram;

/// Kinds of datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Who runs: probes, their answers and gossip.
    Membership,
    /// Shares of budgets.
    Budgets,
    /// Entries of the logs.
    Entries,
    /// Acknowledgements of entries.
    Acks,
    /// How far logs are had, and requests for what is missing.
    Digests,
    /// All else: plain purges and what is said of the origin.
    Other,
}

impl Kind {
    /// All of them, in their order.
    pub const ALL: [Kind; 6] = [
        Kind::Membership,
        Kind::Budgets,
        Kind::Entries,
        Kind::Acks,
        Kind::Digests,
        Kind::Other,
    ];

    /// Of a datagram.
    pub fn of(bytes: &[u8]) -> Self {
        match Datagram::decode(bytes) {
            Ok(Datagram::Entry(_)) => return Kind::Entries,
            Ok(Datagram::Ack { .. }) => return Kind::Acks,
            Ok(_) => return Kind::Digests,
            Err(_) => {}
        }
        if !matches!(Message::decode(bytes), Err(DecodeError::Foreign)) {
            return Kind::Membership;
        }
        match budgets::decode(bytes) {
            Err(budgets::DecodeError::Foreign) => Kind::Other,
            _ => Kind::Budgets,
        }
    }

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Membership => "membership",
            Kind::Budgets => "budgets",
            Kind::Entries => "entries",
            Kind::Acks => "acks",
            Kind::Digests => "digests",
            Kind::Other => "other",
        }
    }
}
