//! Checks drains: once the grace period after a proxy's notice of a drain is over, the proxy's new attempts must not
//! use the draining cache as target or as fill source.

use super::{Breach, Case};
use crate::record::{Micros, NoticeKind};
use std::collections::BTreeMap;

/// A notice that a cache is out of service, or ready again.
struct StateNotice {
    at: Micros,
    is_out: bool,
}

/// The notices of each cache's state to each proxy, in order of time.
struct StateNotices<'a>(BTreeMap<(usize, &'a str), Vec<StateNotice>>);

impl<'a> StateNotices<'a> {
    fn of(case: &Case<'a>) -> Self {
        let mut notices: BTreeMap<(usize, &str), Vec<StateNotice>> = BTreeMap::new();
        for notice in &case.record.notices {
            let (uid, is_out) = match &notice.kind {
                NoticeKind::Ready(uid) => (uid, false),
                NoticeKind::OutOfService(uid) => (uid, true),
                NoticeKind::Purged { .. } => continue,
            };
            let of = notices.entry((notice.proxy, uid)).or_default();
            let at = notice.at;
            of.push(StateNotice { at, is_out });
        }
        let lists = notices.values_mut();
        lists.for_each(|of| of.sort_by_key(|notice| notice.at));
        StateNotices(notices)
    }

    /// Returns the time at which this proxy was notified that the cache is out of service, or `None` if the cache was
    /// in service at `at`. Repeated notices do not restart the grace period.
    fn out_since(&self, proxy: usize, uid: &str, at: Micros) -> Option<Micros> {
        let notices = self.0.get(&(proxy, uid))?;
        let mut since = None;
        for notice in notices.iter().take_while(|notice| notice.at <= at) {
            since = match notice.is_out {
                true => since.or(Some(notice.at)),
                false => None,
            };
        }
        since
    }
}

pub(super) fn check(case: &Case<'_>, out: &mut Vec<Breach>) {
    let notices = StateNotices::of(case);
    for a in &case.record.attempts {
        for (uid, role) in [
            (Some(&a.target), "target"),
            (a.source.as_ref(), "source of a fill"),
        ] {
            let Some(uid) = uid else { continue };
            let Some(since) = notices.out_since(a.proxy, uid, a.first_byte) else {
                continue;
            };
            if a.first_byte > since + case.limits.drain_us {
                out.push(Breach {
                    rule: "drains",
                    request: Some(a.id.clone()),
                    target: Some(uid.clone()),
                    at: a.first_byte,
                    evidence: format!(
                        "as {role}, {} us after proxy {} was notified",
                        a.first_byte - since,
                        a.proxy
                    ),
                });
            }
        }
    }
}
