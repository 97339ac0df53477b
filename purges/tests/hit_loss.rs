//! Checks that the purge state loses the share of cache hits that is derived in `docs/design/purge-state.md`.
//!
//! This is a short version of the example `hit_loss`, with a table of 1 MiB and two and a half times the purges that
//! fill it.

mod common;
use common::*;
use linnetknot_purges::{BucketBits, CompactTable, Micros, PurgeTable};

const PURGES: u64 = 300_000;
const COPIES: u64 = 40_000;
/// Allowed difference between the measured and the predicted share of lost hits. Random variation with 16,384 buckets
/// and 40,000 copies accounts for about 0.008.
const TOLERANCE: f64 = 0.012;

fn stream() -> Stream {
    Stream {
        seed: 11,
        per_second: 110.0,
        purges: PURGES,
    }
}

fn bits() -> BucketBits {
    BucketBits::new(14).unwrap()
}

fn ages() -> Vec<Micros> {
    (1..=26).map(|step| step * 100 * SECOND_US).collect()
}

/// Checks that the measured shares are within `TOLERANCE` of the predicted shares and increase with the age.
fn check(measured: &[f64], predicted: impl Fn(Micros) -> f64) {
    for (age, share) in ages().into_iter().zip(measured) {
        let expected = predicted(age);
        let age_s = age / SECOND_US;
        assert!(
            (share - expected).abs() < TOLERANCE,
            "{age_s} s: {share:.4}, expected {expected:.4}"
        );
    }
    assert!(measured.windows(2).all(|pair| pair[0] <= pair[1]));
}

#[test]
fn lost_hits_match_the_formulas_of_buckets_and_of_a_plain_table() {
    let (mut compact, mut plain) = (CompactTable::new(bits()), PlainTable::in_memory_of(bits()));
    for number in 0..PURGES {
        compact.record(stream().key(number), stream().time(number));
        plain.record(stream().key(number), stream().time(number));
    }
    let measured = lost_shares(&compact, stream().end(), &ages(), COPIES);
    check(&measured, |age| {
        predicted_by_buckets(bits(), stream().since(age))
    });
    let by_plain = lost_shares(&plain, stream().end(), &ages(), COPIES);
    check(&by_plain, |age| {
        predicted_by_plain_rows(bits(), stream().since(age))
    });
    // For the third age, 33,000 purges have followed the creation of the copy: two per bucket, or one per four rows.
    let (buckets, rows) = (measured[2], by_plain[2]);
    assert!(buckets < 0.01 && rows > 0.35, "{buckets} and {rows}");
}

#[test]
fn exact_purges_lose_no_hits() {
    let mut table = PurgeTable::new(20_000, bits());
    for number in 0..PURGES {
        table.record(stream().key(number), stream().time(number));
        table.compact(stream().time(number), 6 * SECOND_US);
    }
    let exact = table.exact_len() as f64;
    let measured = lost_shares(&table, stream().end(), &ages(), COPIES);
    check(&measured, |age| {
        predicted_by_buckets(bits(), stream().since(age) - exact)
    });
}

#[test]
fn poisson_tail_probabilities_match_published_values() {
    for (least, mean, share) in [(1, 1.0, 0.632_12), (8, 3.0, 0.011_90), (8, 8.0, 0.547_04)] {
        assert!(
            (poisson_at_least(least, mean) - share).abs() < 1e-5,
            "{least} at {mean}"
        );
    }
}
