//! Runs several daemons under load while their system calls fail, and checks them with the rules of the load-test tool
//! (`linnetknot-rehearse`).

use linnetknot_rehearse::player::{play_with_fail_points, Outcome};
use linnetknot_rehearse::scenario::{ClassLoad, Fault, Load, Scenario, SiteForm, What};
use std::path::Path;

/// Fail points that make every system call fail at intervals, with each errno that is transient or that concerns a
/// single new connection.
const ALL_CALLS: &str =
    "sys-accept=errno(ECONNABORTED|EMFILE|EPROTO|ENFILE|ENOBUFS|ENETDOWN|ENOMEM|EINTR):every(4);\
    sys-socket=errno(ENFILE|ENOBUFS|ENOMEM|EMFILE):every(5);\
    sys-connect=errno(EADDRNOTAVAIL|EINTR|ENETUNREACH|ENOBUFS):every(4);\
    sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31);\
    sys-epoll-wait=errno(EINTR):every(4);\
    sys-sendto=errno(ENOBUFS|EPERM|EINTR|ENOMEM):every(5);\
    sys-recvfrom=errno(EINTR|ECONNREFUSED|ENOMEM):every(5);\
    sys-read=errno(EINTR|ENOMEM|EAGAIN|ENOBUFS):every(5);\
    sys-write=errno(ENOBUFS|EINTR|EAGAIN|ENOMEM):every(5);\
    sys-setsockopt=errno(ENOBUFS|ENOMEM):every(5)";

/// A load of photo requests, posts and purges on three proxies for six seconds.
fn scenario(faults: Vec<Fault>) -> Scenario {
    let class = |name: &str, share, keyed| ClassLoad {
        name: name.into(),
        share,
        objects: 20,
        zipf: 1.0,
        once: 0.1,
        drift: 0.0,
        parts: (1, 1),
        gap: (0.0, 0.0),
        median_kb: 40.0,
        sigma: 0.5,
        budget_ms: 1500,
        keyed,
    };
    Scenario {
        name: "system calls".into(),
        about: "for the tests".into(),
        seconds: 6.0,
        proxies: 3,
        peers: true,
        load: Load {
            rate: 100.0,
            shape: vec![],
            classes: vec![class("photo", 0.9, false), class("post", 0.1, true)],
            purges: 4.0,
        },
        site: SiteForm::default(),
        faults,
    }
}

/// Faults that repeatedly kill caches, which recover after a while.
fn flapping_caches() -> Vec<Fault> {
    let cache_dies = |at, first| Fault {
        at,
        lasts: 0.6,
        what: What::BoxDies { boxes: 2, first },
    };
    vec![
        cache_dies(0.8, 0),
        cache_dies(1.4, 2),
        cache_dies(2.2, 0),
        cache_dies(2.8, 4),
        cache_dies(3.6, 2),
        cache_dies(4.4, 0),
    ]
}

fn play_without_breaches(faults: Vec<Fault>, seed: u64, fail_points: &str) -> Outcome {
    let daemon = Path::new(env!("CARGO_BIN_EXE_linnetknot"));
    let outcome = play_with_fail_points(daemon, &scenario(faults), seed, fail_points)
        .expect("the scenario runs");
    assert_eq!(outcome.breaches, [], "seed {seed}");
    assert_eq!(outcome.check_conclusive(), Ok(()));
    assert!(outcome.requests > 450, "{outcome:?}");
    outcome
}

#[test]
fn failing_system_calls_under_load_break_no_rule() {
    let outcome = play_without_breaches(vec![], 3, ALL_CALLS);
    assert!(outcome.score.total.score() > Some(0.9), "{outcome:?}");
}

#[test]
fn failing_system_calls_and_flapping_caches_break_no_rule() {
    for seed in [3, 204] {
        let outcome = play_without_breaches(flapping_caches(), seed, ALL_CALLS);
        assert!(outcome.score.total.score() > Some(0.5), "{outcome:?}");
    }
}

#[test]
fn failing_epoll_registrations_and_flapping_caches_break_no_rule() {
    let fail_points = "sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31)";
    let outcome = play_without_breaches(flapping_caches(), 11, fail_points);
    assert!(outcome.score.total.score() > Some(0.5), "{outcome:?}");
}
