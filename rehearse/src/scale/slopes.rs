//! Runs fleets of several sizes and fits each figure against the size.
//!
//! Each size runs in its own process, so that its resident memory is measured separately and it can be killed on
//! timeout.

use crate::scale::fault::Fault;
use crate::scale::fit::{exponent, line, Line, Point};
use crate::scale::report::{format_figure, Report, Row};
use crate::scale::run::DisabledParts;
use std::fmt::Write as _;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Interval at which a child process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options that all sizes have in common.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the runs.
    pub seed: u64,
    /// Seconds of virtual time to measure.
    pub seconds: u64,
    /// Fault to simulate.
    pub fault: Fault,
    /// File with target figures, or `None` for the built-in target.
    pub target: Option<PathBuf>,
    /// Features of the daemon that are disabled.
    pub disabled: DisabledParts,
    /// Wall-clock time allowed for each size.
    pub budget: Duration,
}

/// Outcome of the run of one size.
#[derive(Clone, Debug, PartialEq)]
pub enum SizeOutcome {
    /// The run completed, with or without broken rules.
    Ran(Box<Report>),
    /// The run did not complete, for this reason.
    Skipped(String),
}

/// A fleet size and the outcome of its run.
#[derive(Clone, Debug, PartialEq)]
pub struct SizeRun {
    /// Number of members.
    pub size: usize,
    /// Outcome of the run.
    pub outcome: SizeOutcome,
}

/// Overall status of the runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// All runs completed without broken rules.
    Sound,
    /// At least one size broke a rule.
    Wrong,
    /// No size completed.
    NothingRan,
}

/// Runs all sizes one after another.
pub fn run(sizes: &[usize], options: &Options) -> Vec<SizeRun> {
    let mut runs = Vec::new();
    for size in sizes {
        let outcome = match run_size(*size, options) {
            Ok(report) => SizeOutcome::Ran(Box::new(report)),
            Err(reason) => SizeOutcome::Skipped(reason.to_string()),
        };
        let run = SizeRun {
            size: *size,
            outcome,
        };
        // Progress is printed at once because the final table may take long.
        eprint!("{}", summary(&run));
        runs.push(run);
    }
    runs
}

/// Reason why a size was not run.
#[derive(Debug, Error)]
enum SizeError {
    /// The process cannot be started or waited for.
    #[error("{0}")]
    Process(#[from] io::Error),
    /// The process failed without a message.
    #[error("{0}")]
    Status(ExitStatus),
    /// The process failed with this message on its standard error.
    #[error("{0}")]
    Failed(String),
    /// The process exceeded its time limit.
    #[error("run did not finish within the limit of {seconds} s per size")]
    TimedOut {
        /// Time limit in seconds.
        seconds: u64,
    },
    /// The process wrote no report.
    #[error("run wrote no report: {0}")]
    NoResult(io::Error),
    /// The report cannot be parsed.
    #[error("cannot parse the report: {0}")]
    MalformedResult(serde_json::Error),
}

fn run_size(size: usize, options: &Options) -> Result<Report, SizeError> {
    let file = std::env::temp_dir().join(format!(
        "linnetknot-scale-{}-{size}.json",
        std::process::id()
    ));
    let result = run_process(size, options, &file).and_then(|()| {
        let text = std::fs::read_to_string(&file).map_err(SizeError::NoResult)?;
        serde_json::from_str(&text).map_err(SizeError::MalformedResult)
    });
    // The file does not exist if the run failed.
    let _ = std::fs::remove_file(&file);
    result
}

fn run_process(size: usize, options: &Options, file: &std::path::Path) -> Result<(), SizeError> {
    let executable = std::env::current_exe()?;
    let mut command = Command::new(executable);
    command.arg("scale").arg("--json").arg(file);
    for (name, value) in [
        ("--members", size.to_string()),
        ("--seed", options.seed.to_string()),
        ("--seconds", options.seconds.to_string()),
        ("--fault", options.fault.name()),
    ] {
        command.arg(name).arg(value);
    }
    if options.disabled.budgets {
        command.arg("--without-budgets");
    }
    if let Some(target) = &options.target {
        command.arg("--target").arg(target);
    }
    let child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn();
    wait(child?, options.budget)
}

/// Waits for a process and kills it when its time limit is over.
fn wait(mut child: Child, budget: Duration) -> Result<(), SizeError> {
    let started_at = Instant::now();
    while started_at.elapsed() < budget {
        match child.try_wait() {
            Ok(None) => std::thread::sleep(POLL_INTERVAL),
            Ok(Some(status)) if matches!(status.code(), Some(0 | 1)) => return Ok(()),
            Ok(Some(status)) => {
                let output = child
                    .wait_with_output()
                    .map(|output| output.stderr)
                    .unwrap_or_default();
                let message = String::from_utf8_lossy(&output).trim().to_owned();
                return Err(if message.is_empty() {
                    SizeError::Status(status)
                } else {
                    SizeError::Failed(message)
                });
            }
            Err(error) => return Err(error.into()),
        }
    }
    // Both calls fail only if the process has just exited.
    let _ = child.kill();
    let _ = child.wait();
    Err(SizeError::TimedOut {
        seconds: budget.as_secs(),
    })
}

/// Returns the overall status of the runs.
pub fn status(runs: &[SizeRun]) -> Status {
    let mut reports = reports(runs).peekable();
    if reports.peek().is_none() {
        Status::NothingRan
    } else if reports.all(|report| report.wrong.is_empty()) {
        Status::Sound
    } else {
        Status::Wrong
    }
}

fn reports(runs: &[SizeRun]) -> impl Iterator<Item = &Report> {
    runs.iter().filter_map(|run| match &run.outcome {
        SizeOutcome::Ran(report) => Some(&**report),
        SizeOutcome::Skipped(_) => None,
    })
}

/// Collects the values of a row's figure from all sizes that have it.
fn points(runs: &[SizeRun], of: &Row) -> Vec<Point> {
    let figure = |report: &Report| {
        let row = report
            .rows
            .iter()
            .find(|row| (row.role, &row.figure) == (of.role, &of.figure));
        Some(Point {
            size: report.members as f64,
            figure: row?.worst_value()?,
        })
    };
    reports(runs).filter_map(figure).collect()
}

/// Summarises the outcome of one size.
fn summary(run: &SizeRun) -> String {
    let report = match &run.outcome {
        SizeOutcome::Ran(report) => report,
        SizeOutcome::Skipped(reason) => {
            return format!("{} members: SKIPPED: {reason}\n", run.size)
        }
    };
    let mut out = format!(
        "{} members: {:.1} s of real time\n",
        run.size, report.real_seconds
    );
    for (verdict, (count, first)) in &report.wrong {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "    {verdict} ({count} times; first: {first})");
    }
    out
}

/// Formats all runs and fits as tables, with each figure extrapolated to the target's size.
pub fn table(runs: &[SizeRun], target_size: usize) -> String {
    let mut out: String = runs.iter().map(summary).collect();
    out += "\nThe worst member's figure at each size; residual: the farthest point's, of the largest figure.\n\n";
    out += "| role | figure | unit | at each size | slope x size + constant | residual | exponent | limit | at the target's size |\n";
    out += "| --- | --- | --- | --- | --- | ---: | ---: | ---: | --- |\n";
    let Some(largest) = reports(runs).max_by_key(|report| report.members) else {
        return out;
    };
    for row in &largest.rows {
        let points = points(runs, row);
        if let Some(line) = line(&points) {
            out += &fitted(row, &points, line, target_size);
        }
    }
    out
}

fn fitted(row: &Row, points: &[Point], line: Line, target_size: usize) -> String {
    let at: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {}", point.size, format_figure(point.figure)))
        .collect();
    let exponent = exponent(points).map_or_else(String::new, |exponent| format!("{exponent:.2}"));
    let limit = row.limit.map_or_else(String::new, format_figure);
    let projected = line.slope * target_size as f64 + line.constant;
    let is_over = row.limit.is_some_and(|limit| projected > limit);
    let Row {
        role, figure, unit, ..
    } = row;
    format!(
        "| {role} | {figure} | {unit} | {} | {} x size + {} | {:.0}% | {exponent} | {limit} | {}{} |\n",
        at.join(", "),
        format_figure(line.slope),
        format_figure(line.constant),
        100.0 * line.residual,
        format_figure(projected),
        if is_over { " OVER" } else { "" }
    )
}
