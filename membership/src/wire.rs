//! The encoding of datagrams: a prefix with the version, then a message in postcard format. A datagram has at most
//! [`MAX_DATAGRAM_BYTES`].
//!
//! Postcard encodes fields and variants by their order alone, so the order of both must never change.

use crate::{Claim, Id, Names, ProcessId};
use linnetknot_datagram::{payload, DecodeError, MAX_DATAGRAM_BYTES};
use serde::{Deserialize, Serialize};

/// The first bytes of a datagram. The digit is the version of the encoding.
const PREFIX: &str = "fleet1";
/// The maximum length of a name that is sent. Longer names are truncated.
const MAX_NAME_BYTES: usize = 40;

/// A claim about a member, with the member that makes the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member that the claim is about.
    pub id: Id,
    /// The member that makes the claim. Suspicions by different observers confirm each other.
    pub observer: Id,
    /// The claimed process, incarnation and state of the member.
    pub claim: Claim,
}

/// The sender of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The id of the sender.
    pub id: Id,
    /// The id of the process that sent the datagram.
    pub process: ProcessId,
    /// The incarnation of the sender.
    pub incarnation: u32,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Probes the receiver, which replies with an acknowledgement.
    Ping {
        /// The number that the acknowledgement repeats.
        number: u32,
        /// Whether the acknowledgement must contain the receiver's names.
        names: bool,
    },
    /// Acknowledges a ping, or forwards the acknowledgement of an indirect probe.
    Ack {
        /// The number of the ping, or of the request for an indirect probe.
        number: u32,
        /// The member that acknowledged the ping, if it is not the sender.
        target: Option<Id>,
        /// The sender's names, if they were requested.
        names: Option<Names>,
    },
    /// Requests that the receiver probe another member on behalf of the sender.
    PingRequest {
        /// The number that the acknowledgement repeats.
        number: u32,
        /// The member that the receiver is asked to probe.
        target: Id,
    },
    /// Reports that the target of an indirect probe did not answer.
    Nack {
        /// The number of the request that the nack answers.
        number: u32,
    },
    /// Announces the sender's shutdown.
    Leave,
}

/// The decoded content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender, which implies a claim that it is alive.
    pub from: Sender,
    /// The probe, response or announcement that the datagram was sent for.
    pub body: Body,
    /// Updates about any members, which are gossiped with the datagram.
    pub updates: Vec<Update>,
}

/// Returns a name, truncated to the maximum length at a character boundary.
pub(crate) fn truncated(name: &str) -> String {
    let end = (0..=MAX_NAME_BYTES.min(name.len()))
        .rev()
        .find(|at| name.is_char_boundary(*at))
        .unwrap_or(0);
    name[..end].to_owned()
}

impl Message {
    /// Encodes the message with as many of its updates as fit.
    pub fn encode(mut self) -> Vec<u8> {
        loop {
            let mut bytes = PREFIX.as_bytes().to_vec();
            // Encoding to a vector never fails.
            bytes.extend(postcard::to_stdvec(&self).unwrap_or_default());
            if bytes.len() <= MAX_DATAGRAM_BYTES || self.updates.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// Fails if the datagram belongs to another protocol, has another version, or is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match postcard::take_from_bytes::<Message>(payload(bytes, PREFIX)?) {
            Ok((message, [])) => Ok(message),
            _ => Err(DecodeError::Malformed),
        }
    }
}
