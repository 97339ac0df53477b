//! The encoding of datagrams. Snapshot chunks are encoded as bytes, all other datagrams as text. A datagram has at most
//! 256 bytes, which is the limit for datagrams between proxies.
//!
//! Released keywords never change: `have` is a digest, `want` a range request, `lack` a gap request, `ask` a digest
//! request and `held` an acknowledgement. Versions without support for snapshots drop `offer`, `fetch` and `chunk`.

use crate::snapshot::{self, SnapshotChunk, SnapshotCursor, SnapshotOffer, SnapshotRequest};
use crate::{status, CompactedLog, Entry, Gap, LogId, LogPosition, Subject};
use linnetknot_datagram::{payload, DecodeError, MAX_DATAGRAM_BYTES};
use linnetknot_purges::BucketIndex;

/// The maximum number of logs in a datagram. Each log takes three numbers of up to 17 bytes, after the header.
pub(crate) const MAX_LOGS_PER_DATAGRAM: usize = 4;
/// The maximum number of gaps in a datagram. Each gap takes two numbers, after the header and the log.
pub(crate) const MAX_GAPS_PER_DATAGRAM: usize = 6;
/// The first word of a datagram. The digit is the version of the encoding.
const PROTOCOL: &str = "copies1";
/// The text that precedes the bytes of a snapshot chunk.
pub(crate) const CHUNK_PREFIX: &str = "copies1 chunk ";

/// A datagram between replicas. Any datagram may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// An entry for the receiver to insert into its log store.
    Entry(Entry),
    /// The sender's positions in its logs, sent periodically.
    Digest {
        /// The positions in some of the sender's logs.
        positions: Vec<LogPosition>,
        /// The total number of the sender's logs.
        log_count: u64,
        /// The checksum over all of the sender's logs.
        checksum: u64,
    },
    /// Requests all entries after the sender's positions in these logs. The receiver of the request may have fewer
    /// entries.
    RangeRequest {
        /// The sender's position in each of the requested logs.
        positions: Vec<LogPosition>,
    },
    /// Requests the live entries in these gaps of a log; the sender already has entries after each gap. Versions
    /// without gap requests drop the datagram, and receive a `RangeRequest` later.
    GapRequest {
        /// The log with the gaps.
        log: LogId,
        /// The gaps in that log, in ascending order of their indexes.
        gaps: Vec<Gap>,
    },
    /// Requests a `Digest` from the receiver.
    DigestRequest,
    /// The sender's durable indexes, through which all live entries of these logs are on its disk. Versions without
    /// acknowledgements drop the datagram.
    Ack {
        /// The sender's process id, by which a delayed datagram of an earlier process is recognised.
        process: u64,
        /// The logs and the durable index of each.
        positions: Vec<LogPosition>,
    },
    /// Offers a snapshot to a receiver that is behind the sender's compacted indexes. Versions without snapshots drop
    /// this datagram and the following two.
    SnapshotOffer(SnapshotOffer),
    /// Requests a window of chunks of a snapshot.
    SnapshotRequest(SnapshotRequest),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
}

/// The words of a datagram after the protocol name.
type Words<'a> = std::str::Split<'a, char>;

impl Datagram {
    /// Encodes the datagram. Returns `None` if the encoding exceeds the maximum length, for example because of a long
    /// object name.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = match self {
            Datagram::SnapshotChunk(chunk) => {
                let mut bytes = CHUNK_PREFIX.as_bytes().to_vec();
                snapshot::write_chunk(chunk, &mut bytes);
                bytes
            }
            text => text.encode_text().into_bytes(),
        };
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    fn encode_text(&self) -> String {
        match self {
            Datagram::Entry(entry) => write_entry(entry),
            Datagram::Digest {
                positions,
                log_count,
                checksum,
            } => {
                let positions = write_positions(positions);
                format!("{PROTOCOL} have {log_count:x} {checksum:x}{positions}")
            }
            Datagram::RangeRequest { positions } => {
                format!("{PROTOCOL} want{}", write_positions(positions))
            }
            Datagram::GapRequest {
                log: LogId { writer, epoch },
                gaps,
            } => {
                let write_gap = |Gap { after, through }: &Gap| format!(" {after:x} {through:x}");
                let gaps: String = gaps.iter().map(write_gap).collect();
                format!("{PROTOCOL} lack {writer:x} {epoch:x}{gaps}")
            }
            Datagram::DigestRequest => format!("{PROTOCOL} ask"),
            Datagram::Ack { process, positions } => {
                format!("{PROTOCOL} held {process:x}{}", write_positions(positions))
            }
            Datagram::SnapshotOffer(SnapshotOffer {
                process,
                compacted_log_count,
                logs,
            }) => {
                let position = |compacted: &CompactedLog| LogPosition {
                    log: compacted.log,
                    index: compacted.through,
                };
                let positions: Vec<LogPosition> = logs.iter().map(position).collect();
                let positions = write_positions(&positions);
                format!("{PROTOCOL} offer {process:x} {compacted_log_count:x}{positions}")
            }
            Datagram::SnapshotRequest(SnapshotRequest { process, from }) => {
                format!("{PROTOCOL} fetch {process:x} {}", write_cursor(*from))
            }
            // `encode` handles chunks, which are not text.
            Datagram::SnapshotChunk(_) => CHUNK_PREFIX.to_owned(),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Fails if the datagram is of another protocol or version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let body = payload(bytes, PROTOCOL)?;
        if let Some(chunk) = bytes.strip_prefix(CHUNK_PREFIX.as_bytes()) {
            return snapshot::read_chunk(chunk)
                .map(Datagram::SnapshotChunk)
                .ok_or(DecodeError::Malformed);
        }
        let text = std::str::from_utf8(body).map_err(|_| DecodeError::Malformed)?;
        let mut words = text
            .strip_prefix(' ')
            .ok_or(DecodeError::Malformed)?
            .split(' ');
        Self::decode_words(&mut words)
            .filter(|_| words.next().is_none())
            .ok_or(DecodeError::Malformed)
    }

    fn decode_words(words: &mut Words) -> Option<Self> {
        match words.next()? {
            "entry" => read_entry(words).map(Datagram::Entry),
            "have" => {
                let (log_count, checksum) = (read_number(words)?, read_number(words)?);
                Some(Datagram::Digest {
                    positions: read_positions(words)?,
                    log_count,
                    checksum,
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
                let (process, compacted_log_count) = (read_number(words)?, read_number(words)?);
                let compacted = |position: LogPosition| CompactedLog {
                    log: position.log,
                    through: position.index,
                };
                let logs = read_positions(words)?.into_iter().map(compacted);
                Some(Datagram::SnapshotOffer(SnapshotOffer {
                    process,
                    compacted_log_count,
                    logs: logs.collect(),
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

fn write_positions(positions: &[LogPosition]) -> String {
    let write = |LogPosition { log, index }: &LogPosition| {
        format!(" {:x} {:x} {index:x}", log.writer, log.epoch)
    };
    positions.iter().map(write).collect()
}

fn write_entry(entry: &Entry) -> String {
    let (kind, subject) = match (&entry.subject, entry.revoked) {
        (Subject::Object(object), _) => ("object", object.clone()),
        (Subject::Group(group), _) => ("group", group.to_string()),
        (Subject::Ban(id), false) => ("ban", id.clone()),
        (Subject::Ban(id), true) => ("unban", id.clone()),
        (Subject::Drain, revoked) => ("drain", if revoked { "over" } else { "on" }.to_owned()),
        (Subject::TriggerStatusPart { number, part, text }, _) => (
            "status",
            format!("{number:x}.{part:x}.{}", status::escape(text)),
        ),
        (Subject::TriggerDeleted { writer, number }, _) => {
            ("gone", format!("{writer:x}.{number:x}"))
        }
    };
    let LogId { writer, epoch } = entry.log;
    let Entry {
        prev, index, at, ..
    } = entry;
    format!("{PROTOCOL} entry {writer:x} {epoch:x} {prev:x} {index:x} {at:x} {kind} {subject}")
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
    // `from_str_radix` would accept a sign.
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

fn read_positions(words: &mut Words) -> Option<Vec<LogPosition>> {
    let mut positions = Vec::new();
    while let Some(writer) = words.next() {
        let log = LogId {
            writer: number(writer)?,
            epoch: read_number(words)?,
        };
        let index = read_number(words)?;
        positions.push(LogPosition { log, index });
    }
    (positions.len() <= MAX_LOGS_PER_DATAGRAM).then_some(positions)
}

fn read_gaps(words: &mut Words) -> Option<Datagram> {
    let log = read_log(words)?;
    let mut gaps = Vec::new();
    while let Some(after) = words.next() {
        gaps.push(Gap {
            after: number(after)?,
            through: read_number(words)?,
        });
    }
    let is_valid =
        gaps.len() <= MAX_GAPS_PER_DATAGRAM && gaps.iter().all(|gap| gap.after < gap.through);
    is_valid.then_some(Datagram::GapRequest { log, gaps })
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
                Subject::TriggerStatusPart {
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
                Subject::TriggerDeleted {
                    writer: number(writer)?,
                    number: number(trigger)?,
                },
                false,
            ))
        }
        _ => None,
    }
}
