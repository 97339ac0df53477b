//! Purges: nothing that is sent once a proxy has had word, and its grace is over, is answered from an older copy.

use super::{Breach, Case};
use crate::record::{FinalAnswer, Micros, NoticeKind};
use std::collections::BTreeMap;

/// What is purged: an object, or else a group.
type What<'a> = Result<&'a str, u64>;

pub(super) fn check(case: &Case<'_>, out: &mut Vec<Breach>) {
    // By proxy and what is purged: when it was told, and of which time the purge is.
    let mut purges: BTreeMap<(usize, What<'_>), Vec<(Micros, Micros)>> = BTreeMap::new();
    for t in &case.record.notices {
        if let NoticeKind::Purged { object, group, at } = &t.kind {
            let what = object.as_deref().ok_or(*group);
            purges.entry((t.proxy, what)).or_default().push((t.at, *at));
        }
    }
    for a in &case.record.answered {
        let FinalAnswer::Served {
            made: Some(made), ..
        } = a.answer
        else {
            continue;
        };
        let Some(request) = case.requests.get(a.id.as_str()) else {
            continue;
        };
        // It is the sending of the attempt that counts: the answer is that of the last one.
        let Some(sent) = case.attempts.get(a.id.as_str()).and_then(|of| of.last()) else {
            continue;
        };
        for what in [Ok(request.object.as_str()), Err(request.group)] {
            let Some(of) = purges.get(&(request.proxy, what)) else {
                continue;
            };
            let broken = of.iter().filter(|(notified_at, at)| {
                sent.first_byte > notified_at + case.limits.purge_us && made < *at
            });
            if let Some((notified_at, at)) = broken.max_by_key(|p| p.1) {
                let evidence = format!(
                    "sent {} us after proxy {} had word, from a copy {} us older than the purge",
                    sent.first_byte - notified_at,
                    request.proxy,
                    at - made
                );
                let (request, target) = (Some(a.id.clone()), Some(sent.target.clone()));
                out.push(Breach {
                    rule: "purges",
                    request,
                    target,
                    at: a.at,
                    evidence,
                });
            }
        }
    }
}
