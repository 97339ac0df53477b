//! Fault injection for rehearsals. All functions return false unless fail points are compiled in.

/// Whether leases are used after they have expired.
pub(super) fn ignores_lease_ends() -> bool {
    fail::fail_point!("plant-lease", |_| true);
    false
}

/// Whether a candidate counts a vote of each member that it asks, without a response.
pub(super) fn assumes_votes() -> bool {
    fail::fail_point!("plant-votes", |_| true);
    false
}

/// Whether reserved minimums are not counted against the limit.
pub(super) fn forgets_reserved() -> bool {
    fail::fail_point!("plant-floors", |_| true);
    false
}
