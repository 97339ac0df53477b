//! The messages between members.

use crate::{Amount, MemberIndex, Micros};

/// A candidate asks the receiver for its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteRequest {
    /// The group of budgets to lead.
    pub group: usize,
    /// The number of the request, which its response repeats.
    pub number: u64,
}

/// The response to a [`VoteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteResponse {
    /// The group of the request.
    pub group: usize,
    /// The number of the request.
    pub number: u64,
    /// Whether the candidate has the vote, for [`Options::vote_duration_us`](crate::Options::vote_duration_us) from its
    /// request.
    pub granted: bool,
    /// The member that has the vote.
    pub voted_for: Option<MemberIndex>,
}

/// A holder asks the allocator for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// The budget.
    pub budget: usize,
    /// The number of the request, which its response repeats.
    pub number: u64,
    /// What the holder would spend beyond its reserved minimum.
    pub demand: Amount,
    /// The number of the request that brought the lease in force at the holder; 0 where there was none.
    pub current_lease: u64,
    /// What the holder spent beyond its reserved minimum and is not settled.
    pub unsettled: Amount,
}

/// The response to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant {
    /// The budget of the request.
    pub budget: usize,
    /// The number of the request.
    pub number: u64,
    /// What the holder may spend beyond its reserved minimum.
    pub amount: Amount,
    /// How long the lease lasts, from when the request was sent.
    pub duration_us: Micros,
}

/// A message between members. Its sender is known by the address it comes from, and by its process id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Asks for a vote.
    VoteRequest(VoteRequest),
    /// Gives or refuses a vote.
    VoteResponse(VoteResponse),
    /// Asks for a lease.
    LeaseRequest(LeaseRequest),
    /// Grants a lease.
    LeaseGrant(LeaseGrant),
}

/// A message that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Outgoing {
    /// The receiver.
    pub to: MemberIndex,
    /// The message.
    pub message: Message,
}
