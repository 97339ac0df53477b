//! Membership between the proxies of an installation: which of them run.
//!
//! The package is sans-IO. The configuration names the members and their addresses. Which of them run is found out by the
//! SWIM protocol (probes in random rounds, indirect probes, suspicion that its subject can refute, updates sent along
//! with the probes) with the extensions of Lifeguard (a suspicion timeout that shrinks as others confirm it, a failure
//! detector that distrusts itself when it is slow, a suspect that is notified first).
//!
//! A process id identifies one run of a member. A later process overrides all claims about an earlier one, so a machine
//! that comes back, with its disk or without, is not mistaken for the one that died, and an old process that is still
//! there after its successor has started learns that it was replaced.
//!
//! # Modules
//!
//! - `member`: what is believed of each member, and which claim overrides which.
//! - `suspicion`: how long a suspect has to refute.
//! - `gossip`: which updates are sent along with the next datagram.
//! - `swim`: the protocol: probes, datagrams, claims, and the failure detector's own health.
//! - `options`: times and bounds of the protocol, and counters.
//! - `wire`: the encoding of datagrams of at most 256 bytes.

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
/// Identifies a member: a hash of its name.
pub type Id = u64;
/// Identifies one process of a member; later processes have greater ids.
pub type ProcessId = u64;
/// A member's index in the list of peers, which is each proxy's own.
pub type PeerIndex = usize;
