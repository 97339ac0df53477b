//! Times of purges, and their representation in buckets.

/// A time in microseconds since a fixed start, which is the Unix epoch in the daemon.
pub type Micros = u64;

/// The resolution of the stamps in a bucket, in microseconds.
pub const STAMP_UNIT_US: Micros = 1_000;

/// A time in milliseconds, rounded up, in 42 bits. Stamp 0 stands for the absence of a time, so time 0 is given stamp
/// 1.
///
/// The last stamp represents all times that exceed the range (139 years after the start) and is converted to
/// [`Micros::MAX`], so that no time is converted to an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Stamp(u64);

impl Stamp {
    /// The width of a stamp in bits.
    pub(crate) const BITS: u32 = 42;
    /// The absence of a time.
    pub(crate) const NONE: Stamp = Stamp(0);
    /// The stamp of all times that exceed the range.
    const LAST: Stamp = Stamp((1 << Self::BITS) - 1);

    /// Returns the stamp of the first millisecond that is not before `at`.
    pub(crate) fn not_before(at: Micros) -> Self {
        Stamp(at.div_ceil(STAMP_UNIT_US) + 1).min(Self::LAST)
    }

    /// Creates a stamp from its bits, or returns `None` if they are out of range.
    pub(crate) fn from_bits(bits: u64) -> Option<Self> {
        Some(Stamp(bits)).filter(|stamp| *stamp <= Self::LAST)
    }

    /// Returns the stamp as a number.
    pub(crate) const fn bits(self) -> u64 {
        self.0
    }

    /// Returns the time of the stamp.
    pub(crate) fn time(self) -> Option<Micros> {
        match self {
            Self::NONE => None,
            Self::LAST => Some(Micros::MAX),
            Stamp(bits) => Some((bits - 1) * STAMP_UNIT_US),
        }
    }
}
