//! The section `peers`: what the proxies of a fleet exchange.

use schemars::JsonSchema;
use serde::Deserialize;

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
