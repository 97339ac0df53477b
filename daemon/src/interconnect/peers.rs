//! The section `peers`: what the proxies of a fleet exchange.

use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;

/// What the proxies of the fleet tell each other.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeersFile {
    /// Of an origin that is late: datagrams of 24 bytes to all `peers`, while it lasts. The same at all of them.
    pub tell: bool,
    /// Logs of what neighbours told: each proxy has those of all, also when it was away or lost its disk. Needs
    /// `cdni.purges` and `peers` in the configuration. The same at all of them.
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

    /// Returns the index of this proxy in the list of all.
    pub fn own_index(&self) -> Option<usize> {
        self.all.iter().position(|peer| *peer == self.own)
    }
}
