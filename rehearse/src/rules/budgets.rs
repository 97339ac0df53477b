//! The rule on fleet-wide budgets, judged where they are spent: what a fake held at each time, whichever proxy sent it,
//! against the limit of all proxies.

use super::Breach;
use crate::record::Micros;
pub use linnetknot_harness::span::Span;

/// The rule.
pub const BUDGET: (&str, &str) = (
    "budget",
    "what all proxies have out at a time is never more than the limit",
);

/// A limit that holds from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitFrom {
    /// The time.
    pub from: Micros,
    /// The limit.
    pub limit: u64,
}

/// How many requests were held from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightFrom {
    /// The time.
    pub from: Micros,
    /// The number of requests.
    pub in_flight: u64,
}

/// Returns how many requests were held after each change, in order.
pub fn in_flight(spans: &[Span]) -> Vec<InFlightFrom> {
    // What ends in the microsecond in which something else begins was out of the way by then.
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

/// A time in which more was held than the limit.
struct Excess {
    from: Micros,
    /// The most that was held in that time.
    in_flight: u64,
    /// The limit when it began.
    limit: u64,
}

impl Excess {
    fn breach(&self) -> Breach {
        let evidence = format!("{} of {} held at a time", self.in_flight, self.limit);
        Breach {
            rule: BUDGET.0,
            request: None,
            target: None,
            at: self.from,
            evidence,
        }
    }
}

/// Returns a breach for each time in which more was held than the limit, with the most of that time. The limits are in the
/// order of their times; before the first of them nothing is limited.
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

/// Returns the mean of what was held from one time to another.
pub fn mean(spans: &[Span], from: Micros, until: Micros) -> f64 {
    let within = |span: &Span| span.until.min(until).saturating_sub(span.from.max(from));
    spans.iter().map(within).sum::<Micros>() as f64 / until.saturating_sub(from).max(1) as f64
}
