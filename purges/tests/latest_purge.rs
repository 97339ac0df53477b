//! Checks that the time that a table returns for a key is never earlier than the key's latest purge, and never
//! decreases, for any sequence of records, merges, resizes and restarts. The check also runs on a model with an
//! injected fault, which the check must detect.

use linnetknot_purges::bucket::FINGERPRINT_BITS;
use linnetknot_purges::{
    Bucket, BucketBits, BucketIndex, CompactTable, KeyHash, Micros, PurgeTable,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const EXACT: usize = 6;

fn bits(bits: u8) -> BucketBits {
    BucketBits::new(bits).unwrap()
}

/// The interface through which the check uses the tables and the model.
trait PurgeStore {
    fn record(&mut self, key: KeyHash, at: Micros);
    fn latest(&self, key: KeyHash) -> Option<Micros>;
    /// Merges all buckets of a table of another size.
    fn merge(&mut self, other: &CompactTable);
    fn resize(&mut self, bucket_bits: BucketBits);
    /// Simulates a restart: encodes the whole content and decodes it into an empty table.
    fn restart(&mut self);
    fn purge_all(&mut self, at: Micros);
    fn compact(&mut self, now: Micros, keep_us: Micros);
}

/// Encodes and decodes each bucket of a table, as in a transfer between proxies.
fn send_buckets(from: &CompactTable, mut receive: impl FnMut(BucketIndex, &Bucket)) {
    for (index, bucket) in from.occupied(BucketIndex::default()) {
        let mut bytes = Vec::new();
        bucket.encode(&mut bytes);
        receive(index, &Bucket::decode(&bytes).unwrap());
    }
}

impl PurgeStore for CompactTable {
    fn record(&mut self, key: KeyHash, at: Micros) {
        let index = CompactTable::record(self, key, at);
        assert_eq!(index, BucketIndex::of(key, self.bucket_bits()));
    }

    fn latest(&self, key: KeyHash) -> Option<Micros> {
        CompactTable::latest(self, key)
    }

    fn merge(&mut self, other: &CompactTable) {
        send_buckets(other, |index, bucket| {
            let before = self.clone();
            let changed = self
                .merge_bucket(other.bucket_bits(), index, bucket)
                .unwrap();
            let all = (0..self.bucket_bits().buckets() as u32).map(BucketIndex::from);
            let differ: Vec<_> = all.filter(|index| differs(&before, self, *index)).collect();
            assert_eq!(changed, differ);
        });
    }

    fn resize(&mut self, bucket_bits: BucketBits) {
        *self = self.resized(bucket_bits);
    }

    fn restart(&mut self) {
        let mut next = CompactTable::new(self.bucket_bits());
        send_buckets(self, |index, bucket| {
            next.merge_bucket(self.bucket_bits(), index, bucket)
                .unwrap();
        });
        assert_eq!(next, *self);
        *self = next;
    }

    fn purge_all(&mut self, at: Micros) {
        CompactTable::purge_all(self, at);
    }

    fn compact(&mut self, _: Micros, _: Micros) {}
}

fn differs(before: &CompactTable, after: &CompactTable, index: BucketIndex) -> bool {
    let bucket = |table: &CompactTable| table.bucket(index).copied().unwrap_or_default();
    bucket(before) != bucket(after)
}

impl PurgeStore for PurgeTable {
    fn record(&mut self, key: KeyHash, at: Micros) {
        PurgeTable::record(self, key, at);
        assert!(self.exact_len() <= 2 * EXACT);
    }

    fn latest(&self, key: KeyHash) -> Option<Micros> {
        PurgeTable::latest(self, key)
    }

    fn merge(&mut self, other: &CompactTable) {
        send_buckets(other, |index, bucket| {
            self.merge_bucket(other.bucket_bits(), index, bucket)
                .unwrap();
        });
    }

    fn resize(&mut self, bucket_bits: BucketBits) {
        self.set_capacity(EXACT, bucket_bits);
    }

    fn restart(&mut self) {
        let bucket_bits = self.compact_table().bucket_bits();
        let mut next = PurgeTable::new(EXACT, bucket_bits);
        PurgeStore::merge(&mut next, self.compact_table());
        for (key, at) in self.exact_purges() {
            next.record(key, at);
        }
        *self = next;
    }

    fn purge_all(&mut self, at: Micros) {
        PurgeTable::purge_all(self, at);
    }

    fn compact(&mut self, now: Micros, keep_us: Micros) {
        PurgeTable::compact(self, now, keep_us);
    }
}

/// A bucket of the model, as a set of (time in ms, fingerprint) pairs.
#[derive(Clone, Default)]
struct ModelBucket {
    pairs: BTreeSet<(u64, u64)>,
    watermark: Option<u64>,
}

/// A simple model of a compact table of 16 buckets. Only `record` and `latest` are modelled.
struct Model {
    buckets: Vec<ModelBucket>,
    /// The injected fault: a dropped pair does not raise the watermark.
    omits_watermark_update: bool,
}

impl Model {
    fn new(omits_watermark_update: bool) -> Self {
        Model {
            buckets: vec![ModelBucket::default(); 16],
            omits_watermark_update,
        }
    }
}

fn bucket_of(key: KeyHash) -> usize {
    (key.value() >> 60) as usize
}

fn fingerprint_bits(key: KeyHash) -> u64 {
    key.value() % (1 << FINGERPRINT_BITS)
}

impl PurgeStore for Model {
    fn record(&mut self, key: KeyHash, at: Micros) {
        let bucket = &mut self.buckets[bucket_of(key)];
        bucket
            .pairs
            .insert((at.div_ceil(MS), fingerprint_bits(key)));
        if bucket.pairs.len() > 7 {
            let dropped = bucket.pairs.pop_first().map(|pair| pair.0);
            if !self.omits_watermark_update {
                bucket.watermark = bucket.watermark.max(dropped);
            }
        }
    }

    fn latest(&self, key: KeyHash) -> Option<Micros> {
        let bucket = &self.buckets[bucket_of(key)];
        let matching = bucket
            .pairs
            .iter()
            .filter(|pair| pair.1 == fingerprint_bits(key))
            .map(|pair| pair.0);
        matching.max().max(bucket.watermark).map(|ms| ms * MS)
    }

    fn merge(&mut self, _: &CompactTable) {}
    fn resize(&mut self, _: BucketBits) {}
    fn restart(&mut self) {}
    fn purge_all(&mut self, _: Micros) {}
    fn compact(&mut self, _: Micros, _: Micros) {}
}

/// A random step of a test, applied to a table or to the model of a table.
#[derive(Clone, Debug)]
enum Step {
    Record(KeyHash, Micros),
    Merge(u8, Vec<(KeyHash, Micros)>),
    Resize(u8),
    Restart,
    PurgeAll(Micros),
    Compact(Micros, Micros),
}

/// Generates keys that fall into few buckets but differ in all parts of their hashes.
fn key() -> impl Strategy<Value = KeyHash> {
    (0..4u64, 0..4u64, 0..24u64).prop_map(|(top, middle, low)| {
        // For tables of 5 to 7 bits, the last bit of the bucket index comes from `middle`.
        KeyHash::from(top << 62 | middle << 57 | low)
    })
}

fn purge() -> impl Strategy<Value = (KeyHash, Micros)> {
    (key(), 0..500 * MS)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        30 => purge().prop_map(|(key, at)| Step::Record(key, at)),
        2 => (4..8u8, prop::collection::vec(purge(), 0..40)).prop_map(|(bits, all)| Step::Merge(bits, all)),
        1 => (4..8u8).prop_map(Step::Resize),
        1 => Just(Step::Restart),
        1 => (0..100 * MS).prop_map(Step::PurgeAll),
        3 => (0..500 * MS, 0..200 * MS).prop_map(|(now, keep_us)| Step::Compact(now, keep_us)),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

fn apply(table: &mut impl PurgeStore, actual: &mut BTreeMap<KeyHash, Micros>, step: &Step) {
    let mut purged = |key: KeyHash, at: Micros| {
        let latest = actual.entry(key).or_insert(at);
        *latest = at.max(*latest);
    };
    match step {
        Step::Record(key, at) => {
            purged(*key, *at);
            table.record(*key, *at);
        }
        Step::Merge(size, purges) => {
            let mut other = CompactTable::new(bits(*size));
            for (key, at) in purges {
                purged(*key, *at);
                other.record(*key, *at);
            }
            table.merge(&other);
        }
        Step::Resize(size) => table.resize(bits(*size)),
        Step::Restart => table.restart(),
        Step::PurgeAll(at) => table.purge_all(*at),
        Step::Compact(now, keep_us) => table.compact(*now, *keep_us),
    }
}

/// Applies the steps and checks the returned times after each step.
fn check_latest_times(table: &mut impl PurgeStore, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut actual = BTreeMap::new();
    let mut previous: BTreeMap<KeyHash, Option<Micros>> = BTreeMap::new();
    for step in steps {
        apply(table, &mut actual, step);
        for (key, at) in &actual {
            let latest = table.latest(*key);
            prop_assert!(
                latest >= Some(*at),
                "{key:?} was purged at {at}, but the table returns {latest:?} after {step:?}"
            );
            let before = previous.insert(*key, latest).flatten();
            prop_assert!(
                latest >= before,
                "the time of {key:?} decreased from {before:?} to {latest:?} on {step:?}"
            );
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn compact_tables_never_return_an_early_or_decreasing_time(steps in steps()) {
        check_latest_times(&mut CompactTable::new(bits(4)), &steps)?;
    }

    #[test]
    fn purge_tables_never_return_an_early_or_decreasing_time(steps in steps()) {
        check_latest_times(&mut PurgeTable::new(EXACT, bits(4)), &steps)?;
    }

    /// After records alone, without merges, resizes or restarts, the returned times are exact.
    #[test]
    fn compact_tables_return_the_same_times_as_the_model(purges in prop::collection::vec(purge(), 0..200)) {
        let (mut table, mut model) = (CompactTable::new(bits(4)), Model::new(false));
        for (key, at) in &purges {
            table.record(*key, *at);
            model.record(*key, *at);
        }
        for (key, _) in &purges {
            prop_assert_eq!(table.latest(*key), model.latest(*key));
        }
    }

    #[test]
    fn tables_do_not_depend_on_the_order_of_purges(
        (purges, shuffled) in prop::collection::vec(purge(), 0..200)
            .prop_flat_map(|p| (Just(p.clone()), Just(p).prop_shuffle())),
        size in 4..8u8,
    ) {
        let filled = |purges: &[(KeyHash, Micros)]| {
            let mut table = CompactTable::new(bits(size));
            for (key, at) in purges {
                table.record(*key, *at);
            }
            table
        };
        let (table, other) = (filled(&purges), filled(&shuffled));
        prop_assert_eq!(table.digest(), other.digest());
        let occupied_slots = table.occupied(BucketIndex::default()).map(|(_, b)| b.len());
        prop_assert_eq!(table.len(), occupied_slots.sum::<usize>());
        prop_assert_eq!(table, other);
    }

    #[test]
    fn a_shrunk_table_equals_one_created_with_the_smaller_size(purges in prop::collection::vec(purge(), 0..200)) {
        let (mut large, mut small) = (CompactTable::new(bits(7)), CompactTable::new(bits(4)));
        for (key, at) in &purges {
            large.record(*key, *at);
            small.record(*key, *at);
        }
        prop_assert_eq!(large.resized(bits(4)), small);
    }
}

/// Runs the check on models, with the same cases each time. Each run needs a runner of its own, because a runner counts
/// its cases over all runs.
fn check_models(omits_watermark_update: bool) -> Result<(), TestError<Vec<Step>>> {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let records =
        prop::collection::vec(purge().prop_map(|(key, at)| Step::Record(key, at)), 1..120);
    TestRunner::new_with_rng(config, rng).run(&records, |steps| {
        let mut model = Model::new(omits_watermark_update);
        check_latest_times(&mut model, &steps)
    })
}

#[test]
fn the_check_detects_a_watermark_that_does_not_rise() {
    let correct = check_models(false);
    assert!(correct.is_ok(), "{correct:?}");
    let faulty = check_models(true);
    assert!(matches!(faulty, Err(TestError::Fail(..))), "{faulty:?}");
}
