//! Fault injection for fleet tests that verify their own checks. All functions return false unless fail points are
//! compiled in.

/// Whether this proxy continues to spend expired leases.
pub(super) fn ignores_lease_ends() -> bool {
    fail::fail_point!("plant-lease", |_| true);
    false
}

/// Whether a candidate counts every vote it requests as granted.
pub(super) fn assumes_votes() -> bool {
    fail::fail_point!("plant-votes", |_| true);
    false
}

/// Whether the allocator divides the limit without regard to the reserved minimums.
pub(super) fn forgets_reserved() -> bool {
    fail::fail_point!("plant-floors", |_| true);
    false
}
