//! Datagrams, as text: one entry, or how far logs are had. At most 256 bytes, the bound of what proxies may send each
//! other on any installation.

use crate::{status, Entry, Index, LogId, Subject};
use linnetknot_datagram::{payload, DecodeError, MAX_DATAGRAM_BYTES};

/// Logs of which one datagram can tell: three numbers of up to 17 bytes each behind a head.
pub(crate) const MAX_LOGS_PER_DATAGRAM: usize = 4;
/// Gaps that one datagram can name: two numbers each behind a head and a log.
pub(crate) const MAX_GAPS_PER_DATAGRAM: usize = 6;
/// Its first message; the digit is the form's version.
const MARK: &str = "copies1";

/// What proxies say to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// An entry.
    Entry(Entry),
    /// How far the sender has its logs, once in a while.
    Digest {
        /// Some of them.
        positions: Vec<(LogId, Index)>,
        /// How many it has in all.
        all: u64,
        /// The sum over all.
        sum: u64,
    },
    /// How far the sender has these logs, of which it wants more, or may have more itself.
    RangeRequest {
        /// The logs.
        positions: Vec<(LogId, Index)>,
    },
    /// Of this log the sender gap_request what is in force in these gaps, and has what is behind them. A version before this
    /// one drops it, and is asked with `Want` in time.
    GapRequest {
        /// The log.
        log: LogId,
        /// Behind the first index, up to the second.
        gaps: Vec<(Index, Index)>,
    },
    /// The sender wants to hear how far the receiver has its logs.
    DigestRequest,
    /// Up to which index the sender has all that is in force of these logs on its disk. A version before this one does
    /// not know it and drops it.
    Ack {
        /// The sender's process, so that a late message of an earlier one is known for what it is.
        process: u64,
        /// The logs.
        positions: Vec<(LogId, Index)>,
    },
}

fn listed(positions: &[(LogId, Index)]) -> String {
    let one = |(log, index): &(LogId, Index)| format!(" {:x} {:x} {index:x}", log.writer, log.epoch);
    positions.iter().map(one).collect()
}

fn number(message: &str) -> Option<u64> {
    // `from_str_radix` would take a sign.
    let digits = !message.is_empty() && message.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(message, 16).ok()).flatten()
}

fn positions<'a>(messages: &mut impl Iterator<Item = &'a str>) -> Option<Vec<(LogId, Index)>> {
    let mut positions = Vec::new();
    while let Some(writer) = messages.next() {
        let log = LogId::new(number(writer)?, number(messages.next()?)?);
        positions.push((log, number(messages.next()?)?));
    }
    (positions.len() <= MAX_LOGS_PER_DATAGRAM).then_some(positions)
}

impl Datagram {
    /// Its bytes; none where they would be too many, as for an object of a very long name.
    pub fn write(&self) -> Option<Vec<u8>> {
        let text = match self {
            Datagram::Entry(e) => {
                let (kind, subject) = match (&e.subject, e.revoked) {
                    (Subject::Object(object), _) => ("object", object.clone()),
                    (Subject::Group(group), _) => ("group", group.to_string()),
                    (Subject::Ban(id), false) => ("ban", id.clone()),
                    (Subject::Ban(id), true) => ("unban", id.clone()),
                    (Subject::Drain, revoked) => ("drain", if revoked { "over" } else { "on" }.to_owned()),
                    (Subject::Status { number, part, text }, _) => {
                        ("status", format!("{number:x}.{part:x}.{}", status::escape(text)))
                    }
                    (Subject::Gone { writer, number }, _) => ("gone", format!("{writer:x}.{number:x}")),
                };
                let LogId { writer, epoch } = e.log;
                format!(
                    "{MARK} entry {writer:x} {epoch:x} {:x} {:x} {:x} {kind} {subject}",
                    e.prev, e.index, e.at
                )
            }
            Datagram::Digest { positions, all, sum } => {
                format!("{MARK} have {all:x} {sum:x}{}", listed(positions))
            }
            Datagram::RangeRequest { positions } => format!("{MARK} want{}", listed(positions)),
            Datagram::GapRequest { log: LogId { writer, epoch }, gaps } => {
                let listed: String =
                    gaps.iter().map(|(behind, through)| format!(" {behind:x} {through:x}")).collect();
                format!("{MARK} lack {writer:x} {epoch:x}{listed}")
            }
            Datagram::DigestRequest => format!("{MARK} ask"),
            Datagram::Ack { process, positions } => format!("{MARK} held {process:x}{}", listed(positions)),
        };
        (text.len() <= MAX_DATAGRAM_BYTES).then(|| text.into_bytes())
    }

    /// Reads one.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        let text = std::str::from_utf8(payload(bytes, MARK)?).map_err(|_| DecodeError::Malformed)?;
        let mut messages = text.strip_prefix(' ').ok_or(DecodeError::Malformed)?.split(' ');
        Self::rest(&mut messages).filter(|_| messages.next().is_none()).ok_or(DecodeError::Malformed)
    }

    fn rest<'a>(messages: &mut impl Iterator<Item = &'a str>) -> Option<Self> {
        match messages.next()? {
            "entry" => {
                let [writer, epoch, prev, index, at] = {
                    let mut next = || number(messages.next()?);
                    [next()?, next()?, next()?, next()?, next()?]
                };
                let (subject, revoked) = match (messages.next()?, messages.next()?) {
                    ("object", object) if !object.is_empty() => (Subject::Object(object.to_owned()), false),
                    ("group", group) => (Subject::Group(group.parse().ok()?), false),
                    ("ban", id) if !id.is_empty() => (Subject::Ban(id.to_owned()), false),
                    ("unban", id) if !id.is_empty() => (Subject::Ban(id.to_owned()), true),
                    ("drain", "on") => (Subject::Drain, false),
                    ("drain", "over") => (Subject::Drain, true),
                    ("status", said) => {
                        let mut parts = said.splitn(3, '.');
                        let (named, part) = (number(parts.next()?)?, number(parts.next()?)?);
                        let text = status::unescape(parts.next()?)?;
                        (Subject::Status { number: named, part: u16::try_from(part).ok()?, text }, false)
                    }
                    ("gone", said) => {
                        let (writer, named) = said.split_once('.')?;
                        (Subject::Gone { writer: number(writer)?, number: number(named)? }, false)
                    }
                    _ => return None,
                };
                let sound = index > prev;
                sound.then_some(Datagram::Entry(Entry {
                    log: LogId::new(writer, epoch),
                    index,
                    prev,
                    subject,
                    at,
                    revoked,
                }))
            }
            "have" => {
                let (all, sum) = (number(messages.next()?)?, number(messages.next()?)?);
                Some(Datagram::Digest { positions: positions(messages)?, all, sum })
            }
            "ask" => Some(Datagram::DigestRequest),
            "lack" => {
                let log = LogId::new(number(messages.next()?)?, number(messages.next()?)?);
                let mut gaps = Vec::new();
                while let Some(behind) = messages.next() {
                    gaps.push((number(behind)?, number(messages.next()?)?));
                }
                let sound = gaps.len() <= MAX_GAPS_PER_DATAGRAM
                    && gaps.iter().all(|(behind, through)| behind < through);
                sound.then_some(Datagram::GapRequest { log, gaps })
            }
            "want" => Some(Datagram::RangeRequest { positions: positions(messages)? }),
            "held" => {
                Some(Datagram::Ack { process: number(messages.next()?)?, positions: positions(messages)? })
            }
            _ => None,
        }
    }
}
