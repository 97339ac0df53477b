//! Who is there: membership between the proxies of an installation.
//!
//! Sans-IO. Members come from the configuration, which names an address for each; which of them run is found out as
//! SWIM does (probes in random rounds, indirect probes, suspicion that its subject can refute, claims that ride on the
//! probes) with the lessons of Lifeguard (a time to refute that falls as others confirm, a detector that distrusts
//! itself when it is slow, a suspect that is told so first).
//!
//! - `member`: what is believed of each member, and which claim beats which.
//! - `suspicion`: how long a suspect has to refute.
//! - `gossip`: which claims ride on the next datagram.
//! - `swim`: probes and their time-outs, and the detector's own health.
//! - `wire`: datagrams of at most 256 bytes.
//!
//! A process id is one run of a process under a name. A later process beats all that was said of an earlier one, so a machine
//! that comes back, with its disk or without, is not taken for the one that died, and an old process that goes on
//! after its successor has begun learns that it was replaced.

mod gossip;
mod member;
mod suspicion;
mod swim;
mod wire;

pub use linnetknot_datagram::{DecodeError, MAX_DATAGRAM_BYTES};
pub use member::{Change, Claim, Member, Standing};
pub use swim::{Counters, Membership, Options};
pub use wire::{Body, Message, Sender, Update};

/// Time or duration in microseconds.
pub type Micros = u64;
/// A member: a hash of its name.
pub type Id = u64;
/// A process id of a member: later ones are greater.
pub type ProcessId = u64;
/// A member's place in the list of peers, which is each proxy's own.
pub type Peer = usize;
