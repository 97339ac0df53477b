//! Finds a peer by the address that its datagrams come from, in one step for any number of peers.

use std::collections::HashMap;
use std::net::SocketAddr;

/// What an address stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerEntry {
    /// The peer's place in the list of those that logs are replicated with; none where it is not in that list, as this
    /// proxy itself.
    pub(super) place: Option<usize>,
}

/// The configured peers by their addresses.
#[derive(Debug, Default)]
pub(super) struct PeerIndex {
    entries: HashMap<SocketAddr, PeerEntry>,
}

impl PeerIndex {
    /// The index of all peers, and of those among them that logs are replicated with, in their order.
    pub(super) fn new(
        peers: impl IntoIterator<Item = SocketAddr>,
        replicating: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let unplaced = peers
            .into_iter()
            .map(|address| (address, PeerEntry { place: None }));
        let mut entries: HashMap<SocketAddr, PeerEntry> = unplaced.collect();
        for (place, address) in replicating.into_iter().enumerate() {
            if let Some(entry) = entries.get_mut(&address) {
                // Of an address that stands twice in the list, the first place counts.
                entry.place.get_or_insert(place);
            }
        }
        PeerIndex { entries }
    }

    /// The peer at an address; none where it is no peer's.
    pub(super) fn find(&self, address: &SocketAddr) -> Option<PeerEntry> {
        self.entries.get(address).copied()
    }
}
