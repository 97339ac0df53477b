//! Drains: nothing new to a box, as target or as source of a fill, once a proxy has had word and its grace is over.

use super::{Breach, Case};
use crate::record::{Micros, NoticeKind};
use std::collections::BTreeMap;

pub(super) fn check(case: &Case<'_>, out: &mut Vec<Breach>) {
    // By proxy and box: when it was told what, in order.
    let mut words: BTreeMap<(usize, &str), Vec<(Micros, bool)>> = BTreeMap::new();
    for t in &case.record.notices {
        let (uid, is_out) = match &t.kind {
            NoticeKind::Ready(uid) => (uid, false),
            NoticeKind::Out(uid) => (uid, true),
            NoticeKind::Purged { .. } => continue,
        };
        words
            .entry((t.proxy, uid))
            .or_default()
            .push((t.at, is_out));
    }
    words.values_mut().for_each(|of| of.sort_by_key(|w| w.0));
    // Since when a box has been out for a proxy at some time: repeats of a word do not begin its grace anew.
    let out_since = |proxy: usize, uid: &str, at: Micros| {
        let mut since = None;
        for (notified_at, is_out) in words.get(&(proxy, uid))?.iter().take_while(|w| w.0 <= at) {
            since = if *is_out {
                since.or(Some(*notified_at))
            } else {
                None
            };
        }
        since
    };
    for a in &case.record.attempts {
        for (uid, role) in [
            (Some(&a.target), "target"),
            (a.source.as_ref(), "source of a fill"),
        ] {
            let Some(uid) = uid else { continue };
            let Some(since) = out_since(a.proxy, uid, a.first_byte) else {
                continue;
            };
            if a.first_byte > since + case.limits.drain_us {
                out.push(Breach {
                    rule: "drains",
                    request: Some(a.id.clone()),
                    target: Some(uid.clone()),
                    at: a.first_byte,
                    evidence: format!(
                        "as {role}, {} us after proxy {} had word",
                        a.first_byte - since,
                        a.proxy
                    ),
                });
            }
        }
    }
}
