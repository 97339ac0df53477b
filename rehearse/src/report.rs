//! A rehearsal's result as a file that outlives it, and two of them side by side. Decides nothing.

use crate::latency::Waits;
use crate::player::Outcome;
use crate::scenario::Scenario;
use crate::score::Shares;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The form of the file; another one is refused.
const FORMAT_VERSION: u32 = 1;

/// What a rehearsal came to. Shares are of the worth asked, waits in milliseconds from when a request was due.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The form of this file.
    #[serde(rename = "form")]
    pub format_version: u32,
    /// The scenario.
    pub scenario: String,
    /// The seed of its load.
    pub seed: u64,
    /// Requests sent, retries with them.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Requests of the plan that no proxy took (all down, or the connection broke as it was written); 0 in files
    /// written before it was counted.
    #[serde(default)]
    pub unsent: usize,
    /// Where it was ended by hand: after so many seconds; none in older files.
    #[serde(default)]
    pub interrupted: Option<f64>,
    /// How late the load itself was, p99.
    pub lag_ms: f64,
    /// Why it proves nothing, if so.
    #[serde(rename = "inconclusive")]
    pub inconclusive: Option<String>,
    /// The whole run.
    #[serde(rename = "total")]
    pub total: Part,
    /// By class.
    pub classes: Vec<Part>,
    /// The ten seconds that earned least of what they asked: their first second, and the share.
    pub worst: Option<(usize, f64)>,
    /// The rules that were broken, with their evidence.
    pub breaches: Vec<String>,
}

/// One class, or all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Worth asked.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// Answered in time.
    pub in_time: f64,
    /// Lost to late answers.
    pub late: f64,
    /// Lost to refusals.
    pub refused: f64,
    /// Lost to failures.
    pub failed: f64,
    /// Lost to no answer at all.
    pub unanswered: f64,
    /// Waits of a class: p50, p99 and the longest; none for all classes together.
    pub waits_ms: Option<[f64; 3]>,
}

fn part(name: &str, s: &Shares, waits: Option<&Waits>) -> Part {
    let share = |of: f64| if s.offered > 0.0 { of / s.offered } else { 0.0 };
    Part {
        name: name.to_owned(),
        offered: s.offered,
        in_time: share(s.earned),
        late: share(s.late),
        refused: share(s.refused),
        failed: share(s.failed),
        unanswered: share(s.unanswered),
        waits_ms: waits.map(|w| [w.p50, w.p99, w.max].map(|us| us as f64 / 1e3)),
    }
}

/// Why a report can't be read or written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The text has not the form of a report.
    #[error("{0}")]
    Malformed(serde_path_to_error::Error<serde_json::Error>),
    /// A file of another form.
    #[error("form: {0} is not known here, {FORMAT_VERSION} is")]
    UnsupportedVersion(u32),
    /// A value has no form in JSON.
    #[error("{0}")]
    Serialization(serde_json::Error),
}

/// Why two reports can't be compared.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CompareError {
    /// They are of two scenarios.
    #[error("'{first}' and '{second}' are two scenarios")]
    DifferentScenarios {
        /// The scenario of the first.
        first: String,
        /// The scenario of the second.
        second: String,
    },
    /// One of them has seen nothing.
    #[error("the {which} proves nothing: {reason}")]
    Inconclusive {
        /// Which.
        which: &'static str,
        /// Why.
        reason: String,
    },
}

impl Report {
    /// The report of an outcome.
    pub fn of(scenario: &Scenario, seed: u64, o: &Outcome) -> Self {
        let classes = scenario
            .load
            .classes
            .iter()
            .zip(o.score.classes.iter().zip(&o.waits));
        Report {
            format_version: FORMAT_VERSION,
            scenario: scenario.name.clone(),
            seed,
            requests: o.requests,
            unsent: o.unsent,
            interrupted: o.interrupted,
            lag_ms: o.lag_us.0 as f64 / 1e3,
            inconclusive: o.check_conclusive().err().map(|reason| reason.to_string()),
            total: part("all", &o.score.total, None),
            classes: classes
                .map(|(c, (s, w))| part(&c.name, s, Some(w)))
                .collect(),
            worst: o.score.worst,
            breaches: o.breaches.iter().map(ToString::to_string).collect(),
        }
    }

    /// Reads a report.
    ///
    /// # Errors
    /// Where the text is none; the key at fault is named by its path.
    pub fn read(text: &str) -> Result<Self, ReportError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let report: Report =
            serde_path_to_error::deserialize(&mut json).map_err(ReportError::Malformed)?;
        match report.format_version {
            FORMAT_VERSION => Ok(report),
            other => Err(ReportError::UnsupportedVersion(other)),
        }
    }

    /// The file's text.
    ///
    /// # Errors
    /// Where a value has no form in JSON.
    pub fn write(&self) -> Result<String, ReportError> {
        let text = serde_json::to_string_pretty(self).map_err(ReportError::Serialization)?;
        Ok(text + "\n")
    }
}

/// Two reports of one scenario side by side.
///
/// # Errors
/// Where they can't be compared.
pub fn compare(a: &Report, b: &Report) -> Result<String, CompareError> {
    if a.scenario != b.scenario {
        return Err(CompareError::DifferentScenarios {
            first: a.scenario.clone(),
            second: b.scenario.clone(),
        });
    }
    for (name, report) in [("first", a), ("second", b)] {
        if let Some(reason) = &report.inconclusive {
            return Err(CompareError::Inconclusive {
                which: name,
                reason: reason.clone(),
            });
        }
    }
    let mut out = format!("{}, seeds {} and {}\n\n", a.scenario, a.seed, b.seed);
    out += "| | in time | | late | | refused | | failed or unanswered | | p99 ms | |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for x in std::iter::once(&a.total).chain(&a.classes) {
        let Some(y) = std::iter::once(&b.total)
            .chain(&b.classes)
            .find(|y| y.name == x.name)
        else {
            continue;
        };
        let share =
            |f: &dyn Fn(&Part) -> f64| format!("{:.1}% | {:.1}%", 100.0 * f(x), 100.0 * f(y));
        let p99 = |p: &Part| {
            p.waits_ms
                .map_or("-".to_owned(), |w| format!("{:.0}", w[1]))
        };
        let [earned, late] = [share(&|p| p.in_time), share(&|p| p.late)];
        let [refused, lost] = [share(&|p| p.refused), share(&|p| p.failed + p.unanswered)];
        out += &format!(
            "| {} | {earned} | {late} | {refused} | {lost} | {} | {} |\n",
            x.name,
            p99(x),
            p99(y)
        );
    }
    let worst = |r: &Report| r.worst.map_or("-".to_owned(), |w| format!("{:.3}", w.1));
    out += &format!("\nworst ten seconds: {} and {}\n", worst(a), worst(b));
    out += &format!("taken by no proxy: {} and {}\n", a.unsent, b.unsent);
    Ok(out + &format!("breaches: {} and {}\n", a.breaches.len(), b.breaches.len()))
}
