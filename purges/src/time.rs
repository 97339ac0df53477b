//! Times of purges, and the form in which buckets hold them.

/// Microseconds since a fixed start, in the daemon the Unix epoch.
pub type Micros = u64;

/// Microseconds in one unit of a bucket's stamps.
pub const STAMP_UNIT_US: Micros = 1_000;

/// A time in milliseconds, rounded up, in 42 bits; 0 is the absence of a time, so time 0 is stamp 1.
///
/// The last stamp stands for every time that is too late for the field (139 years after the start) and is read as
/// [`Micros::MAX`], so that no time is ever read as an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Stamp(u64);

impl Stamp {
    /// Width of a stamp.
    pub(crate) const BITS: u32 = 42;
    /// The absence of a time.
    pub(crate) const NONE: Stamp = Stamp(0);
    /// The stamp of all times that are too late for the field.
    const LAST: Stamp = Stamp((1 << Self::BITS) - 1);

    /// The stamp of the first millisecond that is not before `at`.
    pub(crate) fn not_before(at: Micros) -> Self {
        Stamp(at.div_ceil(STAMP_UNIT_US) + 1).min(Self::LAST)
    }

    /// The stamp of these bits; `None` if they are too many.
    pub(crate) fn from_bits(bits: u64) -> Option<Self> {
        Some(Stamp(bits)).filter(|stamp| *stamp <= Self::LAST)
    }

    /// Returns the stamp as a number.
    pub(crate) const fn bits(self) -> u64 {
        self.0
    }

    /// Returns the time that the stamp stands for.
    pub(crate) fn time(self) -> Option<Micros> {
        match self {
            Self::NONE => None,
            Self::LAST => Some(Micros::MAX),
            Stamp(bits) => Some((bits - 1) * STAMP_UNIT_US),
        }
    }
}
