//! A lower bound of another clock, estimated from dates of which single ones may be wrong.
//!
//! A correct date is never later than the time at which it was sent, so the latest date gives the best bound. A corrupt
//! date may be later by any amount, so a date counts only once another one confirms it. Dates are forgotten after a
//! while: a wrong bound, or one from before a step of the other clock, does not stay in effect.

use linnetknot::Micros;

/// The maximum number of retained dates. When there are more, the lowest bound among them is dropped.
const MAX_DATES: usize = 64;
/// The time after which a date is forgotten.
const MAX_DATE_AGE_US: Micros = 60_000_000;
/// Two dates whose bounds differ by at most this confirm each other.
const CONFIRMATION_TOLERANCE_US: i64 = 250_000;

/// A received date.
#[derive(Clone, Copy, Debug)]
struct ReceivedDate {
    at: Micros,
    date: Micros,
    /// The date minus the local time of its receipt.
    offset_us: i64,
}

/// A lower bound of another clock, relative to the local clock.
#[derive(Debug, Default)]
pub(super) struct LowerBound {
    /// Distinct dates, by descending offset.
    dates: Vec<ReceivedDate>,
    /// The last bound that was confirmed.
    confirmed_us: Option<i64>,
}

impl LowerBound {
    /// Records a date that was received at the local time `now`. A date that was received before tells nothing new: it
    /// may be of the same copy.
    pub(super) fn record(&mut self, now: Micros, date: Micros, offset_us: i64) {
        self.dates
            .retain(|known| known.at.saturating_add(MAX_DATE_AGE_US) >= now);
        if self.dates.iter().any(|known| known.date == date) {
            return;
        }
        let position = self
            .dates
            .partition_point(|known| known.offset_us >= offset_us);
        let received = ReceivedDate {
            at: now,
            date,
            offset_us,
        };
        self.dates.insert(position, received);
        self.dates.truncate(MAX_DATES);
        let mut pairs = self.dates.windows(2);
        let confirmed = pairs.find(|pair| {
            pair[0].offset_us <= pair[1].offset_us.saturating_add(CONFIRMATION_TOLERANCE_US)
        });
        self.confirmed_us = confirmed
            .map(|pair| pair[0].offset_us)
            .or(self.confirmed_us);
    }

    /// Returns the bound minus the local time; `None` until a date is received. Until two dates confirm each other, it
    /// is the lowest one, because a bound that is too low is still correct.
    pub(super) fn offset_us(&self) -> Option<i64> {
        let lowest = || self.dates.last().map(|received| received.offset_us);
        self.confirmed_us.or_else(lowest)
    }
}
