//! A rehearsal kit: runs faults, purges and drains against real daemons on loopback, with fakes of the cache servers, the
//! event bus and a peer CDN, and reports each breach of the rules.

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
    /// The name of the rule.
    pub rule: &'static str,
    /// A description of the observation that breaks the rule.
    pub evidence: String,
}

/// The result of the built-in rehearsal.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// A description of each case that was run.
    pub cases: Vec<String>,
    /// The breaches of rules.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Adds a breach of a rule if the condition does not hold.
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
