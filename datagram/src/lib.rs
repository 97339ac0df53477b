//! Common parts of all protocols between the proxies of an installation: the maximum length of a datagram, the prefix
//! with the protocol and its version, the decode error, and a deterministic random number generator.

use std::fmt;

/// The maximum length in bytes of a datagram between proxies. It is the greatest length that every installation allows.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Why a datagram can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram belongs to another protocol.
    Foreign,
    /// The datagram has another version of the protocol.
    Version,
    /// The datagram has the right prefix, but the rest is malformed or too long.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Foreign => "the datagram belongs to another protocol",
            Self::Version => "the datagram has another protocol version",
            Self::Malformed => "the datagram is malformed",
        })
    }
}

impl std::error::Error for DecodeError {}

/// Returns the payload of a datagram, which follows the prefix. The last byte of the prefix is the version.
///
/// # Errors
/// Fails if the datagram has another prefix or is too long.
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

/// A xorshift random number generator. Its numbers depend on the seed alone, so they are the same on every machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        // The state of a xorshift generator must not be zero.
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a random number below a bound, or 0 if the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}
