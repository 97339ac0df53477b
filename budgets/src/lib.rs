//! Budgets of the whole fleet, divided among its proxies so that their leases never sum to more than the limit.
//!
//! Sans-IO; time is each member's own monotonic clock. A budget has a limit. A reserved minimum of it is set aside for each
//! configured member, which may spend that always, whatever it can reach. The rest is shared by leases: one member, the
//! allocator, grants leases that end by themselves.
//!
//! Why the sum holds. A member votes for one allocator at a time, for a stated time by its own clock, and for none in that
//! time after its start. An allocator grants only while more than half of all configured members vote for it, and no
//! lease of its outlives those votes. Any two majorities share a member, so the leases of one allocator are over before the
//! next one has its votes: through deaths, splits, processes that stand still and two allocators that both believe. A
//! holder counts its lease from when it asked, the allocator from when it granted, each less or more what clocks may
//! drift apart in that time; so no lease is in force for longer than its allocator counts it as granted.
//!
//! What is spent may be felt for a while after: a request that the origin holds, work that a cold box has not done yet. A
//! allocator counts a lease as granted until that is over, and its votes must last as long. A holder that runs says what it
//! has out and which lease it goes by, so that what it gave up is free at once.
//!
//! - `kinds`: what is shared.
//! - `wire`: the messages as datagrams.
//! - `spec`: limits and reserved minimums.
//! - `vote`: whom a member votes for, and for how long a candidate is the allocator.
//! - `ledger`: what an allocator has granted, and what it may grant.
//! - `fair_share`: how much each should have, by need.
//! - `member`: one member's side of all that.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fair_share;
pub mod kinds;
mod ledger;
mod member;
pub mod spec;
mod vote;
pub mod wire;

pub use member::{Change, Counters, Member, Message, Options};

/// Time or duration in microseconds, by a member's own monotonic clock.
pub type Micros = u64;
/// A member's index in the configured list, which is the same at all.
pub type MemberIndex = usize;
/// One run of a member's process.
pub type ProcessId = u64;
/// Units of a budget: work a second in thousandths, or things held at once in thousandths.
pub type Amount = u64;
