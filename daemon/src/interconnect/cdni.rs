//! The section `cdni`: the listener for peer CDNs.

use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The second front: where it listens, and how it presents itself.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CdniFile {
    /// Where neighbours and redirected clients connect; null: the second front is off.
    pub listen: Option<SocketAddr>,
    /// Our CDN Provider ID.
    pub provider: Option<String>,
    /// Base of our URLs.
    pub base: Option<String>,
    /// What we can reach, as IPv4 networks.
    pub footprint: Vec<String>,
    /// Those we exchange messages with.
    pub neighbours: Vec<NeighbourFile>,
    /// The file that purges of this front are kept in; null: they last as long as the daemon runs.
    pub purges: Option<PathBuf>,
}

/// A neighbouring network.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NeighbourFile {
    /// Its CDN Provider ID.
    pub provider: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path of its trigger interface.
    #[serde(default = "triggers")]
    pub triggers: String,
    /// Path at which it takes our footprint notices.
    pub notices: String,
    /// Base of its content's URLs, for clients in its footprint.
    pub content: String,
}

fn triggers() -> String {
    "/cdni/triggers".to_owned()
}
