//! A proxy whose wall clock has a constant offset must pass all checks of the load test, and its score must be as good
//! as with a correct clock.

use linnetknot_rehearse::player::play;
use linnetknot_rehearse::shipped;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
const OFFSETS_S: [i64; 7] = [0, -3_600, -60, -4, 4, 60, 3_600];
const SEED: u64 = 62;
const TIME_SCALE: f64 = 0.4;
/// Allowed difference between the scores with an offset clock and with a correct clock.
const TOLERANCE: f64 = 0.01;

/// Writes a script that starts the daemon with its wall clock offset by `seconds`.
fn daemon_with_clock_offset(folder: &Path, seconds: i64) -> PathBuf {
    let program = folder.join(format!("off-by{seconds}"));
    let script = format!("#!/bin/sh\nLINNETKNOT_POINTS=clock={seconds} exec '{DAEMON}' \"$@\"\n");
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o755)).unwrap();
    program
}

#[test]
fn a_mass_purge_is_served_equally_under_any_clock_offset() {
    let scenario = shipped::find("mass-purge").unwrap().unwrap();
    let scenario = scenario.scaled(TIME_SCALE).unwrap();
    let folder = std::env::temp_dir().join(format!("linnetknot-offsets-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // All scripts are written first, since a file that is open for writing can not be executed.
    let daemons = OFFSETS_S.map(|seconds| daemon_with_clock_offset(&folder, seconds));
    let outcomes = thread::scope(|scope| {
        let plays = daemons.each_ref().map(|daemon| {
            let scenario = &scenario;
            scope.spawn(move || play(daemon, scenario, SEED, None).unwrap())
        });
        plays.map(|plays| plays.join().unwrap())
    });
    std::fs::remove_dir_all(&folder).unwrap();
    let baseline = outcomes[0].score.total.score().unwrap();
    for (seconds, outcome) in OFFSETS_S.into_iter().zip(&outcomes) {
        assert_eq!(outcome.breaches, [], "{seconds} s");
        assert_eq!(outcome.check_conclusive(), Ok(()), "{seconds} s");
        let share = outcome.score.total.score().unwrap();
        assert!(
            (share - baseline).abs() <= TOLERANCE,
            "{seconds} s: score {share:.3}, with a correct clock {baseline:.3}"
        );
    }
}
