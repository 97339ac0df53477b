//! Simulated networks for tests of sans-IO packages. On virtual time, links lose, duplicate, delay and reorder
//! datagrams, and can be cut in one or both directions. All random choices follow from a seed.
//!
//! - `events`: a queue of events, ordered by time.
//! - `network`: a network with the same conditions on all links, which advances from one event to the next.
//! - `links`: the conditions of a single link, for simulations that manage time themselves.

mod events;
mod links;
mod network;

pub use events::{EventQueue, Timed};
pub use links::{Arrivals, LinkConditions};
pub use network::{member_at, peer_index, Delay, Network, Step};

/// A time or duration in microseconds.
pub type Micros = u64;
