//! The result of a rehearsal as a JSON file, and the comparison of two of them.

use crate::latency::Waits;
use crate::player::Outcome;
use crate::scenario::Scenario;
use crate::score::Shares;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format version of the file. Other versions are rejected.
const FORMAT_VERSION: u32 = 1;

/// The result of a rehearsal. Shares are relative to the offered weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The format version of this file.
    #[serde(rename = "form")]
    pub format_version: u32,
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of the load.
    pub seed: u64,
    /// The number of requests sent, including retries.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// The number of planned requests that no proxy accepted, as all were down or the connection broke. 0 in older files.
    #[serde(default)]
    pub unsent: usize,
    /// The seconds after which it was interrupted, if it was. None in older files.
    #[serde(default)]
    pub interrupted: Option<f64>,
    /// The 99th percentile of the delay of the load generator, in milliseconds.
    pub lag_ms: f64,
    /// The reason for which it is inconclusive, if it is.
    #[serde(rename = "inconclusive")]
    pub inconclusive: Option<String>,
    /// The result over all classes.
    #[serde(rename = "total")]
    pub total: Part,
    /// The result by class.
    pub classes: Vec<Part>,
    /// The first second and the score of the worst window of ten seconds.
    pub worst: Option<(usize, f64)>,
    /// The breaches of rules, with their evidence.
    pub breaches: Vec<String>,
}

/// The result of one class, or of all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The name of the class, or `all`.
    pub name: String,
    /// The offered weight.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// The share answered in time.
    pub in_time: f64,
    /// The share lost to late answers.
    pub late: f64,
    /// The share lost to refusals.
    pub refused: f64,
    /// The share lost to failures.
    pub failed: f64,
    /// The share without an answer.
    pub unanswered: f64,
    /// The median, 99th percentile and maximum wait of a class in milliseconds from the due time. None for all classes
    /// together.
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

/// An error in reading or writing a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The text is not a valid report.
    #[error("{0}")]
    Malformed(serde_path_to_error::Error<serde_json::Error>),
    /// The file has an unsupported format version.
    #[error("form: version {0} is not supported, expected {FORMAT_VERSION}")]
    UnsupportedVersion(u32),
    /// A value can't be represented in JSON.
    #[error("{0}")]
    Serialization(serde_json::Error),
}

/// An error in comparing two reports.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CompareError {
    /// The reports are of different scenarios.
    #[error("the reports are of different scenarios: '{first}' and '{second}'")]
    DifferentScenarios {
        /// The scenario of the first report.
        first: String,
        /// The scenario of the second report.
        second: String,
    },
    /// One of the reports is inconclusive.
    #[error("the {which} report is inconclusive: {reason}")]
    Inconclusive {
        /// `first` or `second`.
        which: &'static str,
        /// The reason given in the report.
        reason: String,
    },
}

impl Report {
    /// Returns the report of an outcome.
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

    /// Parses a report.
    ///
    /// # Errors
    /// Returns an error with the path of the invalid key if the text is not a valid report.
    pub fn read(text: &str) -> Result<Self, ReportError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let report: Report =
            serde_path_to_error::deserialize(&mut json).map_err(ReportError::Malformed)?;
        match report.format_version {
            FORMAT_VERSION => Ok(report),
            other => Err(ReportError::UnsupportedVersion(other)),
        }
    }

    /// Returns the text of the file.
    ///
    /// # Errors
    /// Returns an error if a value can't be represented in JSON.
    pub fn write(&self) -> Result<String, ReportError> {
        let text = serde_json::to_string_pretty(self).map_err(ReportError::Serialization)?;
        Ok(text + "\n")
    }
}

/// Returns a table that compares two reports of one scenario.
///
/// # Errors
/// Returns an error if the reports are of different scenarios or one is inconclusive.
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
    out += &format!("accepted by no proxy: {} and {}\n", a.unsent, b.unsent);
    Ok(out + &format!("breaches: {} and {}\n", a.breaches.len(), b.breaches.len()))
}
