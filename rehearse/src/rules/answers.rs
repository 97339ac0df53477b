//! Checks final answers: each request gets exactly one answer before the client's deadline, bodies are intact, and each
//! refusal contains a retry delay.

use super::{Breach, Case};
use crate::record::{Answered, FinalAnswer};
use std::collections::BTreeMap;

pub(super) fn one(case: &Case<'_>, out: &mut Vec<Breach>) {
    let mut answers: BTreeMap<&str, Vec<&Answered>> = BTreeMap::new();
    for a in &case.record.answered {
        answers.entry(&a.id).or_default().push(a);
    }
    let breach = |request: &str, at, evidence: String| Breach {
        rule: "one answer",
        request: Some(request.to_owned()),
        target: None,
        at,
        evidence,
    };
    for request in &case.record.requests {
        let of = answers.remove(request.id.as_str()).unwrap_or_default();
        let owed = request.released.is_none_or(|at| at >= request.deadline);
        match of.iter().map(|a| a.at).min() {
            None if owed => out.push(breach(
                &request.id,
                request.deadline,
                "no answer before the client's deadline".into(),
            )),
            // `at` is the time at which the client's thread read the answer, which may be later than the arrival of the
            // answer. The tolerance allows for this.
            Some(at) if owed && at > request.deadline + case.limits.tolerance_us => {
                let late = format!(
                    "answered {} us after the client's deadline",
                    at - request.deadline
                );
                out.push(breach(&request.id, at, late));
            }
            _ => {}
        }
        for more in of.iter().skip(1) {
            out.push(breach(
                &request.id,
                more.at,
                format!("{} answers", of.len()),
            ));
        }
    }
    for (id, of) in answers {
        out.push(breach(
            id,
            of[0].at,
            "an answer to an unknown request".into(),
        ));
    }
}

pub(super) fn content(case: &Case<'_>, out: &mut Vec<Breach>) {
    for a in &case.record.answered {
        let (rule, evidence) = match a.answer {
            FinalAnswer::Served { intact: false, .. } => {
                ("whole bytes", "served with bytes that no cache sent for it")
            }
            FinalAnswer::Refused { advised: false } => ("advice", "refused without a retry delay"),
            _ => continue,
        };
        let request = Some(a.id.clone());
        out.push(Breach {
            rule,
            request,
            target: None,
            at: a.at,
            evidence: evidence.to_owned(),
        });
    }
}
