//! How verdicts are damped and given out: which boxes are held back, and what has changed for the module.

use super::verdict::Verdict;
use super::{Discovery, Given, Group, Member, Output};
use crate::damping::Damping;
use crate::evidence::{Change, Entry, Reason, SourceId, Standing};
use linnetknot::{ListMode, Micros, State};
use std::collections::{btree_map, BTreeMap, BTreeSet};

fn group(entry: &Entry) -> Group {
    (entry.server.zone.clone(), entry.server.kind.clone())
}

/// Whether two entries can't be one and the same box to the module, which takes these from the first alone.
fn remade(a: &Entry, b: &Entry) -> bool {
    let of = |e: &Entry| (e.endpoint, e.server.cell);
    of(a) != of(b) || a.server.zone != b.server.zone || a.server.kind != b.server.kind
}

impl Member {
    /// Counts a loss of the box, or its return: whether it is put under damping by it. `opened`: its source had given
    /// a whole list before.
    fn count(&mut self, now: Micros, damping: &Damping, was: bool, is: bool, opened: bool) -> bool {
        if was && !is {
            self.penalty.add(damping, now);
        }
        if was || !is {
            return false;
        }
        let is_damped = self.penalty.figure(damping, now) >= damping.suppress && !self.damped;
        self.damped |= is_damped;
        // What is named for the first time once a list was there has just started, for all that is known.
        if self.given.is_some() || opened {
            self.returned = Some(now);
        }
        is_damped
    }

    /// Takes the box out where its new entry can't be the same box to the module, which keeps the address, zone and
    /// kind of a box that it knows: it has to leave, by the entry that is given back, and come anew.
    fn remake(&mut self, now: Micros, standing: Standing, entry: &Entry) -> Option<Entry> {
        let given = self.given.as_ref()?;
        if given.standing == Standing::Gone
            || standing == Standing::Gone
            || !remade(&given.entry, entry)
        {
            return None;
        }
        let mut old = given.entry.clone();
        old.server.state = State::Gone;
        self.returned = Some(now);
        Some(old)
    }

    /// Notes what was given out.
    fn give(
        &mut self,
        now: Micros,
        entry: Entry,
        standing: Standing,
        reason: Reason,
        source: SourceId,
    ) {
        let since = self
            .given
            .as_ref()
            .filter(|g| g.standing == standing)
            .map_or(now, |g| g.since);
        self.given = Some(Given {
            entry,
            standing,
            reason,
            source,
            since,
        });
    }

    /// The reason of a new standing, where damping has a part in it.
    fn damping_reason(&self, old: Standing, new: Standing) -> Option<Reason> {
        match (old, new) {
            (_, Standing::Suppressed) => Some(Reason::Flapping),
            (_, Standing::Ready) if self.damped => Some(Reason::Panic),
            (Standing::Suppressed, Standing::Ready) => Some(Reason::Steady),
            _ => None,
        }
    }
}

impl Discovery {
    /// Weighs a box anew after a word on it, counts its losses and returns, and gives out what has changed.
    pub(super) fn settle(
        &mut self,
        now: Micros,
        uid: &str,
        entries: &mut Vec<Entry>,
        out: &mut Output,
    ) {
        let Some(verdict) = self.members.get(uid).and_then(|m| self.verdict(uid, m)) else {
            return;
        };
        let opened = self.opened.contains(&verdict.source);
        let Some(m) = self.members.get_mut(uid) else {
            return;
        };
        let was = m.counted.is_some();
        let is = verdict.state == State::Ready;
        let counted = is.then(|| group(&verdict.entry));
        let before = std::mem::replace(&mut m.counted, counted.clone());
        let counts = self.sources[verdict.source.0].damped;
        if counts && m.count(now, &self.damping, was, is, opened) {
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
    fn held(&self, now: Micros) -> BTreeSet<String> {
        let mut groups: BTreeMap<&Group, Vec<(f64, &String)>> = BTreeMap::new();
        for uid in &self.damped {
            let Some(m) = self.members.get(uid) else {
                continue;
            };
            if let Some(group) = &m.counted {
                groups
                    .entry(group)
                    .or_default()
                    .push((m.penalty.figure(&self.damping, now), uid));
            }
        }
        let mut held = BTreeSet::new();
        for (group, mut members) in groups {
            let all = self.ready.get(group).copied().unwrap_or(0);
            let room = (self.damping.most_share * all as f64) as usize;
            members.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            held.extend(members.into_iter().take(room).map(|(_, uid)| uid.clone()));
        }
        held
    }

    /// Gives out what a verdict changes for the module, and notes it as given.
    fn publish(
        &mut self,
        now: Micros,
        uid: &str,
        verdict: Verdict,
        held: bool,
        entries: &mut Vec<Entry>,
        out: &mut Output,
    ) {
        let relayed = self.sources[verdict.source.0].relayed;
        let Some(m) = self.members.get_mut(uid) else {
            return;
        };
        let Verdict {
            mut entry,
            state,
            reason,
            source,
        } = verdict;
        let standing = match state {
            State::Ready if held => Standing::Suppressed,
            State::Ready => Standing::Ready,
            State::Draining => Standing::Draining,
            State::Gone => Standing::Gone,
        };
        let old = m.given.as_ref().map_or(Standing::Gone, |g| g.standing);
        let reason = m.damping_reason(old, standing).unwrap_or(reason);
        if standing == Standing::Ready && old == Standing::Suppressed {
            m.returned = Some(now);
        }
        entry.server.state = standing.state();
        if !relayed {
            entries.extend(m.remake(now, standing, &entry));
            entry.server.started = entry.server.started.max(m.returned);
        }
        let is_known = m.given.is_some() || standing != Standing::Gone;
        if is_known && m.given.as_ref().is_none_or(|g| g.entry != entry) {
            entries.push(entry.clone());
        }
        if standing != old {
            let penalty = m.penalty.figure(&self.damping, now);
            let (uid, reason) = (uid.to_owned(), reason.clone());
            out.changes.push(Change {
                uid,
                old,
                new: standing,
                reason,
                source,
                penalty,
            });
        }
        m.give(now, entry, standing, reason, source);
    }

    /// Ends the damping of those that have been steady, and keeps those that are held back within their share.
    pub(super) fn balance(&mut self, now: Micros, entries: &mut Vec<Entry>, out: &mut Output) {
        if self.damped.is_empty() {
            return;
        }
        let d = self.damping;
        let members = &mut self.members;
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
        let held = self.held(now);
        for uid in steady.iter().chain(&self.damped.clone()) {
            let Some(verdict) = self.members.get(uid).and_then(|m| self.verdict(uid, m)) else {
                continue;
            };
            self.publish(now, uid, verdict, held.contains(uid), entries, out);
        }
    }

    /// Adds an event to the output; an empty one only where it is passed on.
    pub(super) fn give(
        &self,
        mode: ListMode,
        mut entries: Vec<Entry>,
        relayed: bool,
        out: &mut Output,
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
        let mut kept: Vec<(f64, String)> = Vec::new();
        let mut leave: Vec<String> = Vec::new();
        for uid in &self.gone {
            let Some(m) = self.members.get(uid) else {
                continue;
            };
            if m.words
                .values()
                .any(|w| w.entry.server.state != State::Gone)
            {
                continue; // Another box has its address for now.
            }
            match m.penalty.is_forgotten(&self.damping, now) {
                true => leave.push(uid.clone()),
                false => kept.push((m.penalty.figure(&self.damping, now), uid.clone())),
            }
        }
        if kept.len() > self.bounds.remembered {
            kept.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
            let most = kept.len() - self.bounds.remembered;
            leave.extend(kept.into_iter().take(most).map(|(_, uid)| uid));
        }
        for uid in leave {
            self.gone.remove(&uid);
            self.damped.remove(&uid);
            self.members.remove(&uid);
        }
    }
}
