//! Limits and edge cases of the exact and the compact purge tables.

use linnetknot_purges::{
    Bucket, BucketBits, BucketBitsError, BucketIndex, BucketIndexError, Fingerprint,
};
use linnetknot_purges::{CompactTable, KeyHash, Micros, PurgeTable};

const S: Micros = 1_000_000;

fn object(number: u64) -> KeyHash {
    KeyHash::of_object(&format!("/o/{number}"))
}

fn bits(bits: u8) -> BucketBits {
    BucketBits::new(bits).unwrap()
}

#[test]
fn table_sizes_are_limited() {
    for allowed in [4, 16, 24] {
        assert_eq!(BucketBits::new(allowed).map(BucketBits::value), Ok(allowed));
    }
    for bits in [0, 3, 25, 255] {
        assert_eq!(BucketBits::new(bits), Err(BucketBitsError { bits }));
    }
}

#[test]
fn memory_is_allocated_by_the_first_purge_and_stays_constant() {
    let mut table = CompactTable::new(BucketBits::DEFAULT);
    assert_eq!(
        table.merge_bucket(bits(4), BucketIndex::from(3), &Bucket::default()),
        Ok(vec![])
    );
    assert_eq!(
        (table.memory_bytes(), table.len(), table.digest()),
        (0, 0, 0)
    );
    table.record(object(1), S);
    assert_eq!((table.memory_bytes(), table.len()), (4 << 20, 1));
    for number in 0..1_000_000 {
        table.record(object(number), number * 9_000);
    }
    assert_eq!(table.memory_bytes(), 4 << 20);
    assert!(table.len() <= 7 * 65_536);
}

#[test]
fn merging_a_bucket_with_an_index_out_of_range_fails() {
    let mut table = CompactTable::new(bits(10));
    for (size, index) in [(4, 16), (10, 1_024), (24, 1 << 24)] {
        let (bucket_bits, index) = (bits(size), BucketIndex::from(index));
        let error = table.merge_bucket(bucket_bits, index, &Bucket::default());
        assert_eq!(error, Err(BucketIndexError { bucket_bits, index }));
    }
}

#[test]
fn buckets_of_tables_of_other_sizes_are_merged_into_the_overlapping_ones() {
    let key = object(5);
    let mut bucket = Bucket::default();
    bucket.record(Fingerprint::of(key), 7 * S);
    let mut table = CompactTable::new(bits(8));
    let children = table
        .merge_bucket(bits(5), BucketIndex::of(key, bits(5)), &bucket)
        .unwrap();
    assert_eq!(children.len(), 8);
    assert!(children.contains(&BucketIndex::of(key, bits(8))));
    assert_eq!(table.latest(key), Some(7 * S));
    let mut table = CompactTable::new(bits(5));
    let parent = table.merge_bucket(bits(8), BucketIndex::of(key, bits(8)), &bucket);
    assert_eq!(parent, Ok(vec![BucketIndex::of(key, bits(5))]));
    assert_eq!(table.latest(key), Some(7 * S));
}

#[test]
fn purge_all_purges_every_key() {
    let mut table = PurgeTable::new(100, bits(6));
    table.record(object(1), 30 * S);
    table.record(object(2), 10 * S);
    table.purge_all(20 * S);
    let latest = [1, 2, 3].map(|number| table.latest(object(number)));
    assert_eq!(latest, [Some(30 * S), Some(20 * S), Some(20 * S)]);
}

#[test]
fn purges_within_the_exact_capacity_stay_exact() {
    let mut table = PurgeTable::new(1_000, BucketBits::DEFAULT);
    for number in 0..1_000 {
        table.record(object(number), number * S + 1);
    }
    table.compact(10_000 * S, 0);
    assert_eq!(
        (table.exact_len(), table.compact_table().memory_bytes()),
        (1_000, 0)
    );
    assert!((0..1_000).all(|number| table.latest(object(number)) == Some(number * S + 1)));
    assert_eq!(table.latest(object(1_000)), None);
}

#[test]
fn compaction_moves_the_older_half_except_recent_purges() {
    let mut table = PurgeTable::new(100, BucketBits::DEFAULT);
    for number in 0..150 {
        table.record(object(number), number * S + 1);
    }
    table.compact(150 * S, 130 * S);
    assert_eq!(
        (table.exact_len(), table.compact_table().len()),
        (130, 20),
        "the other purges are recent"
    );
    table.compact(150 * S, 0);
    assert_eq!((table.exact_len(), table.compact_table().len()), (64, 86));
    table.compact(150 * S, 0);
    assert_eq!(table.exact_len(), 64, "the capacity is no longer exceeded");
    for number in 0..150 {
        let at = number * S + 1;
        let latest = table.latest(object(number)).unwrap();
        assert!((at..at + 1_000).contains(&latest), "{number}: {latest}");
    }
}

#[test]
fn the_exact_purges_are_limited_even_if_all_are_recent() {
    let mut table = PurgeTable::new(100, bits(10));
    for number in 0..100_000 {
        table.record(object(number), number);
        table.compact(100_000, 100_000);
        assert!(table.exact_len() <= 200);
    }
    assert!((0..100_000).all(|number| table.latest(object(number)) >= Some(number)));
}

#[test]
fn changing_the_capacity_loses_no_purge() {
    let mut table = PurgeTable::new(1_000, bits(12));
    for number in 0..1_500 {
        table.record(object(number), number * S);
    }
    for (exact, size) in [(10, 12), (10, 4), (0, 9), (1_000, 16)] {
        table.set_capacity(exact, bits(size));
        assert!(table.exact_len() <= 2 * exact);
        assert!((0..1_500).all(|number| table.latest(object(number)) >= Some(number * S)));
    }
}
