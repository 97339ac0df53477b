//! A proxy whose wall clock is off for its whole life serves what one with a right clock does, and breaks no rule.

use linnetknot_rehearse::player::play;
use linnetknot_rehearse::shipped;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
const OFFSETS_S: [i64; 7] = [0, -3_600, -60, -4, 4, 60, 3_600];
const SEED: u64 = 62;
const TIME_SCALE: f64 = 0.4;
/// The share of the worth that may be served less than with a right clock.
const TOLERANCE: f64 = 0.01;

/// A program that starts the daemon with its wall clock so many seconds off.
fn daemon_off_by(folder: &Path, seconds: i64) -> PathBuf {
    let program = folder.join(format!("off-by{seconds}"));
    let script = format!("#!/bin/sh\nLINNETKNOT_POINTS=clock={seconds} exec '{DAEMON}' \"$@\"\n");
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o755)).unwrap();
    program
}

#[test]
fn a_mass_purge_is_served_as_well_whatever_the_clock_is_off() {
    let scenario = shipped::find("mass-purge").unwrap().unwrap();
    let scenario = scenario.scaled(TIME_SCALE).unwrap();
    let folder = std::env::temp_dir().join(format!("linnetknot-offsets-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // All are written before any is started: a program that is open for writing can't be.
    let daemons = OFFSETS_S.map(|seconds| daemon_off_by(&folder, seconds));
    let served = thread::scope(|scope| {
        let played = daemons.each_ref().map(|daemon| {
            let scenario = &scenario;
            scope.spawn(move || play(daemon, scenario, SEED, None).unwrap())
        });
        played.map(|played| played.join().unwrap())
    });
    std::fs::remove_dir_all(&folder).unwrap();
    let right = served[0].score.total.score().unwrap();
    for (seconds, outcome) in OFFSETS_S.into_iter().zip(&served) {
        assert_eq!(outcome.breaches, [], "{seconds} s");
        assert_eq!(outcome.check_conclusive(), Ok(()), "{seconds} s");
        let share = outcome.score.total.score().unwrap();
        assert!(
            (share - right).abs() <= TOLERANCE,
            "{seconds} s: {share:.3} of the worth, with a right clock {right:.3}"
        );
    }
}
