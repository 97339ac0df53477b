//! Verifies that the crash check of `compaction.rs` detects an injected fault: entries are removed from the disk before
//! the buckets that replace them are synced. Fail points are global to a process, so this test needs its own test
//! binary.

#[path = "common/ledger_on_medium.rs"]
mod ledger_on_medium;
#[path = "../../store/tests/common/medium.rs"]
mod medium;

use ledger_on_medium::{bounds, purges_lost_by_crashes, WINDOW};
use linnetknot_purges::BucketBits;

#[test]
fn crash_check_detects_entries_removed_before_their_buckets_are_synced() {
    fail::cfg("plant-early-removal", "return").unwrap();
    let lost = purges_lost_by_crashes(bounds(WINDOW, BucketBits::MIN));
    fail::remove("plant-early-removal");
    assert!(
        !lost.is_empty(),
        "the crash check does not detect the planted fault"
    );
}
