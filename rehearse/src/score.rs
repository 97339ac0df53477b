//! The score of a rehearsal: the weight answered in time over the weight offered, for the whole run, by class and by second.
//! A client's retries count towards its first request.

use crate::record::{Answered, FinalAnswer, Micros, Record, Request};
use std::collections::BTreeMap;

/// The weight of requests by outcome. The outcomes add up to the offered weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shares {
    /// The weight of all requests.
    pub offered: f64,
    /// The weight of answers in time, and the earned part of late ones.
    pub earned: f64,
    /// The weight lost to late answers.
    pub late: f64,
    /// The weight lost to refusals.
    pub refused: f64,
    /// The weight lost to failures.
    pub failed: f64,
    /// The weight of requests without an answer.
    pub unanswered: f64,
}

impl Shares {
    /// Returns the earned share of the offered weight, or none if nothing was offered.
    pub fn score(&self) -> Option<f64> {
        (self.offered > 0.0).then(|| self.earned / self.offered)
    }

    fn add(&mut self, other: &Shares) {
        self.offered += other.offered;
        self.earned += other.earned;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
    }
}

/// The score of a rehearsal.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// The weights of the whole run.
    pub total: Shares,
    /// The weights by class, in the order of the record.
    pub classes: Vec<Shares>,
    /// The weights by second, counted from the earliest request. A request counts in the second in which it was first sent.
    pub seconds: Vec<Shares>,
    /// The first second and the score of the worst window of ten seconds.
    pub worst: Option<(usize, f64)>,
}

/// The width of the worst window.
const WINDOW_SECONDS: usize = 10;

/// Returns the outcome of a request from it and its retries in order, each with its answer.
fn outcome(record: &Record, requests: &[(&Request, Option<&Answered>)]) -> Shares {
    let first = requests[0].0;
    let class = &record.classes[first.class];
    let weight = class.weight;
    let mut shares = Shares {
        offered: weight,
        ..Shares::default()
    };
    let served = requests
        .iter()
        .filter_map(|(_, a)| a.filter(|a| matches!(a.answer, FinalAnswer::Served { .. })));
    // The response time counts from the first request, including the wait before a retry.
    if let Some(at) = served.map(|a| a.at).min() {
        let objective =
            first.at + class.objective_us + (class.stretch * first.work_us as f64) as Micros;
        shares.earned = if at <= objective {
            weight
        } else {
            weight * class.late_weight
        };
        shares.late = weight - shares.earned;
        return shares;
    }
    match requests
        .iter()
        .rev()
        .find_map(|(_, a)| *a)
        .map(|a| a.answer)
    {
        Some(FinalAnswer::Refused { .. }) => shares.refused = weight,
        Some(_) => shares.failed = weight,
        None => shares.unanswered = weight,
    }
    shares
}

/// Computes the score of a record.
pub fn score(record: &Record) -> Score {
    let mut answers: BTreeMap<&str, &Answered> = BTreeMap::new();
    for a in &record.answered {
        answers.entry(&a.id).or_insert(a);
    }
    let mut requests_by_first: BTreeMap<&str, Vec<(&Request, Option<&Answered>)>> = BTreeMap::new();
    for a in &record.requests {
        requests_by_first
            .entry(&a.first)
            .or_default()
            .push((a, answers.get(a.id.as_str()).copied()));
    }
    let start = record.requests.iter().map(|a| a.at).min().unwrap_or(0);
    let mut out = Score {
        total: Shares::default(),
        classes: vec![Shares::default(); record.classes.len()],
        seconds: Vec::new(),
        worst: None,
    };
    for of in requests_by_first.values_mut() {
        of.sort_by_key(|(a, _)| a.at);
        let shares = outcome(record, of);
        let second = ((of[0].0.at - start) / 1_000_000) as usize;
        if out.seconds.len() <= second {
            out.seconds.resize(second + 1, Shares::default());
        }
        for shares_of in [
            &mut out.total,
            &mut out.classes[of[0].0.class],
            &mut out.seconds[second],
        ] {
            shares_of.add(&shares);
        }
    }
    let windows = out
        .seconds
        .windows(WINDOW_SECONDS.min(out.seconds.len()).max(1))
        .enumerate();
    let figure = |w: &[Shares]| {
        let mut sum = Shares::default();
        w.iter().for_each(|s| sum.add(s));
        sum.score()
    };
    let figures = windows.filter_map(|(n, w)| Some((n, figure(w)?)));
    out.worst = figures.min_by(|a, b| a.1.total_cmp(&b.1));
    out
}
