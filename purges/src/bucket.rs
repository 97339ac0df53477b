//! One cache line of the compact table: the latest purges of the keys that fall into it.
//!
//! A bucket is determined by the set of all (time, fingerprint) pairs that were ever put into it. Its watermark is the
//! time of the 8th greatest of them, or what it was raised to if that is later; its slots are the pairs later than the
//! watermark, so there are at most seven. Hence [`Bucket::merge`] is commutative, associative and idempotent, and a
//! pair that is put in again changes nothing: buckets form a join semilattice.

use crate::hashing::KeyHash;
use crate::time::{Micros, Stamp};
use std::fmt;

/// Slots of a bucket.
pub const SLOTS: usize = 7;
/// Width of a fingerprint.
pub const FINGERPRINT_BITS: u32 = 22;

const WORD_BYTES: usize = 8;
const HEADER_BYTES: usize = 1 + WORD_BYTES;
const EMPTY_SLOT: u64 = 0;

/// The low bits of a key's hash, which distinguish the keys of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    const MASK: u64 = (1 << FINGERPRINT_BITS) - 1;

    /// The fingerprint of a key.
    pub const fn of(key: KeyHash) -> Self {
        Fingerprint(key.value() & Self::MASK)
    }
}

/// A slot holds a stamp in its high bits and a fingerprint in its low ones, so that slots are ordered by time first.
fn pack(stamp: Stamp, fingerprint: Fingerprint) -> u64 {
    stamp.bits() << FINGERPRINT_BITS | fingerprint.0
}

/// The stamp of a slot.
fn stamp_of(slot: u64) -> Stamp {
    Stamp::from_bits(slot >> FINGERPRINT_BITS).unwrap_or_default()
}

/// Seven slots and a watermark: no purge of a key of this bucket is later than the latest of the watermark and the
/// slots with the key's fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[repr(align(64))]
pub struct Bucket {
    /// Latest first, empty ones last, all later than the watermark.
    slots: [u64; SLOTS],
    watermark: Stamp,
}

impl Bucket {
    /// Records a purge. Returns whether the bucket changed.
    pub fn record(&mut self, fingerprint: Fingerprint, at: Micros) -> bool {
        self.insert(pack(Stamp::not_before(at), fingerprint))
    }

    /// Raises the watermark to a time if it is lower. Returns whether the bucket changed.
    pub fn raise_watermark(&mut self, at: Micros) -> bool {
        self.raise_to(Stamp::not_before(at))
    }

    /// Merges another bucket into this one. Returns whether this one changed.
    pub fn merge(&mut self, other: &Bucket) -> bool {
        let mut changed = self.raise_to(other.watermark);
        for slot in other.occupied_slots() {
            changed |= self.insert(*slot);
        }
        changed
    }

    /// Returns a bucket with the same purges, each no later than a time.
    ///
    /// Callers pass the current time: a purge that is known was made by now, so a later time comes from a clock that is
    /// ahead, and would invalidate every cached copy of its keys until that time has come.
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

    /// Returns a time no earlier than any recorded purge of a key with this fingerprint, or `None` if there is no such
    /// purge. It is less than a millisecond later than the latest such purge if that one still has its slot.
    pub fn latest(&self, fingerprint: Fingerprint) -> Option<Micros> {
        let matching = self
            .slots
            .iter()
            .find(|slot| **slot & Fingerprint::MASK == fingerprint.0);
        let stamp = matching.map_or(Stamp::NONE, |slot| stamp_of(*slot));
        stamp.max(self.watermark).time()
    }

    /// Returns the watermark: the earliest time that [`Bucket::latest`] gives for any key of this bucket.
    pub fn watermark(&self) -> Option<Micros> {
        self.watermark.time()
    }

    /// Returns the number of occupied slots.
    pub fn len(&self) -> usize {
        self.slots.partition_point(|slot| *slot != EMPTY_SLOT)
    }

    /// Returns whether nothing was ever recorded.
    pub fn is_empty(&self) -> bool {
        *self == Bucket::default()
    }

    /// Returns the seven slots and the watermark as words, for digests.
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
        // Shifts the slots behind the position by one; the one that is left over is the smallest of the eight.
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
    /// Appends the bucket's encoding: the number of occupied slots in one byte, the watermark and these slots, latest
    /// first, as big endian words.
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

    /// Decodes one bucket, which has to fill `bytes`.
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
        let mut words = bytes[1..].chunks_exact(WORD_BYTES).map(word);
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

    /// Checks that occupied slots are in order and later than the watermark.
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

/// Reads a big endian word from as many bytes as it has.
fn word(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

/// The error of bytes that are not the encoding of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// There are more or fewer bytes than the number of slots needs.
    Length {
        /// The number of bytes.
        bytes: usize,
    },
    /// There are more occupied slots than a bucket has.
    TooManySlots {
        /// The number of occupied slots.
        slots: usize,
    },
    /// The slots are not in descending order.
    Order,
    /// An occupied slot has no time.
    EmptySlot,
    /// The watermark is too large for a time, or not before the earliest slot.
    Watermark,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length { bytes } => {
                write!(f, "{bytes} bytes don't fit the bucket's number of slots")
            }
            Self::TooManySlots { slots } => {
                write!(f, "a bucket of {slots} slots; it has at most {SLOTS}")
            }
            Self::Order => write!(f, "a bucket's slots are not in descending order"),
            Self::EmptySlot => write!(f, "a bucket's occupied slot has no time"),
            Self::Watermark => write!(f, "a bucket's watermark is no time before its slots"),
        }
    }
}

impl std::error::Error for DecodeError {}
