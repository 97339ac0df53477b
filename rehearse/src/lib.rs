//! A bounded rehearsal on loopback: fakes of cache servers, of the event bus and of a peer CDN play a purge and a
//! drain against a real daemon, and every breach of the rules is reported.

pub mod fakes;
pub mod fault_matrix;
pub mod latency;
pub mod load;
mod play;
pub mod player;
pub mod record;
pub mod report;
pub mod rules;
pub mod scale;
pub mod scenario;
pub mod score;
pub mod series;
pub mod shipped;
pub mod timetable;

pub use play::{rehearse, RehearsalDefect};

use std::fmt;

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub evidence: String,
}

/// What a rehearsal came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was played, a line each.
    pub cases: Vec<String>,
    /// All that broke a rule.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Notes a breach where something that must hold does not.
    pub fn check(&mut self, rule: &'static str, holds: bool, evidence: impl FnOnce() -> String) {
        if !holds {
            self.breaches.push(Breach {
                rule,
                evidence: evidence(),
            });
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.cases {
            writeln!(f, "played   {line}")?;
        }
        for breach in &self.breaches {
            writeln!(f, "BREACH   {}: {}", breach.rule, breach.evidence)?;
        }
        writeln!(f, "{} breaches", self.breaches.len())
    }
}
