//! What all datagrams between the proxies of an installation have in common: their greatest length, the mark and version
//! at their start, and the error of one that can't be decoded. Also the random numbers of the protocols, which are the
//! same for the same seed on every machine.

use std::fmt;

/// The greatest length in bytes of a datagram that proxies may send each other on any installation.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Why a datagram can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is of another kind.
    Foreign,
    /// It is of another version.
    Version,
    /// It has the mark of this kind and version, but not its form.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Foreign => "a datagram of another kind",
            Self::Version => "a datagram of another version",
            Self::Malformed => "a malformed datagram",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Returns what follows a mark, of which the last byte is the version.
///
/// # Errors
/// Fails if the datagram has another mark or another version, or is too long.
pub fn payload<'a>(bytes: &'a [u8], prefix: &str) -> Result<&'a [u8], DecodeError> {
    let prefix = prefix.as_bytes();
    let protocol = &prefix[..prefix.len().saturating_sub(1)];
    match bytes.strip_prefix(prefix) {
        Some(body) if bytes.len() <= MAX_DATAGRAM_BYTES => Ok(body),
        Some(_) => Err(DecodeError::Malformed),
        None if bytes.starts_with(protocol) => Err(DecodeError::Version),
        None => Err(DecodeError::Foreign),
    }
}

/// A generator of random numbers (xorshift), which are the same for the same seed on every machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Random(u64);

impl Random {
    /// The generator of a seed.
    pub fn new(seed: u64) -> Self {
        // The state must never be zero.
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Draws a number below a bound; 0 if the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}
