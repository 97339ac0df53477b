//! Waiting times of clients by class, computed from the record.
//!
//! A wait counts from the time at which a request was due, not from when it was sent, which avoids coordinated omission.
//! Retries count towards the first request. Requests that were never served are counted separately.

use crate::record::{FinalAnswer, Micros, Record};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// The upper bound of the histogram. Longer waits are recorded as this value.
const MAX_WAIT_US: u64 = 600_000_000;

/// The waits of one class, in microseconds with three significant digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// The number of requests without retries.
    pub requests: u64,
    /// The number of requests that were served, possibly after retries.
    pub served: u64,
    /// The median wait of served requests.
    pub p50: Micros,
    /// The 90th percentile of the waits of served requests.
    pub p90: Micros,
    /// The 99th percentile of these waits.
    pub p99: Micros,
    /// The 99.9th percentile of these waits.
    pub p999: Micros,
    /// The longest wait of a served request.
    pub max: Micros,
}

/// Returns the waits of each class, in the order of the record.
pub fn waits(record: &Record) -> Vec<Waits> {
    let mut served_at: BTreeMap<&str, Micros> = BTreeMap::new();
    for a in record
        .answered
        .iter()
        .filter(|a| matches!(a.answer, FinalAnswer::Served { .. }))
    {
        let at = served_at.entry(&a.id).or_insert(a.at);
        *at = a.at.min(*at);
    }
    // By first request: its class, its due time, and the earliest time at which it or a retry was served.
    let mut requests: BTreeMap<&str, (usize, Micros, Option<Micros>)> = BTreeMap::new();
    for a in &record.requests {
        let served = served_at.get(a.id.as_str()).copied();
        let request = requests.entry(&a.first).or_insert((a.class, a.due, None));
        request.1 = request.1.min(a.due);
        request.2 = request.2.into_iter().chain(served).min();
    }
    let classes = 0..record.classes.len();
    classes
        .map(|class| class_waits(requests.values().filter(|r| r.0 == class)))
        .collect()
}

fn class_waits<'a>(of: impl Iterator<Item = &'a (usize, Micros, Option<Micros>)>) -> Waits {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3) else {
        return Waits::default();
    };
    let mut requests = 0;
    for (_, due, served) in of {
        requests += 1;
        if let Some(at) = served {
            histogram.saturating_record(at.saturating_sub(*due).max(1));
        }
    }
    let at = |q: f64| {
        if histogram.is_empty() {
            0
        } else {
            histogram.value_at_quantile(q)
        }
    };
    Waits {
        requests,
        served: histogram.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        max: at(1.0),
    }
}
