//! The text encoding of messages in datagrams. A datagram contains one or more messages of one sender and has at most
//! [`MAX_DATAGRAM_BYTES`].

use crate::{LeaseGrant, LeaseRequest, Message, ProcessId, VoteRequest, VoteResponse};
pub use linnetknot_datagram::DecodeError;
use linnetknot_datagram::{payload, MAX_DATAGRAM_BYTES};
use std::fmt::Write as _;
use std::str::Split;

#[cfg(test)]
mod tests;

/// The first word of a datagram. The digit is the version of the encoding.
const PREFIX: &str = "budgets1";

/// A decoded datagram, which carries messages of one sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Identifies the sender's configuration of members and budgets. Messages of a member with another fingerprint must
    /// not be processed.
    pub fingerprint: u64,
    /// The id of the process that sent the datagram.
    pub process: ProcessId,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// Encodes messages of one process, in as few datagrams as they fit.
pub fn encode(fingerprint: u64, process: ProcessId, messages: &[Message]) -> Vec<Vec<u8>> {
    let head = format!("{PREFIX} {fingerprint:x} {process:x}");
    let mut datagrams: Vec<String> = Vec::new();
    for message in messages.iter().map(encode_message) {
        match datagrams
            .last_mut()
            .filter(|last| last.len() + message.len() <= MAX_DATAGRAM_BYTES)
        {
            // Writing to a string never fails.
            Some(last) => drop(write!(last, "{message}")),
            None => datagrams.push(format!("{head}{message}")),
        }
    }
    datagrams.into_iter().map(String::into_bytes).collect()
}

/// Decodes a datagram.
///
/// # Errors
/// Fails if the datagram belongs to another protocol, has another version, or is malformed. A datagram with one
/// malformed message is rejected as a whole.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let text = std::str::from_utf8(payload(bytes, PREFIX)?).map_err(|_| DecodeError::Malformed)?;
    let mut words = text
        .strip_prefix(' ')
        .ok_or(DecodeError::Malformed)?
        .split(' ');
    let mut number = || u64::from_str_radix(words.next()?, 16).ok();
    let (fingerprint, process) = number().zip(number()).ok_or(DecodeError::Malformed)?;
    let messages = words
        .map(decode_message)
        .collect::<Option<Vec<Message>>>()
        .ok_or(DecodeError::Malformed)?;
    Ok(Datagram {
        fingerprint,
        process,
        messages,
    })
}

/// Encodes a message, with a leading space. The first letter stands for the kind of message: `s` for a vote request,
/// `v` for a vote response, `w` for a lease request, `p` for a lease grant.
fn encode_message(message: &Message) -> String {
    match *message {
        Message::VoteRequest(VoteRequest { group, number }) => format!(" s.{group:x}.{number:x}"),
        Message::VoteResponse(VoteResponse {
            group,
            number,
            granted,
            voted_for,
        }) => {
            let voted_for = voted_for.map_or(0, |member| member + 1);
            format!(
                " v.{group:x}.{number:x}.{:x}.{voted_for:x}",
                u8::from(granted)
            )
        }
        Message::LeaseRequest(LeaseRequest {
            budget,
            number,
            demand,
            current_lease,
            unsettled,
        }) => {
            format!(" w.{budget:x}.{number:x}.{demand:x}.{current_lease:x}.{unsettled:x}")
        }
        Message::LeaseGrant(LeaseGrant {
            budget,
            number,
            amount,
            duration_us,
        }) => {
            format!(" p.{budget:x}.{number:x}.{amount:x}.{duration_us:x}")
        }
    }
}

/// Decodes a message. Returns `None` if it is malformed.
fn decode_message(text: &str) -> Option<Message> {
    let mut fields = Fields(text.split('.'));
    let message = match fields.0.next()? {
        "s" => Message::VoteRequest(VoteRequest {
            group: fields.index()?,
            number: fields.number()?,
        }),
        "v" => Message::VoteResponse(VoteResponse {
            group: fields.index()?,
            number: fields.number()?,
            granted: fields.flag()?,
            voted_for: fields.index()?.checked_sub(1),
        }),
        "w" => Message::LeaseRequest(LeaseRequest {
            budget: fields.index()?,
            number: fields.number()?,
            demand: fields.number()?,
            current_lease: fields.number()?,
            unsettled: fields.number()?,
        }),
        "p" => Message::LeaseGrant(LeaseGrant {
            budget: fields.index()?,
            number: fields.number()?,
            amount: fields.number()?,
            duration_us: fields.number()?,
        }),
        _ => return None,
    };
    fields.0.next().is_none().then_some(message)
}

/// The fields of a message that have not been decoded yet.
struct Fields<'a>(Split<'a, char>);

impl Fields<'_> {
    fn number(&mut self) -> Option<u64> {
        let field = self.0.next()?;
        // `from_str_radix` alone would accept a sign.
        let is_hexadecimal = !field.is_empty() && field.bytes().all(|b| b.is_ascii_hexdigit());
        is_hexadecimal.then(|| u64::from_str_radix(field, 16).ok())?
    }

    fn index(&mut self) -> Option<usize> {
        self.number()
            .and_then(|number| usize::try_from(number).ok())
    }

    fn flag(&mut self) -> Option<bool> {
        match self.number()? {
            0 => Some(false),
            1 => Some(true),
            _ => None,
        }
    }
}
