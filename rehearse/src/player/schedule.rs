//! The schedule of a load generator, in order of time.

use super::clients::{ClientRequest, Retry};
use crate::load::{Arrival, Plan, Purge};
use crate::record::Micros;
use crate::timetable::Step;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The remaining arrivals, purges and steps of a test run, each in order of time.
pub(super) struct Schedule<'a> {
    /// The time at which the test run starts.
    pub(super) start: Micros,
    /// The time at which the test run ends.
    pub(super) end: Micros,
    arrivals: &'a [Arrival],
    purges: &'a [Purge],
    steps: &'a [(Micros, Step)],
}

impl<'a> Schedule<'a> {
    /// Returns the schedule of a plan that starts at this time and ends after the longest wait of a client.
    pub(super) fn new(
        start: Micros,
        seconds: f64,
        plan: &'a Plan,
        steps: &'a [(Micros, Step)],
    ) -> Self {
        let longest_wait = plan.arrivals.iter().map(|a| a.budget).max().unwrap_or(0);
        let end = start + (seconds * 1e6) as Micros + longest_wait;
        Schedule {
            start,
            end,
            arrivals: &plan.arrivals,
            purges: &plan.purges,
            steps,
        }
    }

    pub(super) fn seconds_at(&self, now: Micros) -> f64 {
        now.saturating_sub(self.start) as f64 / 1e6
    }

    pub(super) fn next_arrival(&mut self, now: Micros) -> Option<&'a Arrival> {
        let start = self.start;
        take_first_if(&mut self.arrivals, |arrival| start + arrival.at <= now)
    }

    pub(super) fn next_purge(&mut self, now: Micros) -> Option<&'a Purge> {
        let start = self.start;
        take_first_if(&mut self.purges, |purge| start + purge.at <= now)
    }

    pub(super) fn next_step(&mut self, now: Micros) -> Option<&'a Step> {
        let start = self.start;
        take_first_if(&mut self.steps, |(at, _)| start + at <= now).map(|(_, step)| step)
    }
}

fn take_first_if<'a, T>(items: &mut &'a [T], is_due: impl Fn(&T) -> bool) -> Option<&'a T> {
    let (first, rest) = items.split_first()?;
    if !is_due(first) {
        return None;
    }
    *items = rest;
    Some(first)
}

/// Scheduled retries, the earliest first.
#[derive(Default)]
pub(super) struct RetryQueue {
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    requests: HashMap<u64, ClientRequest>,
    count: u64,
}

impl RetryQueue {
    pub(super) fn push(&mut self, retry: Retry) {
        self.count += 1;
        self.due.push(Reverse((retry.at, self.count)));
        self.requests.insert(self.count, retry.request);
    }

    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Retry> {
        let Reverse((at, number)) = self
            .due
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)?;
        self.due.pop();
        let request = self.requests.remove(&number)?;
        Some(Retry { at, request })
    }
}
