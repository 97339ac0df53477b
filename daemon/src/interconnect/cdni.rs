//! The section `cdni`: the listener for peer CDNs.

use super::{InterconnectError, Result};
use crate::front::cdni::footprint::Network;
use crate::front::cdni::{Identity, PeerCdn};
use linnetknot::Settings;
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

/// The validated section.
#[derive(Clone, Debug, PartialEq)]
pub struct Cdni {
    /// The address for peer CDNs and redirected clients.
    pub listen: SocketAddr,
    /// The identity of this CDN.
    pub identity: Identity,
    /// The file in which purges by peer CDNs are stored; `None` if they do not outlive the process.
    pub purges: Option<PathBuf>,
}

impl CdniFile {
    /// Validates the section; `None` if the file names no address to listen on.
    ///
    /// # Errors
    /// Fails if the provider or the base is missing, or a network is malformed.
    pub fn check(&self, settings: &Settings) -> Result<Option<Cdni>> {
        let Some(listen) = self.listen else {
            return Ok(None);
        };
        let footprint = self.footprint()?;
        let read_classes = settings.classes.iter().filter(|class| !class.write);
        let identity = Identity {
            provider: required("cdni.provider", &self.provider)?,
            base: required("cdni.base", &self.base)?,
            footprint,
            peers: self.neighbours.iter().map(PeerCdn::from).collect(),
            classes: read_classes
                .map(|class| (class.name.clone(), class.deadline_us))
                .collect(),
        };
        Ok(Some(Cdni {
            listen,
            identity,
            purges: self.purges.clone(),
        }))
    }

    fn footprint(&self) -> Result<Vec<Network>> {
        let networks = self.footprint.iter().enumerate();
        networks
            .map(|(index, text)| {
                Network::read(text).ok_or_else(|| InterconnectError::Footprint {
                    index,
                    text: text.clone(),
                })
            })
            .collect()
    }
}

impl From<&NeighbourFile> for PeerCdn {
    fn from(file: &NeighbourFile) -> Self {
        PeerCdn {
            provider: file.provider.clone(),
            address: file.address,
            triggers: file.triggers.clone(),
            notices: file.notices.clone(),
            content: file.content.clone(),
        }
    }
}

fn required(key: &'static str, value: &Option<String>) -> Result<String> {
    value.clone().ok_or(InterconnectError::Missing { key })
}
