//! The index of the configured peers by address, which identifies the sender of a datagram.

use std::collections::HashMap;
use std::net::SocketAddr;

/// A configured peer, as found by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerEntry {
    /// The index of the peer among the peers with which logs are replicated; `None` for other addresses, such as that
    /// of this proxy.
    pub(super) index: Option<usize>,
}

#[derive(Debug, Default)]
pub(super) struct PeerIndex {
    entries: HashMap<SocketAddr, PeerEntry>,
}

impl PeerIndex {
    /// Creates the index of all peers. `replicating` lists the peers with which logs are replicated, in the order of
    /// their indices.
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
                // If an address is listed twice, the first index is used.
                entry.index.get_or_insert(index);
            }
        }
        PeerIndex { entries }
    }

    /// Returns the peer with an address, if any.
    pub(super) fn find(&self, address: &SocketAddr) -> Option<PeerEntry> {
        self.entries.get(address).copied()
    }
}
