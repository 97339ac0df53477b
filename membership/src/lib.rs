//! Membership of the proxies of an installation, and failure detection between them.
//!
//! The package is sans-IO. The configuration names the members and their addresses. Failures are detected by the SWIM
//! protocol: probes in rounds of random order, indirect probes, suspicions that the suspect can refute, and updates
//! that are piggybacked on the probes. It has the extensions of Lifeguard: a suspicion timeout that shrinks with each
//! confirmation, a failure detector with longer timeouts while its own process is slow, and prompt notification of the
//! suspect.
//!
//! A process id identifies one process of a member. Claims about a later process override all claims about an earlier
//! process. A member that restarts, with its disk or without, is therefore not mistaken for its dead process, and an
//! old process that still runs after its successor has started is informed that it was replaced.
//!
//! # Modules
//!
//! - `member`: the state of each member, and the order in which claims override each other.
//! - `suspicion`: the time within which a suspect can refute a suspicion.
//! - `gossip`: the selection of updates that are piggybacked on the next datagram.
//! - `swim`: the protocol, with probes, datagrams, claims, and the health score of the failure detector.
//! - `options`: the durations and bounds of the protocol, and counters.
//! - `wire`: the encoding of datagrams.

mod gossip;
mod member;
mod options;
mod suspicion;
mod swim;
mod wire;

pub use linnetknot_datagram::{DecodeError, MAX_DATAGRAM_BYTES};
pub use member::{Change, Claim, Member, MemberState, Names};
pub use options::{Counters, Options};
pub use swim::{Membership, MembershipConfig, Outgoing};
pub use wire::{Body, Message, Sender, Update};

/// A time or duration in microseconds.
pub type Micros = u64;
/// Identifies a member. It is a hash of the member's name.
pub type Id = u64;
/// Identifies one process of a member. Later processes have greater ids.
pub type ProcessId = u64;
/// A member's index in the list of peers, which differs between proxies.
pub type PeerIndex = usize;
