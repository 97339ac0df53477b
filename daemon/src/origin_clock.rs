//! The offset between the local clock and the clock of the origin, which dates copies and purges, as does the event
//! bus.
//!
//! A date is never later than the time at which it was sent, so each received date is a lower bound of the origin's
//! clock. The best bound advances with the local monotonic clock. It lags the origin's clock by the shortest transfer
//! of a date and is never ahead of it, regardless of the local wall clock.

use linnetknot::Micros;
use linnetknot_purges::KeyHash;
use std::collections::VecDeque;

/// The increase of the bound up to which recorded purges keep their dates.
const REDATE_SLACK_US: i64 = 250_000;
/// The maximum number of recorded purges, whose dates follow the bound.
const MAX_RECORDED_PURGES: usize = 4_096;

/// A purge whose date depends on the bound.
#[derive(Clone, Copy, Debug)]
struct RecordedPurge {
    key: KeyHash,
    /// The time of its arrival by the local clock.
    at: Micros,
    /// The date that came with it, if any.
    date: Option<Micros>,
}

/// A lower bound of the origin's clock, and the purges whose dates depend on it.
#[derive(Debug, Default)]
pub struct OriginClock {
    /// The offset from the local clock to the bound; `None` until a date is received.
    offset_us: Option<i64>,
    /// The offset with which the recorded purges were last dated.
    dated_by: Option<i64>,
    recorded_purges: VecDeque<RecordedPurge>,
}

/// Returns the difference of two times, saturated to `i64`.
fn difference(a: Micros, b: Micros) -> i64 {
    let wide = i128::from(a) - i128::from(b);
    i64::try_from(wide).unwrap_or(if wide < 0 { i64::MIN } else { i64::MAX })
}

impl OriginClock {
    /// Returns the offset from the local clock to the lower bound of the origin's clock; 0 until a date is received.
    pub fn offset_us(&self) -> i64 {
        self.offset_us.unwrap_or(0)
    }

    /// Returns the lower bound of the origin's clock; the local time until a date is received.
    pub fn now(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.offset_us())
    }

    /// Converts a time of the origin's clock to the local clock.
    pub fn to_local(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.offset_us().saturating_neg())
    }

    /// Processes a date that was just received. Returns the recorded purges with new dates.
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

    /// Returns the date with which a purge that arrives now is sent to other proxies. It is not before the purge by any
    /// known clock.
    pub fn date_for_peers(&self, now: Micros) -> Micros {
        self.latest(now).max(now)
    }

    /// Records a purge that came without a date, as of now. Returns its date, which is late enough that the maximum age
    /// of copies never exceeds the time that has passed since the purge.
    pub fn record_local(&mut self, now: Micros, key: KeyHash) -> Micros {
        self.record(RecordedPurge {
            key,
            at: now,
            date: None,
        })
    }

    /// Records a purge with the date of another clock, which can't be later than now. Returns its date.
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

    /// Returns the latest possible date of an event at a time of the local clock. `dated_by` may lag by the slack.
    fn latest(&self, at: Micros) -> Micros {
        match self.dated_by {
            None => at,
            Some(offset) => at.saturating_add_signed(offset.saturating_add(REDATE_SLACK_US)),
        }
    }
}
