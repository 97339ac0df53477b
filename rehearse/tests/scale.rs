//! Fleets of hollow members (simulated proxies without clients or sockets): detection of injected defects, faults, and
//! reproducibility by seed.

use linnetknot_rehearse::scale::fault::Fault;
use linnetknot_rehearse::scale::fit::{exponent, line, Point};
use linnetknot_rehearse::scale::fleet_config::FleetConfig;
use linnetknot_rehearse::scale::hollow::{DiskContents, HollowMember, MemberEvent};
use linnetknot_rehearse::scale::layout::{Distance, Layout};
use linnetknot_rehearse::scale::memory::{admit, estimate, Bytes, MemberState};
use linnetknot_rehearse::scale::report::{Report, Role, Value};
use linnetknot_rehearse::scale::run::{Defect, DisabledParts, InjectedDefect, Run};
use linnetknot_rehearse::scale::simulation::{play, Outcome};
use linnetknot_rehearse::scale::target::Target;
use linnetknot_rehearse::scale::verdict::Rule;
use std::process::Command;
use std::sync::Arc;

const MEMBERS: usize = 40;

/// Number of individual log entries that a member stores in runs that test compaction.
const EXACT_ENTRIES: usize = 500;

fn target() -> Target {
    Target::load(None).expect("load built-in target")
}

fn run(fault: Fault) -> Run {
    let disabled = DisabledParts::default();
    Run {
        members: MEMBERS,
        seed: 4_711,
        seconds: 4,
        fault,
        target: target(),
        disabled,
        exact_entries: None,
        injected_defects: Vec::new(),
    }
}

/// A low purge rate, so that runs with injected defects take little time.
fn run_with_few_purges(fault: Fault) -> Run {
    let target = Target {
        purges_per_second: 10,
        purge_limit_ms: 2_000,
        ..target()
    };
    Run {
        target,
        ..run(fault)
    }
}

fn row(report: &Report, role: Role, figure: &str) -> Value {
    let row = report
        .rows
        .iter()
        .find(|row| row.role == role && row.figure == figure);
    row.unwrap_or_else(|| panic!("no row '{figure}'"))
        .value
        .clone()
}

fn single(report: &Report, figure: &str) -> f64 {
    match row(report, Role::Fleet, figure) {
        Value::Single(figure) => figure,
        other => panic!("'{figure}' is {other:?}"),
    }
}

// Tests of the verdicts on a run.

#[test]
fn runs_without_faults_pass_and_are_reproducible_by_seed() {
    let run = run(Fault::Calm);
    let reports: Vec<Report> = (0..2).map(|_| Report::of(&run, &play(&run))).collect();
    assert_eq!(reports[0].wrong, Default::default());
    assert_eq!(reports[0].table(true), reports[1].table(true));
    assert_eq!(
        (
            single(&reports[0], "purges told"),
            single(&reports[0], "purges committed")
        ),
        (440.0, 440.0)
    );
    let other = Run { seed: 4_712, ..run };
    assert_ne!(
        Report::of(&other, &play(&other)).table(true),
        reports[0].table(true)
    );
}

#[test]
fn report_has_rows_for_each_role_and_marks_missing_figures() {
    let run = run_with_few_purges(Fault::Calm);
    let report = Report::of(&run, &play(&run));
    for role in [Role::Member, Role::Allocator, Role::Writer] {
        assert!(
            matches!(row(&report, role, "sent and received"), Value::Spread(_)),
            "{role}"
        );
    }
    let change = row(&report, Role::Fleet, "change of configuration");
    assert_eq!(change, Value::None("not carried".into()));
    let table = report.table(false);
    assert!(
        table.contains("OVER") && table.contains("by a clock"),
        "{table}"
    );
    assert!(
        !report.table(true).contains("processor"),
        "a stable table must omit clock readings"
    );
}

#[test]
fn member_that_drops_received_purges_is_detected() {
    let injected_defects = vec![InjectedDefect {
        member: 7,
        defect: Defect::DropsPurges,
    }];
    let run = Run {
        injected_defects,
        ..run_with_few_purges(Fault::Calm)
    };
    let verdict = play(&run).verdict;
    for rule in [Rule::PurgeInTime, Rule::PurgeEverywhere, Rule::SameState] {
        assert!(verdict.breaks(rule), "{rule:?}");
        assert!(
            verdict.violations[&rule].first.contains("member 7"),
            "{verdict:?}"
        );
    }
}

#[test]
fn members_that_overspend_their_leases_are_detected() {
    let injected_defects = (0..MEMBERS)
        .map(|member| InjectedDefect {
            member,
            defect: Defect::SpendsTwice,
        })
        .collect();
    let run = Run {
        injected_defects,
        ..run_with_few_purges(Fault::Calm)
    };
    let verdict = play(&run).verdict;
    assert!(verdict.breaks(Rule::BudgetLimit), "{verdict:?}");
    assert_eq!(
        verdict.violations.len(),
        1,
        "no other rule may be broken: {verdict:?}"
    );
}

/// Issues more purges than a member stores as individual entries, so the oldest are compacted.
fn run_beyond_exact_capacity() -> Run {
    let target = Target {
        purges_per_second: 1_000,
        ..target()
    };
    let disabled = DisabledParts { budgets: true };
    Run {
        members: 6,
        target,
        disabled,
        exact_entries: Some(EXACT_ENTRIES),
        ..run(Fault::Calm)
    }
}

#[test]
fn purges_beyond_exact_capacity_are_compacted_and_not_refused() {
    let outcome = play(&run_beyond_exact_capacity());
    assert!(outcome.verdict.is_sound(), "{:?}", outcome.verdict);
    assert!(
        outcome.purges.len() >= 4 * EXACT_ENTRIES,
        "{}",
        outcome.purges.len()
    );
    assert!(
        outcome
            .states
            .values()
            .all(|state| state.entries <= 2 * EXACT_ENTRIES),
        "{:?}",
        outcome.states
    );
}

#[test]
fn member_that_never_compacts_is_detected() {
    let injected_defects = vec![InjectedDefect {
        member: 1,
        defect: Defect::NeverCompacts,
    }];
    let verdict = play(&Run {
        injected_defects,
        ..run_beyond_exact_capacity()
    })
    .verdict;
    assert!(verdict.breaks(Rule::PurgeHasRoom), "{verdict:?}");
    assert!(
        verdict.violations[&Rule::PurgeHasRoom]
            .first
            .contains("member 1"),
        "{verdict:?}"
    );
}

// Tests of the faults of a run.

fn play_sound_run(fault: Fault) -> Outcome {
    let outcome = play(&run(fault));
    assert!(
        outcome.verdict.is_sound(),
        "{}: {:?}",
        fault.name(),
        outcome.verdict
    );
    outcome
}

#[test]
fn hot_writer_issues_all_purges_at_one_site() {
    let outcome = play_sound_run(Fault::HotWriter);
    let sites: Vec<usize> = (0..outcome.purges.len() as u64)
        .filter_map(|purge| outcome.purges.get(purge))
        .map(|record| outcome.layout.position(record.writer).site)
        .collect();
    assert_eq!(sites.len(), 440);
    assert!(sites.iter().all(|site| *site == 0));
}

#[test]
fn day_of_faults_detects_failures_and_restarted_members_catch_up() {
    let outcome = play_sound_run(Fault::Day);
    // 730 restarts per day in a fleet of 6,400 proxies scale to 5 in a fleet of 40.
    assert_eq!(outcome.starters.len(), 5);
    assert_eq!(
        outcome.states.len(),
        MEMBERS - 1,
        "one member crashed and stays down"
    );
    let observers = MEMBERS - 1 - outcome.starters.len();
    assert!(
        outcome.death_delays.len() >= observers as u64,
        "all members running at the crash must detect it"
    );
    assert!(!outcome.purges.catch_up_delays.is_empty());
}

#[test]
fn members_of_a_failed_rack_or_zone_catch_up_after_restart() {
    for fault in [Fault::Rack, Fault::Zone] {
        let outcome = play_sound_run(fault);
        assert!(!outcome.starters.is_empty() && outcome.starters.len() < MEMBERS);
        assert_eq!(outcome.states.len(), MEMBERS);
        assert!(
            !outcome.purges.catch_up_delays.is_empty(),
            "{}",
            fault.name()
        );
    }
}

#[test]
fn disconnected_regions_catch_up() {
    let outcome = play_sound_run(Fault::RegionsApart);
    assert!(!outcome.purges.catch_up_delays.is_empty());
}

#[test]
fn fleet_restart_restarts_every_member() {
    assert_eq!(play_sound_run(Fault::FleetRestart).starters.len(), MEMBERS);
}

/// A fleet whose members store 15,000 entries and 140,000 compacted purges each.
fn late_join_run() -> Run {
    let disabled = DisabledParts { budgets: true };
    Run {
        members: 12,
        disabled,
        exact_entries: Some(20_000),
        ..run_with_few_purges(Fault::LateJoin)
    }
}

#[test]
fn late_joiner_receives_all_logs_and_the_purge_table() {
    let run = late_join_run();
    let outcome = play(&run);
    assert!(outcome.verdict.is_sound(), "{:?}", outcome.verdict);
    let report = Report::of(&run, &outcome);
    assert!(single(&report, "until who joined has all") > 0.0);
    assert!(outcome.states[&0].table_bytes > 0 && outcome.states[&0].entries >= 15_000);
}

/// The joining member has the same logs as the other members but lacks the purges that were compacted earlier.
#[test]
fn late_joiner_without_snapshots_is_detected() {
    let injected_defects = vec![InjectedDefect {
        member: 11,
        defect: Defect::DropsSnapshots,
    }];
    let verdict = play(&Run {
        injected_defects,
        ..late_join_run()
    })
    .verdict;
    assert!(verdict.breaks(Rule::PurgeEverywhere), "{verdict:?}");
    assert!(
        verdict.violations[&Rule::PurgeEverywhere]
            .first
            .contains("compacted purge"),
        "{verdict:?}"
    );
}

#[test]
fn slow_origin_reports_are_limited_per_zone() {
    let outcome = play_sound_run(Fault::SlowOrigin);
    let calm = play(&run(Fault::Calm));
    let sent = |outcome: &Outcome| outcome.meters.iter().map(|m| m.sent_datagrams).sum::<u64>();
    // Each of five zones sends at most two reports per second to all other members, for two seconds.
    let reports = sent(&outcome).saturating_sub(sent(&calm));
    let members = MEMBERS as u64;
    assert!(
        reports > members && reports < 2 * members * members,
        "{reports}"
    );
}

#[test]
fn report_has_traffic_during_and_after_a_fault() {
    let run = run(Fault::RegionsApart);
    let report = Report::of(&run, &play(&run));
    for figure in [
        "sent and received during the fault",
        "sent and received after the fault",
    ] {
        assert!(
            matches!(row(&report, Role::Member, figure), Value::Spread(spread) if spread.median > 0.0)
        );
    }
    let calm = run_with_few_purges(Fault::Calm);
    let report = Report::of(&calm, &play(&calm));
    assert!(!report
        .rows
        .iter()
        .any(|row| row.figure.contains("the fault")));
}

// Tests of single members.

#[test]
fn hollow_members_replicate_purges_without_the_simulation() {
    let config = Arc::new(FleetConfig::new(
        &[0, 0],
        &target(),
        DisabledParts::default(),
    ));
    let start =
        |index| HollowMember::start(&config, index, 1, 1_000_000, Some(DiskContents::default()));
    let mut members = [start(0), start(1)];
    let mut events = [Vec::new(), Vec::new()];
    members[0].purge(5, 1_000_000);
    for now in (1_000_000..1_100_000).step_by(1_000) {
        for index in [0, 1] {
            if members[index].due() <= now {
                members[index].tick(now);
            }
            for datagram in members[index].take_outgoing() {
                assert_eq!(datagram.to, 0, "there is only one peer");
                members[1 - index].receive(0, &datagram.bytes, now);
            }
            events[index].extend(members[index].take_events());
        }
    }
    assert!(
        events[1].contains(&MemberEvent::InForce { purge: 5 }),
        "{:?}",
        events[1]
    );
    assert!(
        events[0].contains(&MemberEvent::Committed { purge: 5 }),
        "{:?}",
        events[0]
    );
    assert_eq!(members[0].digest(), members[1].digest());
}

// Tests of the layout, the target, the memory and the fits.

#[test]
fn layout_matches_the_target_and_scales_down() {
    let target = target();
    let full = Layout::new(6_400, &target);
    assert_eq!((full.sites(), full.zones(), full.regions()), (330, 29, 10));
    let small = Layout::new(300, &target);
    assert_eq!(
        (small.sites(), small.zones(), small.regions()),
        (15, 15, 10)
    );
    for layout in [full, small] {
        let last = layout.members() - 1;
        assert_eq!(layout.distance(0, 1), Distance::Site);
        assert_eq!(layout.distance(0, last), Distance::BetweenRegions);
        let largest_rack = (0..=layout.position(last).rack)
            .map(|rack| layout.members_where(|position| position.rack == rack).len())
            .max();
        assert_eq!(largest_rack, Some(target.faults.proxies_per_rack));
        for member in 1..=last {
            let (before, after) = (layout.position(member - 1), layout.position(member));
            assert!(
                before.site == after.site || before.rack != after.rack,
                "a rack must be within one site"
            );
            assert!(
                before.zone == after.zone || before.site != after.site,
                "a site must be within one zone"
            );
            assert!(
                before.region == after.region || before.zone != after.zone,
                "a zone must be within one region"
            );
        }
    }
}

#[test]
fn invalid_target_is_rejected_with_its_key() {
    for (text, key) in [
        (r#"{"proxies": "many"}"#, "proxies"),
        (r#"{"proxys": 5}"#, "proxys"),
        (
            &altered_target("\"zones\": 29", "\"zones\": 0"),
            "zones: must be above 0",
        ),
    ] {
        let error = Target::parse(text).expect_err("invalid target").to_string();
        assert!(error.contains(key), "{error}");
    }
}

/// Returns the built-in target with a single text replaced.
fn altered_target(from: &str, to: &str) -> String {
    let text = include_str!("../targets/fleet.json");
    assert!(text.contains(from));
    text.replacen(from, to, 1)
}

#[test]
fn run_exceeding_half_of_available_memory_is_rejected() {
    let state = MemberState {
        entries: 1_000,
        table_bytes: 0,
    };
    let needed = estimate(1_000, state);
    assert!(admit(1_000, state, Bytes(2 * needed.0)).is_ok());
    let error = admit(1_000, state, Bytes(2 * needed.0 - 2)).expect_err("too large");
    assert_eq!(error.estimate, needed);
    assert!(
        estimate(2_000, state).0 > 2 * needed.0,
        "memory must grow faster than the fleet"
    );
    let with_table = estimate(
        1_000,
        MemberState {
            table_bytes: 4 << 20,
            ..state
        },
    );
    assert_eq!(
        with_table.0,
        needed.0 + 1_000 * (4 << 20),
        "each member has a table"
    );
}

#[test]
fn fits_distinguish_linear_quadratic_and_step_growth() {
    let points = |of: fn(f64) -> f64| {
        [100.0, 400.0, 1_600.0, 6_400.0]
            .map(|size| Point {
                size,
                figure: of(size),
            })
            .to_vec()
    };
    let linear = line(&points(|size| 3.0 * size + 7.0)).expect("enough points");
    assert!((linear.slope - 3.0).abs() < 1e-9 && (linear.constant - 7.0).abs() < 1e-6);
    assert!(linear.residual < 1e-9);
    let square = points(|size| size * size / 50.0);
    assert!((exponent(&square).expect("positive figures") - 2.0).abs() < 1e-9);
    assert!(line(&square).expect("enough points").residual > 0.05);
    let step = points(|size| if size > 1_000.0 { 50.0 } else { 1.0 });
    assert!(line(&step).expect("enough points").residual > 0.2);
    assert_eq!(
        exponent(&points(|size| size - 100.0)),
        None,
        "a figure of 0 has no exponent"
    );
    assert_eq!(line(&points(|size| size)[..1]), None);
}

// Tests of the command line.

fn scale(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetknot-rehearse"));
    let output = command
        .arg("scale")
        .args(arguments)
        .output()
        .expect("run linnetknot-rehearse");
    let printed = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&printed).into_owned(),
    )
}

#[test]
fn invalid_arguments_exit_with_2_and_are_named() {
    for (arguments, expected) in [
        (&["--fault", "storm"][..], "storm"),
        (&["--members", "many"], "many"),
        (&["--members", "1"], "--members"),
        (&["--seed", "seven"], "seven"),
        (&["--seconds", "0"], "--seconds"),
        (&["--members", "100000"], "--members 100000: takes about"),
        (&["--target", "no-such-target.json"], "no-such-target.json"),
        (&["--slopes", "100,none"], "none"),
    ] {
        let (status, output) = scale(arguments);
        assert_eq!(status, Some(2), "{arguments:?}: {output}");
        assert!(output.contains(expected), "{arguments:?}: {output}");
    }
}

#[test]
fn successful_run_exits_with_0_and_slopes_report_skipped_sizes() {
    let sound = ["--without-budgets", "--seconds", "1"];
    let (status, output) = scale(&[&["--members", "20"], &sound[..]].concat());
    assert_eq!(status, Some(0), "{output}");
    let (status, output) = scale(&[&["--slopes", "10,20,100000"], &sound[..]].concat());
    assert_eq!(status, Some(0), "{output}");
    assert!(
        output.contains("100000 members: SKIPPED: --members 100000: takes about"),
        "{output}"
    );
    assert!(output.contains("x size +"), "{output}");
}
