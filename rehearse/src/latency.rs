//! How long clients waited, by class, from the records.
//!
//! Counted from when a request was due to be sent, not from when it was: a load generator that is held up by a slow
//! answer would otherwise leave out the wait of whatever came behind it (coordinated omission). A client's retries
//! belong to its first try, and what was never served is not a short wait but none: it is counted apart.

use crate::record::{FinalAnswer, Micros, Record};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Waits above this count as this; longer than any client waits.
const MAX_WAIT_US: u64 = 600_000_000;

/// The waits of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Requests, retries not counted.
    pub requests: u64,
    /// Those that were served at last.
    pub served: u64,
    /// Within this, half of the served were; in microseconds, three digits exact, as all below.
    pub p50: Micros,
    /// Nine in ten.
    pub p90: Micros,
    /// All but one in a hundred.
    pub p99: Micros,
    /// All but one in a thousand.
    pub p999: Micros,
    /// The longest.
    pub max: Micros,
}

/// The waits of each class, in the order of the record's.
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
    // By first try: its class, when it was due, and when any try of it was first served.
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
