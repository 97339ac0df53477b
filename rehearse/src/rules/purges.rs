//! Checks purges: once the grace period after a proxy's notice of a purge is over, attempts that this proxy sends must
//! not be answered with a copy from before the purge.

use super::{Breach, Case};
use crate::record::{FinalAnswer, Micros, NoticeKind};
use std::collections::BTreeMap;

/// A purged object (`Ok`) or group (`Err`).
type PurgeTarget<'a> = Result<&'a str, u64>;

pub(super) fn check(case: &Case<'_>, out: &mut Vec<Breach>) {
    // The time of the notice and the time of the purge, by proxy and purged object or group.
    let mut purges: BTreeMap<(usize, PurgeTarget<'_>), Vec<(Micros, Micros)>> = BTreeMap::new();
    for t in &case.record.notices {
        if let NoticeKind::Purged { object, group, at } = &t.kind {
            let purged = object.as_deref().ok_or(*group);
            purges
                .entry((t.proxy, purged))
                .or_default()
                .push((t.at, *at));
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
        // The answer belongs to the last attempt. The rule applies if that attempt was sent after the grace period.
        let Some(sent) = case.attempts.get(a.id.as_str()).and_then(|of| of.last()) else {
            continue;
        };
        for purged in [Ok(request.object.as_str()), Err(request.group)] {
            let Some(of) = purges.get(&(request.proxy, purged)) else {
                continue;
            };
            let stale = of.iter().filter(|(notified_at, at)| {
                sent.first_byte > notified_at + case.limits.purge_us && made < *at
            });
            if let Some((notified_at, at)) = stale.max_by_key(|p| p.1) {
                let evidence = format!(
                    "sent {} us after proxy {} was notified, from a copy {} us older than the purge",
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
