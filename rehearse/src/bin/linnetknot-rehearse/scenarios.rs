//! The commands that play, validate, list and print scenarios.

use crate::arguments::{PlayArguments, RunArguments};
use crate::error::CommandError;
use crate::output::{is_stopped, print, STOP};
use crate::{daemon_path, tables, NOT_PLAYED};
use indicatif::{ProgressBar, ProgressStyle};
use linnetknot_rehearse::load::plan;
use linnetknot_rehearse::player::{self, Outcome, PlayControl};
use linnetknot_rehearse::report::Report;
use linnetknot_rehearse::scenario::Scenario;
use linnetknot_rehearse::series::{run_in_parallel, Seeds, Summary, Verdict};
use linnetknot_rehearse::shipped;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The maximum number of breaches of one test run that a series prints.
const MAX_SHOWN_BREACHES: usize = 5;

/// Reads a scenario file.
fn read(file: &Path) -> Result<Scenario, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::ReadFile {
        file: file.to_owned(),
        error,
    })?;
    Scenario::read(&text).map_err(|error| CommandError::ScenarioFile {
        file: file.to_owned(),
        error: Box::new(error),
    })
}

/// Returns a scenario by its name or file, scaled in time.
fn scenario(name: &str, time_scale: f64) -> Result<Scenario, CommandError> {
    let scenario = match shipped::find(name) {
        Some(scenario) => scenario?,
        None => read(Path::new(name))?,
    };
    if time_scale == 1.0 {
        return Ok(scenario);
    }
    Ok(scenario.scaled(time_scale)?)
}

/// Runs one scenario of a series with one seed.
fn play_seed(
    name: &str,
    seed: u64,
    time_scale: f64,
    daemon: &Path,
) -> Result<Outcome, CommandError> {
    let scenario = scenario(name, time_scale)?;
    let control = PlayControl {
        stop: Some(&**STOP),
        progress: None,
    };
    player::play_with_control(daemon, &scenario, seed, None, control).map_err(|error| {
        CommandError::Play {
            daemon: daemon.to_owned(),
            error,
        }
    })
}

/// Plays scenarios with all of these seeds and returns the worst exit status.
pub(crate) fn run_series(arguments: &RunArguments, seeds: &Seeds) -> ExitCode {
    let daemon = daemon_path(arguments.daemon.clone());
    let all = ["all".to_owned()];
    let names = shipped::expand_names(match arguments.scenarios.is_empty() {
        true => &all,
        false => &arguments.scenarios,
    });
    let plays: Vec<(usize, u64)> = (0..names.len())
        .flat_map(|n| seeds.0.clone().map(move |seed| (n, seed)))
        .collect();
    let verdicts = run_in_parallel(&plays, arguments.jobs.into(), |(n, seed)| {
        if is_stopped() {
            return Verdict::Inconclusive("not played: interrupted".into());
        }
        let name = &names[*n];
        match play_seed(name, *seed, arguments.time_scale, &daemon) {
            Ok(outcome) => {
                for breach in outcome.breaches.iter().take(MAX_SHOWN_BREACHES) {
                    eprintln!("{name} seed {seed}: BREACH {breach}");
                }
                Verdict::of(&outcome)
            }
            Err(reason) => Verdict::Inconclusive(reason.to_string()),
        }
    });
    let rows = names.into_iter().map(|name| (name, Default::default()));
    let mut summary = Summary(rows.collect());
    for ((n, seed), verdict) in plays.into_iter().zip(verdicts) {
        summary.0[n].1.insert(seed, verdict);
    }
    print(&summary.to_string());
    ExitCode::from(summary.status())
}

/// Plays scenarios one after another and returns the worst exit status.
pub(crate) fn run_all(arguments: &RunArguments) -> ExitCode {
    let names = shipped::expand_names(&arguments.scenarios);
    let daemon = daemon_path(arguments.daemon.clone());
    let mut worst = 0;
    for name in &names {
        if is_stopped() {
            eprintln!("interrupted: {name} and the scenarios after it are not played");
            return ExitCode::from(worst.max(NOT_PLAYED));
        }
        let json = match (&arguments.json, names.len()) {
            (Some(file), 2..) => Some(result_file(file, name)),
            (file, _) => file.clone(),
        };
        let played = scenario(name, arguments.time_scale)
            .and_then(|scenario| play(&scenario, arguments.seed, &daemon, json.as_deref()));
        worst = worst.max(status(played));
    }
    ExitCode::from(worst)
}

/// Returns the file for the result of one of several scenarios, with its name before the extension.
fn result_file(file: &Path, scenario: &str) -> PathBuf {
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    let extension = file
        .extension()
        .map(|extension| format!(".{}", extension.to_string_lossy()))
        .unwrap_or_default();
    let scenario = Path::new(scenario).file_stem().unwrap_or_default();
    file.with_file_name(format!("{stem}-{}{extension}", scenario.to_string_lossy()))
}

/// Runs a scenario file.
pub(crate) fn play_file(arguments: PlayArguments) -> ExitCode {
    let daemon = daemon_path(arguments.daemon);
    let played = read(&arguments.file).and_then(|scenario| {
        play(
            &scenario,
            arguments.seed,
            &daemon,
            arguments.json.as_deref(),
        )
    });
    ExitCode::from(status(played))
}

/// Returns the exit status of a test run and prints its error, if any.
fn status(played: Result<Verdict, CommandError>) -> u8 {
    match played {
        Err(error) => {
            eprintln!("{error}");
            NOT_PLAYED
        }
        Ok(verdict) => {
            // Breaches before an interruption count. Without any, an interrupted test run is inconclusive.
            if let Verdict::Inconclusive(reason) = &verdict {
                eprintln!("the rehearsal is inconclusive: {reason}");
            }
            verdict.status()
        }
    }
}

/// Runs a scenario, prints its outcome and writes it to a file if one is given.
fn play(
    scenario: &Scenario,
    seed: u64,
    daemon: &Path,
    json: Option<&Path>,
) -> Result<Verdict, CommandError> {
    let outcome = play_with_progress(scenario, seed, daemon)?;
    print(&tables::outcome(scenario, &outcome));
    if let Some(file) = json {
        let text = Report::of(scenario, seed, &outcome).write()?;
        std::fs::write(file, text).map_err(|error| CommandError::WriteFile {
            file: file.to_owned(),
            error,
        })?;
    }
    Ok(Verdict::of(&outcome))
}

/// Runs a scenario with a progress bar, which is shown only on a terminal.
fn play_with_progress(
    scenario: &Scenario,
    seed: u64,
    daemon: &Path,
) -> Result<Outcome, CommandError> {
    let bar = ProgressBar::new(scenario.seconds.ceil() as u64);
    bar.set_style(
        ProgressStyle::with_template("{msg:<16} [{bar:40}] {pos}/{len} s, {prefix} requests")?
            .progress_chars("=> "),
    );
    bar.set_message(scenario.name.clone());
    let progress = |seconds: f64, sent: usize| {
        bar.set_position(seconds.max(0.0) as u64);
        bar.set_prefix(sent.to_string());
    };
    let control = PlayControl {
        stop: Some(&**STOP),
        progress: Some(&progress),
    };
    let outcome = player::play_with_control(daemon, scenario, seed, None, control);
    bar.finish_and_clear();
    outcome.map_err(|error| CommandError::Play {
        daemon: daemon.to_owned(),
        error,
    })
}

/// Lists the shipped scenarios.
pub(crate) fn list() -> ExitCode {
    for (name, text) in shipped::SHIPPED {
        let about = Scenario::read(text).map_or_else(|e| format!("invalid: {e}"), |s| s.about);
        println!("{name:<16} {about}");
    }
    ExitCode::SUCCESS
}

/// Validates scenario files.
pub(crate) fn check(files: &[PathBuf]) -> ExitCode {
    let mut status = ExitCode::SUCCESS;
    for file in files {
        match read(file) {
            Ok(scenario) => println!("{}: valid: {}", file.display(), scenario.about),
            Err(error) => {
                status = ExitCode::from(NOT_PLAYED);
                eprintln!("{error}");
            }
        }
    }
    status
}

/// Prints the load of a scenario.
pub(crate) fn show_plan(file: &Path, seed: u64) -> Result<ExitCode, CommandError> {
    let scenario = read(file)?;
    print(&tables::plan(&scenario, &plan(&scenario, seed)));
    Ok(ExitCode::SUCCESS)
}
