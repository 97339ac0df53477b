//! Tests of fair shares.

use super::*;

#[test]
fn small_demands_are_met_in_full_and_the_rest_is_shared_equally() {
    let mut demands = Demands::default();
    for (holder, demand) in [(0, 10), (1, 1_000), (2, 1_000), (3, 0)] {
        demands.set(5, holder, demand, 100);
    }
    let shares: Vec<Amount> = (0..5)
        .map(|holder| demands.fair_share(holder, 200))
        .collect();
    assert_eq!(
        shares,
        [10, 91, 91, 0, 0],
        "one part in 25 is reserved for new holders"
    );
    demands.set(106, 1, 1_000, 100);
    assert_eq!(
        demands.fair_share(1, 200),
        192,
        "expired demands do not count"
    );
}
