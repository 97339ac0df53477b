//! How verdicts are damped and given out: which boxes are held back, and what has changed for the module.

use super::verdict::Verdict;
use super::{EndpointTable, Group, Published, TableUpdate, TrackedCache};
use crate::damping::Damping;
use crate::evidence::{Change, EndpointStatus, Entry, Reason, SourceId};
use linnetknot::{ListMode, Micros, State};
use std::collections::{btree_map, BTreeMap, BTreeSet};

fn group(entry: &Entry) -> Group {
    (entry.server.zone.clone(), entry.server.kind.clone())
}

/// Whether two entries can't be one and the same box to the module, which takes these from the first alone.
fn changes_identity(a: &Entry, b: &Entry) -> bool {
    let of = |e: &Entry| (e.endpoint, e.server.cell);
    of(a) != of(b) || a.server.zone != b.server.zone || a.server.kind != b.server.kind
}

impl TrackedCache {
    /// Counts a loss of the box, or its return: whether it is put under damping by it. `initialized`: its source had given
    /// a whole list before.
    fn count(
        &mut self,
        now: Micros,
        damping: &Damping,
        was: bool,
        is: bool,
        initialized: bool,
    ) -> bool {
        if was && !is {
            self.penalty.add(damping, now);
        }
        if was || !is {
            return false;
        }
        let is_damped = self.penalty.figure(damping, now) >= damping.suppress && !self.damped;
        self.damped |= is_damped;
        // What is named for the first time once a list was there has just started, for all that is known.
        if self.published.is_some() || initialized {
            self.returned = Some(now);
        }
        is_damped
    }

    /// Takes the box out where its new entry can't be the same box to the module, which keeps the address, zone and
    /// kind of a box that it knows: it has to leave, by the entry that is given back, and come anew.
    fn replace(&mut self, now: Micros, status: EndpointStatus, entry: &Entry) -> Option<Entry> {
        let published = self.published.as_ref()?;
        if published.status == EndpointStatus::Gone
            || status == EndpointStatus::Gone
            || !changes_identity(&published.entry, entry)
        {
            return None;
        }
        let mut old = published.entry.clone();
        old.server.state = State::Gone;
        self.returned = Some(now);
        Some(old)
    }

    /// Notes what was given out.
    fn record_published(
        &mut self,
        now: Micros,
        entry: Entry,
        status: EndpointStatus,
        reason: Reason,
        source: SourceId,
    ) {
        let since = self
            .published
            .as_ref()
            .filter(|g| g.status == status)
            .map_or(now, |g| g.since);
        self.published = Some(Published {
            entry,
            status,
            reason,
            source,
            since,
        });
    }

    /// The reason of a new standing, where damping has a part in it.
    fn damping_reason(&self, old: EndpointStatus, new: EndpointStatus) -> Option<Reason> {
        match (old, new) {
            (_, EndpointStatus::Suppressed) => Some(Reason::Flapping),
            (_, EndpointStatus::Ready) if self.damped => Some(Reason::DampingLimit),
            (EndpointStatus::Suppressed, EndpointStatus::Ready) => Some(Reason::Steady),
            _ => None,
        }
    }
}

impl EndpointTable {
    /// Weighs a box anew after a word on it, counts its losses and returns, and gives out what has changed.
    pub(super) fn settle(
        &mut self,
        now: Micros,
        uid: &str,
        entries: &mut Vec<Entry>,
        out: &mut TableUpdate,
    ) {
        let Some(verdict) = self.caches.get(uid).and_then(|m| self.verdict(uid, m)) else {
            return;
        };
        let initialized = self.initialized.contains(&verdict.source);
        let Some(m) = self.caches.get_mut(uid) else {
            return;
        };
        let was = m.counted.is_some();
        let is = verdict.state == State::Ready;
        let counted = is.then(|| group(&verdict.entry));
        let before = std::mem::replace(&mut m.counted, counted.clone());
        let counts = self.sources[verdict.source.0].damped;
        if counts && m.count(now, &self.damping, was, is, initialized) {
            self.damped.insert(uid.to_owned());
        }
        let under_damping = m.damped && is;
        self.recount(before, counted);
        if verdict.state == State::Gone {
            self.gone.insert(uid.to_owned());
        } else {
            self.gone.remove(uid);
        }
        // Who is held back of those under damping depends on all of them: that is settled once, at the end.
        if !under_damping {
            self.publish(now, uid, verdict, false, entries, out);
        }
    }

    /// Counts a box that is told ready in its new group, and no more in the one before.
    fn recount(&mut self, before: Option<Group>, after: Option<Group>) {
        if before == after {
            return;
        }
        if let Some(btree_map::Entry::Occupied(mut n)) = before.map(|group| self.ready.entry(group))
        {
            *n.get_mut() -= 1;
            if *n.get() == 0 {
                n.remove();
            }
        }
        if let Some(group) = after {
            *self.ready.entry(group).or_insert(0) += 1;
        }
    }

    /// Which of the boxes under damping are held back: those with the highest penalties, and of each group no more
    /// than its share.
    fn suppressed(&self, now: Micros) -> BTreeSet<String> {
        let mut groups: BTreeMap<&Group, Vec<(f64, &String)>> = BTreeMap::new();
        for uid in &self.damped {
            let Some(m) = self.caches.get(uid) else {
                continue;
            };
            if let Some(group) = &m.counted {
                groups
                    .entry(group)
                    .or_default()
                    .push((m.penalty.figure(&self.damping, now), uid));
            }
        }
        let mut suppressed = BTreeSet::new();
        for (group, mut members) in groups {
            let all = self.ready.get(group).copied().unwrap_or(0);
            let capacity = (self.damping.max_suppressed_share * all as f64) as usize;
            members.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            suppressed.extend(
                members
                    .into_iter()
                    .take(capacity)
                    .map(|(_, uid)| uid.clone()),
            );
        }
        suppressed
    }

    /// Gives out what a verdict changes for the module, and notes it as given.
    fn publish(
        &mut self,
        now: Micros,
        uid: &str,
        verdict: Verdict,
        suppressed: bool,
        entries: &mut Vec<Entry>,
        out: &mut TableUpdate,
    ) {
        let relayed = self.sources[verdict.source.0].relayed;
        let Some(m) = self.caches.get_mut(uid) else {
            return;
        };
        let Verdict {
            mut entry,
            state,
            reason,
            source,
        } = verdict;
        let status = match state {
            State::Ready if suppressed => EndpointStatus::Suppressed,
            State::Ready => EndpointStatus::Ready,
            State::Draining => EndpointStatus::Draining,
            State::Gone => EndpointStatus::Gone,
        };
        let old = m
            .published
            .as_ref()
            .map_or(EndpointStatus::Gone, |g| g.status);
        let reason = m.damping_reason(old, status).unwrap_or(reason);
        if status == EndpointStatus::Ready && old == EndpointStatus::Suppressed {
            m.returned = Some(now);
        }
        entry.server.state = status.state();
        if !relayed {
            entries.extend(m.replace(now, status, &entry));
            entry.server.started = entry.server.started.max(m.returned);
        }
        let is_known = m.published.is_some() || status != EndpointStatus::Gone;
        if is_known && m.published.as_ref().is_none_or(|g| g.entry != entry) {
            entries.push(entry.clone());
        }
        if status != old {
            let penalty = m.penalty.figure(&self.damping, now);
            let (uid, reason) = (uid.to_owned(), reason.clone());
            out.changes.push(Change {
                uid,
                old,
                new: status,
                reason,
                source,
                penalty,
            });
        }
        m.record_published(now, entry, status, reason, source);
    }

    /// Ends the damping of those that have been steady, and keeps those that are held back within their share.
    pub(super) fn balance(&mut self, now: Micros, entries: &mut Vec<Entry>, out: &mut TableUpdate) {
        if self.damped.is_empty() {
            return;
        }
        let d = self.damping;
        let members = &mut self.caches;
        let mut steady = Vec::new();
        self.damped.retain(|uid| {
            let Some(m) = members.get_mut(uid) else {
                return false;
            };
            m.damped = m.penalty.figure(&d, now) >= d.reuse;
            if !m.damped {
                steady.push(uid.clone());
            }
            m.damped
        });
        let suppressed = self.suppressed(now);
        for uid in steady.iter().chain(&self.damped.clone()) {
            let Some(verdict) = self.caches.get(uid).and_then(|m| self.verdict(uid, m)) else {
                continue;
            };
            self.publish(now, uid, verdict, suppressed.contains(uid), entries, out);
        }
    }

    /// Adds an event to the output; an empty one only where it is passed on.
    pub(super) fn push_event(
        &self,
        mode: ListMode,
        mut entries: Vec<Entry>,
        relayed: bool,
        out: &mut TableUpdate,
    ) {
        if entries.is_empty() && !relayed {
            return;
        }
        if !relayed {
            // Who leaves comes first: an address may pass from one box to another within one event.
            let rank = |e: &Entry| match e.server.state {
                State::Gone => 0,
                State::Draining => 1,
                State::Ready => 2,
            };
            entries.sort_by_key(rank);
        }
        out.events.push((mode, entries));
    }

    /// Forgets who is gone, once nothing is held against them or too many are remembered. What was never damped
    /// leaves at once, however many come and go in a day.
    pub(super) fn sweep(&mut self, now: Micros) {
        if self.gone.is_empty() {
            return;
        }
        let mut accepted: Vec<(f64, String)> = Vec::new();
        let mut leave: Vec<String> = Vec::new();
        for uid in &self.gone {
            let Some(m) = self.caches.get(uid) else {
                continue;
            };
            if m.reports
                .values()
                .any(|w| w.entry.server.state != State::Gone)
            {
                continue; // Another box has its address for now.
            }
            match m.penalty.is_forgotten(&self.damping, now) {
                true => leave.push(uid.clone()),
                false => accepted.push((m.penalty.figure(&self.damping, now), uid.clone())),
            }
        }
        if accepted.len() > self.limits.max_remembered {
            accepted.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
            let most = accepted.len() - self.limits.max_remembered;
            leave.extend(accepted.into_iter().take(most).map(|(_, uid)| uid));
        }
        for uid in leave {
            self.gone.remove(&uid);
            self.damped.remove(&uid);
            self.caches.remove(&uid);
        }
    }
}
