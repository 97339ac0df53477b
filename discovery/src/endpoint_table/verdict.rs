//! What the words of all sources on a box come to, before damping.

use super::{EndpointTable, SourceReport, TrackedCache};
use crate::evidence::{Entry, Reason, SourceId};
use linnetknot::State;

/// What the words on a box come to, before damping.
pub(super) struct Verdict {
    pub(super) entry: Entry,
    pub(super) state: State,
    pub(super) reason: Reason,
    pub(super) source: SourceId,
}

impl EndpointTable {
    /// What the words on a box come to.
    pub(super) fn verdict(&self, uid: &str, m: &TrackedCache) -> Option<Verdict> {
        let live = |w: &&SourceReport| w.entry.server.state != State::Gone;
        let Some((base_id, base)) = m.reports.iter().find(|(_, w)| live(w)) else {
            // The last word of them all: who took it from the list.
            let (source, report) = m.reports.iter().max_by_key(|(_, w)| w.at)?;
            return Some(Verdict {
                entry: report.entry.clone(),
                state: State::Gone,
                reason: report.reason.clone(),
                source: *source,
            });
        };
        let verdict = |state, reason: Reason, source| {
            let mut entry = base.entry.clone();
            entry.server.state = state;
            Some(Verdict {
                entry,
                state,
                reason,
                source,
            })
        };
        // A word on another address is on another box, which only has the same id.
        let mut same = m
            .reports
            .iter()
            .filter(|(_, w)| w.entry.endpoint == base.entry.endpoint);
        if !self.sources[base_id.0].relayed {
            let newer = |other: &String| {
                self.caches
                    .get(other)
                    .filter(|_| other != uid)
                    .is_some_and(|o| {
                        (o.joined, other.as_str()) > (m.joined, uid)
                            && o.reports
                                .values()
                                .any(|w| live(&w) && w.entry.endpoint == base.entry.endpoint)
                    })
            };
            let claims = self.claims.get(&base.entry.endpoint);
            if let Some(other) = claims.and_then(|claims| claims.iter().find(|other| newer(other)))
            {
                return verdict(State::Gone, Reason::AddressTaken(other.clone()), *base_id);
            }
        }
        if let Some((id, w)) = same
            .clone()
            .find(|(_, w)| w.entry.server.state == State::Draining)
        {
            return verdict(State::Draining, w.reason.clone(), *id);
        }
        // Whoever says that it is gone is believed until another says anew that it is there.
        let ready_at = same
            .clone()
            .filter(|(_, w)| live(w))
            .map(|(_, w)| w.at)
            .max()
            .unwrap_or(0);
        if let Some((id, _)) = same.find(|(_, w)| !live(w) && w.at >= ready_at) {
            return verdict(
                State::Draining,
                Reason::GoneElsewhere(self.source(*id).to_owned()),
                *id,
            );
        }
        verdict(State::Ready, base.reason.clone(), *base_id)
    }
}
