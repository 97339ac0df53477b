//! The CDNI protocol: interconnection with peer CDNs over HTTP/1.1.
//!
//! [`TriggerApi`] handles the requests that need no cache: triggers (RFC 8007), redirection (RFC 7975), footprints and
//! capabilities (RFC 8008). It converts requests for content to requests for the core.
//!
//! * `session`: the state of a connection;
//! * `api`: the dispatch to the interfaces; `effect`: the effects of requests;
//! * `content`, `triggers`, `redirect`, `footprint`: the interfaces;
//! * `response`: the HTTP responses.

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

/// The media type of all CDNI payloads, to which the type of the payload is appended.
pub const MEDIA: &str = "application/cdni; ptype=";

/// A configured peer CDN, with the addresses of its interfaces.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCdn {
    /// The CDN Provider ID of the peer CDN.
    pub provider: String,
    /// The address at which the peer CDN receives messages.
    pub address: SocketAddr,
    /// The path of the trigger interface of the peer CDN.
    pub triggers: String,
    /// The path at which the peer CDN receives the footprint notices of this CDN.
    pub notices: String,
    /// The base of the content URLs of the peer CDN, to which clients in its footprint are redirected.
    pub content: String,
}

/// The identity of this CDN towards peer CDNs.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The CDN Provider ID of this CDN.
    pub provider: String,
    /// The base of the URLs of this CDN, such as scheme and host.
    pub base: String,
    /// The footprint of this CDN, as IPv4 networks.
    pub footprint: Vec<footprint::Network>,
    /// The configured peer CDNs.
    pub peers: Vec<PeerCdn>,
    /// The classes whose objects may be requested from this CDN, with the deadlines of their requests.
    pub classes: Vec<(String, Micros)>,
}

/// Whether the list of CDNs that a message has passed (`cdn-path`) already contains this CDN.
fn is_loop(cdn_path: &Value, own: &str) -> bool {
    cdn_path
        .as_array()
        .is_some_and(|path| path.iter().any(|id| id == own))
}
