//! The datagram: 24 bytes, numbers in network order.
//!
//! | bytes | |
//! | --- | --- |
//! | 0 to 2 | `LKW` |
//! | 3 | version, 1 |
//! | 4 to 11 | Unix time at which the sender started, in microseconds |
//! | 12 to 15 | number of the report, counted from 1 at each start |
//! | 16 to 17 | share of requests that may have the origin asked, of 65,535 |
//! | 18 to 19 | the sender's zone, by its place in the list that all have |
//! | 20 to 23 | CRC-32 of the bytes before |

use linnetknot::Micros;
use linnetknot_datagram::MAX_DATAGRAM_BYTES;

/// Bytes of a report.
pub const REPORT_BYTES: usize = 24;
const MAGIC: &[u8; 3] = b"LKW";
const VERSION: u8 = 1;

/// What one proxy tells the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// When the sender started: of two of its reports, one of the later start is newer.
    pub start: Micros,
    /// Its number: of two reports of one start, the higher is newer.
    pub number: u32,
    /// Share of the requests that the sender lets ask the origin, by its own answers.
    pub origin: f64,
    /// Its zone: senders of one zone share a link and caches, and may find the same without the origin's fault.
    pub zone: u16,
}

/// Why a datagram is no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is longer than any datagram between proxies.
    TooLong,
    /// It is of another kind.
    Foreign,
    /// Its version is not known here.
    Version(u8),
    /// It is cut short, too long for its version, or damaged.
    Malformed,
}

impl Report {
    /// The report as a datagram.
    pub fn write(&self) -> [u8; REPORT_BYTES] {
        let mut out = [0; REPORT_BYTES];
        out[..3].copy_from_slice(MAGIC);
        out[3] = VERSION;
        out[4..12].copy_from_slice(&self.start.to_be_bytes());
        out[12..16].copy_from_slice(&self.number.to_be_bytes());
        let origin = (self.origin.clamp(0.0, 1.0) * f64::from(u16::MAX)).round() as u16;
        out[16..18].copy_from_slice(&origin.to_be_bytes());
        out[18..20].copy_from_slice(&self.zone.to_be_bytes());
        let sum = crc32fast::hash(&out[..20]);
        out[20..].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Reads a datagram. The work is the same for all, whatever they hold.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
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
        let whole: &[u8; REPORT_BYTES] = bytes.try_into().map_err(|_| DecodeError::Malformed)?;
        let [_, _, _, _, start @ .., n0, n1, n2, n3, o0, o1, z0, z1, c0, c1, c2, c3] = *whole;
        if crc32fast::hash(&whole[..20]) != u32::from_be_bytes([c0, c1, c2, c3]) {
            return Err(DecodeError::Malformed);
        }
        Ok(Report {
            start: Micros::from_be_bytes(start),
            number: u32::from_be_bytes([n0, n1, n2, n3]),
            origin: f64::from(u16::from_be_bytes([o0, o1])) / f64::from(u16::MAX),
            zone: u16::from_be_bytes([z0, z1]),
        })
    }
}
