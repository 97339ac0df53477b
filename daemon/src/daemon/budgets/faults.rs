//! Faults that rehearsals plant; in an ordinary build none of them is there.

/// A holder that goes by a lease after its end.
pub(super) fn ignores_lease_ends() -> bool {
    fail::fail_point!("plant-lease", |_| true);
    false
}

/// A candidate that counts a vote of each member that it asks.
pub(super) fn assumes_votes() -> bool {
    fail::fail_point!("plant-votes", |_| true);
    false
}

/// Reserved minimums that are not counted against the limit.
pub(super) fn forgets_reserved() -> bool {
    fail::fail_point!("plant-floors", |_| true);
    false
}
