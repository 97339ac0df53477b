//! The section `peers`: the messages that the proxies of a fleet exchange.

use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;

/// The exchange between the proxies of the fleet.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeersFile {
    /// Whether proxies notify each other of a slow origin, by datagrams of 24 bytes to all `peers` while it is slow.
    /// Must be the same at all proxies.
    pub tell: bool,
    /// Whether purges by peer CDNs are replicated, so that each proxy has those of all, even if it was down or lost its
    /// disk. Requires `cdni.purges`, and `peers` in the configuration. Must be the same at all proxies.
    pub copies: bool,
}

/// The addresses at which the proxies of a fleet exchange datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddresses {
    /// The address of this proxy.
    pub own: SocketAddr,
    /// The addresses of all proxies, in the order of the configuration, which may include this one.
    pub all: Vec<SocketAddr>,
}

impl PeerAddresses {
    /// Returns the addresses of the other proxies.
    pub fn others(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.all.iter().copied().filter(|peer| *peer != self.own)
    }

    /// Returns the index of this proxy in `all`, if it is listed.
    pub fn own_index(&self) -> Option<usize> {
        self.all.iter().position(|peer| *peer == self.own)
    }
}
