//! What is to be done for a message: respond, commit effects first, or forward a request for content.

use super::{Response, TriggerId};
use crate::core::ClientRequest;
use std::net::SocketAddr;

/// What follows from a message besides its response.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An object, or with none a whole group, is purged as of now.
    Purge(Option<String>, u64),
    /// A trigger was made here, and this is its status as a payload.
    Status(TriggerId, String),
    /// The status of a trigger was deleted.
    Gone(TriggerId),
    /// A payload is sent to a peer CDN.
    Post(Post),
}

/// A payload on its way to a peer CDN.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// The address of the peer.
    pub address: SocketAddr,
    /// The path that it is posted to.
    pub path: String,
    /// The payload's type.
    pub ptype: &'static str,
    /// The payload.
    pub body: String,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Respond now.
    Respond(Response),
    /// Respond once the effects are committed. Where they can't be, the trigger is retracted, and the response is that of
    /// [`super::TriggerApi::retract`].
    RespondOnceCommitted {
        /// The response.
        response: Response,
        /// The trigger that was made, if one was.
        trigger: Option<TriggerId>,
        /// What is to be committed.
        effects: Vec<Effect>,
    },
    /// Hand a request for content to the core.
    Forward(ClientRequest),
}
