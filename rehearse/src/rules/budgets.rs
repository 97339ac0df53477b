//! What all proxies spend together, judged by those who receive it: what a stand-in held at each moment, whoever sent it,
//! against what all may have there.

use super::Breach;
use crate::record::Micros;

/// The rule.
pub const BUDGET: (&str, &str) =
    ("budget", "what all proxies have out at a time is never more than the limit");

/// Something that was held, from one moment to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// From then on.
    pub from: Micros,
    /// Until then.
    pub until: Micros,
}

/// How many were held at each change, in order.
pub fn held(spans: &[Span]) -> Vec<(Micros, u64)> {
    // What ends in the microsecond in which something else begins was out of the way by then.
    let spans = spans.iter().filter(|span| span.from < span.until);
    let mut changes: Vec<(Micros, bool)> =
        spans.flat_map(|span| [(span.from, true), (span.until, false)]).collect();
    changes.sort_unstable();
    let mut now = 0;
    let count = |(at, begins): (Micros, bool)| {
        now = if begins { now + 1 } else { now - 1 };
        (at, now)
    };
    changes.into_iter().map(count).collect()
}

/// Where more was held than the limit, which may be another from some moments on: a breach for each time that it went
/// over, with the most of that time.
pub fn judge(spans: &[Span], limits: &[(Micros, u64)]) -> Vec<Breach> {
    let limit_at =
        |at: Micros| limits.iter().rev().find(|(from, _)| *from <= at).map_or(u64::MAX, |limit| limit.1);
    let mut breaches: Vec<(Micros, u64, u64)> = Vec::new();
    let mut is_over = false;
    for (at, held) in held(spans) {
        let limit = limit_at(at);
        match (held > limit, breaches.last_mut()) {
            (true, Some(breach)) if is_over => breach.1 = held.max(breach.1),
            (true, _) => breaches.push((at, held, limit)),
            _ => {}
        }
        is_over = held > limit;
    }
    let breach = |(at, held, limit)| {
        let evidence = format!("{held} of {limit} held at a time");
        Breach { rule: BUDGET.0, request: None, target: None, at, evidence }
    };
    breaches.into_iter().map(breach).collect()
}

/// The mean of what was held from one moment to another.
pub fn mean(spans: &[Span], from: Micros, until: Micros) -> f64 {
    let within = |span: &Span| span.until.min(until).saturating_sub(span.from.max(from));
    spans.iter().map(within).sum::<Micros>() as f64 / until.saturating_sub(from).max(1) as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    fn span(from: Micros, until: Micros) -> Span {
        Span { from, until }
    }

    #[test]
    fn each_time_over_the_whole_is_named_with_its_most() {
        let spans = [span(0, 10), span(5, 20), span(10, 30), span(12, 14), span(13, 15), span(40, 50)];
        let said = |limits: &[(Micros, u64)]| {
            judge(&spans, limits).into_iter().map(|b| (b.at, b.evidence)).collect::<Vec<_>>()
        };
        assert_eq!(said(&[(0, 4)]), []);
        assert_eq!(said(&[(0, 3)]), [(13, "4 of 3 held at a time".to_owned())]);
        assert_eq!(
            said(&[(0, 2)]),
            [(12, "4 of 2 held at a time".to_owned())],
            "the first two met, and the third took the place of one that ended with its beginning"
        );
        // The limit is lowered: what was out before is not held against anybody, what comes after is.
        assert_eq!(said(&[(0, 4), (13, 0)]).len(), 2);
        assert_eq!(said(&[]), [], "nothing is said of a limit");
        assert_eq!(held(&[span(7, 7), span(7, 8)]), [(7, 1), (8, 0)], "what took no time was not held");
    }

    #[test]
    fn the_mean_counts_what_lies_within() {
        assert_eq!(mean(&[span(0, 10), span(5, 20)], 0, 20), 1.25);
        assert_eq!(mean(&[span(0, 10)], 10, 20), 0.0);
    }
}
