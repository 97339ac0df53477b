//! What all proxies spend together, on several processes with fault-injecting links between them: places at the origin, counted by the
//! origin itself. However links and processes fail, it never holds more than the limit; and what the others do not use is
//! used by those that have something to do.

use linnetknot_daemon::budgets::{BudgetStatus, GrantStatus, Status};
use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fleet::{Disk, Fleet, Setup};
use linnetknot_harness::links::LinkConditions;
use linnetknot_harness::pressure::Pressure;
use linnetknot_rehearse::rules::budgets::{judge, mean, LimitFrom};
use linnetknot_rehearse::rules::Breach;
use serde_json::{json, Value};
use std::path::Path;
use std::time::{Duration, Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// Places at the origin, and those set aside for each proxy.
const LIMIT: u64 = 24;
const RESERVED: u64 = 2;
/// How long a request may be open: what is spent settles within it.
const DEADLINE_US: u64 = 1_000_000;
/// How long the origin holds each.
const HOLD_MS: u64 = 100;
/// More clients of each proxy than there are places.
const CLIENTS: usize = 26;

fn origin(limit: u64) -> Value {
    json!({"origin": {"whole": limit, "floor": RESERVED}})
}

struct Ground {
    fleet: Fleet,
    clients: Vec<Option<Pressure>>,
    begun: Instant,
    limits: Vec<LimitFrom>,
}

impl Ground {
    /// So many proxies, the first of which have clients.
    fn start(proxies: usize, pressed: usize, seed: u64, planted: &str) -> Ground {
        let setup = Setup {
            budgets: origin(LIMIT),
            deadline_us: Some(DEADLINE_US),
            fail_points: planted,
            ..Setup::replicating(Path::new(DAEMON), proxies, seed)
        };
        let fleet = Fleet::with(setup).unwrap();
        fleet
            .origin
            .set_behaviour(linnetknot_harness::fakes::cache::Behaviour {
                answer_delay_ms: HOLD_MS,
                ..Default::default()
            });
        let clients = (0..proxies).map(|_| None).collect();
        let mut ground = Ground {
            fleet,
            clients,
            begun: Instant::now(),
            limits: vec![LimitFrom {
                from: 0,
                limit: LIMIT,
            }],
        };
        (0..pressed).for_each(|n| ground.press(n));
        ground
    }

    /// A proxy has clients from now on.
    fn press(&mut self, n: usize) {
        let front = self.fleet.process(n).unwrap().front;
        self.clients[n] = Some(Pressure::on(front, CLIENTS));
    }

    fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    fn kill(&mut self, n: usize) {
        self.clients[n]
            .iter()
            .for_each(|clients| clients.send_to(None));
        self.fleet.kill(n).unwrap();
    }

    fn restart(&mut self, n: usize, points: &str) {
        self.fleet
            .restart_with_fail_points(n, Disk::Kept, points)
            .unwrap();
        let front = self.fleet.process(n).unwrap().front;
        self.clients[n]
            .iter()
            .for_each(|clients| clients.send_to(Some(front)));
    }

    /// What a proxy tells of the places; none where it does not run, or stands still.
    fn places(&self, n: usize) -> Option<BudgetStatus> {
        self.fleet
            .budgets(n)
            .ok()
            .map(|status| status.budgets[0].clone())
    }

    /// Who of these leads, as soon as one does.
    fn allocator(&self, of: &[usize]) -> usize {
        let mut allocator = None;
        self.until("one leads", || {
            allocator = of
                .iter()
                .copied()
                .find(|n| self.places(*n).is_some_and(|b| b.leads));
            allocator.is_some()
        });
        allocator.unwrap()
    }

    fn until(&self, what: &str, so: impl FnMut() -> bool) {
        let statuses = || {
            (0..self.clients.len())
                .map(|n| (n, self.places(n)))
                .collect::<Vec<_>>()
        };
        assert!(
            poll_until(3 * TIMEOUT, so),
            "never: {what}: {:#?}",
            statuses()
        );
    }

    /// The mean of what the origin held in the last half second.
    fn used(&self) -> f64 {
        let now = self.now();
        mean(
            &self.fleet.origin.spans(self.begun),
            now.saturating_sub(500_000),
            now,
        )
    }

    /// Waits until the origin holds so many on average.
    fn until_used(&self, what: &str, places: f64) {
        self.until(what, || self.used() >= places);
    }

    fn breaches(&self) -> Vec<Breach> {
        judge(&self.fleet.origin.spans(self.begun), &self.limits)
    }

    /// Time passes under load, as it does while something is broken.
    fn pass(&self, time: Duration) {
        std::thread::sleep(time);
    }

    /// All that was held fits the limit, something was, and each proxy that has clients still answers.
    fn judge(&self) {
        assert_eq!(self.breaches(), []);
        assert!(!self.fleet.origin.spans(self.begun).is_empty());
        for n in (0..self.clients.len()).filter(|n| self.fleet.process(*n).is_ok()) {
            if let Some(clients) = &self.clients[n] {
                let before = clients.answers().served;
                self.until(&format!("p{n} serves on"), || {
                    clients.answers().served > before
                });
            }
        }
    }
}

const ALL: [usize; 3] = [0, 1, 2];
/// Nearly all that is left to others while one lives on its reserved minimum.
const REST: f64 = (LIMIT - RESERVED) as f64 * 0.8;

/// So many proxies that use all places, and the one that leads them.
fn full(proxies: usize, seed: u64, planted: &str) -> (Ground, usize) {
    let ground = Ground::start(proxies, proxies, seed, planted);
    ground.until_used("all places are used", LIMIT as f64 * 0.8);
    let allocator = ground.allocator(&(0..proxies).collect::<Vec<_>>());
    (ground, allocator)
}

/// The allocator is lost in some way: another leads and the others use the rest. It is found again, and takes nothing
/// away.
fn lost_and_found(
    seed: u64,
    lose: impl FnOnce(&mut Ground, usize),
    find: impl FnOnce(&mut Ground, usize),
) {
    let (mut ground, allocator) = full(3, seed, "");
    lose(&mut ground, allocator);
    let next = ground.allocator(&others(allocator));
    ground.until_used("the others use the rest", REST);
    find(&mut ground, allocator);
    ground.until("it has a lease again, and knows who leads", || {
        let knows =
            |b: BudgetStatus| !b.reserved_only && !b.leads && b.allocator == format!("p{next}");
        ground.places(allocator).is_some_and(knows)
    });
    ground.judge();
}

fn others(of: usize) -> Vec<usize> {
    ALL.into_iter().filter(|n| *n != of).collect()
}

#[test]
fn what_idle_proxies_do_not_use_is_used_by_the_busy_one_and_shared_when_others_come() {
    let mut ground = Ground::start(3, 1, 1, "");
    ground.until_used(
        "one alone has nearly all places",
        (LIMIT - 2 * RESERVED) as f64 * 0.85,
    );
    ground.press(1);
    ground.press(2);
    ground.until("each has a fair lease", || {
        ALL.iter().all(|n| {
            ground
                .places(*n)
                .is_some_and(|b| b.lease >= LIMIT / 3 - 2 && !b.reserved_only)
        })
    });
    ground.until_used("together they use nearly all", LIMIT as f64 * 0.85);
    ground.judge();
}

#[test]
fn an_allocator_that_is_killed_is_followed_by_another_and_comes_back_as_one_of_them() {
    lost_and_found(2, Ground::kill, |ground, allocator| {
        ground.restart(allocator, "");
    });
}

/// It stands still for longer than its votes last, another has them by then, and it goes on as if nothing was: two that
/// both believe.
#[test]
fn an_allocator_that_stands_still_and_goes_on_is_no_second_one() {
    lost_and_found(
        5,
        |ground, allocator| ground.fleet.stall(allocator).unwrap(),
        |ground, allocator| ground.fleet.resume(allocator).unwrap(),
    );
}

#[test]
fn an_allocator_on_the_lesser_side_of_a_split_lives_on_its_reserved_minimum_and_the_greater_side_goes_on(
) {
    lost_and_found(
        7,
        |ground, allocator| {
            ground.fleet.links.split(&[allocator], LinkConditions::CUT);
            ground.until("it lives on its reserved minimum", || {
                ground
                    .places(allocator)
                    .is_some_and(|b| b.reserved_only && b.lease == RESERVED && !b.leads)
            });
        },
        |ground, allocator| {
            ground
                .fleet
                .links
                .split(&[allocator], LinkConditions::default());
        },
    );
}

/// It receives all and nothing that it sends arrives.
#[test]
fn an_allocator_that_hears_and_is_not_heard_is_followed_by_another() {
    let set = |ground: &mut Ground, allocator, conditions| {
        others(allocator)
            .into_iter()
            .for_each(|n| ground.fleet.links.set((allocator, n), conditions));
    };
    lost_and_found(
        8,
        |ground, allocator| set(ground, allocator, LinkConditions::CUT),
        |ground, allocator| set(ground, allocator, LinkConditions::default()),
    );
}

/// In the middle of an allocation: it has decided on leases, and their holders have received them or have not.
#[test]
fn an_allocator_that_dies_before_and_after_its_holders_hear_of_their_leases_has_given_nothing_twice(
) {
    for (seed, point) in ["budgets-grant", "budgets-granted"].into_iter().enumerate() {
        let (mut ground, allocator) = full(3, 3 + seed as u64, "");
        // Whichever leads next dies of its first grant.
        for n in others(allocator) {
            ground.kill(n);
            ground.restart(n, &format!("{point}=die"));
            ground.until("it is back", || {
                ground.places(n).is_some_and(|b| !b.reserved_only)
            });
        }
        ground.kill(allocator);
        ground.until("the next has died of its first grant", || {
            others(allocator)
                .into_iter()
                .any(|n| ground.fleet.process(n).is_err())
        });
        ground.restart(allocator, "");
        for n in others(allocator) {
            ground.kill(n);
            ground.restart(n, "");
        }
        ground.until_used("all places are used again", LIMIT as f64 * 0.75);
        ground.judge();
    }
}

/// The list of peers gives each member its index. A proxy whose list changes while it runs would take one member's messages
/// for another's.
#[test]
fn a_proxy_whose_list_of_peers_changes_shares_nothing_before_its_next_start() {
    let (mut ground, allocator) = full(3, 14, "");
    let changed = others(allocator)[0];
    ground.fleet.reorder_peers(changed).unwrap();
    ground.until("it lives on its reserved minimum", || {
        ground
            .places(changed)
            .is_some_and(|b| b.reserved_only && b.lease == RESERVED && !b.leads)
    });
    ground.until_used("the others use the rest", REST);
    ground.judge();
}

#[test]
fn a_holder_that_stands_still_past_its_end_goes_on_with_its_reserved_minimum() {
    let (ground, allocator) = full(3, 6, "");
    let holder = others(allocator)[0];
    for _ in 0..3 {
        ground.fleet.stall(holder).unwrap();
        ground.until_used("the others use what was its", REST);
        ground.fleet.resume(holder).unwrap();
        ground.until("it has a lease again", || {
            ground
                .places(holder)
                .is_some_and(|b| !b.reserved_only && b.lease > RESERVED)
        });
    }
    ground.judge();
}

#[test]
fn each_holders_link_to_the_allocator_lost_for_long_leaves_it_its_reserved_minimum_and_the_others_the_rest(
) {
    let (ground, allocator) = full(4, 9, "");
    let holders: Vec<usize> = (0..4).filter(|n| *n != allocator).collect();
    for holder in holders {
        ground
            .fleet
            .links
            .set((holder, allocator), LinkConditions::CUT);
        ground.until("it lives on its reserved minimum", || {
            ground.places(holder).is_some_and(|b| b.reserved_only)
        });
        ground.until_used("the others have the rest", REST);
        ground
            .fleet
            .links
            .set((holder, allocator), LinkConditions::default());
        ground.until("it has a lease again", || {
            ground.places(holder).is_some_and(|b| !b.reserved_only)
        });
    }
    ground.judge();
}

#[test]
fn datagrams_lost_by_a_third_doubled_and_out_of_order_cost_places_and_no_more() {
    let ground = Ground::start(3, 3, 10, "");
    let rough = LinkConditions {
        drop: 0.33,
        duplicate: 0.33,
        reorder: 0.33,
        jitter_ms: 60.0,
        ..LinkConditions::default()
    };
    ground.fleet.links.set_all(rough);
    ground.until_used("most places are used", LIMIT as f64 * 0.75);
    ground.pass(Duration::from_secs(2));
    ground.judge();
}

/// Half of the proxies die at once and are back at once, and know nothing of what they granted and had.
#[test]
fn half_of_all_killed_at_once_and_back_at_once_spend_nothing_twice() {
    let (mut ground, allocator) = full(4, 11, "");
    for other in [(allocator + 1) % 4, (allocator + 2) % 4] {
        ground.kill(allocator);
        ground.kill(other);
        ground.restart(allocator, "");
        ground.restart(other, "");
        ground.until_used("all places are used again", LIMIT as f64 * 0.75);
    }
    ground.judge();
}

/// One after the other, as an upgrade goes, each told to end (SIGTERM).
#[test]
fn a_rolling_restart_of_all_keeps_the_limit() {
    let (mut ground, _) = full(3, 12, "");
    for n in ALL {
        ground.clients[n]
            .iter()
            .for_each(|clients| clients.send_to(None));
        assert!(ground.fleet.end(n).unwrap(), "p{n} ends well");
        ground.restart(n, "");
    }
    ground.until_used("all places are used again", LIMIT as f64 * 0.75);
    ground.judge();
}

#[test]
fn a_limit_that_is_lowered_by_half_while_all_of_it_is_out_holds_once_that_has_ended() {
    let (mut ground, _) = full(3, 13, "");
    ground.fleet.set_budgets(origin(LIMIT / 2)).unwrap();
    ground.until("all know of it", || {
        ALL.iter()
            .all(|n| ground.places(*n).is_some_and(|b| b.limit == LIMIT / 2))
    });
    // What was granted of the limit before may be spent for a second more, and settles within another.
    ground.pass(Duration::from_micros(1_000_000 + DEADLINE_US));
    ground.limits.push(LimitFrom {
        from: ground.now(),
        limit: LIMIT / 2,
    });
    ground.pass(Duration::from_secs(1));
    ground.until_used("all of that is used", (LIMIT / 2) as f64 * 0.8);
    // One that its reserved minimums don't fit stays out.
    ground.fleet.set_budgets(origin(3 * RESERVED - 1)).unwrap();
    ground.pass(Duration::from_millis(300));
    assert!(ALL
        .iter()
        .all(|n| ground.places(*n).is_some_and(|b| b.limit == LIMIT / 2)));
    ground.judge();
}

/// Tools read these keys, whatever the fields are called here.
#[test]
fn the_status_keeps_its_keys() {
    let budget = BudgetStatus {
        name: "origin".to_owned(),
        unit: "held at a time".to_owned(),
        limit: 1,
        reserved: 2,
        lease: 3,
        ends_in_ms: Some(4),
        demand: 5,
        unsettled: 6,
        allocator: "p1".to_owned(),
        leads: true,
        reserved_only: false,
        granted_total: 7,
        holders: 8,
        granted: vec![GrantStatus {
            name: "p2".to_owned(),
            amount: 9,
        }],
    };
    let status = Status {
        name: "p0".to_owned(),
        members: 3,
        budgets: vec![budget],
        budgets_total: 10,
    };
    let expected = json!({
        "name": "p0", "members": 3, "budgets_in_all": 10,
        "budgets": [{
            "name": "origin", "unit": "held at a time", "whole": 1, "floor": 2, "part": 3, "ends_in_ms": 4,
            "wanted": 5, "out": 6, "divider": "p1", "divides": true, "on_floor": false, "granted_in_all": 7,
            "holders": 8, "granted": [{"name": "p2", "amount": 9}],
        }],
    });
    assert_eq!(serde_json::to_value(status).unwrap(), expected);
}

/// Each planted fault is seen by the origin.
#[test]
fn planted_faults_are_found() {
    // Floors that are not set aside: that shows by itself.
    let ground = Ground::start(3, 3, 20, "plant-floors=fail");
    ground.until("more is held than may be", || !ground.breaches().is_empty());
    drop(ground);
    // A holder that ignores its lease's end: cut off, it goes on with what the others have been given by then.
    let (ground, allocator) = full(3, 21, "plant-lease=fail");
    let holder = others(allocator)[0];
    ground.fleet.links.split(&[holder], LinkConditions::CUT);
    ground.until("more is held than may be", || !ground.breaches().is_empty());
    drop(ground);
    // An allocator that waits for nobody's vote: each side of a split has one.
    let ground = Ground::start(3, 3, 22, "plant-votes=fail");
    ground.until_used("all places are used", LIMIT as f64 * 0.8);
    ground.fleet.links.split(&[0], LinkConditions::CUT);
    ground.until("more is held than may be", || !ground.breaches().is_empty());
}
