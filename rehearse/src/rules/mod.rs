//! Checks the record of a test run against the rules. Each breach names the rule, the request, the cache, the time and
//! the evidence.

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

/// A violation of a rule, with the observation that proves it.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The name of the rule in `RULES`.
    pub rule: &'static str,
    /// The id of the request, if the breach belongs to a particular request.
    pub request: Option<String>,
    /// The uid of the cache, if the breach concerns a particular cache.
    pub target: Option<String>,
    /// The time at which the rule was broken.
    pub at: Micros,
    /// A description of the observation that breaks the rule.
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
            write!(f, ", cache {target}")?;
        }
        write!(f, ": {}", self.evidence)
    }
}

/// A record with the indexes that several rules use.
pub(crate) struct Case<'a> {
    record: &'a Record,
    limits: &'a Limits,
    requests: BTreeMap<&'a str, &'a Request>,
    /// The attempts of each request, in order of arrival.
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

type Rule = fn(&Case<'_>, &mut Vec<Breach>);

/// Names and descriptions of all rules.
pub const RULES: [(&str, &str); 9] = [
    ("one answer", "each accepted request gets exactly one final answer before the client's deadline"),
    ("whole bytes", "served bodies are complete and unchanged"),
    ("advice", "a refusal advises a retry delay"),
    ("one out", "no two attempts of a request are in flight at once"),
    ("six attempts", "a request has at most six attempts"),
    ("repeats", "a request that may have run is repeated only as its class allows"),
    (
        "drains",
        "no new attempt uses a cache, as target or source, later than 1 s after the notice that it is draining or gone",
    ),
    ("cold boxes", "all proxies together do not overload a cache that has just started"),
    ("purges", "from 300 ms after the notice of a purge, no answer comes from an older copy"),
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

/// Returns all breaches in a record, in order of time.
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
