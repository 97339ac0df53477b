//! The result table of the fault matrix, with a row for each fault point and disk and one for the total.

use super::{Case, PlayResult, CONVERGENCE_TIMEOUT, FAULT_POINTS};
use crate::rules::commits::PurgeAnswer;
use linnetknot_harness::fleet::Disk;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::time::Duration;

/// One row of the matrix.
#[derive(Clone, Debug, Default, PartialEq)]
struct Row {
    plays: usize,
    /// The numbers of commits, rejections and requests without an answer.
    answers: [usize; 3],
    lost_commits: usize,
    broken: BTreeMap<&'static str, usize>,
    diverged: usize,
    convergence_times: Vec<Duration>,
    inconclusive: usize,
}

impl Row {
    /// Adds the result of a test run.
    fn add(&mut self, played: &PlayResult) {
        self.plays += 1;
        for purge in &played.record.purges {
            let index = match purge.answer {
                PurgeAnswer::Committed => 0,
                PurgeAnswer::Rejected => 1,
                PurgeAnswer::None => 2,
            };
            self.answers[index] += 1;
        }
        self.lost_commits += played
            .breaches
            .iter()
            .filter(|b| b.rule == "promises")
            .count();
        played
            .breaches
            .iter()
            .for_each(|b| *self.broken.entry(b.rule).or_default() += 1);
        self.diverged += usize::from(played.converged_in.is_none());
        self.convergence_times.extend(played.converged_in);
    }

    /// Adds the counts of another row.
    fn merge(&mut self, other: &Row) {
        self.plays += other.plays;
        (0..3).for_each(|n| self.answers[n] += other.answers[n]);
        self.lost_commits += other.lost_commits;
        other
            .broken
            .iter()
            .for_each(|(rule, times)| *self.broken.entry(rule).or_default() += times);
        self.diverged += other.diverged;
        self.convergence_times.extend(&other.convergence_times);
        self.inconclusive += other.inconclusive;
    }

    /// Returns the broken rules with their counts, or 0 if there are none.
    fn broken_rules(&self) -> String {
        if self.broken.is_empty() {
            return "0".to_owned();
        }
        let rules: Vec<String> = self
            .broken
            .iter()
            .map(|(rule, times)| format!("{rule} {times}"))
            .collect();
        rules.join(", ")
    }

    /// Returns a percentile of the convergence times in milliseconds, or a dash if there are none.
    fn convergence_ms(&self, percent: usize) -> String {
        let mut times = self.convergence_times.clone();
        times.sort_unstable();
        let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
        times
            .get(index)
            .map_or_else(|| "-".to_owned(), |d| d.as_millis().to_string())
    }

    /// Writes the row with this name.
    fn write(&self, f: &mut fmt::Formatter<'_>, name: &str, disk: &str) -> fmt::Result {
        let [committed, rejected, unanswered] = self.answers;
        let Row {
            plays,
            lost_commits,
            diverged,
            inconclusive,
            ..
        } = self;
        let (broken, p50, p99) = (
            self.broken_rules(),
            self.convergence_ms(50),
            self.convergence_ms(99),
        );
        write!(
            f,
            "| {name} | {disk} | {plays} | {committed} | {rejected} | {unanswered} | {lost_commits} | {broken} | {diverged} "
        )?;
        writeln!(f, "| {p50}, {p99} | {inconclusive} |")
    }
}

/// The results of all test runs by fault point and disk.
#[derive(Clone, Debug, Default)]
pub struct Matrix {
    rows: BTreeMap<(usize, bool), Row>,
    /// The reasons for inconclusive test runs, and each breach with its case.
    pub notes: Vec<String>,
}

impl Matrix {
    /// Adds the result of a test run.
    pub fn add(&mut self, case: Case, played: io::Result<PlayResult>) {
        let row = self
            .rows
            .entry((case.point, case.disk == Disk::Lost))
            .or_default();
        let name = format!(
            "{}, disk {:?}, seed {}",
            FAULT_POINTS[case.point].name, case.disk, case.seed
        );
        match played {
            Err(e) => {
                row.inconclusive += 1;
                self.notes.push(format!("{name}: inconclusive: {e}"));
            }
            Ok(played) => {
                row.add(&played);
                if played.converged_in.is_none() {
                    self.notes.push(format!(
                        "{name}: did not converge within {} s",
                        CONVERGENCE_TIMEOUT.as_secs()
                    ));
                }
                self.notes.extend(
                    played
                        .breaches
                        .iter()
                        .map(|breach| format!("{name}: {breach}")),
                );
                self.notes
                    .extend(played.states.iter().map(|state| format!("{name}: {state}")));
            }
        }
    }

    /// Returns the exit status: 0 if all test runs passed, 1 if a rule was broken or a fleet did not converge, 2 if test
    /// runs were inconclusive.
    pub fn status(&self) -> u8 {
        let broken = self
            .rows
            .values()
            .any(|row| !row.broken.is_empty() || row.diverged > 0);
        match (
            broken,
            self.rows.values().map(|row| row.plays).sum::<usize>(),
        ) {
            (true, _) => 1,
            (false, 0) => 2,
            (false, _) => u8::from(self.rows.values().any(|row| row.inconclusive > 0)) * 2,
        }
    }
}

impl fmt::Display for Matrix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| fault point | disk | plays | committed | rejected | no answer | commits lost | rules broken "
        )?;
        writeln!(
            f,
            "| did not converge | converge p50, p99 ms | inconclusive |"
        )?;
        writeln!(
            f,
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        )?;
        let mut total = Row::default();
        for ((point, disk_lost), row) in &self.rows {
            row.write(
                f,
                FAULT_POINTS[*point].name,
                if *disk_lost { "lost" } else { "kept" },
            )?;
            total.merge(row);
        }
        total.write(f, "all", "")
    }
}
