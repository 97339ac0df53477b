//! Checks the attempts of each request: only one is in flight at a time, there are at most six, and an attempt is
//! repeated only if the request's class allows it.

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
        // An attempt is in flight from its arrival until its answer is written or it is aborted.
        let mut before: Option<&Attempt> = None;
        for a in of {
            // The end of the earlier attempt and the arrival of the next are recorded by different threads, so their
            // times may overlap slightly.
            let late = case.limits.tolerance_us;
            if let Some(b) = before.filter(|b| b.ended.is_none_or(|(end, _)| end > a.at + late)) {
                let more = match b.ended {
                    Some((end, how)) => format!("ended {} us later ({how:?})", end - a.at),
                    None => "never ended".to_owned(),
                };
                let evidence = format!(
                    "one at {} had been in flight for {} us and {more}",
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

fn may_have_run(a: &Attempt) -> bool {
    !matches!(a.ended, Some((_, Ended::Unseen)))
}

pub(super) fn repeats(case: &Case<'_>, out: &mut Vec<Breach>) {
    // Each retry by a client is recorded as a separate request.
    for (id, of) in &case.attempts {
        let Some(request) = case.requests.get(id) else {
            out.push(breach(
                "repeats",
                of[0],
                "no client sent this request".into(),
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
                        "{} us after the first that may have run; its key is remembered for {window} us",
                        a.at - ran.at
                    );
                    out.push(breach("repeats", a, evidence));
                }
                Repeat::Keyed(_) => {}
            }
        }
    }
}
