//! The encoding of reports in 24 bytes, with numbers in network byte order.
//!
//! | bytes | |
//! | --- | --- |
//! | 0 to 2 | `LKW` |
//! | 3 | version, 1 |
//! | 4 to 11 | Unix time at which the sender started, in microseconds |
//! | 12 to 15 | number of the report, starting from 1 at each start of the sender |
//! | 16 to 17 | share of requests that go to the origin, in units of 1/65,535 |
//! | 18 to 19 | index of the sender's zone in the list of zones |
//! | 20 to 23 | CRC-32 of bytes 0 to 19 |

use linnetknot::Micros;
use linnetknot_datagram::MAX_DATAGRAM_BYTES;
use std::fmt;

/// The length of a report in bytes.
pub const REPORT_BYTES: usize = 24;
/// The offset of the checksum in a report, in bytes.
const CHECKSUM_AT: usize = REPORT_BYTES - 4;
const MAGIC: &[u8; 3] = b"LKW";
const VERSION: u8 = 1;

/// A report of one proxy to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The Unix time at which the sender started. A report with a later start time is newer.
    pub started_at: Micros,
    /// The number of the report. Among reports with the same start time, a higher number is newer.
    pub number: u32,
    /// The share of requests that the sender still sends to the origin, judged by its own responses alone.
    pub origin_share: f64,
    /// The sender's zone. Proxies of one zone share a link and caches, so all of them may see slow responses although
    /// the origin is not at fault.
    pub zone: u16,
}

/// Why a datagram can't be decoded as a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram is longer than any datagram between proxies.
    TooLong,
    /// The datagram belongs to another protocol.
    Foreign,
    /// The version of the report is not supported. Holds the version byte of the datagram.
    Version(u8),
    /// The datagram is truncated, too long for its version, or corrupt.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the datagram is too long"),
            Self::Foreign => f.write_str("the datagram belongs to another protocol"),
            Self::Version(version) => write!(f, "the report has the unknown version {version}"),
            Self::Malformed => f.write_str("the report is malformed"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Report {
    /// Returns whether the report is newer than another report of the same sender.
    pub(crate) fn is_newer_than(&self, other: &Report) -> bool {
        (self.started_at, self.number) > (other.started_at, other.number)
    }

    /// Encodes the report as a datagram.
    pub fn encode(&self) -> [u8; REPORT_BYTES] {
        let mut out = [0; REPORT_BYTES];
        out[..3].copy_from_slice(MAGIC);
        out[3] = VERSION;
        out[4..12].copy_from_slice(&self.started_at.to_be_bytes());
        out[12..16].copy_from_slice(&self.number.to_be_bytes());
        let share = (self.origin_share.clamp(0.0, 1.0) * f64::from(u16::MAX)).round() as u16;
        out[16..18].copy_from_slice(&share.to_be_bytes());
        out[18..20].copy_from_slice(&self.zone.to_be_bytes());
        let checksum = crc32fast::hash(&out[..CHECKSUM_AT]);
        out[CHECKSUM_AT..].copy_from_slice(&checksum.to_be_bytes());
        out
    }

    /// Decodes a datagram. The time that this takes is bounded for any content.
    ///
    /// # Errors
    /// Fails if the datagram is too long, belongs to another protocol, has an unknown version, or is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::TooLong);
        }
        if !bytes.starts_with(MAGIC) {
            return Err(DecodeError::Foreign);
        }
        match bytes.get(3) {
            Some(&VERSION) => {}
            Some(version) => return Err(DecodeError::Version(*version)),
            None => return Err(DecodeError::Malformed),
        }
        let report: &[u8; REPORT_BYTES] = bytes.try_into().map_err(|_| DecodeError::Malformed)?;
        let [_, _, _, _, started_at @ .., n0, n1, n2, n3, o0, o1, z0, z1, c0, c1, c2, c3] = *report;
        if crc32fast::hash(&report[..CHECKSUM_AT]) != u32::from_be_bytes([c0, c1, c2, c3]) {
            return Err(DecodeError::Malformed);
        }
        Ok(Report {
            started_at: Micros::from_be_bytes(started_at),
            number: u32::from_be_bytes([n0, n1, n2, n3]),
            origin_share: f64::from(u16::from_be_bytes([o0, o1])) / f64::from(u16::MAX),
            zone: u16::from_be_bytes([z0, z1]),
        })
    }
}
