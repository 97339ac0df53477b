//! Tracks which caches are reported at which address.

use super::{Batch, EndpointTable};
use crate::evidence::Notice;
use std::collections::btree_map;
use std::net::SocketAddr;

impl EndpointTable {
    /// Records that a cache is reported at an address.
    pub(super) fn claim(&mut self, endpoint: SocketAddr, uid: &str, batch: &mut Batch) {
        let claimants = self.address_claims.entry(endpoint).or_default();
        let is_new = claimants.insert(uid.to_owned());
        for other in claimants.iter().filter(|other| *other != uid) {
            batch.affected.insert(other.clone());
            if is_new {
                batch.update.notices.push(Notice::DuplicateAddress {
                    uid: uid.to_owned(),
                    other: other.clone(),
                    endpoint,
                });
            }
        }
    }

    /// Removes the record of a cache at an address, unless a source still reports it there.
    pub(super) fn unclaim(&mut self, endpoint: SocketAddr, uid: &str, batch: &mut Batch) {
        let is_still_reported = self.caches.get(uid).is_some_and(|cache| {
            let mut reports = cache.reports.values();
            reports.any(|report| report.entry.endpoint == endpoint && report.is_listed())
        });
        let btree_map::Entry::Occupied(mut claimants) = self.address_claims.entry(endpoint) else {
            return;
        };
        if !is_still_reported {
            claimants.get_mut().remove(uid);
            batch.affected.extend(claimants.get().iter().cloned());
        }
        if claimants.get().is_empty() {
            claimants.remove();
        }
    }
}
