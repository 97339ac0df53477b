//! Retry delays: exponential growth, the upper bound, and jitter across proxies.

use linnetknot_consul::Backoff;

#[test]
fn delays_double_up_to_the_maximum_with_different_jitter_per_proxy() {
    let delays = |seed| {
        let mut backoff = Backoff::new(100, 5_000, seed);
        (0..12).map(|_| backoff.next_delay()).collect::<Vec<_>>()
    };
    for seed in 0..20 {
        for (n, delay) in delays(seed).into_iter().enumerate() {
            let base_delay = (100u64 << n).min(5_000);
            assert!(
                (base_delay / 2..=base_delay * 3 / 2).contains(&delay),
                "{n}: {delay}"
            );
        }
    }
    // The retries of 100 proxies are spread over the whole range of the jitter.
    let mut last_delays: Vec<u64> = (0..100).map(|seed| delays(seed)[11]).collect();
    last_delays.sort_unstable();
    let max_gap = last_delays.windows(2).map(|w| w[1] - w[0]).max();
    assert!(
        last_delays[0] < 3_000 && last_delays[99] > 7_000 && max_gap < Some(600),
        "{last_delays:?}"
    );
    let mut backoff = Backoff::new(100, 5_000, 1);
    (0..9).for_each(|_| {
        backoff.next_delay();
    });
    backoff.reset();
    assert!(backoff.failures() == 0 && backoff.next_delay() <= 150);
}
