//! A scenario over many seeds: plays side by side, one table of broken rules and one exit status. A verdict that hangs
//! on one seed is none; a play needs a tenth of a core, so several at once cost little more than one.

use crate::player::Outcome;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use thiserror::Error;

/// More plays than this in one series are refused: a slip of the keyboard must not take the machine for a day.
const MAX_PLAYS: u64 = 10_000;

/// Seeds from the first to the last, both played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(pub RangeInclusive<u64>);

/// Why a text is no range of seeds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidSeeds {
    /// A bound is no number.
    #[error("'{0}' is no seed; seeds read as 1..20")]
    NotANumber(String),
    /// The last comes before the first.
    #[error("{first}..{last} holds no seed")]
    Empty {
        /// The first.
        first: u64,
        /// The last.
        last: u64,
    },
    /// More plays than one series may have.
    #[error("{first}..{last} is more than {MAX_PLAYS} plays")]
    TooMany {
        /// The first.
        first: u64,
        /// The last.
        last: u64,
    },
}

impl FromStr for Seeds {
    type Err = InvalidSeeds;

    /// Reads `A..B`, or `A` alone.
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

/// What one play came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It was played: how often each rule was broken, and the share of the worth that was answered in time.
    Played {
        /// Breaches by the rule's name.
        broken: BTreeMap<&'static str, usize>,
        /// From 0 to 1.
        score: f64,
    },
    /// It proves nothing, and why.
    Inconclusive(String),
}

impl Verdict {
    /// The verdict on a play that ran.
    pub fn of(outcome: &Outcome) -> Self {
        if let Err(reason) = outcome.check_conclusive() {
            return Verdict::Inconclusive(reason.to_string());
        }
        if let Some(at) = outcome.interrupted.filter(|_| outcome.breaches.is_empty()) {
            return Verdict::Inconclusive(format!("ended by hand after {at:.1} s"));
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

    /// 0 where no rule was broken, 1 where one was, 2 where nothing could be played.
    pub fn status(&self) -> u8 {
        match self {
            Verdict::Played { broken, .. } => u8::from(!broken.is_empty()),
            Verdict::Inconclusive(_) => 2,
        }
    }
}

/// One scenario's verdicts by seed.
pub type Verdicts = BTreeMap<u64, Verdict>;

/// Plays each job, so many at a time, in order of their beginning. `play` is called from several threads.
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

/// The verdicts of a series, scenario by scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary(pub Vec<(String, Verdicts)>);

impl Summary {
    /// The worst exit status of all plays; 2, as nothing was proved, where there is none.
    pub fn status(&self) -> u8 {
        let all = self.0.iter().flat_map(|(_, v)| v.values());
        all.map(Verdict::status).max().unwrap_or(2)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| scenario | plays | clean | broken, by rule and seed | proved nothing | in time, least |"
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
