//! The CDNI front: interconnection with peer CDNs over HTTP/1.1.
//!
//! [`TriggerApi`] answers what needs no cache: triggers (RFC 8007), redirection (RFC 7975), footprints and capabilities
//! (RFC 8008). Requests for content become the core's and go through the same decisions as all others.
//!
//! * `session`: one connection;
//! * `api`: which interface a request is for; `effect`: what follows from it;
//! * `content`, `triggers`, `redirect`, `footprint`: the interfaces;
//! * `response`: responses.

mod api;
mod content;
mod effect;
pub mod footprint;
pub mod redirect;
mod response;
mod session;
pub mod triggers;

pub use api::TriggerApi;
pub use content::{is_trigger, ContentPath};
pub use effect::{Effect, Post, Reply};
pub use response::{response, Response};
pub use session::{Session, Waiting};
pub use triggers::TriggerId;

use linnetknot::Micros;
use serde_json::Value;
use std::net::SocketAddr;

/// Media type of all CDNI payloads; `ptype` tells which one it is.
pub const MEDIA: &str = "application/cdni; ptype=";

/// A peer CDN.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCdn {
    /// Its CDN Provider ID.
    pub provider: String,
    /// The address at which it takes messages.
    pub address: SocketAddr,
    /// The path of its trigger interface.
    pub triggers: String,
    /// The path at which it takes our footprint notices.
    pub notices: String,
    /// Base of its content's URLs, for clients in its footprint.
    pub content: String,
}

/// How this network presents itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Our CDN Provider ID.
    pub provider: String,
    /// Base of our URLs.
    pub base: String,
    /// What we can reach, as IPv4 networks.
    pub footprint: Vec<footprint::Network>,
    /// The CDNs that we exchange messages with.
    pub peers: Vec<PeerCdn>,
    /// Classes whose objects may be requested here, with the time after which their clients give up.
    pub classes: Vec<(String, Micros)>,
}

/// Whether a payload's list of the CDNs that it has passed names us.
fn is_loop(cdn_path: &Value, own: &str) -> bool {
    cdn_path
        .as_array()
        .is_some_and(|path| path.iter().any(|id| id == own))
}
