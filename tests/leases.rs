//! Leases of what all routers spend together: they go before the router's own guess, at the moment of each spend.

mod common;
use common::*;
use linnetknot::*;

fn lease(budget: Budget, amount: f64, until: Micros, reserved: f64) -> Event {
    Event::Lease(Lease {
        budget,
        amount,
        until,
        reserved,
    })
}

#[test]
fn no_more_is_held_at_the_origin_than_its_lease_and_a_place_is_free_once_its_request_has_ended() {
    let mut rig = Rig::new(settings(), fleet());
    // Without a lease there is no bound.
    let first: Vec<Sent> = (0..5)
        .map(|n| rig.send("order", &format!("/o/{n}")))
        .collect();
    assert!(first.iter().all(|s| s.server == 21));
    assert_eq!(rig.router.origin_requests_in_flight(), 5);
    // A lease that is less than what is out calls nothing off, and lets nothing more out.
    assert!(rig
        .handle(lease(Budget::Origin, 3.0, rig.now + S, 1.0))
        .is_empty());
    for sent in &first[..3] {
        let (id, actions) = rig.ask("order", "/o/9", 5 * S);
        assert_eq!(
            actions,
            vec![Action::Refuse {
                request: id,
                retry_after_us: Some(200 * MS)
            }],
            "at once"
        );
        rig.end(sent.request, 0, 21, Outcome::Ok);
    }
    assert_eq!(rig.router.origin_requests_in_flight(), 2);
    let third = rig.send("order", "/o/9");
    assert!(sent(&rig.ask("charge", "/o/10", 5 * S).1).is_none());
    // Its end needs no message: the reserved minimum is left.
    rig.now += S;
    for s in [first[3], first[4]] {
        rig.end(s.request, 0, 21, Outcome::Ok);
        assert!(sent(&rig.ask("order", "/o/11", 5 * S).1).is_none());
    }
    rig.end(third.request, 0, 21, Outcome::Ok);
    rig.send("order", "/o/11");
    assert!(
        sent(&rig.ask("order", "/o/12", 5 * S).1).is_none(),
        "and one is reserved"
    );
    rig.handle(lease(Budget::Origin, 2.0, rig.now + S, 1.0));
    rig.send("order", "/o/12");
}

/// A fill by way of a parent may have the origin asked, too.
#[test]
fn fills_that_may_have_the_origin_asked_hold_its_places() {
    let mut rig = Rig::new(settings(), fleet());
    rig.handle(lease(Budget::Origin, 2.0, rig.now + 100 * S, 0.0));
    let fills: Vec<Sent> = (0..3)
        .map(|n| rig.send("video", &format!("/o/{n}")))
        .collect();
    let asks: Vec<bool> = fills.iter().map(|s| !s.fill.only_if_cached).collect();
    assert_eq!(
        asks,
        [true, true, false],
        "the third is given only what a parent holds"
    );
    assert!(sent(&rig.ask("order", "/o/9", 5 * S).1).is_none());
    rig.end_with(
        fills[0].request,
        0,
        fills[0].server,
        Outcome::Ok,
        Note::FilledByOrigin,
    );
    rig.send("order", "/o/9");
}

/// Requests of 0.1 s of work each that a cold cache, or parent, is sent within a window.
fn sent_cold(parent: bool, lease: Option<Lease>) -> (usize, Option<f64>) {
    let mut s = Settings {
        direct_to_upstream: false,
        ..settings()
    };
    s.zones[1].routers = 16;
    let mut servers = vec![
        server(1, "town", "cache"),
        server(11, "hub", "parent"),
        server(21, "hub", "origin"),
    ];
    servers[usize::from(parent)].started = Some(T0);
    // The other one has room for all.
    servers[usize::from(!parent)].weight = 1000.0;
    servers[usize::from(parent)].weight = 80.0;
    let mut rig = Rig::new(s, servers);
    lease
        .into_iter()
        .for_each(|lease| drop(rig.handle(Event::Lease(lease))));
    let cold = if parent { 11 } else { 1 };
    let asked = (0..400).map(|n| rig.ask("video", &format!("/o/{n}"), 5 * S).1);
    let came = asked
        .filter_map(|actions| sent(&actions))
        .filter(|s| [s.server, s.fill.source].contains(&cold));
    let came = came.count();
    (came, rig.router.max_slow_start_usage(rig.now, parent))
}

#[test]
fn a_cold_server_is_sent_what_this_routers_lease_of_it_says_and_by_its_own_guess_without_one() {
    for (parent, budget) in [(false, Budget::Caches), (true, Budget::Parents)] {
        let lease = |amount| {
            Some(Lease {
                budget,
                amount,
                until: T0 + S,
                reserved: 0.05,
            })
        };
        let (guess, by_guess) = sent_cold(parent, None);
        assert!(
            guess >= 1 && by_guess.is_some(),
            "{budget:?}: {guess}, {by_guess:?}"
        );
        let (all, used) = sent_cold(parent, lease(1.0));
        assert!(
            all > 3 * guess,
            "{budget:?}: alone it may send what many would: {all}, {guess} by its guess"
        );
        assert!(
            used > by_guess && used <= Some(1.0),
            "{budget:?}: {used:?}, {by_guess:?} by its guess"
        );
        assert_eq!(sent_cold(parent, lease(0.0)).0, 0, "{budget:?}");
        let over = Lease {
            budget,
            amount: 1.0,
            until: T0,
            reserved: 0.05,
        };
        let (reserved, _) = sent_cold(parent, Some(over));
        assert!(
            reserved >= 1 && 3 * reserved < all,
            "{budget:?}: {reserved} by the reserved minimum, {all} by the limit"
        );
        // A lease of the other kind says nothing of this one.
        let other = if parent {
            Budget::Caches
        } else {
            Budget::Parents
        };
        let other = Lease {
            budget: other,
            amount: 0.0,
            until: T0 + S,
            reserved: 0.0,
        };
        assert_eq!(sent_cold(parent, Some(other)).0, guess, "{budget:?}");
    }
    let warm = Rig::new(settings(), fleet());
    assert_eq!(
        (
            warm.router.max_slow_start_usage(T0, false),
            warm.router.max_slow_start_usage(T0, true)
        ),
        (None, None)
    );
}
