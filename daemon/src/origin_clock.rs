//! The offset between the local clock and the clock by which the origin and the event bus date copies and purges.
//!
//! Nothing carries a date later than the moment at which it was sent. So each date that is received bounds from below what
//! the origin's clock shows now, and the best of these bounds is carried on by the local monotonic clock. It is behind the
//! origin's clock by the shortest time that any date took to get here, and never ahead of it, however wrong the local wall
//! clock is.

use linnetknot::Micros;
use linnetknot_purges::KeyHash;
use std::collections::VecDeque;

/// How far the bound may still rise before the recorded purges are dated anew.
const SLACK_US: i64 = 250_000;
/// Purges that are dated anew where the bound rises. It hardly does once copies have come from the origin.
const MAX_DATED: usize = 4_096;

/// A purge whose date follows from the bound.
#[derive(Clone, Copy, Debug)]
struct RecordedPurge {
    key: KeyHash,
    /// When it came, by the local clock.
    at: Micros,
    /// The date that came with it, if any did.
    date: Option<Micros>,
}

/// A lower bound of the origin's clock, and the purges whose dates follow from it.
#[derive(Debug, Default)]
pub struct OriginClock {
    /// What is to be added to the local clock; none: no date has been received yet.
    offset_us: Option<i64>,
    /// The offset by which the recorded purges were last dated.
    dated_by: Option<i64>,
    recorded: VecDeque<RecordedPurge>,
}

/// The difference of two times, bounded by the range of its type.
fn difference(a: Micros, b: Micros) -> i64 {
    let wide = i128::from(a) - i128::from(b);
    i64::try_from(wide).unwrap_or(if wide < 0 { i64::MIN } else { i64::MAX })
}

impl OriginClock {
    /// What is to be added to the local clock for a time that the origin's clock has reached.
    pub fn offset_us(&self) -> i64 {
        self.offset_us.unwrap_or(0)
    }

    /// A time that the origin's clock has reached; the local time where no date has been received.
    pub fn now(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.offset_us())
    }

    /// Translates a time of the origin's clock to the local clock.
    pub fn to_local(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.offset_us().saturating_neg())
    }

    /// Takes a date that has just been received. Gives the purges that are to be dated anew.
    pub fn observe(&mut self, now: Micros, date: Micros) -> Vec<(KeyHash, Micros)> {
        let offset = difference(date, now);
        if self.offset_us.is_some_and(|known| known >= offset) {
            return Vec::new();
        }
        self.offset_us = Some(offset);
        if self
            .dated_by
            .is_some_and(|before| offset <= before.saturating_add(SLACK_US))
        {
            return Vec::new();
        }
        self.dated_by = self.offset_us;
        let purges = self.recorded.iter();
        purges.map(|purge| (purge.key, self.date(*purge))).collect()
    }

    /// The date under which other proxies learn of a purge that came now: not before it by any clock that this proxy knows
    /// of.
    pub fn date_for_peers(&self, now: Micros) -> Micros {
        self.latest(now).max(now)
    }

    /// Records a purge that came without a date, as of now. Gives its date, by which copies are older or newer: the greatest
    /// age that a request then allows is never more than the time that has really passed.
    pub fn record_local(&mut self, now: Micros, key: KeyHash) -> Micros {
        self.remember(RecordedPurge {
            key,
            at: now,
            date: None,
        })
    }

    /// Records a purge that came with the date of another clock, which can't be later than now. Gives its date.
    pub fn record_dated(&mut self, now: Micros, key: KeyHash, date: Micros) -> Micros {
        if self.offset_us.is_none() || date <= self.latest(now) {
            return date;
        }
        self.remember(RecordedPurge {
            key,
            at: now,
            date: Some(date),
        })
    }

    fn remember(&mut self, purge: RecordedPurge) -> Micros {
        if self.recorded.len() >= MAX_DATED {
            self.recorded.pop_front();
        }
        self.recorded.push_back(purge);
        self.date(purge)
    }

    fn date(&self, purge: RecordedPurge) -> Micros {
        let latest = self.latest(purge.at);
        purge.date.map_or(latest, |date| date.min(latest))
    }

    /// The latest date that something which came at a time of the local clock can have, as far as is known: `dated_by` may
    /// be behind by the slack.
    fn latest(&self, at: Micros) -> Micros {
        match self.dated_by {
            None => at,
            Some(offset) => at.saturating_add_signed(offset.saturating_add(SLACK_US)),
        }
    }
}
