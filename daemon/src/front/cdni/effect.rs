//! The ways to handle a request: respond immediately, respond after its effects are committed, or forward it to the
//! core.

use super::{Response, TriggerId};
use crate::core::ClientRequest;
use std::net::SocketAddr;

/// An effect of a request besides its response.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An object, or a group if there is no object, is purged. Copies from before now are no longer served.
    Purge(Option<String>, u64),
    /// A trigger was created. The text is the payload of its status.
    Status(TriggerId, String),
    /// The status of a trigger was deleted.
    Gone(TriggerId),
    /// A payload is sent to a peer CDN.
    Post(Post),
}

/// A payload for a peer CDN.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// The address of the peer CDN.
    pub address: SocketAddr,
    /// The path to which the payload is posted.
    pub path: String,
    /// The CDNI type of the payload, which becomes part of its media type.
    pub ptype: &'static str,
    /// The payload to be delivered, as text.
    pub body: String,
}

/// How a request is handled.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Send the response immediately.
    Respond(Response),
    /// Respond once the effects are committed. If the commit fails, the trigger is removed, and the response is that of
    /// [`super::TriggerApi::retract`].
    RespondOnceCommitted {
        /// The response if the effects are committed.
        response: Response,
        /// The trigger that was created, if any.
        trigger: Option<TriggerId>,
        /// The effects to apply and commit, in this order.
        effects: Vec<Effect>,
    },
    /// Forward a request for content to the core.
    Forward(ClientRequest),
}
