//! The messages between members: votes for allocators, and leases of budgets.

use crate::{Amount, MemberIndex, Micros};

/// A candidate's request for the receiver's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteRequest {
    /// The group of budgets whose allocator is elected.
    pub group: usize,
    /// The number of the request, which the response repeats.
    pub number: u64,
}

/// The response to a [`VoteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteResponse {
    /// The group of budgets that the request named.
    pub group: usize,
    /// The number of the request that this message answers.
    pub number: u64,
    /// Whether the candidate has the vote. It then lasts for
    /// [`Options::vote_duration_us`](crate::Options::vote_duration_us) from when the request was sent.
    pub granted: bool,
    /// The member that the voter currently votes for.
    pub voted_for: Option<MemberIndex>,
}

/// A holder's request to the allocator for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// The index of the budget.
    pub budget: usize,
    /// The number of the request, which the response repeats.
    pub number: u64,
    /// The amount that the holder would spend beyond its reserved minimum.
    pub demand: Amount,
    /// The number of the request for which the holder's latest accepted lease was granted; 0 if there was none.
    pub current_lease: u64,
    /// The amount that the holder has spent beyond its reserved minimum and that has not settled yet.
    pub unsettled: Amount,
}

/// The response to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant {
    /// The index of the budget that the request named.
    pub budget: usize,
    /// The number of the request that this message answers.
    pub number: u64,
    /// The amount that the holder may spend beyond its reserved minimum.
    pub amount: Amount,
    /// The duration of the lease, from when the request was sent.
    pub duration_us: Micros,
}

/// A message between members. The sender is identified by its address and by the process id in the datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate requests a vote.
    VoteRequest(VoteRequest),
    /// A member grants or refuses its vote.
    VoteResponse(VoteResponse),
    /// A holder requests a lease from the allocator.
    LeaseRequest(LeaseRequest),
    /// The allocator grants a lease.
    LeaseGrant(LeaseGrant),
}

/// A message that the caller must send to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Outgoing {
    /// The member to which the message is sent.
    pub to: MemberIndex,
    /// The message, to be encoded by the caller.
    pub message: Message,
}
