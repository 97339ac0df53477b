//! The configured peers by address: finds the sender of a datagram in constant time.

use std::collections::HashMap;
use std::net::SocketAddr;

/// A configured peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerEntry {
    /// The peer's index among those that logs are replicated with; none where it is not among them, as this proxy itself.
    pub(super) index: Option<usize>,
}

/// The configured peers by their addresses.
#[derive(Debug, Default)]
pub(super) struct PeerIndex {
    entries: HashMap<SocketAddr, PeerEntry>,
}

impl PeerIndex {
    /// Creates the index of all peers, and of those among them that logs are replicated with, in their order.
    pub(super) fn new(
        peers: impl IntoIterator<Item = SocketAddr>,
        replicating: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let unindexed = peers
            .into_iter()
            .map(|address| (address, PeerEntry { index: None }));
        let mut entries: HashMap<SocketAddr, PeerEntry> = unindexed.collect();
        for (index, address) in replicating.into_iter().enumerate() {
            if let Some(entry) = entries.get_mut(&address) {
                // Of an address that is listed twice, the first index counts.
                entry.index.get_or_insert(index);
            }
        }
        PeerIndex { entries }
    }

    /// Returns the peer with an address; none where it is no peer's.
    pub(super) fn find(&self, address: &SocketAddr) -> Option<PeerEntry> {
        self.entries.get(address).copied()
    }
}
