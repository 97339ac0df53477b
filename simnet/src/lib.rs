//! Simulated networks for tests of sans-IO packages: virtual time, and links on it that lose, duplicate, delay and reorder
//! datagrams, and that are cut in one or both directions. All random choices follow from a seed.
//!
//! - `events`: a queue of events by their time.
//! - `network`: a network of members with the same conditions on all links, which steps from one event to the next.
//! - `links`: the conditions of one link, for simulations that keep their own time.

mod events;
mod links;
mod network;

pub use events::{EventQueue, Timed};
pub use links::{Arrivals, LinkConditions};
pub use network::{member_at, peer_index, Delay, Network, Step};

/// A time or duration in microseconds.
pub type Micros = u64;
