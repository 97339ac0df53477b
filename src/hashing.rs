//! Hashes that all routers share: equal for equal input, everywhere and for good. Decides nothing.

/// Spreads a number over all 64 bits.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A text as a number.
pub(crate) fn hash_text(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}

/// A group of objects as a number, which is no object's.
pub(crate) fn group_key(group: u64) -> u64 {
    mix(group ^ 0x94d0_49bb_1331_11eb)
}

/// A number as a share: from 0 to 1.
pub(crate) fn share_of(x: u64) -> f64 {
    x as f64 / u64::MAX as f64
}
