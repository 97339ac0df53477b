//! The section `cdni`: the listener for peer CDNs.

use super::{InterconnectError, Result};
use crate::front::cdni::footprint::Network;
use crate::front::cdni::{Identity, PeerCdn};
use linnetknot::Settings;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The listener for peer CDNs, and the identity of this CDN.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CdniFile {
    /// The address for peer CDNs and redirected clients; null: the listener is off.
    pub listen: Option<SocketAddr>,
    /// The CDN Provider ID of this CDN.
    pub provider: Option<String>,
    /// The base of the URLs of this CDN.
    pub base: Option<String>,
    /// The footprint of this CDN, as IPv4 networks.
    pub footprint: Vec<String>,
    /// The peer CDNs.
    pub neighbours: Vec<NeighbourFile>,
    /// The file in which purges by peer CDNs are stored; null: they are lost when the daemon ends.
    pub purges: Option<PathBuf>,
}

/// A peer CDN.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NeighbourFile {
    /// Its CDN Provider ID.
    pub provider: String,
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// The path of its trigger interface.
    #[serde(default = "triggers")]
    pub triggers: String,
    /// The path at which it receives the footprint notices of this CDN.
    pub notices: String,
    /// The base of its content URLs, for clients in its footprint.
    pub content: String,
}

fn triggers() -> String {
    "/cdni/triggers".to_owned()
}

/// The validated section `cdni`.
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
    /// Validates the section. Returns `None` if the file names no address to listen on.
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
