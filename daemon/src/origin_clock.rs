//! Estimates the clock of the origin. Copies and purges carry dates of this clock, which the event bus also uses.
//!
//! A received date is never later than the time at which it was sent, so it is a lower bound of the origin clock. The
//! greatest bound is kept and advances with the local monotonic clock. The bound is never ahead of the origin clock,
//! and lags behind it by the shortest transfer time of any received date. Steps of the local wall clock have no effect.

use linnetknot::Micros;
use linnetknot_purges::KeyHash;
use std::collections::VecDeque;

/// The recorded purges are dated again only if the bound has increased by more than this.
const REDATE_SLACK_US: i64 = 250_000;
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
    /// The bound minus the local time; `None` until a date is received.
    offset_us: Option<i64>,
    /// The value of `offset_us` when the dates of the recorded purges were last computed.
    dated_by: Option<i64>,
    recorded_purges: VecDeque<RecordedPurge>,
}

/// Returns the difference of two times, saturated to `i64`.
fn difference(a: Micros, b: Micros) -> i64 {
    let wide = i128::from(a) - i128::from(b);
    i64::try_from(wide).unwrap_or(if wide < 0 { i64::MIN } else { i64::MAX })
}

impl OriginClock {
    /// Returns the lower bound of the origin clock minus the local time; 0 until a date is received.
    pub fn offset_us(&self) -> i64 {
        self.offset_us.unwrap_or(0)
    }

    /// Returns the lower bound of the origin clock at the local time `now`. Returns `now` until a date is received.
    pub fn now(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.offset_us())
    }

    /// Converts a time of the origin clock to the local clock. The result is not too early, because the bound is not
    /// ahead of the origin clock.
    pub fn to_local(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.offset_us().saturating_neg())
    }

    /// Raises the bound with a date that was just received. Returns the recorded purges whose dates were computed
    /// again, with their new dates.
    pub fn observe(&mut self, now: Micros, date: Micros) -> Vec<(KeyHash, Micros)> {
        let offset = difference(date, now);
        if self.offset_us.is_some_and(|known| known >= offset) {
            return Vec::new();
        }
        self.offset_us = Some(offset);
        if self
            .dated_by
            .is_some_and(|before| offset <= before.saturating_add(REDATE_SLACK_US))
        {
            return Vec::new();
        }
        self.dated_by = self.offset_us;
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
        if self.offset_us.is_none() || date <= self.latest(now) {
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
