//! Compares the actions of the routing decision module with recorded digests, for several seeds and settings.
//!
//! The files in `expected/` must stay unchanged unless a change of decisions is intended. In that case, replace them
//! with the files that the failing run writes, and explain the reason in the commit message.

mod answers;
#[path = "../common/mod.rs"]
mod common;
mod disturbances;
mod random_fleet;

use common::trace::Trace;
use common::world::{FleetSimulation, Notice, ORIGIN, PARENTS};
use common::{class, fleet, sent, settings, RouterHarness, MS, S, START};
use linnetknot::*;
use random_fleet::{RandomFleet, Workload};
use std::path::Path;

const WORLD_SECONDS: u64 = 10;
/// Many requests and disturbances in a short simulated time.
const BUSY: Workload = Workload {
    seconds: 10,
    checkpoint_seconds: 1,
    arrival_interval_us: 6 * MS,
    disturbance_interval_us: 120 * MS,
    object_count: 400,
};
/// Two minutes at a low rate, so that request counts decay and servers become warm and stay so.
const SLOW: Workload = Workload {
    seconds: 120,
    checkpoint_seconds: 10,
    arrival_interval_us: 50 * MS,
    disturbance_interval_us: 3 * S,
    object_count: 400,
};
/// So few requests that the averages of the servers' slowdown are unreliable.
const SPARSE: Workload = Workload {
    seconds: 1_200,
    checkpoint_seconds: 100,
    arrival_interval_us: 700 * MS,
    disturbance_interval_us: 20 * S,
    object_count: 100,
};
/// Fills so rare that one or two of them determine the link's estimated capacity.
const IDLE_LINK: Workload = Workload {
    seconds: 600,
    checkpoint_seconds: 50,
    arrival_interval_us: 500 * MS,
    disturbance_interval_us: 600 * MS,
    object_count: 20_000,
};
/// One minute at the rate of `BUSY`, so that writes are retried under all kinds of faults.
const LONG_BUSY: Workload = Workload {
    seconds: 60,
    checkpoint_seconds: 5,
    ..BUSY
};
/// Few objects, so that some of them are requested often enough to be stored on several caches.
const HOT: Workload = Workload {
    object_count: 12,
    disturbance_interval_us: 600 * MS,
    ..BUSY
};

/// Returns the test settings with a link of this capacity and this number of routers in the router's zone.
fn linked(routers: u32, link_kb_per_s: f64) -> Settings {
    let mut settings = settings();
    settings.zones[1].routers = routers;
    settings.zones[1].link_kb_per_s = link_kb_per_s;
    settings
}

fn no_answer_detail() -> Settings {
    Settings {
        answer_detail: AnswerDetail::Off,
        weights_known: false,
        flow_kb_per_s: 0.0,
        ..settings()
    }
}

fn siblings() -> Settings {
    Settings {
        siblings: Siblings::Location,
        answer_detail: AnswerDetail::Hit,
        weights_known: false,
        ..settings()
    }
}

fn deduplicating() -> Settings {
    let keyed = |name: &str, dedup_scope| Class {
        repeat: Repeat::Keyed,
        write: true,
        dedup_window_us: 400 * MS,
        dedup_scope,
        ..class(name)
    };
    let page = Class {
        fresh_us: S,
        ..class("page")
    };
    let classes = vec![
        class("video"),
        page,
        keyed("order", DedupScope::Zone),
        keyed("charge", DedupScope::Cell),
    ];
    Settings {
        classes,
        direct_to_upstream: false,
        ..settings()
    }
}

/// Settings that differ in the available information and features.
fn variants() -> Vec<(&'static str, Settings)> {
    let thin_link = Settings {
        direct_to_upstream: false,
        ..linked(1, 20_000.0)
    };
    let unknown_link = Settings {
        coalesces_fills: false,
        ..linked(2, 0.0)
    };
    let no_parents = Settings {
        parent_kind: None,
        cancel: false,
        ..settings()
    };
    let many_routers = Settings {
        router_index: Some(3),
        direct_to_upstream: false,
        ..linked(40, 500_000.0)
    };
    let few_attempts = Settings {
        max_attempts: 2,
        max_retry_after_us: 0,
        polls_list: true,
        ..settings()
    };
    vec![
        ("told", settings()),
        ("untold", no_answer_detail()),
        ("siblings", siblings()),
        ("thin-link", thin_link),
        ("link-not-told", unknown_link),
        ("no-parents", no_parents),
        ("many-routers", many_routers),
        ("deduplicating", deduplicating()),
        ("few-attempts", few_attempts),
    ]
}

/// Returns the reports of one seed under all settings.
fn random_fleets(seed: u64) -> String {
    let report = |(name, settings): (&str, Settings)| {
        let fleet = RandomFleet::new(name, settings, BUSY, seed);
        fleet.run()
    };
    variants().into_iter().map(report).collect()
}

/// Simulates a fleet whose first zone fails silently at 3 s and returns empty, whose first parent restarts, and whose
/// origin is slow from 7 s on.
fn eventful_simulation(name: &str, seed: u64, shape: impl FnOnce(&mut Settings)) -> String {
    let mut world = FleetSimulation::shaped(2, 3, 4, 30.0, seed, shape);
    world.trace = Some(Trace::new(format!("{name}-{seed}")));
    world.link_capacity = 6.0;
    world.sigma = 1.0;
    world.object_count = 500.0;
    (1..=WORLD_SECONDS).for_each(|second| world.schedule_callback(second * S, second));
    world.run(WORLD_SECONDS * S, |world, notify| {
        let Notice::Call(second) = notify else {
            return;
        };
        let trace = world.trace.as_mut().expect("the trace is set");
        trace.checkpoint(second);
        let now = world.now;
        let zone: Vec<ServerId> = (10..14).collect();
        match second {
            3 => world
                .servers
                .values_mut()
                .filter(|b| b.zone == 1)
                .for_each(|b| b.vanished = true),
            4 => {
                let gone: Vec<_> = zone
                    .iter()
                    .map(|id| world.entry(*id, State::Gone))
                    .collect();
                world.publish(0, ListMode::Delta, &gone);
            }
            5 => {
                zone.iter()
                    .for_each(|id| world.add_server(*id, 1, 8.0, Some(now)));
                world.add_server(PARENTS[0], 0, 30.0, Some(now));
                let back = zone.iter().chain(&PARENTS[..1]);
                let back: Vec<_> = back.map(|id| world.entry(*id, State::Ready)).collect();
                world.publish(0, ListMode::Delta, &back);
            }
            7 => world.origin_requests_per_s = 5.0,
            9 => world.servers.get_mut(&PARENTS[1]).expect("listed").up = false,
            10 => world.servers.get_mut(&ORIGIN).expect("listed").up = false,
            _ => {}
        }
    });
    world.trace.expect("the trace is set").into_report()
}

/// Reduces the information about servers and answers to the minimum, and allows caches to fill each other.
fn reduce_detail(settings: &mut Settings) {
    settings.answer_detail = AnswerDetail::Off;
    settings.weights_known = false;
    settings.siblings = Siblings::Location;
}

fn compare(name: &str, found: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/decision_trace/expected");
    let expected = std::fs::read_to_string(directory.join(name)).expect("a recorded digest");
    let output = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&output, found).expect("a writable test directory");
    let differs = |(a, b): &(&str, &str)| a != b;
    if let Some((found, expected)) = found.lines().zip(expected.lines()).find(differs) {
        panic!(
            "a decision differs:\n   found {found}\nexpected {expected}\nfull output: {}",
            output.display()
        );
    }
    let lines = [found, &expected].map(|text| text.lines().count());
    assert_eq!(lines[0], lines[1], "the number of lines differs");
    assert!(found == expected, "the line endings differ");
}

#[test]
fn decisions_of_the_first_seed_match_the_record() {
    compare("fleets-1.txt", &random_fleets(1));
}

#[test]
fn decisions_of_the_second_seed_match_the_record() {
    compare("fleets-2.txt", &random_fleets(2));
}

#[test]
fn decisions_of_the_third_seed_match_the_record() {
    compare("fleets-3.txt", &random_fleets(3));
}

#[test]
fn decisions_of_slow_sparse_and_hot_fleets_match_the_record() {
    let slow = RandomFleet::new("slow", settings(), SLOW, 4).run();
    let sparse = RandomFleet::new("sparse", linked(2, 0.0), SPARSE, 5).run();
    let idle_link = RandomFleet::new("idle-link", linked(3, 0.0), IDLE_LINK, 7).run();
    let writes = RandomFleet::new("writes", deduplicating(), LONG_BUSY, 8).run();
    let hot = RandomFleet::new("hot", linked(1, 500_000.0), HOT, 6).run();
    compare(
        "slow-sparse-and-hot.txt",
        &(slow + &sparse + &idle_link + &writes + &hot),
    );
}

/// Records more purges than are kept exactly, with requests in between, whose maximum ages show which purges are still
/// exact.
#[test]
fn decisions_amid_many_purges_match_the_record() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut trace = Trace::new("purges".into());
    for number in 0..40_000 {
        harness.now += MS / 10;
        harness.handle(Event::Purged {
            object: Some(format!("/o/{number}")),
            group: 0,
            age_us: 0,
        });
        if number % 500 == 0 {
            let actions = harness.tick();
            trace.record(harness.now, &mut harness.router, &actions);
        }
        if number % 20 == 0 {
            let (request, actions) = harness.request("video", &format!("/o/{}", number / 2), 5 * S);
            trace.record(harness.now, &mut harness.router, &actions);
            if let Some(sent) = sent(&actions) {
                harness.end_attempt_with(request, 0, sent.server, Outcome::Ok, Note::Hit);
            }
        }
        if number % 4_000 == 3_999 {
            trace.checkpoint((harness.now - START) / S);
        }
    }
    compare("purges.txt", &trace.into_report());
}

/// Requests more distinct parts than the count tables hold, and then some of them again. Their cache ranks show which
/// counts were kept.
#[test]
fn decisions_of_a_scan_that_overflows_the_request_counts_match_the_record() {
    const PARTS: u64 = 24_000;
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut trace = Trace::new("scan".into());
    for number in 0..PARTS + 2_000 {
        harness.now += MS / 10;
        let object = match number.checked_sub(PARTS) {
            None => number - u64::from(number % 7 == 1),
            Some(again) => again * 11,
        };
        let (request, actions) = harness.request("video", &format!("/o/{object}"), 5 * S);
        trace.record(harness.now, &mut harness.router, &actions);
        if let Some(sent) = sent(&actions) {
            harness.end_attempt_with(request, 0, sent.server, Outcome::Ok, Note::Hit);
        }
        if number % 2_000 == 1_999 {
            trace.checkpoint((harness.now - START) / S);
        }
    }
    compare("scan.txt", &trace.into_report());
}

/// Runs ticks with one answered request in each, and ends attempts that the router cancels.
fn answer_others(harness: &mut RouterHarness, trace: &mut Trace, ticks: u64) {
    for tick in 0..ticks {
        let (request, actions) = harness.request("video", &format!("/others/{tick}"), 5 * S);
        harness.now += 50 * MS;
        trace.record(harness.now, &mut harness.router, &actions);
        if let Some(sent) = sent(&actions) {
            harness.end_attempt_with(request, 0, sent.server, Outcome::Ok, Note::Hit);
        }
        let actions = harness.tick();
        trace.record(harness.now, &mut harness.router, &actions);
        for action in actions {
            if let Action::Cancel { request, attempt } = action {
                let again = harness.end_attempt(request, attempt, 0, Outcome::Cancelled);
                trace.record(harness.now, &mut harness.router, &again);
            }
        }
    }
}

/// Some requests are never answered although their servers answer others; after that, all servers are silent.
#[test]
fn decisions_on_missing_answers_match_the_record() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut trace = Trace::new("silence".into());
    for number in 0..8 {
        let (_, actions) = harness.request("video", &format!("/lost/{number}"), 60 * S);
        trace.record(harness.now, &mut harness.router, &actions);
    }
    for second in [10, 20, 30] {
        answer_others(&mut harness, &mut trace, 200);
        trace.checkpoint(second);
    }
    let last: Vec<_> = (0..24)
        .map(|number| harness.request("video", &format!("/last/{number}"), 5 * S))
        .collect();
    harness.now += 50 * MS;
    for (request, actions) in last {
        if let Some(sent) = sent(&actions) {
            harness.end_attempt_with(request, 0, sent.server, Outcome::Ok, Note::Hit);
        }
    }
    for number in 0..24 {
        let (_, actions) = harness.request("video", &format!("/silent/{number}"), 5 * S);
        trace.record(harness.now, &mut harness.router, &actions);
    }
    for _ in 0..40 {
        harness.now += 50 * MS;
        let actions = harness.tick();
        trace.record(harness.now, &mut harness.router, &actions);
    }
    trace.checkpoint(32);
    compare("silence.txt", &trace.into_report());
}

#[test]
fn decisions_of_an_eventful_simulation_match_the_record() {
    let detailed = eventful_simulation("world-told", 11, |_| ());
    let reduced = eventful_simulation("world-untold", 13, reduce_detail);
    compare("worlds.txt", &(detailed + &reduced));
}
