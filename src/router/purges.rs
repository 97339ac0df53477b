//! The router's purge state, as a whole: its size, and what other routers and earlier processes know.

use super::Router;
use linnetknot_purges::PurgeTable;

impl Router {
    /// The purge state.
    pub fn purges(&self) -> &PurgeTable {
        &self.purges
    }

    /// The purge state, to give it a size and to take in buckets of another router's. The times of both must have the
    /// same start.
    pub fn purges_mut(&mut self) -> &mut PurgeTable {
        &mut self.purges
    }
}
