//! Which caches are reported to listen at which address.

use super::{Batch, EndpointTable};
use crate::evidence::Notice;
use std::collections::btree_map;
use std::net::SocketAddr;

impl EndpointTable {
    /// Records that a cache is reported to listen at an address.
    pub(super) fn claim(&mut self, endpoint: SocketAddr, uid: &str, batch: &mut Batch) {
        let claims = self.claims.entry(endpoint).or_default();
        let is_new = claims.insert(uid.to_owned());
        for other in claims.iter().filter(|other| *other != uid) {
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

    /// Ends a cache's claim to an address, unless a source still reports it there.
    pub(super) fn unclaim(&mut self, endpoint: SocketAddr, uid: &str, batch: &mut Batch) {
        let is_still_reported = self.caches.get(uid).is_some_and(|cache| {
            let mut reports = cache.reports.values();
            reports.any(|report| report.entry.endpoint == endpoint && report.is_listed())
        });
        let btree_map::Entry::Occupied(mut claims) = self.claims.entry(endpoint) else {
            return;
        };
        if !is_still_reported {
            claims.get_mut().remove(uid);
            batch.affected.extend(claims.get().iter().cloned());
        }
        if claims.get().is_empty() {
            claims.remove();
        }
    }
}
