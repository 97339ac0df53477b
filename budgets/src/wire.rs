//! Datagrams, as text: several messages of one sender, at most 256 bytes, the bound of what proxies may send each other on
//! any installation.

use crate::{Message, ProcessId};
pub use linnetknot_datagram::DecodeError;
use linnetknot_datagram::{payload, MAX_DATAGRAM_BYTES};
use std::fmt::Write as _;

/// Its first message; the digit is the fingerprint's version.
const MARK: &str = "budgets1";

fn encode(message: &Message) -> String {
    match *message {
        Message::VoteRequest { group, number } => format!(" s.{group:x}.{number:x}"),
        Message::VoteResponse { group, number, granted, voted_for } => {
            let voted_for = voted_for.map_or(0, |member| member + 1);
            format!(" v.{group:x}.{number:x}.{:x}.{voted_for:x}", u8::from(granted))
        }
        Message::LeaseRequest { budget, number, demand, current_lease, unsettled } => {
            format!(" w.{budget:x}.{number:x}.{demand:x}.{current_lease:x}.{unsettled:x}")
        }
        Message::LeaseGrant { budget, number, amount, duration_us } => {
            format!(" p.{budget:x}.{number:x}.{amount:x}.{duration_us:x}")
        }
    }
}

fn decode(text: &str) -> Option<Message> {
    let mut fields = text.split('.');
    let kind = fields.next()?;
    let mut next = || {
        // `from_str_radix` would take a sign.
        let digits = fields.next().filter(|p| !p.is_empty() && p.bytes().all(|b| b.is_ascii_hexdigit()))?;
        u64::from_str_radix(digits, 16).ok()
    };
    let index = |n: u64| usize::try_from(n).ok();
    let message = match kind {
        "s" => Message::VoteRequest { group: index(next()?)?, number: next()? },
        "v" => {
            let (group, number, granted, voted_for) = (index(next()?)?, next()?, next()?, index(next()?)?);
            Message::VoteResponse {
                group,
                number,
                granted: (granted < 2).then_some(granted == 1)?,
                voted_for: voted_for.checked_sub(1),
            }
        }
        "w" => {
            let (budget, number) = (index(next()?)?, next()?);
            Message::LeaseRequest {
                budget,
                number,
                demand: next()?,
                current_lease: next()?,
                unsettled: next()?,
            }
        }
        "p" => Message::LeaseGrant {
            budget: index(next()?)?,
            number: next()?,
            amount: next()?,
            duration_us: next()?,
        },
        _ => return None,
    };
    fields.next().is_none().then_some(message)
}

/// Words of a member in this process as few datagrams. `fingerprint` stands for what its messages mean: the same at all that share the
/// same among the same.
pub fn write(fingerprint: u64, process: ProcessId, messages: &[Message]) -> Vec<Vec<u8>> {
    let head = format!("{MARK} {fingerprint:x} {process:x}");
    let mut datagrams: Vec<String> = Vec::new();
    for message in messages.iter().map(encode) {
        match datagrams.last_mut().filter(|last| last.len() + message.len() <= MAX_DATAGRAM_BYTES) {
            // Writing to a string does not fail.
            Some(last) => drop(write!(last, "{message}")),
            None => datagrams.push(format!("{head}{message}")),
        }
    }
    datagrams.into_iter().map(String::into_bytes).collect()
}

/// Reads a datagram: its sender's `fingerprint`, its process, and its messages.
///
/// # Errors
/// Where it is of another kind or version, or torn. Nothing of a torn one is used.
pub fn read(bytes: &[u8]) -> Result<(u64, ProcessId, Vec<Message>), DecodeError> {
    let text = std::str::from_utf8(payload(bytes, MARK)?).map_err(|_| DecodeError::Malformed)?;
    let mut messages = text.strip_prefix(' ').ok_or(DecodeError::Malformed)?.split(' ');
    let mut number = || u64::from_str_radix(messages.next()?, 16).ok();
    let (fingerprint, process) = number().zip(number()).ok_or(DecodeError::Malformed)?;
    let messages = messages.map(decode).collect::<Option<Vec<Message>>>().ok_or(DecodeError::Malformed)?;
    Ok((fingerprint, process, messages))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_read_as_they_were_written_in_datagrams_that_are_no_longer_than_they_may_be() {
        let most = u64::MAX;
        let messages: Vec<Message> = (0..30)
            .flat_map(|n| {
                [
                    Message::VoteRequest { group: n, number: most },
                    Message::VoteResponse {
                        group: n,
                        number: 1,
                        granted: n % 2 == 0,
                        voted_for: (n % 3 > 0).then_some(n),
                    },
                    Message::LeaseRequest {
                        budget: n,
                        number: most,
                        demand: most,
                        current_lease: most,
                        unsettled: most,
                    },
                    Message::LeaseGrant { budget: n, number: 3, amount: most, duration_us: 4 },
                ]
            })
            .collect();
        let datagrams = write(300, most, &messages);
        assert!(
            datagrams.iter().all(|d| d.len() <= MAX_DATAGRAM_BYTES) && datagrams.len() < 40,
            "{}",
            datagrams.len()
        );
        let mut again = Vec::new();
        for datagram in &datagrams {
            let (fingerprint, process, messages) = read(datagram).unwrap();
            assert_eq!((fingerprint, process), (300, most));
            again.extend(messages);
        }
        assert_eq!(again, messages);
        assert!(write(3, 1, &[]).is_empty(), "nothing to say is no datagram");
    }

    #[test]
    fn what_is_no_datagram_of_this_kind_and_version_is_an_error() {
        for (bytes, error) in [
            (b"copies1 ask".as_slice(), DecodeError::Foreign),
            (b"budgets2 3 1", DecodeError::Version),
            (b"budgets1", DecodeError::Malformed),
            (b"budgets1 3", DecodeError::Malformed),
            (b"budgets1 3 1 s.0", DecodeError::Malformed),
            (b"budgets1 3 1 s.0.1.2", DecodeError::Malformed),
            (b"budgets1 3 1 s.+0.1", DecodeError::Malformed),
            (b"budgets1 3 1 v.0.1.2.0", DecodeError::Malformed),
            (b"budgets1 3 1 s.0.1 x", DecodeError::Malformed),
            (b"budgets1 3 1 s.0.11111111111111111", DecodeError::Malformed),
            (b"budgets1 3 1 \xff", DecodeError::Malformed),
        ] {
            assert_eq!(read(bytes).err(), Some(error), "{}", String::from_utf8_lossy(bytes));
        }
        assert_eq!(read(b"budgets1 3 1"), Ok((3, 1, vec![])));
    }
}
