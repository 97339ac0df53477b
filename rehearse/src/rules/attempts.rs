//! Attempts: one out at a time, six at most, and resent only as the class allows.

use super::{Breach, Case};
use crate::record::{Attempt, Ended, Repeat};

fn breach(rule: &'static str, a: &Attempt, evidence: String) -> Breach {
    let (request, target) = (Some(a.id.clone()), Some(a.target.clone()));
    Breach {
        rule,
        request,
        target,
        at: a.at,
        evidence,
    }
}

pub(super) fn overlap(case: &Case<'_>, out: &mut Vec<Breach>) {
    for of in case.attempts.values() {
        if let Some(seventh) = of.get(case.limits.attempts) {
            let evidence = format!("{} attempts arrived", of.len());
            out.push(breach("six attempts", seventh, evidence));
        }
        // Out from its arrival until its end is written or it is given up.
        let mut before: Option<&Attempt> = None;
        for a in of {
            // The end of the one and the arrival of the other were seen at two boxes, by two threads.
            let late = case.limits.tolerance_us;
            if let Some(b) = before.filter(|b| b.ended.is_none_or(|(end, _)| end > a.at + late)) {
                let more = match b.ended {
                    Some((end, how)) => format!("for {} us more ({how:?})", end - a.at),
                    None => "for good".to_owned(),
                };
                let evidence = format!(
                    "one at {} has been out for {} us and is {more}",
                    b.target,
                    a.at - b.at
                );
                out.push(breach("one out", a, evidence));
            }
            if before.is_none_or(|b| b.ended.is_some_and(|b| a.ended.is_none_or(|a| a.0 >= b.0))) {
                before = Some(a);
            }
        }
    }
}

/// Whether an attempt may have run.
fn may_have_run(a: &Attempt) -> bool {
    !matches!(a.ended, Some((_, Ended::Unseen)))
}

pub(super) fn repeats(case: &Case<'_>, out: &mut Vec<Breach>) {
    // Held to one try: a client that tries again has itself asked for more.
    for (id, of) in &case.attempts {
        let Some(request) = case.requests.get(id) else {
            out.push(breach(
                "repeats",
                of[0],
                "it belongs to no request that a client sent".into(),
            ));
            continue;
        };
        let first = of.iter().position(|a| may_have_run(a));
        let Some((ran, later)) = first.and_then(|n| Some((of[n], of.get(n + 1..)?))) else {
            continue;
        };
        for a in later {
            match case.record.classes[request.class].repeat {
                Repeat::Safe => {}
                Repeat::Unsafe => {
                    out.push(breach(
                        "repeats",
                        a,
                        format!("the one at {} may have run", ran.target),
                    ));
                }
                Repeat::Keyed(window) if a.at >= ran.at + window => {
                    let evidence = format!(
                        "{} us after the first that may have run, its key held for {window}",
                        a.at - ran.at
                    );
                    out.push(breach("repeats", a, evidence));
                }
                Repeat::Keyed(_) => {}
            }
        }
    }
}
