//! Fits each figure of the worst daemon against the size of the fleet, over runs of several sizes.

use super::report::{DaemonReport, Report};
use crate::scale::fit::{exponent, line, Point};
use std::fmt::Write;

/// Figure to be fitted.
struct Figure {
    name: &'static str,
    of: fn(&DaemonReport) -> f64,
}

const FIGURES: [Figure; 7] = [
    Figure {
        name: "CPU % at rest",
        of: |daemon| daemon.at_rest.processor_percent,
    },
    Figure {
        name: "CPU % under load",
        of: |daemon| daemon.under_load.processor_percent,
    },
    Figure {
        name: "RSS MB at rest",
        of: |daemon| daemon.at_rest.memory_mb,
    },
    Figure {
        name: "RSS MB under load",
        of: |daemon| daemon.under_load.memory_mb,
    },
    Figure {
        name: "KB/s at rest",
        of: |daemon| daemon.at_rest.estimated_kilobytes,
    },
    Figure {
        name: "KB/s under load",
        of: |daemon| daemon.under_load.estimated_kilobytes,
    },
    Figure {
        name: "ms acknowledged, p99",
        of: |daemon| daemon.acknowledged.p99_ms,
    },
];

/// Outcome of the run of one size.
#[derive(Debug)]
pub enum SizeOutcome {
    /// The run completed.
    Ran(Box<Report>),
    /// The run was not done or failed, for this reason.
    NotRun(String),
}

/// A fleet size and the outcome of its run.
#[derive(Debug)]
pub struct SizeRun {
    /// Number of hollow members.
    pub members: usize,
    /// Outcome of the run.
    pub outcome: SizeOutcome,
}

impl SizeRun {
    /// Returns the report if the run completed.
    pub fn report(&self) -> Option<&Report> {
        match &self.outcome {
            SizeOutcome::Ran(report) => Some(report),
            SizeOutcome::NotRun(_) => None,
        }
    }
}

/// Returns the reports of the runs whose figures are valid.
fn measured(runs: &[SizeRun]) -> impl Iterator<Item = &Report> {
    runs.iter().filter_map(|run| match &run.outcome {
        SizeOutcome::Ran(report) if report.kept_pace => Some(&**report),
        _ => None,
    })
}

/// Formats the worst daemon's figures by size and their fits as a table.
pub fn table(runs: &[SizeRun], fleet: usize) -> String {
    let mut out =
        "figures of the worst daemon; size: all members, daemons and hollow ones\n\n| figure |"
            .to_owned();
    measured(runs).for_each(|report| out += &format!(" {} |", report.daemons + report.members));
    out +=
        &format!(" slope a member | constant | residual | power | line at {fleet} (not run) |\n");
    out += &"| --- ".repeat(measured(runs).count() + 6);
    out += "|\n";
    FIGURES
        .iter()
        .for_each(|figure| out += &row(figure, runs, fleet));
    out += "\n";
    for SizeRun { members, outcome } in runs {
        // Writing to a string cannot fail.
        let _ = match outcome {
            SizeOutcome::NotRun(reason) => {
                writeln!(out, "NOT RUN {members} hollow members: {reason}")
            }
            SizeOutcome::Ran(report) if !report.kept_pace => {
                writeln!(
                    out,
                    "NOT MEASURED {members} hollow members: they did not keep pace"
                )
            }
            SizeOutcome::Ran(report) => writeln!(
                out,
                "ran {members} hollow members: {} wrong, {} over",
                report.wrong.len(),
                report.over.len()
            ),
        };
    }
    out
}

fn row(figure: &Figure, runs: &[SizeRun], fleet: usize) -> String {
    let points: Vec<Point> = measured(runs)
        .map(|report| Point {
            size: (report.daemons + report.members) as f64,
            figure: report.worst_figure(figure.of),
        })
        .collect();
    let cells: String = points
        .iter()
        .map(|point| format!(" {:.2} |", point.figure))
        .collect();
    let fitted = match line(&points) {
        None => " - | - | - | - | - |".to_owned(),
        Some(line) => {
            let power = exponent(&points).map_or("-".to_owned(), |power| format!("{power:.2}"));
            let at_fleet = line.slope * fleet as f64 + line.constant;
            // A line without positive slope cannot be extrapolated to larger sizes.
            let at_fleet = if line.slope > 0.0 {
                format!("{at_fleet:.1}")
            } else {
                "-".to_owned()
            };
            format!(
                " {:.5} | {:.2} | {:.0}% | {power} | {at_fleet} |",
                line.slope,
                line.constant,
                100.0 * line.residual
            )
        }
    };
    format!("| {} |{cells}{fitted}\n", figure.name)
}
