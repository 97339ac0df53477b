//! Scenarios played with many seeds in parallel, summarized in one table of broken rules and one exit status.

use crate::player::Outcome;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use thiserror::Error;

/// The maximum number of test runs in a series, which guards against a mistyped range.
const MAX_PLAYS: u64 = 10_000;

/// An inclusive range of seeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(pub RangeInclusive<u64>);

/// An error in parsing a range of seeds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidSeeds {
    /// A bound is not a number.
    #[error("'{0}' is no seed; seeds read as 1..20")]
    NotANumber(String),
    /// The last seed is smaller than the first.
    #[error("{first}..{last} holds no seed")]
    Empty {
        /// The first seed of the range.
        first: u64,
        /// The last seed of the range, inclusive.
        last: u64,
    },
    /// The range exceeds the maximum number of test runs.
    #[error("{first}..{last} is more than {MAX_PLAYS} plays")]
    TooMany {
        /// The first seed of the range.
        first: u64,
        /// The last seed of the range, inclusive.
        last: u64,
    },
}

impl FromStr for Seeds {
    type Err = InvalidSeeds;

    /// Parses `A..B`, or `A` alone.
    fn from_str(text: &str) -> Result<Self, InvalidSeeds> {
        let number = |t: &str| {
            t.trim()
                .parse::<u64>()
                .map_err(|_| InvalidSeeds::NotANumber(t.to_owned()))
        };
        let (first, last) = match text.split_once("..") {
            Some((a, b)) => (number(a)?, number(b)?),
            None => (number(text)?, number(text)?),
        };
        if last < first {
            return Err(InvalidSeeds::Empty { first, last });
        }
        if last - first >= MAX_PLAYS {
            return Err(InvalidSeeds::TooMany { first, last });
        }
        Ok(Seeds(first..=last))
    }
}

/// The verdict on one test run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The test run was conclusive.
    Played {
        /// The number of breaches by rule.
        broken: BTreeMap<&'static str, usize>,
        /// The share of the offered weight that was earned by answers, from 0 to 1.
        score: f64,
    },
    /// The test run was inconclusive, for this reason.
    Inconclusive(String),
}

impl Verdict {
    /// Returns the verdict on an outcome.
    pub fn of(outcome: &Outcome) -> Self {
        if let Err(reason) = outcome.check_conclusive() {
            return Verdict::Inconclusive(reason.to_string());
        }
        if let Some(at) = outcome.interrupted.filter(|_| outcome.breaches.is_empty()) {
            return Verdict::Inconclusive(format!("interrupted after {at:.1} s"));
        }
        let mut broken = BTreeMap::new();
        for breach in &outcome.breaches {
            *broken.entry(breach.rule).or_insert(0) += 1;
        }
        Verdict::Played {
            broken,
            score: outcome.score.total.score().unwrap_or(0.0),
        }
    }

    /// Returns the exit status: 0 if no rule was broken, 1 if one was, 2 if the test run was inconclusive.
    pub fn status(&self) -> u8 {
        match self {
            Verdict::Played { broken, .. } => u8::from(!broken.is_empty()),
            Verdict::Inconclusive(_) => 2,
        }
    }
}

/// The verdicts of one scenario by seed.
pub type Verdicts = BTreeMap<u64, Verdict>;

/// Runs `play` on each job, on up to `parallelism` threads at a time, and returns the results in the order of the jobs.
pub fn run_in_parallel<J: Sync, R: Send>(
    jobs: &[J],
    parallelism: usize,
    play: impl Fn(&J) -> R + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..parallelism.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(n) else { return };
                let result = play(job);
                done.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(n, result);
            });
        }
    });
    done.into_inner()
        .unwrap_or_else(PoisonError::into_inner)
        .into_values()
        .collect()
}

/// The verdicts of a series by scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary(pub Vec<(String, Verdicts)>);

impl Summary {
    /// Returns the worst exit status of all test runs, or 2 if there are none.
    pub fn status(&self) -> u8 {
        let all = self.0.iter().flat_map(|(_, v)| v.values());
        all.map(Verdict::status).max().unwrap_or(2)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| scenario | plays | clean | broken, by rule and seed | inconclusive | lowest score |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- |")?;
        for (name, verdicts) in &self.0 {
            let mut by_rule: BTreeMap<&str, String> = BTreeMap::new();
            let (mut clean, mut inconclusive, mut lowest_score) = (0, String::new(), f64::INFINITY);
            for (seed, verdict) in verdicts {
                match verdict {
                    Verdict::Inconclusive(reason) => write!(inconclusive, " {seed}: {reason};")?,
                    Verdict::Played { broken, score } => {
                        clean += usize::from(broken.is_empty());
                        lowest_score = lowest_score.min(*score);
                        for (rule, times) in broken {
                            write!(by_rule.entry(rule).or_default(), " {seed} ({times})")?;
                        }
                    }
                }
            }
            let broken: Vec<String> = by_rule
                .iter()
                .map(|(rule, seeds)| format!("{rule}:{seeds}"))
                .collect();
            let broken = if broken.is_empty() {
                "none".to_owned()
            } else {
                broken.join("; ")
            };
            let inconclusive = if inconclusive.is_empty() {
                "none"
            } else {
                inconclusive.trim_matches([' ', ';'])
            };
            let lowest_score = if lowest_score.is_finite() {
                format!("{lowest_score:.3}")
            } else {
                "-".to_owned()
            };
            writeln!(
                f,
                "| {name} | {} | {clean} | {broken} | {inconclusive} | {lowest_score} |",
                verdicts.len()
            )?;
        }
        Ok(())
    }
}
