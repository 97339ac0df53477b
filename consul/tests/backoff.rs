//! Retry delays: exponential growth, the upper bound, and jitter across proxies.

use linnetknot_consul::Backoff;

#[test]
fn waits_double_up_to_their_most_and_differ_from_proxy_to_proxy() {
    let waits = |seed| {
        let mut b = Backoff::new(100, 5_000, seed);
        (0..12).map(|_| b.next_delay()).collect::<Vec<_>>()
    };
    for seed in 0..20 {
        for (n, wait) in waits(seed).into_iter().enumerate() {
            let middle = (100u64 << n).min(5_000);
            assert!((middle / 2..=middle * 3 / 2).contains(&wait), "{n}: {wait}");
        }
    }
    // A hundred that failed at one moment come back spread over the whole time.
    let mut last: Vec<u64> = (0..100).map(|seed| waits(seed)[11]).collect();
    last.sort_unstable();
    let gap = last.windows(2).map(|w| w[1] - w[0]).max();
    assert!(
        last[0] < 3_000 && last[99] > 7_000 && gap < Some(600),
        "{last:?}"
    );
    let mut b = Backoff::new(100, 5_000, 1);
    (0..9).for_each(|_| {
        b.next_delay();
    });
    b.reset();
    assert!(b.failures() == 0 && b.next_delay() <= 150);
}
