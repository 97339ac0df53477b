//! Tests of the rule on budgets shared by several proxies.

use linnetknot_rehearse::record::Micros;
use linnetknot_rehearse::rules::budgets::{in_flight, judge, mean, InFlightFrom, LimitFrom, Span};

fn span(from: Micros, until: Micros) -> Span {
    Span { from, until }
}

#[test]
fn each_period_over_the_limit_is_reported_with_its_peak() {
    let spans = [
        span(0, 10),
        span(5, 20),
        span(10, 30),
        span(12, 14),
        span(13, 15),
        span(40, 50),
    ];
    let judged = |limits: &[(Micros, u64)]| {
        let limits: Vec<LimitFrom> = limits
            .iter()
            .map(|(from, limit)| LimitFrom {
                from: *from,
                limit: *limit,
            })
            .collect();
        judge(&spans, &limits)
            .into_iter()
            .map(|b| (b.at, b.evidence))
            .collect::<Vec<_>>()
    };
    assert_eq!(judged(&[(0, 4)]), []);
    assert_eq!(judged(&[(0, 3)]), [(13, "4 of 3 in flight".to_owned())]);
    assert_eq!(
        judged(&[(0, 2)]),
        [(12, "4 of 2 in flight".to_owned())],
        "a request may start in the microsecond in which another ends"
    );
    // After the limit is lowered, a breach is reported only once the number of requests changes again.
    assert_eq!(judged(&[(0, 4), (13, 0)]).len(), 2);
    assert_eq!(judged(&[]), [], "no limit is set");
    assert_eq!(
        in_flight(&[span(7, 7), span(7, 8)]),
        [
            InFlightFrom {
                from: 7,
                in_flight: 1
            },
            InFlightFrom {
                from: 8,
                in_flight: 0
            }
        ],
        "a request without duration does not count"
    );
}

#[test]
fn mean_counts_only_time_within_the_window() {
    assert_eq!(mean(&[span(0, 10), span(5, 20)], 0, 20), 1.25);
    assert_eq!(mean(&[span(0, 10)], 10, 20), 0.0);
}
