//! Classification of datagrams between members, for traffic counts.

use linnetknot_budgets::wire as budgets;
use linnetknot_membership::{DecodeError, Message};
use linnetknot_replication::Datagram;

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Membership: probes, acknowledgements and gossip.
    Membership,
    /// Shares of budgets.
    Budgets,
    /// Log entries.
    Entries,
    /// Acknowledgements of log entries.
    Acks,
    /// Log digests, requests for missing entries and snapshots.
    Digests,
    /// Other datagrams: plain purges and origin health.
    Other,
}

impl Kind {
    /// All kinds, in declaration order.
    pub const ALL: [Kind; 6] = [
        Kind::Membership,
        Kind::Budgets,
        Kind::Entries,
        Kind::Acks,
        Kind::Digests,
        Kind::Other,
    ];

    /// Returns the kind of a datagram.
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

    /// Returns the name of the kind in tables.
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
