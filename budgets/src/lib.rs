//! Budgets of the whole fleet, divided among its proxies so that their parts never sum to more than the whole.
//!
//! Sans-IO; time is each member's own monotonic clock. A budget has a whole. A floor of it is set aside for each
//! configured member, which may spend that always, whatever it can reach. The rest is shared by leases: one member, the
//! divider, grants parts that end by themselves.
//!
//! Why the sum holds. A member votes for one divider at a time, for a stated time by its own clock, and for none in that
//! time after its start. A divider grants only while more than half of all configured members vote for it, and no
//! part of its outlives those votes. Any two majorities share a member, so the parts of one divider are over before the
//! next one has its votes: through deaths, splits, processes that stand still and two dividers that both believe. A
//! holder counts its part from when it asked, the divider from when it granted, each less or more what clocks may
//! drift apart in that time; so no part is in force for longer than its divider counts it as granted.
//!
//! What is spent may be felt for a while after: a request that the origin holds, work that a cold box has not done yet. A
//! divider counts a part as granted until that is over, and its votes must last as long. A holder that runs says what it
//! has out and which part it goes by, so that what it gave up is free at once.
//!
//! - `kinds`: what is shared.
//! - `wire`: the words as datagrams.
//! - `limit`: wholes and floors.
//! - `vote`: whom a member votes for, and for how long a candidate is the divider.
//! - `ledger`: what a divider has granted, and what it may grant.
//! - `share`: how much each should have, by need.
//! - `member`: one member's side of all that.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod kinds;
mod ledger;
pub mod limit;
mod member;
mod share;
mod vote;
pub mod wire;

pub use member::{Change, Member, Options, Tally, Word};

/// Time or duration in microseconds, by a member's own monotonic clock.
pub type Micros = u64;
/// A member's place in the configured list, which is the same at all.
pub type Place = usize;
/// A life of a member: one run of its process.
pub type Life = u64;
/// Units of a budget: work a second in thousandths, or things held at once in thousandths.
pub type Amount = u64;
