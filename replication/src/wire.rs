//! Datagrams: as text one entry, or how far logs are had; as bytes a part of a snapshot. At most 256 bytes, the bound of
//! what proxies may send each other on any installation.
//!
//! The words of a released form stay: `have` is a digest, `want` a range request, `lack` a gap request, `ask` a digest
//! request and `held` an acknowledgement. A version before snapshots drops `offer`, `fetch` and `chunk`.

use crate::snapshot::{self, SnapshotChunk, SnapshotCursor, SnapshotOffer, SnapshotRequest};
use crate::{status, CompactedLog, Entry, Index, LogId, Subject};
use linnetknot_datagram::{payload, DecodeError, MAX_DATAGRAM_BYTES};
use linnetknot_purges::BucketIndex;

/// Logs of which one datagram can tell: three numbers of up to 17 bytes each behind a head.
pub(crate) const MAX_LOGS_PER_DATAGRAM: usize = 4;
/// Gaps that one datagram can name: two numbers each behind a head and a log.
pub(crate) const MAX_GAPS_PER_DATAGRAM: usize = 6;
/// Its first message; the digit is the form's version.
const MARK: &str = "copies1";
/// What stands before the bytes of a chunk.
pub(crate) const CHUNK_MARK: &str = "copies1 chunk ";

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
    /// Of this log the sender lacks what is in force in these gaps, and has what is behind them. A version before this
    /// one drops it, and is asked with `RangeRequest` in time.
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
    /// The receiver is behind what the sender compacted. A version before this one drops it, as the next two.
    SnapshotOffer(SnapshotOffer),
    /// The sender wants a part of a snapshot.
    SnapshotRequest(SnapshotRequest),
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
}

/// The words of a datagram behind its mark.
type Words<'a> = std::str::Split<'a, char>;

impl Datagram {
    /// Its bytes; none where they would be too many, as for an object of a very long name.
    pub fn write(&self) -> Option<Vec<u8>> {
        let bytes = match self {
            Datagram::SnapshotChunk(chunk) => {
                let mut bytes = CHUNK_MARK.as_bytes().to_vec();
                snapshot::write_chunk(chunk, &mut bytes);
                bytes
            }
            text => text.write_text().into_bytes(),
        };
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    fn write_text(&self) -> String {
        match self {
            Datagram::Entry(entry) => write_entry(entry),
            Datagram::Digest {
                positions,
                all,
                sum,
            } => {
                format!("{MARK} have {all:x} {sum:x}{}", listed(positions))
            }
            Datagram::RangeRequest { positions } => format!("{MARK} want{}", listed(positions)),
            Datagram::GapRequest {
                log: LogId { writer, epoch },
                gaps,
            } => {
                let gap = |(behind, through): &(Index, Index)| format!(" {behind:x} {through:x}");
                let gaps: String = gaps.iter().map(gap).collect();
                format!("{MARK} lack {writer:x} {epoch:x}{gaps}")
            }
            Datagram::DigestRequest => format!("{MARK} ask"),
            Datagram::Ack { process, positions } => {
                format!("{MARK} held {process:x}{}", listed(positions))
            }
            Datagram::SnapshotOffer(SnapshotOffer {
                process,
                total,
                logs,
            }) => {
                let positions: Vec<(LogId, Index)> =
                    logs.iter().map(|l| (l.log, l.through)).collect();
                format!("{MARK} offer {process:x} {total:x}{}", listed(&positions))
            }
            Datagram::SnapshotRequest(SnapshotRequest { process, from }) => {
                format!("{MARK} fetch {process:x} {}", write_cursor(*from))
            }
            // Written as bytes.
            Datagram::SnapshotChunk(_) => CHUNK_MARK.to_owned(),
        }
    }

    /// Reads one.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        let body = payload(bytes, MARK)?;
        if let Some(chunk) = bytes.strip_prefix(CHUNK_MARK.as_bytes()) {
            return snapshot::read_chunk(chunk)
                .map(Datagram::SnapshotChunk)
                .ok_or(DecodeError::Malformed);
        }
        let text = std::str::from_utf8(body).map_err(|_| DecodeError::Malformed)?;
        let mut words = text
            .strip_prefix(' ')
            .ok_or(DecodeError::Malformed)?
            .split(' ');
        Self::read_words(&mut words)
            .filter(|_| words.next().is_none())
            .ok_or(DecodeError::Malformed)
    }

    fn read_words(words: &mut Words) -> Option<Self> {
        match words.next()? {
            "entry" => read_entry(words).map(Datagram::Entry),
            "have" => {
                let (all, sum) = (read_number(words)?, read_number(words)?);
                Some(Datagram::Digest {
                    positions: read_positions(words)?,
                    all,
                    sum,
                })
            }
            "ask" => Some(Datagram::DigestRequest),
            "lack" => read_gaps(words),
            "want" => Some(Datagram::RangeRequest {
                positions: read_positions(words)?,
            }),
            "held" => {
                let process = read_number(words)?;
                Some(Datagram::Ack {
                    process,
                    positions: read_positions(words)?,
                })
            }
            "offer" => {
                let (process, total) = (read_number(words)?, read_number(words)?);
                let positions = read_positions(words)?.into_iter();
                let logs = positions
                    .map(|(log, through)| CompactedLog { log, through })
                    .collect();
                Some(Datagram::SnapshotOffer(SnapshotOffer {
                    process,
                    total,
                    logs,
                }))
            }
            "fetch" => {
                let (process, from) = (read_number(words)?, read_cursor(words)?);
                Some(Datagram::SnapshotRequest(SnapshotRequest { process, from }))
            }
            _ => None,
        }
    }
}

fn listed(positions: &[(LogId, Index)]) -> String {
    let one =
        |(log, index): &(LogId, Index)| format!(" {:x} {:x} {index:x}", log.writer, log.epoch);
    positions.iter().map(one).collect()
}

fn write_entry(entry: &Entry) -> String {
    let (kind, subject) = match (&entry.subject, entry.revoked) {
        (Subject::Object(object), _) => ("object", object.clone()),
        (Subject::Group(group), _) => ("group", group.to_string()),
        (Subject::Ban(id), false) => ("ban", id.clone()),
        (Subject::Ban(id), true) => ("unban", id.clone()),
        (Subject::Drain, revoked) => ("drain", if revoked { "over" } else { "on" }.to_owned()),
        (Subject::Status { number, part, text }, _) => (
            "status",
            format!("{number:x}.{part:x}.{}", status::escape(text)),
        ),
        (Subject::Gone { writer, number }, _) => ("gone", format!("{writer:x}.{number:x}")),
    };
    let LogId { writer, epoch } = entry.log;
    let Entry {
        prev, index, at, ..
    } = entry;
    format!("{MARK} entry {writer:x} {epoch:x} {prev:x} {index:x} {at:x} {kind} {subject}")
}

fn write_cursor(cursor: SnapshotCursor) -> String {
    match cursor {
        SnapshotCursor::Log(LogId { writer, epoch }) => format!("log {writer:x} {epoch:x}"),
        SnapshotCursor::Bucket(index) => format!("bucket {:x}", index.value()),
        SnapshotCursor::Entry {
            log: LogId { writer, epoch },
            index,
        } => {
            format!("entry {writer:x} {epoch:x} {index:x}")
        }
        SnapshotCursor::End => "end".to_owned(),
    }
}

fn number(word: &str) -> Option<u64> {
    // `from_str_radix` would take a sign.
    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(word, 16).ok()).flatten()
}

fn read_number(words: &mut Words) -> Option<u64> {
    number(words.next()?)
}

fn read_log(words: &mut Words) -> Option<LogId> {
    Some(LogId {
        writer: read_number(words)?,
        epoch: read_number(words)?,
    })
}

fn read_positions(words: &mut Words) -> Option<Vec<(LogId, Index)>> {
    let mut positions = Vec::new();
    while let Some(writer) = words.next() {
        let log = LogId {
            writer: number(writer)?,
            epoch: read_number(words)?,
        };
        positions.push((log, read_number(words)?));
    }
    (positions.len() <= MAX_LOGS_PER_DATAGRAM).then_some(positions)
}

fn read_gaps(words: &mut Words) -> Option<Datagram> {
    let log = read_log(words)?;
    let mut gaps = Vec::new();
    while let Some(behind) = words.next() {
        gaps.push((number(behind)?, read_number(words)?));
    }
    let is_sound = gaps.len() <= MAX_GAPS_PER_DATAGRAM
        && gaps.iter().all(|(behind, through)| behind < through);
    is_sound.then_some(Datagram::GapRequest { log, gaps })
}

fn read_cursor(words: &mut Words) -> Option<SnapshotCursor> {
    match words.next()? {
        "log" => Some(SnapshotCursor::Log(read_log(words)?)),
        "bucket" => {
            let index = u32::try_from(read_number(words)?).ok()?;
            Some(SnapshotCursor::Bucket(BucketIndex::from(index)))
        }
        "entry" => Some(SnapshotCursor::Entry {
            log: read_log(words)?,
            index: read_number(words)?,
        }),
        "end" => Some(SnapshotCursor::End),
        _ => None,
    }
}

fn read_entry(words: &mut Words) -> Option<Entry> {
    let log = read_log(words)?;
    let (prev, index, at) = (
        read_number(words)?,
        read_number(words)?,
        read_number(words)?,
    );
    let (subject, revoked) = read_subject(words.next()?, words.next()?)?;
    (index > prev).then_some(Entry {
        log,
        index,
        prev,
        subject,
        at,
        revoked,
    })
}

fn read_subject(kind: &str, body: &str) -> Option<(Subject, bool)> {
    match (kind, body) {
        ("object", object) if !object.is_empty() => {
            Some((Subject::Object(object.to_owned()), false))
        }
        ("group", group) => Some((Subject::Group(group.parse().ok()?), false)),
        ("ban", id) if !id.is_empty() => Some((Subject::Ban(id.to_owned()), false)),
        ("unban", id) if !id.is_empty() => Some((Subject::Ban(id.to_owned()), true)),
        ("drain", "on") => Some((Subject::Drain, false)),
        ("drain", "over") => Some((Subject::Drain, true)),
        ("status", body) => {
            let mut parts = body.splitn(3, '.');
            let (trigger, part) = (number(parts.next()?)?, number(parts.next()?)?);
            let text = status::unescape(parts.next()?)?;
            Some((
                Subject::Status {
                    number: trigger,
                    part: u16::try_from(part).ok()?,
                    text,
                },
                false,
            ))
        }
        ("gone", body) => {
            let (writer, trigger) = body.split_once('.')?;
            Some((
                Subject::Gone {
                    writer: number(writer)?,
                    number: number(trigger)?,
                },
                false,
            ))
        }
        _ => None,
    }
}
