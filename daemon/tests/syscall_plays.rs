//! Several daemons under load while their system calls fail: no rule of the rehearsal kit is broken.

use linnetknot_rehearse::player::{play_with_fail_points, Outcome};
use linnetknot_rehearse::scenario::{ClassLoad, Fault, Load, Scenario, SiteForm, What};
use std::path::Path;

/// Every call fails now and then, in each way that is a matter of this machine or of a connection that was to come.
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

/// A few seconds of photos, posts and purges at three proxies.
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

/// Caches that die and come back again and again.
fn flapping() -> Vec<Fault> {
    let dies = |at, first| Fault {
        at,
        lasts: 0.6,
        what: What::BoxDies { boxes: 2, first },
    };
    vec![
        dies(0.8, 0),
        dies(1.4, 2),
        dies(2.2, 0),
        dies(2.8, 4),
        dies(3.6, 2),
        dies(4.4, 0),
    ]
}

fn played(faults: Vec<Fault>, seed: u64, points: &str) -> Outcome {
    let daemon = Path::new(env!("CARGO_BIN_EXE_linnetknot"));
    let outcome =
        play_with_fail_points(daemon, &scenario(faults), seed, points).expect("it is played");
    assert_eq!(outcome.breaches, [], "seed {seed}");
    assert_eq!(outcome.check_conclusive(), Ok(()));
    assert!(outcome.requests > 450, "{outcome:?}");
    outcome
}

#[test]
fn a_calm_play_with_failing_calls_breaks_no_rule() {
    let outcome = played(vec![], 3, ALL_CALLS);
    assert!(outcome.score.total.score() > Some(0.9), "{outcome:?}");
}

#[test]
fn a_play_with_flapping_caches_and_failing_calls_breaks_no_rule() {
    for seed in [3, 204] {
        let outcome = played(flapping(), seed, ALL_CALLS);
        assert!(outcome.score.total.score() > Some(0.5), "{outcome:?}");
    }
}

#[test]
fn a_play_with_flapping_caches_and_an_epoll_set_without_memory_breaks_no_rule() {
    let points = "sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31)";
    let outcome = played(flapping(), 11, points);
    assert!(outcome.score.total.score() > Some(0.5), "{outcome:?}");
}
