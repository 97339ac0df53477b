//! The score of a rehearsal: weight answered in time over weight offered, for the whole run, its worst ten seconds and its
//! worst class, and what became of the rest. A client's retries belong to its first request.

use crate::record::{Answered, FinalAnswer, Micros, Record, Request};
use std::collections::BTreeMap;

/// What became of the requests' weight, as shares of what was offered; the six add up to 1 where late answers earn nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shares {
    /// Weight of all requests.
    pub offered: f64,
    /// Earned: in time, or part of it where late.
    pub earned: f64,
    /// Lost to answers after the wanted time.
    pub late: f64,
    /// Lost to refusals.
    pub refused: f64,
    /// Lost to failures.
    pub failed: f64,
    /// Lost to no answer at all.
    pub unanswered: f64,
}

impl Shares {
    /// Earned over offered; none where nothing was offered: such a run has seen nothing.
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

/// A score.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// The whole run.
    pub total: Shares,
    /// By class, in the order of the record's.
    pub classes: Vec<Shares>,
    /// By seconds, by when the first request was sent, from the earliest on.
    pub seconds: Vec<Shares>,
    /// The ten seconds in a row that earned least of what was offered, by their first second.
    pub worst: Option<(usize, f64)>,
}

/// Width of the worst window, in seconds.
const WINDOW_SECONDS: usize = 10;

/// What one request came to: it and its retries in order, and the answer to each.
fn outcome(record: &Record, attempts: &[(&Request, Option<&Answered>)]) -> Shares {
    let first = attempts[0].0;
    let class = &record.classes[first.class];
    let weight = class.weight;
    let mut shares = Shares {
        offered: weight,
        ..Shares::default()
    };
    let served = attempts
        .iter()
        .filter_map(|(_, a)| a.filter(|a| matches!(a.answer, FinalAnswer::Served { .. })));
    // Counted from the first request: a retry that is quick does not make the wait before it shorter.
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
    match attempts
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

/// The score of a record.
pub fn score(record: &Record) -> Score {
    let mut answers: BTreeMap<&str, &Answered> = BTreeMap::new();
    for a in &record.answered {
        answers.entry(&a.id).or_insert(a);
    }
    let mut attempts: BTreeMap<&str, Vec<(&Request, Option<&Answered>)>> = BTreeMap::new();
    for a in &record.requests {
        attempts
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
    for of in attempts.values_mut() {
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
