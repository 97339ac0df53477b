//! What all datagrams between the proxies of an installation have in common: their bound, the mark and version at
//! their head, why one can't be read, and the numbers that those who send them draw.

use std::fmt;

/// Bytes of the longest datagram that proxies may send each other on any installation.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Why a datagram can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is of another kind.
    Foreign,
    /// It is of another version.
    Version,
    /// It begins as one of this kind and goes on as none.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Foreign => "a datagram of another kind",
            Self::Version => "a datagram of another version",
            Self::Malformed => "a datagram that is torn",
        })
    }
}

impl std::error::Error for DecodeError {}

/// What comes behind a mark, of which the last byte is the version.
///
/// # Errors
/// Where the datagram has another mark, another version, or is too long.
pub fn payload<'a>(bytes: &'a [u8], mark: &str) -> Result<&'a [u8], DecodeError> {
    let mark = mark.as_bytes();
    let kind = &mark[..mark.len().saturating_sub(1)];
    match bytes.strip_prefix(mark) {
        Some(body) if bytes.len() <= MAX_DATAGRAM_BYTES => Ok(body),
        Some(_) => Err(DecodeError::Malformed),
        None if bytes.starts_with(kind) => Err(DecodeError::Version),
        None => Err(DecodeError::Foreign),
    }
}

/// Numbers drawn from a seed (xorshift): the same for the same seed, on every machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Random(u64);

impl Random {
    /// Numbers of a seed.
    pub fn new(seed: u64) -> Self {
        // The state must never be zero.
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below another; 0 where that is 0.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % most.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_mark_tells_kind_and_version_and_a_datagram_is_bounded() {
        assert_eq!(payload(b"fleet1abc", "fleet1"), Ok(b"abc".as_slice()));
        assert_eq!(payload(b"fleet2abc", "fleet1"), Err(DecodeError::Version));
        assert_eq!(payload(b"fleet", "fleet1"), Err(DecodeError::Version));
        assert_eq!(payload(b"flee", "fleet1"), Err(DecodeError::Foreign));
        let long = [b"fleet1".as_slice(), &[0; MAX_DATAGRAM_BYTES - 5]].concat();
        assert_eq!(payload(&long, "fleet1"), Err(DecodeError::Malformed));
        assert!(payload(&long[..MAX_DATAGRAM_BYTES], "fleet1").is_ok());
    }

    #[test]
    fn numbers_are_below_their_bound_and_spread_over_it() {
        let mut random = Random::new(0);
        let mut seen = [0; 8];
        (0..8_000).for_each(|_| seen[random.below(8) as usize] += 1);
        assert!(seen.iter().all(|n| (800..1_200).contains(n)), "{seen:?}");
        assert_eq!(random.below(0), 0);
    }
}
