//! A bucket of the compact table, which occupies one cache line and contains the latest purges of the keys that hash to
//! it.
//!
//! The content of a bucket depends only on the set of (time, fingerprint) pairs that were recorded, and not on their
//! order. The watermark is the time of the 8th greatest pair, or the time that it was explicitly raised to if that is
//! later. The slots contain the pairs later than the watermark, of which there are at most seven. [`Bucket::merge`] is
//! therefore commutative, associative and idempotent, and buckets form a join semilattice.

use crate::hashing::KeyHash;
use crate::time::{Micros, Stamp};
use std::fmt;

/// The number of slots of a bucket.
pub const SLOTS: usize = 7;
/// The width of a fingerprint in bits.
pub const FINGERPRINT_BITS: u32 = 22;

const WORD_BYTES: usize = 8;
const HEADER_BYTES: usize = 1 + WORD_BYTES;
const EMPTY_SLOT: u64 = 0;

/// The low bits of a key's hash, which distinguish the keys of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    const MASK: u64 = (1 << FINGERPRINT_BITS) - 1;

    /// Takes the low `FINGERPRINT_BITS` bits of the hash of a key.
    pub const fn of(key: KeyHash) -> Self {
        Fingerprint(key.value() & Self::MASK)
    }
}

/// Packs a stamp into the high bits and a fingerprint into the low bits of a slot, so that slots are ordered by time
/// first.
fn pack(stamp: Stamp, fingerprint: Fingerprint) -> u64 {
    stamp.bits() << FINGERPRINT_BITS | fingerprint.0
}

/// Returns the stamp of a slot.
fn stamp_of(slot: u64) -> Stamp {
    Stamp::from_bits(slot >> FINGERPRINT_BITS).unwrap_or_default()
}

/// A bucket of seven slots and a watermark. The latest purge of a key is not later than the maximum of the watermark
/// and the slots with the key's fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[repr(align(64))]
pub struct Bucket {
    /// Occupied slots in descending order, all later than the watermark, followed by empty slots.
    slots: [u64; SLOTS],
    watermark: Stamp,
}

impl Bucket {
    /// Records a purge. Returns whether the bucket changed.
    pub fn record(&mut self, fingerprint: Fingerprint, at: Micros) -> bool {
        self.insert(pack(Stamp::not_before(at), fingerprint))
    }

    /// Raises the watermark to a time if it is earlier. Returns whether the bucket changed.
    pub fn raise_watermark(&mut self, at: Micros) -> bool {
        self.raise_to(Stamp::not_before(at))
    }

    /// Merges another bucket into this one. Returns whether this bucket changed.
    pub fn merge(&mut self, other: &Bucket) -> bool {
        let mut changed = self.raise_to(other.watermark);
        for slot in other.occupied_slots() {
            changed |= self.insert(*slot);
        }
        changed
    }

    /// Returns a bucket with the same purges, whose times are limited to `at`.
    ///
    /// Callers pass the current time. A later time can only come from a clock that is ahead, and would invalidate all
    /// cached copies of the keys until that time.
    pub fn no_later_than(&self, at: Micros) -> Bucket {
        let latest = Stamp::not_before(at);
        let mut bucket = Bucket::default();
        bucket.raise_to(self.watermark.min(latest));
        for slot in self.occupied_slots() {
            let fingerprint = Fingerprint(*slot & Fingerprint::MASK);
            bucket.insert(pack(stamp_of(*slot).min(latest), fingerprint));
        }
        bucket
    }

    /// Returns an upper bound of the time of the latest purge of a key with this fingerprint, or `None` if there is no
    /// such purge. The bound is less than a millisecond later than the purge if the purge still has a slot.
    pub fn latest(&self, fingerprint: Fingerprint) -> Option<Micros> {
        let matching = self
            .slots
            .iter()
            .find(|slot| **slot & Fingerprint::MASK == fingerprint.0);
        let stamp = matching.map_or(Stamp::NONE, |slot| stamp_of(*slot));
        stamp.max(self.watermark).time()
    }

    /// Returns the watermark, which is the earliest time that [`Bucket::latest`] returns for any key of this bucket, or
    /// `None` if the bucket has no watermark.
    pub fn watermark(&self) -> Option<Micros> {
        self.watermark.time()
    }

    /// Returns the number of occupied slots.
    pub fn len(&self) -> usize {
        self.slots.partition_point(|slot| *slot != EMPTY_SLOT)
    }

    /// Returns whether no purge was recorded in the bucket.
    pub fn is_empty(&self) -> bool {
        *self == Bucket::default()
    }

    /// Returns the slots and the watermark as words, from which digests are computed.
    pub(crate) fn words(&self) -> impl Iterator<Item = u64> + '_ {
        self.slots.iter().copied().chain([self.watermark.bits()])
    }

    fn occupied_slots(&self) -> &[u64] {
        &self.slots[..self.len()]
    }

    fn insert(&mut self, slot: u64) -> bool {
        if stamp_of(slot) <= self.watermark {
            return false;
        }
        let position = self.slots.partition_point(|other| *other > slot);
        if self.slots.get(position) == Some(&slot) {
            return false;
        }
        // Shifts the slots from `position` on by one, so that `displaced` becomes the smallest of the eight values.
        let mut displaced = slot;
        for other in &mut self.slots[position..] {
            std::mem::swap(other, &mut displaced);
        }
        self.raise_to(stamp_of(displaced));
        true
    }

    fn raise_to(&mut self, stamp: Stamp) -> bool {
        if stamp <= self.watermark {
            return false;
        }
        self.watermark = stamp;
        let remaining = self.slots.partition_point(|slot| stamp_of(*slot) > stamp);
        self.slots[remaining..].fill(EMPTY_SLOT);
        true
    }
}

impl Bucket {
    /// Appends the encoding of the bucket: the number of occupied slots as one byte, then the watermark and the
    /// occupied slots in descending order as big-endian words.
    pub fn encode(&self, bytes: &mut Vec<u8>) {
        let slots = self.occupied_slots();
        bytes.push(slots.len() as u8);
        bytes.extend(self.watermark.bits().to_be_bytes());
        slots
            .iter()
            .for_each(|slot| bytes.extend(slot.to_be_bytes()));
    }

    /// Returns the length of the encoding in bytes.
    pub fn encoded_len(&self) -> usize {
        HEADER_BYTES + WORD_BYTES * self.len()
    }

    /// Decodes a bucket that occupies all of `bytes`.
    ///
    /// # Errors
    /// Fails if the bytes are not the encoding of a bucket.
    pub fn decode(bytes: &[u8]) -> Result<Bucket, DecodeError> {
        let count = usize::from(*bytes.first().ok_or(DecodeError::Length { bytes: 0 })?);
        if count > SLOTS {
            return Err(DecodeError::TooManySlots { slots: count });
        }
        if bytes.len() != HEADER_BYTES + WORD_BYTES * count {
            return Err(DecodeError::Length { bytes: bytes.len() });
        }
        let mut words = bytes[1..].chunks_exact(WORD_BYTES).map(decode_word);
        let watermark = words.next().unwrap_or_default();
        let watermark = Stamp::from_bits(watermark).ok_or(DecodeError::Watermark)?;
        let mut slots = [EMPTY_SLOT; SLOTS];
        slots
            .iter_mut()
            .zip(words)
            .for_each(|(slot, word)| *slot = word);
        Self::check(&slots[..count], watermark)?;
        Ok(Bucket { slots, watermark })
    }

    /// Checks that the occupied slots are in descending order and later than the watermark.
    fn check(slots: &[u64], watermark: Stamp) -> Result<(), DecodeError> {
        if !slots.windows(2).all(|pair| pair[0] > pair[1]) {
            return Err(DecodeError::Order);
        }
        match slots.last() {
            Some(slot) if stamp_of(*slot) == Stamp::NONE => Err(DecodeError::EmptySlot),
            Some(slot) if stamp_of(*slot) <= watermark => Err(DecodeError::Watermark),
            _ => Ok(()),
        }
    }
}

/// Decodes a big-endian word.
fn decode_word(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

/// The error of decoding bytes that are not the encoding of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The number of bytes does not match the number of slots.
    Length {
        /// The number of bytes that were to be decoded.
        bytes: usize,
    },
    /// The number of occupied slots exceeds the size of a bucket.
    TooManySlots {
        /// The number of occupied slots.
        slots: usize,
    },
    /// The occupied slots are not in descending order.
    Order,
    /// An occupied slot has no time.
    EmptySlot,
    /// The watermark is out of range, or not earlier than all slots.
    Watermark,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length { bytes } => {
                write!(
                    f,
                    "the length of {bytes} bytes does not match the bucket's number of slots"
                )
            }
            Self::TooManySlots { slots } => {
                write!(f, "a bucket has {slots} occupied slots of at most {SLOTS}")
            }
            Self::Order => write!(f, "the slots of a bucket are not in descending order"),
            Self::EmptySlot => write!(f, "an occupied slot of a bucket has no time"),
            Self::Watermark => write!(
                f,
                "the watermark of a bucket is out of range or not earlier than its slots"
            ),
        }
    }
}

impl std::error::Error for DecodeError {}
