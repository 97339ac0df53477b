//! What all proxies spend together, on several processes with fault-injecting links between them: places at the origin, counted by the
//! origin itself. However links and processes fail, it never holds more than the limit; and what the others do not use is
//! used by those that have something to do.

use linnetknot_daemon::budgets::{BudgetStatus, GrantStatus, Status};
use linnetknot_harness::clients::{becomes, TIMEOUT};
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

struct BudgetTest {
    fleet: Fleet,
    clients: Vec<Option<Pressure>>,
    started_at: Instant,
    limits: Vec<LimitFrom>,
}

impl BudgetTest {
    /// So many proxies, the first of which have clients.
    fn start(proxies: usize, proxies_with_clients: usize, seed: u64, planted: &str) -> BudgetTest {
        let setup = Setup {
            budgets: origin(LIMIT),
            deadline_us: Some(DEADLINE_US),
            planted,
            ..Setup::copying(Path::new(DAEMON), proxies, seed)
        };
        let fleet = Fleet::with(setup).unwrap();
        fleet
            .origin
            .behave(linnetknot_harness::fakes::cache::Manner {
                hold_ms: HOLD_MS,
                ..Default::default()
            });
        let clients = (0..proxies).map(|_| None).collect();
        let mut test = BudgetTest {
            fleet,
            clients,
            started_at: Instant::now(),
            limits: vec![LimitFrom {
                from: 0,
                limit: LIMIT,
            }],
        };
        (0..proxies_with_clients).for_each(|n| test.add_clients(n));
        test
    }

    /// A proxy has clients from now on.
    fn add_clients(&mut self, n: usize) {
        let front = self.fleet.process(n).unwrap().front;
        self.clients[n] = Some(Pressure::on(front, CLIENTS));
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    fn kill(&mut self, n: usize) {
        self.clients[n]
            .iter()
            .for_each(|clients| clients.send_to(None));
        self.fleet.kill(n).unwrap();
    }

    fn restart(&mut self, n: usize, points: &str) {
        self.fleet.restart_armed(n, Disk::Kept, points).unwrap();
        let front = self.fleet.process(n).unwrap().front;
        self.clients[n]
            .iter()
            .for_each(|clients| clients.send_to(Some(front)));
    }

    /// What a proxy tells of the places; none where it does not run, or stands still.
    fn budget_status(&self, n: usize) -> Option<BudgetStatus> {
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
                .find(|n| self.budget_status(*n).is_some_and(|b| b.leads));
            allocator.is_some()
        });
        allocator.unwrap()
    }

    fn until(&self, what: &str, condition: impl FnMut() -> bool) {
        let statuses = || {
            (0..self.clients.len())
                .map(|n| (n, self.budget_status(n)))
                .collect::<Vec<_>>()
        };
        assert!(
            becomes(3 * TIMEOUT, condition),
            "never: {what}: {:#?}",
            statuses()
        );
    }

    /// The mean of what the origin held in the last half second.
    fn mean_in_use(&self) -> f64 {
        let now = self.now();
        mean(
            &self.fleet.origin.spans(self.started_at),
            now.saturating_sub(500_000),
            now,
        )
    }

    /// Waits until the origin holds so many on average.
    fn until_in_use(&self, what: &str, places: f64) {
        self.until(what, || self.mean_in_use() >= places);
    }

    fn breaches(&self) -> Vec<Breach> {
        judge(&self.fleet.origin.spans(self.started_at), &self.limits)
    }

    /// Time passes under load, as it does while something is broken.
    fn run_for(&self, time: Duration) {
        std::thread::sleep(time);
    }

    /// All that was held fits the limit, something was, and each proxy that has clients still answers.
    fn assert_limit_kept(&self) {
        assert_eq!(self.breaches(), []);
        assert!(!self.fleet.origin.spans(self.started_at).is_empty());
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

const ALL_PROXIES: [usize; 3] = [0, 1, 2];
/// Nearly all that is left to others while one lives on its reserved minimum.
const REMAINING_SHARE: f64 = (LIMIT - RESERVED) as f64 * 0.8;

/// So many proxies that use all places, and the one that leads them.
fn start_saturated(proxies: usize, seed: u64, planted: &str) -> (BudgetTest, usize) {
    let test = BudgetTest::start(proxies, proxies, seed, planted);
    test.until_in_use("all places are used", LIMIT as f64 * 0.8);
    let allocator = test.allocator(&(0..proxies).collect::<Vec<_>>());
    (test, allocator)
}

/// The allocator is lost in some way: another leads and the others use the rest. It is found again, and takes nothing
/// away.
fn allocator_fails_and_recovers(
    seed: u64,
    fail: impl FnOnce(&mut BudgetTest, usize),
    recover: impl FnOnce(&mut BudgetTest, usize),
) {
    let (mut test, allocator) = start_saturated(3, seed, "");
    fail(&mut test, allocator);
    let next = test.allocator(&others(allocator));
    test.until_in_use("the others use the rest", REMAINING_SHARE);
    recover(&mut test, allocator);
    test.until("it has a lease again, and knows who leads", || {
        let follows_next =
            |b: BudgetStatus| !b.reserved_only && !b.leads && b.allocator == format!("p{next}");
        test.budget_status(allocator).is_some_and(follows_next)
    });
    test.assert_limit_kept();
}

fn others(of: usize) -> Vec<usize> {
    ALL_PROXIES.into_iter().filter(|n| *n != of).collect()
}

#[test]
fn unused_budget_goes_to_busy_proxies_and_is_shared_when_others_need_it() {
    let mut test = BudgetTest::start(3, 1, 1, "");
    test.until_in_use(
        "one alone has nearly all places",
        (LIMIT - 2 * RESERVED) as f64 * 0.85,
    );
    test.add_clients(1);
    test.add_clients(2);
    test.until("each has a fair lease", || {
        ALL_PROXIES.iter().all(|n| {
            test.budget_status(*n)
                .is_some_and(|b| b.lease >= LIMIT / 3 - 2 && !b.reserved_only)
        })
    });
    test.until_in_use("together they use nearly all", LIMIT as f64 * 0.85);
    test.assert_limit_kept();
}

#[test]
fn a_killed_allocator_is_replaced_and_returns_as_a_member() {
    allocator_fails_and_recovers(2, BudgetTest::kill, |test, allocator| {
        test.restart(allocator, "");
    });
}

/// It stands still for longer than its votes last, another has them by then, and it goes on as if nothing was: two that
/// both believe.
#[test]
fn a_stalled_allocator_does_not_allocate_after_its_replacement() {
    allocator_fails_and_recovers(
        5,
        |test, allocator| test.fleet.stall(allocator).unwrap(),
        |test, allocator| test.fleet.go_on(allocator).unwrap(),
    );
}

#[test]
fn an_allocator_in_the_minority_falls_back_to_its_reserved_minimum() {
    allocator_fails_and_recovers(
        7,
        |test, allocator| {
            test.fleet.links.split(&[allocator], LinkConditions::CUT);
            test.until("it lives on its reserved minimum", || {
                test.budget_status(allocator)
                    .is_some_and(|b| b.reserved_only && b.lease == RESERVED && !b.leads)
            });
        },
        |test, allocator| {
            test.fleet
                .links
                .split(&[allocator], LinkConditions::default());
        },
    );
}

/// It receives all and nothing that it sends arrives.
#[test]
fn an_allocator_that_can_only_receive_is_replaced() {
    let set_links = |test: &mut BudgetTest, allocator, conditions| {
        others(allocator)
            .into_iter()
            .for_each(|n| test.fleet.links.set((allocator, n), conditions));
    };
    allocator_fails_and_recovers(
        8,
        |test, allocator| set_links(test, allocator, LinkConditions::CUT),
        |test, allocator| set_links(test, allocator, LinkConditions::default()),
    );
}

/// In the middle of an allocation: it has decided on leases, and their holders have received them or have not.
#[test]
fn an_allocator_crash_around_a_grant_grants_nothing_twice() {
    for (seed, point) in ["budgets-grant", "budgets-granted"].into_iter().enumerate() {
        let (mut test, allocator) = start_saturated(3, 3 + seed as u64, "");
        // Whichever leads next dies of its first grant.
        for n in others(allocator) {
            test.kill(n);
            test.restart(n, &format!("{point}=die"));
            test.until("it is back", || {
                test.budget_status(n).is_some_and(|b| !b.reserved_only)
            });
        }
        test.kill(allocator);
        test.until("the next has died of its first grant", || {
            others(allocator)
                .into_iter()
                .any(|n| test.fleet.process(n).is_err())
        });
        test.restart(allocator, "");
        for n in others(allocator) {
            test.kill(n);
            test.restart(n, "");
        }
        test.until_in_use("all places are used again", LIMIT as f64 * 0.75);
        test.assert_limit_kept();
    }
}

/// The list of peers gives each member its index. A proxy whose list changes while it runs would take one member's messages
/// for another's.
#[test]
fn a_proxy_with_a_changed_peer_list_shares_nothing_until_its_restart() {
    let (mut test, allocator) = start_saturated(3, 14, "");
    let changed = others(allocator)[0];
    test.fleet.reorder_peers(changed).unwrap();
    test.until("it lives on its reserved minimum", || {
        test.budget_status(changed)
            .is_some_and(|b| b.reserved_only && b.lease == RESERVED && !b.leads)
    });
    test.until_in_use("the others use the rest", REMAINING_SHARE);
    test.assert_limit_kept();
}

#[test]
fn a_holder_stalled_past_its_lease_resumes_with_its_reserved_minimum() {
    let (test, allocator) = start_saturated(3, 6, "");
    let holder = others(allocator)[0];
    for _ in 0..3 {
        test.fleet.stall(holder).unwrap();
        test.until_in_use("the others use what was its", REMAINING_SHARE);
        test.fleet.go_on(holder).unwrap();
        test.until("it has a lease again", || {
            test.budget_status(holder)
                .is_some_and(|b| !b.reserved_only && b.lease > RESERVED)
        });
    }
    test.assert_limit_kept();
}

#[test]
fn a_holder_cut_off_from_the_allocator_falls_back_to_its_reserved_minimum() {
    let (test, allocator) = start_saturated(4, 9, "");
    let holders: Vec<usize> = (0..4).filter(|n| *n != allocator).collect();
    for holder in holders {
        test.fleet
            .links
            .set((holder, allocator), LinkConditions::CUT);
        test.until("it lives on its reserved minimum", || {
            test.budget_status(holder).is_some_and(|b| b.reserved_only)
        });
        test.until_in_use("the others have the rest", REMAINING_SHARE);
        test.fleet
            .links
            .set((holder, allocator), LinkConditions::default());
        test.until("it has a lease again", || {
            test.budget_status(holder).is_some_and(|b| !b.reserved_only)
        });
    }
    test.assert_limit_kept();
}

#[test]
fn lossy_links_keep_the_limit_and_most_places_in_use() {
    let test = BudgetTest::start(3, 3, 10, "");
    let lossy = LinkConditions {
        drop: 0.33,
        duplicate: 0.33,
        reorder: 0.33,
        jitter_ms: 60.0,
        ..LinkConditions::default()
    };
    test.fleet.links.set_all(lossy);
    test.until_in_use("most places are used", LIMIT as f64 * 0.75);
    test.run_for(Duration::from_secs(2));
    test.assert_limit_kept();
}

/// Half of the proxies die at once and are back at once, and know nothing of what they granted and had.
#[test]
fn restarting_half_of_the_proxies_at_once_keeps_the_limit() {
    let (mut test, allocator) = start_saturated(4, 11, "");
    for other in [(allocator + 1) % 4, (allocator + 2) % 4] {
        test.kill(allocator);
        test.kill(other);
        test.restart(allocator, "");
        test.restart(other, "");
        test.until_in_use("all places are used again", LIMIT as f64 * 0.75);
    }
    test.assert_limit_kept();
}

/// One after the other, as an upgrade goes, each told to end (SIGTERM).
#[test]
fn a_rolling_restart_of_all_keeps_the_limit() {
    let (mut test, _) = start_saturated(3, 12, "");
    for n in ALL_PROXIES {
        test.clients[n]
            .iter()
            .for_each(|clients| clients.send_to(None));
        assert!(test.fleet.end(n).unwrap(), "p{n} ends well");
        test.restart(n, "");
    }
    test.until_in_use("all places are used again", LIMIT as f64 * 0.75);
    test.assert_limit_kept();
}

#[test]
fn a_halved_limit_holds_once_earlier_leases_have_expired() {
    let (mut test, _) = start_saturated(3, 13, "");
    test.fleet.set_budgets(origin(LIMIT / 2)).unwrap();
    test.until("all know of it", || {
        ALL_PROXIES
            .iter()
            .all(|n| test.budget_status(*n).is_some_and(|b| b.limit == LIMIT / 2))
    });
    // What was granted of the limit before may be spent for a second more, and settles within another.
    test.run_for(Duration::from_micros(1_000_000 + DEADLINE_US));
    test.limits.push(LimitFrom {
        from: test.now(),
        limit: LIMIT / 2,
    });
    test.run_for(Duration::from_secs(1));
    test.until_in_use("all of that is used", (LIMIT / 2) as f64 * 0.8);
    // One that its reserved minimums don't fit stays out.
    test.fleet.set_budgets(origin(3 * RESERVED - 1)).unwrap();
    test.run_for(Duration::from_millis(300));
    assert!(ALL_PROXIES
        .iter()
        .all(|n| test.budget_status(*n).is_some_and(|b| b.limit == LIMIT / 2)));
    test.assert_limit_kept();
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
fn planted_faults_are_detected() {
    // Floors that are not set aside: that shows by itself.
    let test = BudgetTest::start(3, 3, 20, "plant-floors=fail");
    test.until("more is held than may be", || !test.breaches().is_empty());
    drop(test);
    // A holder that ignores its lease's end: cut off, it goes on with what the others have been given by then.
    let (test, allocator) = start_saturated(3, 21, "plant-lease=fail");
    let holder = others(allocator)[0];
    test.fleet.links.split(&[holder], LinkConditions::CUT);
    test.until("more is held than may be", || !test.breaches().is_empty());
    drop(test);
    // An allocator that waits for nobody's vote: each side of a split has one.
    let test = BudgetTest::start(3, 3, 22, "plant-votes=fail");
    test.until_in_use("all places are used", LIMIT as f64 * 0.8);
    test.fleet.links.split(&[0], LinkConditions::CUT);
    test.until("more is held than may be", || !test.breaches().is_empty());
}
