//! The encoding of datagrams: a mark with the version, then a message by postcard. A datagram has at most 256 bytes, the
//! bound of what proxies may send each other on any installation.
//!
//! Postcard encodes fields and variants by their order alone, so that the order of both must never change.

use crate::{Claim, Id, Names, ProcessId};
use linnetknot_datagram::{payload, DecodeError, MAX_DATAGRAM_BYTES};
use serde::{Deserialize, Serialize};

/// The first bytes of a datagram; the digit is the version of the encoding.
const PREFIX: &str = "fleet1";
/// The most bytes of a name that are sent.
const MAX_NAME_BYTES: usize = 40;

/// A claim about a member, and who makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub id: Id,
    /// The member that observed it: two that suspect a member confirm each other.
    pub observer: Id,
    /// The claim.
    pub claim: Claim,
}

/// The sender of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its id.
    pub id: Id,
    /// Its process.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: u32,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Probes the receiver.
    Ping {
        /// The number that the acknowledgement repeats.
        number: u32,
        /// Whether the acknowledgement shall contain the receiver's names.
        names: bool,
    },
    /// Acknowledges a ping, or forwards the acknowledgement of an indirect probe.
    Ack {
        /// The number of the ping or of the request.
        number: u32,
        /// The member that acknowledged, if that is not the sender.
        of: Option<Id>,
        /// The sender's names, if they were requested.
        names: Option<Names>,
    },
    /// Requests an indirect probe.
    PingRequest {
        /// The number that the acknowledgement repeats.
        number: u32,
        /// The member to probe.
        target: Id,
    },
    /// Reports that the target of an indirect probe did not answer.
    Nack {
        /// The number of the request.
        number: u32,
    },
    /// Announces the sender's shutdown.
    Leave,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Sender,
    /// The body.
    pub body: Body,
    /// Updates sent along.
    pub updates: Vec<Update>,
}

/// Returns a name cut to the length that is sent.
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
            // Writing to a vector does not fail.
            bytes.extend(postcard::to_stdvec(&self).unwrap_or_default());
            if bytes.len() <= MAX_DATAGRAM_BYTES || self.updates.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// Fails if the datagram is of another kind or version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match postcard::take_from_bytes::<Message>(payload(bytes, PREFIX)?) {
            Ok((message, [])) => Ok(message),
            _ => Err(DecodeError::Malformed),
        }
    }
}
