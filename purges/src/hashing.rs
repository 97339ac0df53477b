//! Hashes of purge keys. They must never change, because proxies exchange and store buckets that depend on them.

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// The salt that distinguishes the hash of a group from the result of [`mix`] for the same number.
const GROUP_SALT: u64 = 0x94d0_49bb_1331_11eb;

/// Mixes the bits of a number with the finalizer of SplitMix64, which is a bijection.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The hash of a purge key, which is an object's name or a group's number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(u64);

impl KeyHash {
    /// Returns the hash of an object's name.
    pub fn of_object(object: &str) -> Self {
        let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        KeyHash(mix(object.bytes().fold(FNV_OFFSET, fold)))
    }

    /// Returns the hash of a group of objects.
    pub fn of_group(group: u64) -> Self {
        KeyHash(mix(group ^ GROUP_SALT))
    }

    /// Returns the hash as a number.
    pub const fn value(self) -> u64 {
        self.0
    }
}

impl From<u64> for KeyHash {
    /// Converts a number that was returned by [`KeyHash::value`].
    fn from(value: u64) -> Self {
        KeyHash(value)
    }
}
