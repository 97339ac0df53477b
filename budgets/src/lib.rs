//! Fleet-wide budgets that are leased to the proxies, so that the sum of what they may spend never exceeds the limit.
//!
//! The package is sans-IO: callers deliver messages and pass the time, which is read from each member's own monotonic
//! clock. A budget has a limit. A minimum is reserved for each configured member, which may always spend it, even if it
//! can reach no other member. The rest of the limit is leased: one elected member, the allocator, grants leases that
//! expire without any further message.
//!
//! # Safety
//!
//! A member votes for one allocator at a time, for a fixed duration by its own clock. After it starts it casts no vote
//! for that duration, because an earlier process of it may have voted. An allocator grants leases only while more than
//! half of all configured members vote for it, and none of its leases outlives those votes. Any two majorities share a
//! member, so all leases of one allocator have expired before the next allocator is elected. This holds through
//! crashes, network partitions and stalled processes, and when two members both believe that they lead. A holder counts
//! the duration of its lease from when it sent the request, the allocator from when it granted it, and both allow for
//! clock drift. A lease therefore never remains in force for longer than its allocator counts it as granted.
//!
//! A spent amount may occupy the resource for a while, such as a request in flight at the origin, or work that a cache
//! in slow start has not finished yet. The amount is unsettled until the resource is free again, and the settling time
//! is the maximum duration of that. An allocator counts a lease as granted until the settling time after the end of the
//! lease is over, and the allocator's votes must last as long. Each lease request states how much of the holder's
//! spending is unsettled and which lease is in force, so that an amount that a holder releases is available to others
//! at once.
//!
//! # Modules
//!
//! - `kinds`: the kinds of budgets and their units.
//! - `spec`: the limit, the reserved minimum and the settling time of a budget.
//! - `options`: the durations and bounds of the protocol, which are the same at all members.
//! - `message`, `wire`: the messages between members and their encoding in datagrams.
//! - `vote`, `election`: a member's vote, and the election of the allocator of a group of budgets.
//! - `holding`: the holder's side of a budget.
//! - `allocation`, `ledger`, `fair_share`: the allocator's side of a budget, which are the outstanding grants and the
//!   amount of the next one.
//! - `pending`: requests that await responses.
//! - `member`: one member, which combines these parts.

mod allocation;
mod election;
mod fair_share;
mod holding;
pub mod kinds;
mod ledger;
mod member;
mod message;
mod options;
mod pending;
pub mod spec;
mod vote;
pub mod wire;

pub use holding::{Demand, Lease};
pub use ledger::OutstandingGrant;
pub use member::{Change, Counters, InvalidBudget, Member};
pub use message::{LeaseGrant, LeaseRequest, Message, Outgoing, VoteRequest, VoteResponse};
pub use options::Options;

/// A time or duration in microseconds, by a member's own monotonic clock.
pub type Micros = u64;
/// A member's index in the configured list, which is the same at all members.
pub type MemberIndex = usize;
/// Identifies one process of a member. Each start of the member has a higher id than those before.
pub type ProcessId = u64;
/// An amount of a budget, in the budget's unit.
pub type Amount = u64;

/// One process of a member. A new process has no record of the votes and leases that an earlier process gave, or of the
/// amounts that it spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberProcess {
    /// The index of the member.
    pub member: MemberIndex,
    /// The id of the member's process.
    pub process: ProcessId,
}
