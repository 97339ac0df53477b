//! Checks fleet-wide budgets: the requests in flight at a fake server, from all proxies together, must not exceed the
//! limit for the fleet.

use super::Breach;
use crate::record::Micros;
pub use linnetknot_harness::span::Span;

/// The name of the rule and its description.
pub const BUDGET: (&str, &str) = (
    "budget",
    "the requests in flight from all proxies together never exceed the limit",
);

/// A limit and the time from which it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitFrom {
    /// The start of the period.
    pub from: Micros,
    /// The maximum number of requests in flight from the whole fleet.
    pub limit: u64,
}

/// The number of requests in flight from a time until the next change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightFrom {
    /// The start of the period.
    pub from: Micros,
    /// The number of requests in flight from this time.
    pub in_flight: u64,
}

/// Returns the number of requests in flight after each change, in order of time.
pub fn in_flight(spans: &[Span]) -> Vec<InFlightFrom> {
    // At the same microsecond, ends of requests are sorted before starts.
    let spans = spans.iter().filter(|span| span.from < span.until);
    let mut changes: Vec<(Micros, bool)> = spans
        .flat_map(|span| [(span.from, true), (span.until, false)])
        .collect();
    changes.sort_unstable();
    let mut now = 0;
    let count = |(from, begins): (Micros, bool)| {
        now = if begins { now + 1 } else { now - 1 };
        InFlightFrom {
            from,
            in_flight: now,
        }
    };
    changes.into_iter().map(count).collect()
}

/// A period in which the requests in flight exceeded the limit.
struct Excess {
    from: Micros,
    /// The highest number of requests in flight in the period.
    in_flight: u64,
    /// The limit at the start of the period.
    limit: u64,
}

impl Excess {
    fn breach(&self) -> Breach {
        let evidence = format!("{} of {} in flight", self.in_flight, self.limit);
        Breach {
            rule: BUDGET.0,
            request: None,
            target: None,
            at: self.from,
            evidence,
        }
    }
}

/// Returns a breach for each period over the limit, with the highest number of that period. `limits` is in order of time;
/// there is no limit before the first.
pub fn judge(spans: &[Span], limits: &[LimitFrom]) -> Vec<Breach> {
    let limit_at = |at: Micros| {
        let last = limits.iter().rev().find(|limit| limit.from <= at);
        last.map_or(u64::MAX, |limit| limit.limit)
    };
    let mut excesses: Vec<Excess> = Vec::new();
    let mut is_over = false;
    for InFlightFrom { from, in_flight } in in_flight(spans) {
        let limit = limit_at(from);
        match excesses.last_mut() {
            _ if in_flight <= limit => {}
            Some(excess) if is_over => excess.in_flight = in_flight.max(excess.in_flight),
            _ => excesses.push(Excess {
                from,
                in_flight,
                limit,
            }),
        }
        is_over = in_flight > limit;
    }
    excesses.iter().map(Excess::breach).collect()
}

/// Returns the mean number of requests in flight between two times.
pub fn mean(spans: &[Span], from: Micros, until: Micros) -> f64 {
    let within = |span: &Span| span.until.min(until).saturating_sub(span.from.max(from));
    spans.iter().map(within).sum::<Micros>() as f64 / until.saturating_sub(from).max(1) as f64
}
