//! Datagrams: a mark with the version of the form, then a message by postcard. At most 256 bytes, the bound of what
//! proxies may send each other on any installation.

use crate::{Claim, Id, ProcessId};
use linnetknot_datagram::{payload, DecodeError, MAX_DATAGRAM_BYTES};
use serde::{Deserialize, Serialize};

/// The first bytes; the digit is the form's version.
const MARK: &str = "fleet1";
/// Bytes of a name or a machine's name that are told.
const MAX_NAME_BYTES: usize = 40;

/// A claim on a member, and by whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub id: Id,
    /// Who claims it of its own knowledge: two that suspect a member confirm each other.
    pub by: Id,
    /// The claim.
    pub claim: Claim,
}

/// Who sends a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Itself.
    pub id: Id,
    /// Its process.
    pub process: ProcessId,
    /// Its incarnation.
    pub incarnation: u32,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? `names`: and what are you called?
    Ping {
        /// Names the answer.
        number: u32,
        /// The sender does not know the receiver's names.
        names: bool,
    },
    /// Yes, or on behalf of another that was asked.
    Ack {
        /// Of the ping.
        number: u32,
        /// The one that is there, where that is not the sender.
        of: Option<Id>,
        /// Name and machine, where they were asked for.
        names: Option<(String, String)>,
    },
    /// Ask this member for me.
    PingRequest {
        /// Names the answer.
        number: u32,
        /// The member.
        target: Id,
    },
    /// It did not answer me either, but I am there.
    Nack {
        /// Of the request.
        number: u32,
    },
    /// The sender ends.
    Leave,
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: Sender,
    /// What it says.
    pub body: Body,
    /// Claims that ride along.
    pub updates: Vec<Update>,
}

/// A name as it is told: cut where it is too long for a datagram.
pub(crate) fn truncated(name: &str) -> String {
    let end = (0..=MAX_NAME_BYTES.min(name.len()))
        .rev()
        .find(|at| name.is_char_boundary(*at))
        .unwrap_or(0);
    name[..end].to_owned()
}

impl Message {
    /// Its bytes, with as many of its claims as fit.
    pub fn write(mut self) -> Vec<u8> {
        loop {
            let mut bytes = MARK.as_bytes().to_vec();
            // Writing to a vector does not fail.
            bytes.extend(postcard::to_stdvec(&self).unwrap_or_default());
            if bytes.len() <= MAX_DATAGRAM_BYTES || self.updates.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Reads one.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        match postcard::take_from_bytes::<Message>(payload(bytes, MARK)?) {
            Ok((message, [])) => Ok(message),
            _ => Err(DecodeError::Malformed),
        }
    }
}
