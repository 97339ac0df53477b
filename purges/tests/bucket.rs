//! Tests that merging buckets is associative, commutative and idempotent, and tests of the encoding of buckets.

use linnetknot_purges::{Bucket, DecodeError, Fingerprint, KeyHash, Micros};
use proptest::prelude::*;

const MS: Micros = 1_000;

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of(KeyHash::from(number))
}

/// A change that a test applies to a bucket.
#[derive(Clone, Debug)]
enum Step {
    Record(u64, Micros),
    RaiseWatermark(Micros),
}

/// Steps with few keys and times, so that equal keys and equal times are common.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..12u64, 0..30 * MS).prop_map(|(key, at)| Step::Record(key, at)),
        1 => (0..20 * MS).prop_map(Step::RaiseWatermark),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 0..24)
}

fn bucket_of(steps: &[Step]) -> Bucket {
    let mut bucket = Bucket::default();
    for step in steps {
        match step {
            Step::Record(key, at) => bucket.record(fingerprint(*key), *at),
            Step::RaiseWatermark(at) => bucket.raise_watermark(*at),
        };
    }
    bucket
}

fn merged(left: &Bucket, right: &Bucket) -> Bucket {
    let mut all = *left;
    all.merge(right);
    all
}

proptest! {
    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in steps(), b in steps(), c in steps()) {
        let (a, b, c) = (bucket_of(&a), bucket_of(&b), bucket_of(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a);
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
    }

    #[test]
    fn a_merged_bucket_equals_one_with_all_steps_of_both(a in steps(), b in steps()) {
        let both: Vec<Step> = a.iter().chain(&b).cloned().collect();
        prop_assert_eq!(merged(&bucket_of(&a), &bucket_of(&b)), bucket_of(&both));
    }

    #[test]
    fn buckets_do_not_depend_on_the_order_of_steps(
        (steps, shuffled) in steps().prop_flat_map(|s| (Just(s.clone()), Just(s).prop_shuffle())),
    ) {
        prop_assert_eq!(bucket_of(&steps), bucket_of(&shuffled));
    }

    #[test]
    fn changes_are_reported(steps in steps(), more in step()) {
        let mut bucket = bucket_of(&steps);
        let before = bucket;
        let reported = match more {
            Step::Record(key, at) => bucket.record(fingerprint(key), at),
            Step::RaiseWatermark(at) => bucket.raise_watermark(at),
        };
        prop_assert_eq!(reported, bucket != before);
    }

    #[test]
    fn encoded_buckets_are_decoded(steps in steps()) {
        let bucket = bucket_of(&steps);
        let mut bytes = Vec::new();
        bucket.encode(&mut bytes);
        prop_assert_eq!(bytes.len(), bucket.encoded_len());
        prop_assert_eq!(Bucket::decode(&bytes), Ok(bucket));
    }

    #[test]
    fn decoded_buckets_are_valid_and_encoded_to_the_same_bytes(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Ok(bucket) = Bucket::decode(&bytes) {
            let mut again = Vec::new();
            bucket.encode(&mut again);
            prop_assert_eq!(again, bytes);
            prop_assert_eq!(merged(&Bucket::default(), &bucket), bucket);
        }
    }
}

#[test]
fn an_eighth_purge_raises_the_watermark() {
    let mut bucket = Bucket::default();
    assert!(bucket.is_empty());
    for key in 0..7 {
        bucket.record(fingerprint(key), (10 + key) * MS);
    }
    assert_eq!((bucket.len(), bucket.watermark()), (7, None));
    assert_eq!(bucket.latest(fingerprint(0)), Some(10 * MS));
    assert_eq!(bucket.latest(fingerprint(99)), None);
    bucket.record(fingerprint(7), 20 * MS);
    assert_eq!((bucket.len(), bucket.watermark()), (7, Some(10 * MS)));
    assert_eq!(
        bucket.latest(fingerprint(99)),
        Some(10 * MS),
        "the dropped purge may have been of this key"
    );
    assert_eq!(bucket.latest(fingerprint(1)), Some(11 * MS));
}

#[test]
fn times_are_rounded_up_within_the_whole_range() {
    let latest = |at| {
        let mut bucket = Bucket::default();
        bucket.record(fingerprint(5), at);
        assert_eq!(bucket.len(), 1, "{at}");
        bucket.latest(fingerprint(5))
    };
    assert_eq!(latest(0), Some(0));
    assert_eq!(
        (latest(1), latest(1_000), latest(1_001)),
        (Some(1_000), Some(1_000), Some(2_000))
    );
    let last = ((1 << 42) - 3) * MS;
    assert_eq!(
        (latest(last), latest(last + 1)),
        (Some(last), Some(Micros::MAX))
    );
    assert_eq!(latest(Micros::MAX), Some(Micros::MAX));
}

#[test]
fn a_bucket_is_one_cache_line() {
    assert_eq!((size_of::<Bucket>(), align_of::<Bucket>()), (64, 64));
}

/// Returns the encoding of a bucket with these words.
fn encoding(count: u8, watermark: u64, slots: &[u64]) -> Vec<u8> {
    let words = [watermark].into_iter().chain(slots.iter().copied());
    [count]
        .into_iter()
        .chain(words.flat_map(u64::to_be_bytes))
        .collect()
}

fn slot(stamp: u64, fingerprint: u64) -> u64 {
    stamp << 22 | fingerprint
}

#[test]
fn the_encoding_is_stable() {
    let mut bucket = Bucket::default();
    bucket.raise_watermark(4 * MS);
    bucket.record(fingerprint(9), 6 * MS);
    bucket.record(fingerprint(8), 7 * MS);
    let mut encoded = Vec::new();
    bucket.encode(&mut encoded);
    assert_eq!(encoded, encoding(2, 5, &[slot(8, 8), slot(7, 9)]));
}

#[test]
fn malformed_encodings_are_rejected_with_the_reason() {
    let eight: Vec<u64> = (0..8).map(|n| slot(20 - n, 1)).collect();
    let cases = [
        (vec![], DecodeError::Length { bytes: 0 }),
        (vec![0], DecodeError::Length { bytes: 1 }),
        (encoding(1, 0, &[]), DecodeError::Length { bytes: 9 }),
        (
            encoding(0, 0, &[slot(1, 1)]),
            DecodeError::Length { bytes: 17 },
        ),
        (
            encoding(8, 0, &eight),
            DecodeError::TooManySlots { slots: 8 },
        ),
        (
            encoding(2, 0, &[slot(1, 1), slot(2, 1)]),
            DecodeError::Order,
        ),
        (
            encoding(2, 0, &[slot(1, 1), slot(1, 1)]),
            DecodeError::Order,
        ),
        (encoding(1, 0, &[slot(0, 1)]), DecodeError::EmptySlot),
        (encoding(1, 0, &[0]), DecodeError::EmptySlot),
        (encoding(1, 3, &[slot(3, 1)]), DecodeError::Watermark),
        (
            encoding(2, 3, &[slot(4, 1), slot(2, 1)]),
            DecodeError::Watermark,
        ),
        (encoding(0, 1 << 42, &[]), DecodeError::Watermark),
    ];
    for (encoded, error) in cases {
        assert_eq!(Bucket::decode(&encoded), Err(error), "{encoded:?}");
        assert!(!error.to_string().is_empty());
    }
}

proptest! {
    /// Guards against times that a sender whose clock is ahead has recorded in a bucket.
    #[test]
    fn limited_buckets_have_no_purge_after_the_limit_and_lose_none(
        all in steps(),
        limit in 0..30 * MS,
    ) {
        let limited = bucket_of(&all).no_later_than(limit);
        for key in 0..12 {
            let latest = limited.latest(fingerprint(key));
            prop_assert!(
                latest < Some(limit + MS),
                "{latest:?} is after the limit, beyond the rounding to milliseconds"
            );
            let purges = all.iter().filter_map(|step| match step {
                Step::Record(recorded, at) => (*recorded == key).then_some(*at),
                Step::RaiseWatermark(at) => Some(*at),
            });
            prop_assert!(latest >= purges.max().map(|at| at.min(limit)));
        }
    }

    #[test]
    fn limiting_a_bucket_without_later_purges_does_not_change_it(all in steps()) {
        prop_assert_eq!(bucket_of(&all).no_later_than(30 * MS), bucket_of(&all));
    }
}
