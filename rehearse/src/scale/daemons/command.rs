//! Command line of the `scale-daemons` subcommand.

use super::report::Report;
use super::run::{play, Run};
use super::slopes::{self, SizeOutcome, SizeRun};
use super::sockets::{self, TooManySockets};
use crate::scale::memory::{self, MemberState, TooLarge};
use crate::scale::target::{Target, TargetError};
use clap::{value_parser, Args};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Exit status of a completed run whose checks failed.
const WRONG: u8 = 1;
/// Exit status when a run was not possible or its figures are not valid.
const NOT_RUN: u8 = 2;

/// Upper bound of `--daemons`.
const MAX_DAEMONS: u64 = 32;
/// Upper bound of `--members`.
const MAX_MEMBERS: u64 = 16_000;
/// Upper bound of `--seconds` and `--rest`.
const MAX_SECONDS: u64 = 90;
/// Upper bound of `--purges`.
const MAX_PURGES: u64 = 10_000;

/// Time limit of all sizes together; a size that is expected to exceed it is skipped.
const MAX_TOTAL_DURATION: Duration = Duration::from_secs(290);
/// Estimated duration of startup, budget allocation and convergence, and the rate at which daemons discover members.
const OTHER_SECONDS: u64 = 10;
const INTRODUCED_PER_SECOND: u64 = 16;

/// Estimated memory of a daemon.
const DAEMON_BYTES: u64 = 128 << 20;

/// Arguments of the `scale-daemons` subcommand.
#[derive(Args, Clone, Debug)]
pub struct Arguments {
    /// Number of real daemons.
    #[arg(long, default_value_t = 3, value_parser = value_parser!(u64).range(2..=MAX_DAEMONS))]
    daemons: u64,
    /// Number of hollow members.
    #[arg(long, default_value_t = 64, value_parser = value_parser!(u64).range(1..=MAX_MEMBERS))]
    members: u64,
    /// Seconds to measure under load.
    #[arg(long, default_value_t = 15, value_parser = value_parser!(u64).range(1..=MAX_SECONDS))]
    seconds: u64,
    /// Seconds to measure at rest before the load.
    #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(1..=MAX_SECONDS))]
    rest: u64,
    /// Purges per second across the whole fleet, distributed evenly at random over all members.
    #[arg(long, default_value_t = 110, value_parser = value_parser!(u64).range(0..=MAX_PURGES))]
    purges: u64,
    /// Seed for the distribution of the purges.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Daemon executable; defaults to `linnetknot` in the directory of this program.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// JSON file with target figures that replaces the built-in target.
    #[arg(long)]
    target: Option<PathBuf>,
    /// Also writes the report to this file as JSON; with `--slopes`, a list of reports.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Runs with these numbers of hollow members (`16,64,256`) in turn and fits each figure of the worst daemon against
    /// the size.
    #[arg(long, value_delimiter = ',', conflicts_with = "members",
          value_parser = value_parser!(u64).range(1..=MAX_MEMBERS))]
    slopes: Vec<u64>,
}

/// Runs the subcommand. The exit status is 1 if something is wrong and 2 if a run was not possible.
pub fn run(arguments: &Arguments) -> ExitCode {
    let result = prepare(arguments).and_then(|run| match arguments.slopes.is_empty() {
        true => run_one(&run, arguments),
        false => run_slopes(&run, arguments),
    });
    match result {
        Ok(status) => ExitCode::from(status),
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Reason why a run cannot be started or its result cannot be written.
#[derive(Debug, Error)]
enum CommandError {
    /// The target cannot be loaded.
    #[error("--target: {0}")]
    Target(#[from] TargetError),
    /// The process may not open enough descriptors.
    #[error("--members {members}: {error}")]
    Sockets {
        members: usize,
        error: TooManySockets,
    },
    /// The run does not fit into the available memory.
    #[error("--members {members}: {error}")]
    Memory { members: usize, error: TooLarge },
    /// The daemons cannot be run.
    #[error("{}: {error}", program.display())]
    Play { program: PathBuf, error: io::Error },
    /// Another size would exceed the time limit of all sizes together.
    #[error("skipped: the time limit of {} s for all sizes would be exceeded", MAX_TOTAL_DURATION.as_secs())]
    OutOfTime,
    /// The report cannot be written.
    #[error("--json {}: {error}", file.display())]
    Write { file: PathBuf, error: io::Error },
}

fn prepare(arguments: &Arguments) -> Result<Run, CommandError> {
    let target = Target::load(arguments.target.as_deref())?;
    let sibling_executable = || {
        std::env::current_exe()
            .map(|executable| executable.with_file_name("linnetknot"))
            .unwrap_or_default()
    };
    Ok(Run {
        program: arguments.daemon.clone().unwrap_or_else(sibling_executable),
        daemons: arguments.daemons as usize,
        members: arguments.members as usize,
        seconds: arguments.seconds,
        rest_seconds: arguments.rest,
        purges_per_second: arguments.purges,
        seed: arguments.seed,
        target,
    })
}

/// Checks that this machine has enough descriptors and memory for a run.
fn admit(run: &Run) -> Result<(), CommandError> {
    let members = run.members;
    sockets::admit(members).map_err(|error| CommandError::Sockets { members, error })?;
    let Some(memory::Bytes(available)) = memory::available() else {
        return Ok(());
    };
    let purges = run.purges_per_second * run.seconds;
    let daemons = run.daemons as u64 * DAEMON_BYTES;
    let left = memory::Bytes(available.saturating_sub(2 * daemons));
    let state = MemberState {
        entries: purges as usize,
        table_bytes: 0,
    };
    memory::admit(members, state, left).map_err(|error| CommandError::Memory { members, error })
}

fn play_one(run: &Run) -> Result<Report, CommandError> {
    admit(run)?;
    let outcome = play(run).map_err(|error| CommandError::Play {
        program: run.program.clone(),
        error,
    })?;
    Ok(Report::of(run, &outcome))
}

fn run_one(run: &Run, arguments: &Arguments) -> Result<u8, CommandError> {
    let report = play_one(run)?;
    print!("{}", report.table(&run.target.limits));
    write(arguments.json.as_deref(), &[&report])?;
    Ok(status(&report))
}

/// Returns the exit status of a run. The figures are not valid if the hollow members fell behind.
fn status(report: &Report) -> u8 {
    match (report.kept_pace, report.wrong.is_empty()) {
        (false, _) => NOT_RUN,
        (true, true) => 0,
        (true, false) => WRONG,
    }
}

fn write(file: Option<&Path>, reports: &[&Report]) -> Result<(), CommandError> {
    let Some(file) = file else { return Ok(()) };
    let text = match reports {
        [report] => serde_json::to_string_pretty(report),
        reports => serde_json::to_string_pretty(reports),
    };
    let written = text
        .map_err(io::Error::from)
        .and_then(|text| std::fs::write(file, text));
    written.map_err(|error| CommandError::Write {
        file: file.to_owned(),
        error,
    })
}

/// Returns the expected duration of a run.
fn expected(run: &Run) -> Duration {
    let greeting = run.members as u64 / INTRODUCED_PER_SECOND;
    Duration::from_secs(run.seconds + run.rest_seconds + OTHER_SECONDS + greeting)
}

fn run_slopes(run: &Run, arguments: &Arguments) -> Result<u8, CommandError> {
    let started_at = Instant::now();
    let mut runs = Vec::new();
    for members in arguments.slopes.iter().map(|members| *members as usize) {
        let run = Run {
            members,
            ..run.clone()
        };
        let result = match started_at.elapsed() + expected(&run) > MAX_TOTAL_DURATION {
            true => Err(CommandError::OutOfTime),
            false => play_one(&run),
        };
        let outcome = match result {
            Ok(report) => {
                println!("{}", report.table(&run.target.limits));
                SizeOutcome::Ran(Box::new(report))
            }
            Err(reason) => SizeOutcome::NotRun(reason.to_string()),
        };
        runs.push(SizeRun { members, outcome });
    }
    print!("{}", slopes::table(&runs, run.target.proxies));
    let reports: Vec<&Report> = runs.iter().filter_map(SizeRun::report).collect();
    write(arguments.json.as_deref(), &reports)?;
    // Sizes that the machine cannot hold are listed in the table and do not affect the exit status.
    let ran = reports
        .into_iter()
        .map(status)
        .filter(|status| *status != NOT_RUN);
    Ok(ran.max().unwrap_or(NOT_RUN))
}
