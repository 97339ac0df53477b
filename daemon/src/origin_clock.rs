//! What this proxy's clock is off from the clock by which the origin and the event bus date copies and purges.
//!
//! Nothing is dated later than the moment at which it is told. So each date that is heard bounds from below what the
//! origin's clock shows now, and the best of these bounds is carried on by the own monotonic clock. It is behind the
//! origin's clock by the shortest time that any date took to get here, and never ahead of it, however wrong the own wall
//! clock is.

use linnetknot::Micros;
use linnetknot_purges::KeyHash;
use std::collections::VecDeque;

/// How far the bound may still rise before purges that were told here are dated anew.
const SLACK_US: i64 = 250_000;
/// Purges that are dated anew where the bound rises. It hardly does once copies have come from the origin.
const MAX_DATED: usize = 4_096;

/// A purge that was told here, at a time of the own clock, and the date that came with it, if any did.
#[derive(Clone, Copy, Debug)]
struct Told {
    key: KeyHash,
    at: Micros,
    date: Option<Micros>,
}

/// A lower bound of the origin's clock, and the purges whose dates follow from it.
#[derive(Debug, Default)]
pub struct OriginClock {
    /// What is to be added to the own clock; none: nothing dated was heard yet.
    offset_us: Option<i64>,
    /// The offset by which the purges below were last dated.
    dated_by: Option<i64>,
    told: VecDeque<Told>,
}

fn difference(a: Micros, b: Micros) -> i64 {
    let wide = i128::from(a) - i128::from(b);
    i64::try_from(wide).unwrap_or(if wide < 0 { i64::MIN } else { i64::MAX })
}

impl OriginClock {
    /// What is to be added to the own clock for a time that the origin's clock has reached.
    pub fn offset_us(&self) -> i64 {
        self.offset_us.unwrap_or(0)
    }

    /// A time that the origin's clock has reached; the own time where nothing dated was heard.
    pub fn now(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.offset_us())
    }

    /// A time of the origin's clock by the own clock.
    pub fn to_own(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.offset_us().saturating_neg())
    }

    /// Something dated was told just now. Gives the purges that are to be dated anew.
    pub fn heard(&mut self, now: Micros, date: Micros) -> Vec<(KeyHash, Micros)> {
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
        let told = std::mem::take(&mut self.told);
        let dated = told.iter().map(|told| (told.key, self.date(*told)));
        let dated = dated.collect();
        self.told = told;
        dated
    }

    /// The date that a purge told now goes by to peers: not before it by any clock that this proxy knows of.
    pub fn date_for_peers(&self, now: Micros) -> Micros {
        self.latest(now).max(now)
    }

    /// A purge was told here, with no date but now: the date by which copies are told from it. The age that is asked for
    /// is then never more than the time that has really gone by.
    pub fn date_own(&mut self, now: Micros, key: KeyHash) -> Micros {
        self.remember(Told {
            key,
            at: now,
            date: None,
        })
    }

    /// A purge was told with the date of another clock: it can't be later than now.
    pub fn bound(&mut self, now: Micros, key: KeyHash, date: Micros) -> Micros {
        if self.offset_us.is_none() || date <= self.latest(now) {
            return date;
        }
        self.remember(Told {
            key,
            at: now,
            date: Some(date),
        })
    }

    fn remember(&mut self, told: Told) -> Micros {
        if self.told.len() >= MAX_DATED {
            self.told.pop_front();
        }
        self.told.push_back(told);
        self.date(told)
    }

    fn date(&self, told: Told) -> Micros {
        let latest = self.latest(told.at);
        told.date.map_or(latest, |date| date.min(latest))
    }

    /// The latest date that something told at a time of the own clock can have, as far as is known: `dated_by` may be
    /// behind by the slack.
    fn latest(&self, at: Micros) -> Micros {
        match self.dated_by {
            None => at,
            Some(offset) => at.saturating_add_signed(offset.saturating_add(SLACK_US)),
        }
    }
}

#[cfg(test)]
mod tests;
