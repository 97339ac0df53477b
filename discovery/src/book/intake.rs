//! How reports are taken in: which sources say what of a box, and who claims which address.

use super::{Discovery, Member, Output, Word};
use crate::evidence::{Entry, Notice, Reason, Report, SourceId, Standing};
use linnetknot::{Micros, State};
use std::collections::{btree_map, BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl Discovery {
    /// One report for each id: a list that names an id twice, at two nodes, means two boxes, and only one of them
    /// can have it. The one that had it keeps it.
    pub(super) fn one_each(
        &self,
        source: SourceId,
        reports: Vec<Report>,
        out: &mut Output,
    ) -> Vec<Report> {
        let mut kept: Vec<Report> = Vec::with_capacity(reports.len());
        let mut places: BTreeMap<String, usize> = BTreeMap::new();
        for mut report in reports {
            let place = match places.entry(report.entry.uid.clone()) {
                btree_map::Entry::Vacant(e) => {
                    e.insert(kept.len());
                    kept.push(report);
                    continue;
                }
                btree_map::Entry::Occupied(e) => *e.get(),
            };
            let before = self
                .members
                .get(&report.entry.uid)
                .and_then(|m| m.words.get(&source));
            if before.is_some_and(|w| w.entry.endpoint == report.entry.endpoint) {
                std::mem::swap(&mut kept[place], &mut report);
            }
            let first = &kept[place].entry;
            if first.endpoint != report.entry.endpoint {
                out.notices.push(Notice::SameId {
                    uid: first.uid.clone(),
                    kept: first.endpoint,
                    refused: report.entry.endpoint,
                    source,
                });
            }
        }
        kept
    }

    /// Unlists what a source lists and its whole list of reports names no more; gives the entries that tell of it.
    pub(super) fn unlist_all_but(
        &mut self,
        now: Micros,
        source: SourceId,
        reports: &[Report],
        touched: &mut BTreeSet<String>,
        out: &mut Output,
    ) -> Vec<Entry> {
        let named: BTreeSet<&str> = reports.iter().map(|r| r.entry.uid.as_str()).collect();
        let unlisted = |(uid, m): (&String, &Member)| {
            let listed = m
                .words
                .get(&source)
                .is_some_and(|w| w.entry.server.state != State::Gone);
            (listed && !named.contains(uid.as_str())).then(|| uid.clone())
        };
        let unlisted: Vec<String> = self.members.iter().filter_map(unlisted).collect();
        let mut leavers = Vec::new();
        unlisted
            .iter()
            .for_each(|uid| self.unlist(now, source, uid, touched));
        unlisted
            .iter()
            .for_each(|uid| self.settle(now, uid, &mut leavers, out));
        if self.sources[source.0].relayed {
            // A whole list says by itself who is gone; what other sources list is added to it.
            let others = self
                .members
                .iter()
                .filter(|(uid, _)| !named.contains(uid.as_str()));
            let others = others.filter_map(|(_, m)| m.given.as_ref());
            let others = others.filter(|g| g.standing != Standing::Gone);
            leavers = others.map(|g| g.entry.clone()).collect();
        }
        leavers
    }

    /// Takes a report in and gives out what follows for its box.
    pub(super) fn take_report(
        &mut self,
        now: Micros,
        source: SourceId,
        report: Report,
        entries: &mut Vec<Entry>,
        touched: &mut BTreeSet<String>,
        out: &mut Output,
    ) {
        let relayed = self.sources[source.0].relayed;
        let reported = report.entry.clone();
        let before = entries.len();
        if self.note(now, source, report, touched, out) {
            self.settle(now, &reported.uid, entries, out);
            // Passed on whether it changed or not, each report of the event in its turn.
            let given = self
                .members
                .get(&reported.uid)
                .and_then(|m| m.given.as_ref());
            entries.extend(
                given
                    .filter(|_| relayed && entries.len() == before)
                    .map(|g| g.entry.clone()),
            );
        } else if relayed && reported.server.state == State::Gone {
            // Nothing is known of it, but the event is passed on as it came.
            entries.push(reported);
        }
    }

    /// Notes a source's report; false where it is not taken in. Those whose own case it may change are touched.
    fn note(
        &mut self,
        now: Micros,
        source: SourceId,
        report: Report,
        touched: &mut BTreeSet<String>,
        out: &mut Output,
    ) -> bool {
        let Report { entry, reason } = report;
        let (uid, endpoint) = (entry.uid.clone(), entry.endpoint);
        let gone = entry.server.state == State::Gone;
        if !self.members.contains_key(&uid) {
            if gone {
                return false;
            }
            if self.members.len() - self.gone.len() >= self.bounds.boxes {
                out.notices.push(Notice::Full(uid));
                return false;
            }
        }
        let member = self
            .members
            .entry(uid.clone())
            .or_insert_with(|| Member::new(now));
        let old = member.words.get(&source).map(|w| w.entry.endpoint);
        if old != Some(endpoint) {
            out.notices.extend(member.conflict(source, &uid, endpoint));
            member.joined = now;
            if let Some(from) = old {
                out.notices.push(Notice::Moved {
                    uid: uid.clone(),
                    from,
                    to: endpoint,
                });
            }
        }
        member.words.insert(
            source,
            Word {
                entry,
                reason,
                at: now,
            },
        );
        if let Some(old) = old.filter(|old| *old != endpoint) {
            self.unclaim(old, &uid, touched);
        }
        if gone {
            self.unclaim(endpoint, &uid, touched);
        } else {
            self.claim(endpoint, &uid, touched, out);
        }
        true
    }

    /// Notes that a box is told to listen at an address.
    fn claim(
        &mut self,
        endpoint: SocketAddr,
        uid: &str,
        touched: &mut BTreeSet<String>,
        out: &mut Output,
    ) {
        let claims = self.claims.entry(endpoint).or_default();
        let is_new = claims.insert(uid.to_owned());
        for other in claims.iter().filter(|other| *other != uid) {
            touched.insert(other.clone());
            if is_new {
                let (uid, other) = (uid.to_owned(), other.clone());
                out.notices.push(Notice::SameAddress {
                    uid,
                    other,
                    endpoint,
                });
            }
        }
    }

    fn unclaim(&mut self, endpoint: SocketAddr, uid: &str, touched: &mut BTreeSet<String>) {
        let still = self.members.get(uid).is_some_and(|m| {
            m.words
                .values()
                .any(|w| w.entry.endpoint == endpoint && w.entry.server.state != State::Gone)
        });
        let btree_map::Entry::Occupied(mut claims) = self.claims.entry(endpoint) else {
            return;
        };
        if !still {
            claims.get_mut().remove(uid);
            touched.extend(claims.get().iter().cloned());
        }
        if claims.get().is_empty() {
            claims.remove();
        }
    }

    /// A source's whole list names a box no more.
    fn unlist(&mut self, now: Micros, source: SourceId, uid: &str, touched: &mut BTreeSet<String>) {
        let Some(word) = self
            .members
            .get_mut(uid)
            .and_then(|m| m.words.get_mut(&source))
        else {
            return;
        };
        (word.entry.server.state, word.reason, word.at) = (State::Gone, Reason::Unlisted, now);
        let endpoint = word.entry.endpoint;
        self.unclaim(endpoint, uid, touched);
    }
}

impl Member {
    /// The notice that another source lists this box at another address than the one that `source` tells.
    fn conflict(&self, source: SourceId, uid: &str, endpoint: SocketAddr) -> Option<Notice> {
        let (_, other) = self.words.iter().find(|(id, w)| {
            **id != source && w.entry.server.state != State::Gone && w.entry.endpoint != endpoint
        })?;
        let (kept, refused) = (other.entry.endpoint, endpoint);
        Some(Notice::SameId {
            uid: uid.to_owned(),
            kept,
            refused,
            source,
        })
    }
}
