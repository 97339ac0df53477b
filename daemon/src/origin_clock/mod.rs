//! Estimates the clock of the origin. Copies and purges carry dates of this clock, which the event bus also uses.
//!
//! A received date is never later than the time at which it was sent, so it is a lower bound of the origin clock. The
//! greatest bound that is confirmed advances with the local monotonic clock, and lags behind the origin clock by the
//! shortest transfer time of the recent dates. Steps of the local wall clock have no effect.
//!
//! Dates of answers may be corrupt. One that is further ahead of the local clock than two clocks may differ is ignored,
//! one that no other date confirms does not raise the bound, and all together can't raise it further above the dates of
//! the event bus than an event may be late.

mod lower_bound;

use linnetknot::Micros;
use linnetknot_purges::KeyHash;
use lower_bound::LowerBound;
use std::collections::VecDeque;

/// The recorded purges are dated again only if the bound has increased by more than this.
const REDATE_SLACK_US: i64 = 250_000;
/// The maximum difference of two clocks: each may step by an hour.
const MAX_CLOCK_DIFFERENCE_US: Micros = 7_200_000_000;
/// The maximum time from the date of an event until the event is received.
const MAX_EVENT_DELAY_US: i64 = 10_000_000;
/// The maximum number of recorded purges. Purges beyond it, the oldest ones, are not dated again when the bound
/// increases.
const MAX_RECORDED_PURGES: usize = 4_096;

/// A purge whose date is computed from the bound, and computed again when the bound increases.
#[derive(Clone, Copy, Debug)]
struct RecordedPurge {
    key: KeyHash,
    /// The local time at which the purge arrived.
    at: Micros,
    /// The date that the sender of the purge supplied, if any.
    date: Option<Micros>,
}

/// A lower bound of the origin clock, and the purges whose dates are computed from that bound.
#[derive(Debug, Default)]
pub struct OriginClock {
    /// The bound by the dates of events.
    by_events: LowerBound,
    /// The bound by the dates of copies, and of the starts of pop caches.
    by_copies: LowerBound,
    /// The value of `known_offset_us` by which the dates of the recorded purges were computed.
    dated_by: Option<i64>,
    recorded_purges: VecDeque<RecordedPurge>,
}

/// Returns the difference of two times, saturated to `i64`.
fn difference(a: Micros, b: Micros) -> i64 {
    let wide = i128::from(a) - i128::from(b);
    i64::try_from(wide).unwrap_or(if wide < 0 { i64::MIN } else { i64::MAX })
}

/// Returns whether a correct clock may show a date at the local time `now`.
fn is_plausible(now: Micros, date: Micros) -> bool {
    date <= now.saturating_add(MAX_CLOCK_DIFFERENCE_US)
}

impl OriginClock {
    /// Returns the lower bound of the origin clock minus the local time; 0 until a date is received.
    pub fn offset_us(&self) -> i64 {
        self.known_offset_us().unwrap_or(0)
    }

    fn known_offset_us(&self) -> Option<i64> {
        let by_copies = self.by_copies.offset_us();
        let Some(by_events) = self.by_events.offset_us() else {
            return by_copies;
        };
        let max = by_events.saturating_add(MAX_EVENT_DELAY_US);
        Some(by_copies.map_or(by_events, |offset| offset.clamp(by_events, max)))
    }

    /// Returns the lower bound of the origin clock at the local time `now`. Returns `now` until a date is received.
    pub fn now(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.offset_us())
    }

    /// Converts a time of the origin clock to the local clock. The result is not too early unless the bound is ahead of
    /// the origin clock.
    pub fn to_local(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.offset_us().saturating_neg())
    }

    /// Updates the bound with the date of a copy, or of the start of a pop cache, that was just received. Returns the
    /// recorded purges whose dates were computed again, with their new dates.
    pub fn observe(&mut self, now: Micros, date: Micros) -> Vec<(KeyHash, Micros)> {
        if is_plausible(now, date) {
            self.by_copies.record(now, date, difference(date, now));
        }
        self.redate()
    }

    /// Updates the bound with the date of an event that was just received. Like [`observe`](Self::observe) otherwise.
    pub fn observe_event(&mut self, now: Micros, date: Micros) -> Vec<(KeyHash, Micros)> {
        if is_plausible(now, date) {
            self.by_events.record(now, date, difference(date, now));
        }
        self.redate()
    }

    /// Computes the dates of the recorded purges again if the bound has increased.
    fn redate(&mut self) -> Vec<(KeyHash, Micros)> {
        let Some(offset) = self.known_offset_us() else {
            return Vec::new();
        };
        let before = self.dated_by;
        let is_close =
            |before: i64| (before..=before.saturating_add(REDATE_SLACK_US)).contains(&offset);
        if before.is_some_and(is_close) {
            return Vec::new();
        }
        self.dated_by = Some(offset);
        if before.is_some_and(|before| offset < before) {
            // The purges keep their dates, which are late enough.
            return Vec::new();
        }
        let purges = self.recorded_purges.iter();
        purges.map(|purge| (purge.key, self.date(*purge))).collect()
    }

    /// Returns the date with which a purge that arrives now is sent to other proxies. The date is not earlier than the
    /// purge by the local clock or the estimated origin clock.
    pub fn date_for_peers(&self, now: Micros) -> Micros {
        self.latest(now).max(now)
    }

    /// Records a purge that arrives now without a date. Returns its date, which is late enough that no copy from before
    /// the purge is accepted.
    pub fn record_local(&mut self, now: Micros, key: KeyHash) -> Micros {
        self.record(RecordedPurge {
            key,
            at: now,
            date: None,
        })
    }

    /// Records a purge that arrives now with a date from another clock. A date later than the latest possible time is
    /// reduced to it. Returns the resulting date.
    pub fn record_dated(&mut self, now: Micros, key: KeyHash, date: Micros) -> Micros {
        let latest = match self.dated_by {
            None => now.saturating_add(MAX_CLOCK_DIFFERENCE_US),
            Some(_) => self.latest(now),
        };
        if date <= latest {
            return date;
        }
        self.record(RecordedPurge {
            key,
            at: now,
            date: Some(date),
        })
    }

    fn record(&mut self, purge: RecordedPurge) -> Micros {
        if self.recorded_purges.len() >= MAX_RECORDED_PURGES {
            self.recorded_purges.pop_front();
        }
        self.recorded_purges.push_back(purge);
        self.date(purge)
    }

    fn date(&self, purge: RecordedPurge) -> Micros {
        let latest = self.latest(purge.at);
        purge.date.map_or(latest, |date| date.min(latest))
    }

    /// Returns the latest possible date of an event at a local time. The slack is added because the bound may have
    /// increased by that much since the purges were last dated.
    fn latest(&self, at: Micros) -> Micros {
        match self.dated_by {
            None => at,
            Some(offset) => at.saturating_add_signed(offset.saturating_add(REDATE_SLACK_US)),
        }
    }
}
