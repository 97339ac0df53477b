//! Buckets: the laws of a join semilattice, and their encoding.

use linnetknot_purges::{Bucket, DecodeError, Fingerprint, KeyHash, Micros};
use proptest::prelude::*;

const MS: Micros = 1_000;

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of(KeyHash::from(number))
}

/// What can be done to a bucket.
#[derive(Clone, Debug)]
enum Step {
    Record(u64, Micros),
    RaiseWatermark(Micros),
}

/// Few keys and times, so that equal ones and equal times of several keys are common.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..12u64, 0..30 * MS).prop_map(|(key, at)| Step::Record(key, at)),
        1 => (0..20 * MS).prop_map(Step::RaiseWatermark),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 0..24)
}

fn filled(steps: &[Step]) -> Bucket {
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
        let (a, b, c) = (filled(&a), filled(&b), filled(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a);
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
    }

    #[test]
    fn merge_is_the_bucket_of_all_that_was_put_in(a in steps(), b in steps()) {
        let both: Vec<Step> = a.iter().chain(&b).cloned().collect();
        prop_assert_eq!(merged(&filled(&a), &filled(&b)), filled(&both));
    }

    #[test]
    fn the_order_in_which_purges_come_does_not_matter(
        (steps, shuffled) in steps().prop_flat_map(|s| (Just(s.clone()), Just(s).prop_shuffle())),
    ) {
        prop_assert_eq!(filled(&steps), filled(&shuffled));
    }

    #[test]
    fn a_change_is_reported(steps in steps(), more in step()) {
        let mut bucket = filled(&steps);
        let before = bucket;
        let reported = match more {
            Step::Record(key, at) => bucket.record(fingerprint(key), at),
            Step::RaiseWatermark(at) => bucket.raise_watermark(at),
        };
        prop_assert_eq!(reported, bucket != before);
    }

    #[test]
    fn decoding_gives_what_was_encoded(steps in steps()) {
        let bucket = filled(&steps);
        let mut bytes = Vec::new();
        bucket.encode(&mut bytes);
        prop_assert_eq!(bytes.len(), bucket.encoded_len());
        prop_assert_eq!(Bucket::decode(&bytes), Ok(bucket));
    }

    /// Also no bytes make a bucket that breaks the laws.
    #[test]
    fn what_is_decoded_is_encoded_alike(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Ok(bucket) = Bucket::decode(&bytes) {
            let mut again = Vec::new();
            bucket.encode(&mut again);
            prop_assert_eq!(again, bytes);
            prop_assert_eq!(merged(&Bucket::default(), &bucket), bucket);
        }
    }
}

#[test]
fn seven_purges_are_told_apart_and_an_eighth_raises_the_watermark() {
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
        "it could be the key of the purge that went"
    );
    assert_eq!(bucket.latest(fingerprint(1)), Some(11 * MS));
}

#[test]
fn times_are_rounded_up_and_those_at_the_ends_are_times_too() {
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

/// The encoding of a bucket with these words.
fn bytes(count: u8, watermark: u64, slots: &[u64]) -> Vec<u8> {
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
fn the_encoding_is_fixed() {
    let mut bucket = Bucket::default();
    bucket.raise_watermark(4 * MS);
    bucket.record(fingerprint(9), 6 * MS);
    bucket.record(fingerprint(8), 7 * MS);
    let mut encoded = Vec::new();
    bucket.encode(&mut encoded);
    assert_eq!(encoded, bytes(2, 5, &[slot(8, 8), slot(7, 9)]));
}

#[test]
fn malformed_encodings_are_told_by_what_is_wrong() {
    let eight: Vec<u64> = (0..8).map(|n| slot(20 - n, 1)).collect();
    let cases = [
        (vec![], DecodeError::Length { bytes: 0 }),
        (vec![0], DecodeError::Length { bytes: 1 }),
        (bytes(1, 0, &[]), DecodeError::Length { bytes: 9 }),
        (
            bytes(0, 0, &[slot(1, 1)]),
            DecodeError::Length { bytes: 17 },
        ),
        (bytes(8, 0, &eight), DecodeError::TooManySlots { slots: 8 }),
        (bytes(2, 0, &[slot(1, 1), slot(2, 1)]), DecodeError::Order),
        (bytes(2, 0, &[slot(1, 1), slot(1, 1)]), DecodeError::Order),
        (bytes(1, 0, &[slot(0, 1)]), DecodeError::EmptySlot),
        (bytes(1, 0, &[0]), DecodeError::EmptySlot),
        (bytes(1, 3, &[slot(3, 1)]), DecodeError::Watermark),
        (
            bytes(2, 3, &[slot(4, 1), slot(2, 1)]),
            DecodeError::Watermark,
        ),
        (bytes(0, 1 << 42, &[]), DecodeError::Watermark),
    ];
    for (encoded, error) in cases {
        assert_eq!(Bucket::decode(&encoded), Err(error), "{encoded:?}");
        assert!(!error.to_string().is_empty());
    }
}

proptest! {
    /// The clock of whoever sent a bucket may be ahead.
    #[test]
    fn no_purge_of_a_bounded_bucket_is_later_than_the_bound_and_none_is_lost(
        all in steps(),
        bound in 0..30 * MS,
    ) {
        let bounded = filled(&all).no_later_than(bound);
        for key in 0..12 {
            let latest = bounded.latest(fingerprint(key));
            prop_assert!(
                latest < Some(bound + MS),
                "{latest:?}, a stamp is rounded up by less than a millisecond"
            );
            let purges = all.iter().filter_map(|step| match step {
                Step::Record(recorded, at) => (*recorded == key).then_some(*at),
                Step::RaiseWatermark(at) => Some(*at),
            });
            prop_assert!(latest >= purges.max().map(|at| at.min(bound)));
        }
    }

    #[test]
    fn a_bucket_without_later_purges_is_bounded_to_itself(all in steps()) {
        prop_assert_eq!(filled(&all).no_later_than(30 * MS), filled(&all));
    }
}
