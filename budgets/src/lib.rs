//! Fleet-wide budgets, leased to the proxies so that what they may spend never sums to more than the limit.
//!
//! The package is sans-IO: callers deliver messages and the time, which is each member's own monotonic clock. A budget
//! has a limit. A minimum is reserved for each configured member, which may always spend it, whichever members it can
//! reach. The rest is leased: one elected member, the allocator, grants leases that expire by themselves.
//!
//! # Why the sum holds
//!
//! A member votes for one allocator at a time, for a stated time by its own clock, and for none in that time after its
//! start. An allocator grants only while more than half of all configured members vote for it, and none of its leases
//! outlives those votes. Any two majorities share a member, so the leases of one allocator expire before the next one has
//! its votes: through crashes, network partitions, stalled processes and two members that both believe to lead. A holder
//! counts its lease from when it sent the request, the allocator from when it granted it, each corrected by what clocks
//! may drift apart in that time; so no lease is in force for longer than its allocator counts it as granted.
//!
//! What is spent may occupy the resource for a while: a request in flight at the origin, or work that a cache that is
//! warming up has not done yet. An allocator counts a lease as granted until that settling time is over, and its votes
//! must last as long. Each request of a holder states what is unsettled and which lease is in force, so that what it gave
//! up is free at once.
//!
//! # Modules
//!
//! - `kinds`: the kinds of budgets and their units.
//! - `spec`: the limit, the reserved minimum and the settling time of a budget.
//! - `options`: times and bounds that are the same at all members.
//! - `message`, `wire`: what members send each other, and its form as datagrams.
//! - `vote`, `election`: whom a member votes for, and who allocates a group of budgets.
//! - `holding`: the holder's side of a budget.
//! - `allocation`, `ledger`, `fair_share`: the allocator's side of a budget: what is granted, and what may be.
//! - `member`: one member, which joins these.

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
/// Identifies one process of a member: each start has another one, higher than those before.
pub type ProcessId = u64;
/// An amount of a budget, in the budget's unit.
pub type Amount = u64;

/// A member in one of its processes. A new process of a member knows nothing of what an earlier one granted, spent or voted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberProcess {
    /// The member.
    pub member: MemberIndex,
    /// Its process.
    pub process: ProcessId,
}
