//! Cache hits lost because of a long stream of purges, derived from the maximum ages that the router requests, with the
//! default size of the purge table (4 MiB). The formula is documented in `docs/design/purge-state.md`.

mod common;
#[path = "../purges/tests/common/formula.rs"]
mod formula;

use common::*;
use formula::predicted_by_buckets;
use linnetknot::*;

const PURGES_PER_SECOND: u64 = 110;
const PURGES: u64 = 1_000_000;
const PURGES_PER_TICK: u64 = 100;
const COPIES: u64 = 20_000;
/// Allowed difference between a measured and its expected share: three standard deviations for 20,000 copies.
const TOLERANCE: f64 = 0.012;

/// Records purges of a million objects, with ticks in between.
fn purged_harness() -> RouterHarness {
    let mut harness = RouterHarness::new(settings(), fleet());
    let start = harness.now;
    for number in 0..PURGES {
        harness.now = start + number * S / PURGES_PER_SECOND;
        harness.handle(Event::Purged {
            object: Some(format!("/purged/{number}")),
            group: 0,
            age_us: 0,
        });
        if number % PURGES_PER_TICK == 0 {
            harness.tick();
        }
    }
    harness
}

/// Returns the maximum age of a copy of an object that was never purged; `None` if it is unlimited.
fn max_copy_age(harness: &mut RouterHarness, number: u64) -> Option<Micros> {
    let request = Request {
        id: number,
        class: "video".into(),
        tenant: None,
        object: format!("/kept/{number}"),
        part: 0,
        group: 1_000 + number,
        size_kb: 500.0,
        remaining_us: 5 * S,
        is_retry: false,
    };
    let actions = harness.handle(Event::Request(request));
    let attempt = sent(&actions).expect("an attempt");
    harness.end_attempt_with(number, 0, attempt.server, Outcome::Ok, Note::Hit);
    attempt.fill.max_age_us
}

#[test]
fn hits_lost_to_compacted_purges_match_the_formula() {
    let mut harness = purged_harness();
    let state = harness.router.purges();
    let (exact, bits) = (
        state.exact_len() as f64,
        state.compact_table().bucket_bits(),
    );
    assert_eq!(state.compact_table().memory_bytes(), 4 << 20);
    let max_ages: Vec<_> = (0..COPIES)
        .map(|number| max_copy_age(&mut harness, number))
        .collect();
    for minutes in [5, 10, 20, 30, 45, 60, 75, 90, 120] {
        let age = minutes * 60 * S;
        let lost_copies = max_ages
            .iter()
            .flatten()
            .filter(|max_age_us| age > **max_age_us)
            .count();
        let share = lost_copies as f64 / COPIES as f64;
        let purges = (PURGES_PER_SECOND * minutes * 60) as f64 - exact;
        let expected = predicted_by_buckets(bits, purges);
        println!("| {minutes} | {share:.4} | {expected:.4} |");
        assert!(
            (share - expected).abs() < TOLERANCE,
            "{minutes} min: {share:.4}, expected {expected:.4}"
        );
    }
}
