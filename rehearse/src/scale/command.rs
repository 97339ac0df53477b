//! Command line of the `scale` subcommand.

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

/// Exit status of a run that broke a rule.
const WRONG: u8 = 1;
/// Exit status when the run could not be started or its result could not be written.
const NOT_RUN: u8 = 2;

/// Upper bound of `--members`; available memory usually limits a run further.
const MAX_MEMBERS: u64 = 100_000;

/// Arguments of the `scale` subcommand.
#[derive(Args, Clone, Debug)]
pub struct Arguments {
    /// Number of proxies in the fleet.
    #[arg(long, default_value_t = 300, value_parser = value_parser!(u64).range(2..=MAX_MEMBERS))]
    members: u64,
    /// Seed of the run; runs with the same seed print the same table, except for rows marked `by a clock`.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds of virtual time to measure after the warm-up.
    #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(1..=86_400))]
    seconds: u64,
    /// Fault to simulate.
    #[arg(long, value_enum, default_value = "calm")]
    fault: Fault,
    /// JSON file with target figures that replaces the built-in target.
    #[arg(long)]
    target: Option<PathBuf>,
    /// Also writes the report to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Omits all output that differs between two runs with the same seed.
    #[arg(long)]
    stable: bool,
    /// Disables the budgets that members share, for comparison.
    #[arg(long)]
    without_budgets: bool,
    /// Number of entries that a member stores exactly before it compacts the oldest; defaults to the daemon's limit.
    #[arg(long, value_parser = value_parser!(u64).range(16..=1 << 24))]
    exact_entries: Option<u64>,
    /// Purges per second across the whole fleet; overrides the target's rate.
    #[arg(long, value_parser = value_parser!(u64).range(1..=100_000))]
    purges_per_second: Option<u64>,
    /// Runs fleets of these sizes (`100,400,1600`), each in its own process, and fits each figure against the size.
    #[arg(long, value_delimiter = ',', conflicts_with_all = ["members", "json"],
          value_parser = value_parser!(u64).range(2..=MAX_MEMBERS))]
    slopes: Vec<u64>,
    /// With `--slopes`: wall-clock seconds allowed for each size; a run that exceeds them is killed and reported.
    #[arg(long, default_value_t = 600, value_parser = value_parser!(u64).range(1..=86_400), requires = "slopes")]
    budget: u64,
}

/// Runs the subcommand. The exit status is 1 if a rule was broken and 2 if the run could not be done.
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

/// Reason why a run cannot be started or its result cannot be written.
#[derive(Debug, Error)]
enum CommandError {
    /// The target cannot be loaded.
    #[error("{}: {error}", file.display())]
    Target { file: PathBuf, error: TargetError },
    /// The run does not fit into the available memory.
    #[error("--members {members}: {error}")]
    Memory { members: usize, error: TooLarge },
    /// The report cannot be written.
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

/// Checks that the estimated memory use of a run fits the machine.
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
