//! The command line of `scale-daemons`.

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

/// Something is wrong with what was run.
const WRONG: u8 = 1;
/// It can't be run.
const NOT_RUN: u8 = 2;

/// Daemons that are tried: each is a process, and few tell as much as many.
const MAX_DAEMONS: u64 = 32;
/// Hollow members that are tried.
const MAX_MEMBERS: u64 = 16_000;
/// Seconds under load.
const MAX_SECONDS: u64 = 90;
/// Purges a second.
const MAX_PURGES: u64 = 10_000;

/// No further size is begun where it could end later than this.
const MAX_TOTAL_DURATION: Duration = Duration::from_secs(290);
/// Seconds that a run mostly takes besides rest and load: start, budgets and settling, and until daemons know each other.
const OTHER_SECONDS: u64 = 10;
const INTRODUCED_PER_SECOND: u64 = 16;

/// Bytes of a daemon, for the estimate of what a run takes.
const DAEMON_BYTES: u64 = 128 << 20;

/// What `scale-daemons` takes.
#[derive(Args, Clone, Debug)]
pub struct Arguments {
    /// Real daemons.
    #[arg(long, default_value_t = 3, value_parser = value_parser!(u64).range(2..=MAX_DAEMONS))]
    daemons: u64,
    /// Hollow members.
    #[arg(long, default_value_t = 64, value_parser = value_parser!(u64).range(1..=MAX_MEMBERS))]
    members: u64,
    /// Seconds under load.
    #[arg(long, default_value_t = 15, value_parser = value_parser!(u64).range(1..=MAX_SECONDS))]
    seconds: u64,
    /// Seconds at rest before that.
    #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(1..=MAX_SECONDS))]
    rest: u64,
    /// Purges told to the whole fleet in a second; each member is told as many as any other.
    #[arg(long, default_value_t = 110, value_parser = value_parser!(u64).range(0..=MAX_PURGES))]
    purges: u64,
    /// Draws who is told which purge.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The daemon; by default the one that stands beside this program.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Figures to measure against, in place of those that are built in.
    #[arg(long)]
    target: Option<PathBuf>,
    /// Writes the result to this file too; with `--slopes` a list of results.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Runs with so many hollow members in turn (`16,64,256`), and fits each figure of the worst daemon to the size.
    #[arg(long, value_delimiter = ',', conflicts_with = "members",
          value_parser = value_parser!(u64).range(1..=MAX_MEMBERS))]
    slopes: Vec<u64>,
}

/// Runs it; the exit status is 1 where something is wrong, 2 where it can't be run.
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

/// Why a run can't be played, or its result not be written.
#[derive(Debug, Error)]
enum CommandError {
    /// The target can't be used.
    #[error("--target: {0}")]
    Target(#[from] TargetError),
    /// The machine has too few descriptors.
    #[error("--members {members}: {error}")]
    Sockets {
        members: usize,
        error: TooManySockets,
    },
    /// The machine's memory does not hold it.
    #[error("--members {members}: {error}")]
    Memory { members: usize, error: TooLarge },
    /// The daemons can't be run.
    #[error("{}: {error}", program.display())]
    Play { program: PathBuf, error: io::Error },
    /// All sizes together have taken too long for one more.
    #[error("the {} s of all sizes together are over", MAX_TOTAL_DURATION.as_secs())]
    OutOfTime,
    /// Its result can't be written.
    #[error("--json {}: {error}", file.display())]
    Write { file: PathBuf, error: io::Error },
}

fn prepare(arguments: &Arguments) -> Result<Run, CommandError> {
    let target = Target::load(arguments.target.as_deref())?;
    let beside = || {
        std::env::current_exe()
            .map(|own| own.with_file_name("linnetknot"))
            .unwrap_or_default()
    };
    Ok(Run {
        program: arguments.daemon.clone().unwrap_or_else(beside),
        daemons: arguments.daemons as usize,
        members: arguments.members as usize,
        seconds: arguments.seconds,
        rest_seconds: arguments.rest,
        purges_per_second: arguments.purges,
        seed: arguments.seed,
        target,
    })
}

/// Whether this machine holds a run.
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

/// A run whose members did not keep pace has measured nothing.
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

/// How long a run mostly takes.
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
    // Sizes that the machine can't hold are named in the table, and are no fault of those that ran.
    let ran = reports
        .into_iter()
        .map(status)
        .filter(|status| *status != NOT_RUN);
    Ok(ran.max().unwrap_or(NOT_RUN))
}
