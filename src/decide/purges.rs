//! The router's purge state, as a whole: its size, and what other routers and earlier processes know.

use super::Router;
use crate::interface::Micros;
use linnetknot_purges::{Bucket, BucketBits, BucketIndex, BucketIndexError, PurgeTable};

impl Router {
    /// Takes in a bucket of another router's purges, whose table may have another size. Returns the own buckets that
    /// changed. The times of both must have the same start.
    pub fn merge_purges(
        &mut self,
        bucket_bits: BucketBits,
        index: BucketIndex,
        bucket: &Bucket,
    ) -> Result<Vec<BucketIndex>, BucketIndexError> {
        self.purges.merge_bucket(bucket_bits, index, bucket)
    }

    /// Takes every object as purged at a time: for a process that can't learn which purges it has missed.
    pub fn raise_purges(&mut self, at: Micros) {
        self.purges.raise_all(at);
    }

    /// How many purges are held exactly, and the size of the table behind them. No purge is forgotten by a change.
    pub fn set_purge_capacity(&mut self, exact: usize, bucket_bits: BucketBits) {
        self.purges.set_capacity(exact, bucket_bits);
    }

    /// The purge state.
    pub fn purges(&self) -> &PurgeTable {
        &self.purges
    }
}
