//! The command line of `scale`.

use crate::scale::fault::Fault;
use crate::scale::fleet_config::FleetConfig;
use crate::scale::memory::{self, MemberState, TooLarge};
use crate::scale::prefill;
use crate::scale::report::Report;
use crate::scale::run::{DisabledParts, Run};
use crate::scale::simulation::play;
use crate::scale::slopes;
use crate::scale::target::{Target, TargetError};
use clap::{value_parser, Args};
use linnetknot_purges::{Bucket, BucketBits};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Something is wrong with what was run.
const WRONG: u8 = 1;
/// It can't be run.
const NOT_RUN: u8 = 2;

/// The largest fleet that is tried; the machine's memory mostly refuses smaller ones.
const MAX_MEMBERS: u64 = 100_000;

/// What `scale` takes.
#[derive(Args, Clone, Debug)]
pub struct Arguments {
    /// Proxies of the fleet.
    #[arg(long, default_value_t = 300, value_parser = value_parser!(u64).range(2..=MAX_MEMBERS))]
    members: u64,
    /// The same seed gives the same table, but for what is marked as read off a clock.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds of virtual time that are measured, behind a warm-up.
    #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(1..=86_400))]
    seconds: u64,
    /// What happens.
    #[arg(long, value_enum, default_value = "calm")]
    fault: Fault,
    /// Figures to measure against, in place of those that are built in.
    #[arg(long)]
    target: Option<PathBuf>,
    /// Writes the result to this file too.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Leaves out what differs between two runs of one seed.
    #[arg(long)]
    stable: bool,
    /// A trial: members share no budgets.
    #[arg(long)]
    without_budgets: bool,
    /// Entries that a member holds exactly before it compacts the oldest; by default the daemon's bound.
    #[arg(long, value_parser = value_parser!(u64).range(16..=1 << 24))]
    exact_entries: Option<u64>,
    /// Purges a second over the whole fleet, in place of the target's.
    #[arg(long, value_parser = value_parser!(u64).range(1..=100_000))]
    purges_per_second: Option<u64>,
    /// Runs fleets of these sizes (`100,400,1600`), each in a process of its own, and fits each figure to the size.
    #[arg(long, value_delimiter = ',', conflicts_with_all = ["members", "json"],
          value_parser = value_parser!(u64).range(2..=MAX_MEMBERS))]
    slopes: Vec<u64>,
    /// With `--slopes`: real seconds that each size may take; one that takes longer is ended and named.
    #[arg(long, default_value_t = 600, value_parser = value_parser!(u64).range(1..=86_400), requires = "slopes")]
    budget: u64,
}

/// Runs it; the exit status is 1 where something is wrong, 2 where it can't be run.
pub fn run(arguments: &Arguments) -> ExitCode {
    match prepare(arguments) {
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(NOT_RUN)
        }
        Ok(run) if arguments.slopes.is_empty() => run_one(&run, arguments),
        Ok(run) => run_slopes(&run, arguments),
    }
}

/// Why a run can't be played, or its result not be written.
#[derive(Debug, Error)]
enum CommandError {
    /// The target can't be used.
    #[error("{}: {error}", file.display())]
    Target { file: PathBuf, error: TargetError },
    /// The machine's memory does not hold it.
    #[error("--members {members}: {error}")]
    Memory { members: usize, error: TooLarge },
    /// Its result can't be written.
    #[error("{}: {error}", file.display())]
    Write { file: PathBuf, error: io::Error },
}

fn prepare(arguments: &Arguments) -> Result<Run, CommandError> {
    let file = arguments.target.as_deref();
    let target = Target::load(file).map_err(|error| CommandError::Target {
        file: file.unwrap_or(Path::new("the built-in target")).to_owned(),
        error,
    })?;
    let purges_per_second = arguments
        .purges_per_second
        .unwrap_or(target.purges_per_second);
    let target = Target {
        purges_per_second,
        ..target
    };
    Ok(Run {
        members: arguments.members as usize,
        seed: arguments.seed,
        seconds: arguments.seconds,
        fault: arguments.fault,
        target,
        disabled: DisabledParts {
            budgets: arguments.without_budgets,
        },
        exact_entries: arguments.exact_entries.map(|entries| entries as usize),
        injected_defects: Vec::new(),
    })
}

/// Whether the machine's memory holds a run.
fn admit(run: &Run) -> Result<(), CommandError> {
    let Some(available) = memory::available() else {
        return Ok(());
    };
    let config = FleetConfig::of(run, &vec![0; run.members]);
    let purges = run.target.purges_per_second * run.seconds;
    let max_entries = config.replication.max_exact_entries;
    let purge_count = prefill::entries(run, &config) + purges as usize;
    let has_table = run.fault == Fault::LateJoin || purge_count > max_entries;
    let table_bytes = if has_table {
        BucketBits::DEFAULT.buckets() * size_of::<Bucket>()
    } else {
        0
    };
    let state = MemberState {
        entries: purge_count.min(max_entries),
        table_bytes,
    };
    memory::admit(run.members, state, available).map_err(|error| CommandError::Memory {
        members: run.members,
        error,
    })
}

fn run_one(run: &Run, arguments: &Arguments) -> ExitCode {
    if let Err(reason) = admit(run) {
        eprintln!("{reason}");
        return ExitCode::from(NOT_RUN);
    }
    let outcome = play(run);
    let report = Report::of(run, &outcome);
    print!("{}", report.table(arguments.stable));
    if let Some(Err(reason)) = arguments.json.as_deref().map(|file| write(&report, file)) {
        eprintln!("{reason}");
        return ExitCode::from(NOT_RUN);
    }
    ExitCode::from(if report.wrong.is_empty() { 0 } else { WRONG })
}

fn write(report: &Report, file: &Path) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(report).map_err(io::Error::from);
    let written = text.and_then(|text| std::fs::write(file, text));
    written.map_err(|error| CommandError::Write {
        file: file.to_owned(),
        error,
    })
}

fn run_slopes(run: &Run, arguments: &Arguments) -> ExitCode {
    let sizes: Vec<usize> = arguments.slopes.iter().map(|size| *size as usize).collect();
    let options = slopes::Options {
        seed: run.seed,
        seconds: run.seconds,
        fault: run.fault,
        target: arguments.target.clone(),
        disabled: run.disabled,
        budget: std::time::Duration::from_secs(arguments.budget),
    };
    let runs = slopes::run(&sizes, &options);
    print!("{}", slopes::table(&runs, run.target.proxies));
    match slopes::status(&runs) {
        slopes::Status::Sound => ExitCode::SUCCESS,
        slopes::Status::Wrong => ExitCode::from(WRONG),
        slopes::Status::NothingRan => ExitCode::from(NOT_RUN),
    }
}
