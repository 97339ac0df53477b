//! The check of `compaction.rs` finds a planted fault: entries that leave the disk before the buckets that hold their
//! purges are synced. In a process of its own, as the fault is planted for all of it.

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
    assert!(!lost.is_empty(), "the check finds nothing");
}
