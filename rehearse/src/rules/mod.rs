//! The rules, judged from a record alone. Every breach names its rule, the request, the box, the time and the evidence.

mod answers;
mod attempts;
pub mod budgets;
mod cold;
pub mod commits;
mod drains;
mod purges;

use crate::record::{Attempt, Limits, Micros, Record, Request};
use std::collections::BTreeMap;
use std::fmt;

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule, by its name in `RULES`.
    pub rule: &'static str,
    /// The request, where one broke it.
    pub request: Option<String>,
    /// The box, where one is concerned.
    pub target: Option<String>,
    /// When.
    pub at: Micros,
    /// What shows it.
    pub evidence: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {}.{:06} s",
            self.rule,
            self.at / 1_000_000,
            self.at % 1_000_000
        )?;
        if let Some(request) = &self.request {
            write!(f, ", request {request}")?;
        }
        if let Some(target) = &self.target {
            write!(f, ", box {target}")?;
        }
        write!(f, ": {}", self.evidence)
    }
}

/// A record, with what several rules look up in it.
pub(crate) struct Case<'a> {
    record: &'a Record,
    limits: &'a Limits,
    requests: BTreeMap<&'a str, &'a Request>,
    /// Attempts of each try, in the order of their arrival.
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

type Rule = fn(&Case<'_>, &mut Vec<Breach>);

/// All rules, by name.
pub const RULES: [(&str, &str); 9] = [
    ("one answer", "each request taken gets exactly one final answer before its client gives up"),
    ("whole bytes", "what is served is whole and unchanged"),
    ("advice", "a refusal tells its client when to come back"),
    ("one out", "no two attempts of a request are out at once"),
    ("six attempts", "a request has six attempts at most"),
    ("repeats", "what may have run is resent only as its class allows"),
    (
        "drains",
        "nothing new to a box, as target or source, later than 1 s after word that it drains or is gone",
    ),
    ("cold boxes", "no box or hub cache that just started is pushed over, by all proxies together"),
    ("purges", "from 300 ms after word of a purge, nothing is answered from an older copy"),
];

const CHECKS: [Rule; 7] = [
    answers::one,
    answers::content,
    attempts::overlap,
    attempts::repeats,
    drains::check,
    cold::check,
    purges::check,
];

/// Every breach in a record, in the order of time.
pub fn judge(record: &Record, limits: &Limits) -> Vec<Breach> {
    let requests = record.requests.iter().map(|a| (a.id.as_str(), a)).collect();
    let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for a in &record.attempts {
        attempts.entry(&a.id).or_default().push(a);
    }
    attempts
        .values_mut()
        .for_each(|of| of.sort_by_key(|a| a.at));
    let case = Case {
        record,
        limits,
        requests,
        attempts,
    };
    let mut breaches = Vec::new();
    CHECKS.iter().for_each(|check| check(&case, &mut breaches));
    breaches.sort_by(|a, b| (a.at, a.rule, &a.request).cmp(&(b.at, b.rule, &b.request)));
    breaches
}
