//! The book of boxes: every source's last word on each, what follows from them, and what was given out of it.

use crate::damping::{Damping, Penalty};
use crate::evidence::{
    Change, Entry, Evidence, Explanation, Notice, Reason, Report, Source, SourceId, Standing,
};
use linnetknot::{ListMode, Micros, State};
use std::collections::{btree_map, BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Bounds on what is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Boxes that are listed by any source.
    pub boxes: usize,
    /// Boxes that are gone, whose flaps are still held against them should they come back.
    pub remembered: usize,
}

/// What follows from evidence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// List events, to be given to the module in this order.
    pub events: Vec<(ListMode, Vec<Entry>)>,
    /// Changes of standing, for the log.
    pub changes: Vec<Change>,
    /// What the operators should know besides.
    pub notices: Vec<Notice>,
}

impl Output {
    /// Whether nothing follows.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.changes.is_empty() && self.notices.is_empty()
    }
}

/// A source's last word on a box; the state stands in the entry.
#[derive(Clone, Debug)]
struct Word {
    entry: Entry,
    reason: Reason,
    at: Micros,
}

/// What was last given out of a box.
#[derive(Clone, Debug)]
struct Given {
    entry: Entry,
    standing: Standing,
    reason: Reason,
    source: SourceId,
    since: Micros,
}

/// Zone and kind: boxes that can stand in for each other.
type Group = (String, String);

#[derive(Clone, Debug)]
struct Member {
    words: BTreeMap<SourceId, Word>,
    /// When it was first told at its present address.
    joined: Micros,
    penalty: Penalty,
    /// Came back with too high a penalty, which has not decayed yet.
    damped: bool,
    /// The group under which it is counted as told ready.
    counted: Option<Group>,
    /// When it was last taken in again; the module ramps it up from then, as it does one that has just started.
    returned: Option<Micros>,
    given: Option<Given>,
}

/// What the words on a box come to, before damping.
struct Verdict {
    entry: Entry,
    state: State,
    reason: Reason,
    source: SourceId,
}

/// The book.
#[derive(Clone, Debug)]
pub struct Discovery {
    sources: Vec<Source>,
    damping: Damping,
    bounds: Bounds,
    members: BTreeMap<String, Member>,
    /// Who is told to listen at an address.
    claims: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// Sources that have given a whole list: what they name for the first time from then on has just started.
    opened: BTreeSet<SourceId>,
    /// Boxes under damping.
    damped: BTreeSet<String>,
    /// Boxes told ready, by group.
    ready: BTreeMap<Group, usize>,
    /// Members that no source lists.
    gone: BTreeSet<String>,
}

fn group(entry: &Entry) -> Group {
    (entry.server.zone.clone(), entry.server.kind.clone())
}

/// Whether two entries can't be one and the same box to the module, which takes these from the first alone.
fn remade(a: &Entry, b: &Entry) -> bool {
    let of = |e: &Entry| (e.endpoint, e.server.cell);
    of(a) != of(b) || a.server.zone != b.server.zone || a.server.kind != b.server.kind
}

impl Discovery {
    /// An empty book. The order of the sources is that of their precedence: where two differ on anything but the
    /// state of a box, the first holds.
    pub fn new(sources: Vec<Source>, damping: Damping, bounds: Bounds) -> Self {
        Discovery {
            sources,
            damping,
            bounds,
            members: BTreeMap::new(),
            claims: BTreeMap::new(),
            opened: BTreeSet::new(),
            damped: BTreeSet::new(),
            ready: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Name of a source.
    pub fn source(&self, id: SourceId) -> &str {
        self.sources.get(id.0).map_or("?", |s| &s.name)
    }

    /// Takes evidence in.
    pub fn tell(&mut self, now: Micros, source: SourceId, evidence: Evidence) -> Output {
        let mut out = Output::default();
        let Some(relayed) = self.sources.get(source.0).map(|s| s.relayed) else { return out };
        let (mode, reports) = match evidence {
            Evidence::Full(reports) => (ListMode::Full, reports),
            Evidence::Delta(reports) => (ListMode::Delta, reports),
        };
        let reports = if relayed { reports } else { self.one_each(source, reports, &mut out) };
        let mut entries = Vec::new();
        let mut touched = BTreeSet::new();
        // Who leaves makes room first, in the table and at its address.
        let mut leavers = Vec::new();
        if mode == ListMode::Full {
            let named: BTreeSet<&str> = reports.iter().map(|r| r.entry.uid.as_str()).collect();
            let unlisted = |(uid, m): (&String, &Member)| {
                let listed = m.words.get(&source).is_some_and(|w| w.entry.server.state != State::Gone);
                (listed && !named.contains(uid.as_str())).then(|| uid.clone())
            };
            let unlisted: Vec<String> = self.members.iter().filter_map(unlisted).collect();
            unlisted.iter().for_each(|uid| self.unlist(now, source, uid, &mut touched));
            unlisted.iter().for_each(|uid| self.settle(now, uid, &mut leavers, &mut out));
            if relayed {
                // A whole list says by itself who is gone; what other sources list is added to it.
                let others = self.members.iter().filter(|(uid, _)| !named.contains(uid.as_str()));
                let others = others.filter_map(|(_, m)| m.given.as_ref());
                let others = others.filter(|g| g.standing != Standing::Gone);
                leavers = others.map(|g| g.entry.clone()).collect();
            }
        }
        for report in reports {
            let uid = report.entry.uid.clone();
            let told = report.entry.clone();
            let before = entries.len();
            if self.word(now, source, report, &mut touched, &mut out) {
                self.settle(now, &uid, &mut entries, &mut out);
                // Passed on whether it changed or not, each word of the event in its turn.
                let given = self.members.get(&uid).and_then(|m| m.given.as_ref());
                entries.extend(given.filter(|_| relayed && entries.len() == before).map(|g| g.entry.clone()));
            } else if relayed && told.server.state == State::Gone {
                // Nothing is known of it, but the event is passed on as it came.
                entries.push(told);
            }
        }
        if mode == ListMode::Full {
            self.opened.insert(source);
        }
        entries.extend(leavers);
        let mut follow = Vec::new();
        touched.iter().for_each(|uid| self.settle(now, uid, &mut follow, &mut out));
        self.balance(now, &mut follow, &mut out);
        self.give(if relayed { mode } else { ListMode::Delta }, entries, relayed, &mut out);
        self.give(ListMode::Delta, follow, false, &mut out);
        self.sweep(now);
        out
    }

    /// Takes in again what has been steady for long enough.
    pub fn poll(&mut self, now: Micros) -> Output {
        let mut out = Output::default();
        let mut entries = Vec::new();
        self.balance(now, &mut entries, &mut out);
        self.give(ListMode::Delta, entries, false, &mut out);
        self.sweep(now);
        out
    }

    /// When `poll` has something to do at the latest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let d = &self.damping;
        let due = |uid: &String| Some(self.members.get(uid)?.penalty.below(d, d.reuse, now));
        self.damped.iter().filter_map(due).min()
    }

    /// Boxes that some source lists, as they are given out.
    pub fn listed(&self) -> impl Iterator<Item = (&Entry, Standing)> {
        let given = self.members.values().filter_map(|m| m.given.as_ref());
        given.filter(|g| g.standing != Standing::Gone).map(|g| (&g.entry, g.standing))
    }

    /// What a source itself says of the boxes that it lists, whatever became of that.
    pub fn told_by(&self, source: SourceId) -> impl Iterator<Item = &Entry> {
        let words = self.members.values().filter_map(move |m| m.words.get(&source));
        words.filter(|w| w.entry.server.state != State::Gone).map(|w| &w.entry)
    }

    /// Other figures of damping, from here on.
    pub fn change_damping(&mut self, damping: Damping) {
        self.damping = damping;
    }

    /// Where a box stands; `Gone` for one that is not known.
    pub fn standing(&self, uid: &str) -> Standing {
        self.members.get(uid).and_then(|m| m.given.as_ref()).map_or(Standing::Gone, |g| g.standing)
    }

    /// Why a box stands where it does; none for one that is not known.
    pub fn explain(&self, uid: &str, now: Micros) -> Option<Explanation> {
        let (m, d) = (self.members.get(uid)?, &self.damping);
        let g = m.given.as_ref()?;
        let suppressed = g.standing == Standing::Suppressed;
        Some(Explanation {
            entry: g.entry.clone(),
            standing: g.standing,
            since: g.since,
            reason: g.reason.clone(),
            source: g.source,
            penalty: m.penalty.figure(d, now),
            until: suppressed.then(|| m.penalty.below(d, d.reuse, now)),
        })
    }

    /// Explanations of all boxes that are known, in the order of their ids.
    pub fn explain_all(&self, now: Micros) -> impl Iterator<Item = Explanation> + '_ {
        self.members.keys().filter_map(move |uid| self.explain(uid, now))
    }

    /// One report for each id: a list that names an id twice, at two nodes, means two boxes, and only one of them
    /// can have it. The one that had it keeps it.
    fn one_each(&self, source: SourceId, reports: Vec<Report>, out: &mut Output) -> Vec<Report> {
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
            let before = self.members.get(&report.entry.uid).and_then(|m| m.words.get(&source));
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

    /// Notes a source's word; false where it is not taken in. Those whose own case it may change are touched.
    fn word(
        &mut self,
        now: Micros,
        source: SourceId,
        report: Report,
        touched: &mut BTreeSet<String>,
        out: &mut Output,
    ) -> bool {
        let Report { entry, reason } = report;
        let (uid, endpoint) = (entry.uid.clone(), entry.endpoint);
        if !self.members.contains_key(&uid) {
            if entry.server.state == State::Gone {
                return false;
            }
            if self.members.len() - self.gone.len() >= self.bounds.boxes {
                out.notices.push(Notice::Full(uid));
                return false;
            }
        }
        let member = self.members.entry(uid.clone()).or_insert_with(|| Member {
            words: BTreeMap::new(),
            joined: now,
            penalty: Penalty::default(),
            damped: false,
            counted: None,
            returned: None,
            given: None,
        });
        let other = member.words.iter().find(|(id, w)| {
            **id != source && w.entry.server.state != State::Gone && w.entry.endpoint != endpoint
        });
        let old = member.words.get(&source).map(|w| w.entry.endpoint);
        if let Some((_, other)) = other.filter(|_| old != Some(endpoint)) {
            let (kept, refused) = (other.entry.endpoint, endpoint);
            out.notices.push(Notice::SameId { uid: uid.clone(), kept, refused, source });
        }
        if old != Some(endpoint) {
            member.joined = now;
            if let Some(from) = old {
                out.notices.push(Notice::Moved { uid: uid.clone(), from, to: endpoint });
            }
        }
        let gone = entry.server.state == State::Gone;
        member.words.insert(source, Word { entry, reason, at: now });
        if let Some(old) = old.filter(|old| *old != endpoint) {
            self.unclaim(old, &uid, touched);
        }
        if gone {
            self.unclaim(endpoint, &uid, touched);
            return true;
        }
        let claims = self.claims.entry(endpoint).or_default();
        let news = claims.insert(uid.clone());
        for other in claims.iter().filter(|other| **other != uid) {
            touched.insert(other.clone());
            if news {
                let (uid, other) = (uid.clone(), other.clone());
                out.notices.push(Notice::SameAddress { uid, other, endpoint });
            }
        }
        true
    }

    fn unclaim(&mut self, endpoint: SocketAddr, uid: &str, touched: &mut BTreeSet<String>) {
        let still = self.members.get(uid).is_some_and(|m| {
            m.words.values().any(|w| w.entry.endpoint == endpoint && w.entry.server.state != State::Gone)
        });
        let btree_map::Entry::Occupied(mut claims) = self.claims.entry(endpoint) else { return };
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
        let Some(word) = self.members.get_mut(uid).and_then(|m| m.words.get_mut(&source)) else { return };
        (word.entry.server.state, word.reason, word.at) = (State::Gone, Reason::Unlisted, now);
        let endpoint = word.entry.endpoint;
        self.unclaim(endpoint, uid, touched);
    }

    /// What the words on a box come to.
    fn verdict(&self, uid: &str, m: &Member) -> Option<Verdict> {
        let live = |w: &&Word| w.entry.server.state != State::Gone;
        let Some((base_id, base)) = m.words.iter().find(|(_, w)| live(w)) else {
            // The last word of them all: who took it from the list.
            let (source, word) = m.words.iter().max_by_key(|(_, w)| w.at)?;
            return Some(Verdict {
                entry: word.entry.clone(),
                state: State::Gone,
                reason: word.reason.clone(),
                source: *source,
            });
        };
        let verdict = |state, reason: Reason, source| {
            let mut entry = base.entry.clone();
            entry.server.state = state;
            Some(Verdict { entry, state, reason, source })
        };
        // A word on another address is on another box, which only has the same id.
        let mut same = m.words.iter().filter(|(_, w)| w.entry.endpoint == base.entry.endpoint);
        if !self.sources[base_id.0].relayed {
            let newer = |other: &String| {
                self.members.get(other).filter(|_| other != uid).is_some_and(|o| {
                    (o.joined, other.as_str()) > (m.joined, uid)
                        && o.words.values().any(|w| live(&w) && w.entry.endpoint == base.entry.endpoint)
                })
            };
            let claims = self.claims.get(&base.entry.endpoint);
            if let Some(other) = claims.and_then(|claims| claims.iter().find(|other| newer(other))) {
                return verdict(State::Gone, Reason::AddressTaken(other.clone()), *base_id);
            }
        }
        if let Some((id, w)) = same.clone().find(|(_, w)| w.entry.server.state == State::Draining) {
            return verdict(State::Draining, w.reason.clone(), *id);
        }
        // Whoever says that it is gone is believed until another says anew that it is there.
        let ready_at = same.clone().filter(|(_, w)| live(w)).map(|(_, w)| w.at).max().unwrap_or(0);
        if let Some((id, _)) = same.find(|(_, w)| !live(w) && w.at >= ready_at) {
            return verdict(State::Draining, Reason::GoneElsewhere(self.source(*id).to_owned()), *id);
        }
        verdict(State::Ready, base.reason.clone(), *base_id)
    }

    /// Weighs a box anew after a word on it, counts its losses and returns, and gives out what has changed.
    fn settle(&mut self, now: Micros, uid: &str, entries: &mut Vec<Entry>, out: &mut Output) {
        let Some(verdict) = self.members.get(uid).and_then(|m| self.verdict(uid, m)) else { return };
        let damped = self.sources[verdict.source.0].damped;
        let opened = self.opened.contains(&verdict.source);
        let d = self.damping;
        let Some(m) = self.members.get_mut(uid) else { return };
        let was = m.counted.is_some();
        let is = verdict.state == State::Ready;
        let counted = is.then(|| group(&verdict.entry));
        if m.counted != counted {
            if let Some(old) = std::mem::replace(&mut m.counted, counted.clone()) {
                if let btree_map::Entry::Occupied(mut n) = self.ready.entry(old) {
                    *n.get_mut() -= 1;
                    if *n.get() == 0 {
                        n.remove();
                    }
                }
            }
            if let Some(new) = counted {
                *self.ready.entry(new).or_insert(0) += 1;
            }
        }
        if damped {
            if was && !is {
                m.penalty.add(&d, now);
            }
            if !was && is {
                if m.penalty.figure(&d, now) >= d.suppress && !m.damped {
                    m.damped = true;
                    self.damped.insert(uid.to_owned());
                }
                // What is named for the first time once a list was there has just started, for all that is known.
                if m.given.is_some() || opened {
                    m.returned = Some(now);
                }
            }
        }
        let under_damping = m.damped && is;
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

    /// Which of the boxes under damping are held back: those with the highest penalties, and of each group no more
    /// than its share.
    fn held(&self, now: Micros) -> BTreeSet<String> {
        let mut groups: BTreeMap<&Group, Vec<(f64, &String)>> = BTreeMap::new();
        for uid in &self.damped {
            let Some(m) = self.members.get(uid) else { continue };
            if let Some(group) = &m.counted {
                groups.entry(group).or_default().push((m.penalty.figure(&self.damping, now), uid));
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

    fn publish(
        &mut self,
        now: Micros,
        uid: &str,
        verdict: Verdict,
        held: bool,
        entries: &mut Vec<Entry>,
        out: &mut Output,
    ) {
        let d = self.damping;
        let relayed = self.sources[verdict.source.0].relayed;
        let Some(m) = self.members.get_mut(uid) else { return };
        let Verdict { mut entry, state, mut reason, source } = verdict;
        let standing = match state {
            State::Ready if held => Standing::Suppressed,
            State::Ready => Standing::Ready,
            State::Draining => Standing::Draining,
            State::Gone => Standing::Gone,
        };
        let old = m.given.as_ref().map_or(Standing::Gone, |g| g.standing);
        if standing == Standing::Ready && old == Standing::Suppressed {
            m.returned = Some(now);
            reason = if m.damped { Reason::Panic } else { Reason::Steady };
        } else if standing == Standing::Ready && m.damped {
            reason = Reason::Panic;
        } else if standing == Standing::Suppressed {
            reason = Reason::Flapping;
        }
        entry.server.state = standing.state();
        let moved = m.given.as_ref().is_some_and(|g| {
            !relayed && g.standing != Standing::Gone && standing != Standing::Gone && remade(&g.entry, &entry)
        });
        if moved {
            // The module keeps the address, zone and kind of a box that it knows: it has to leave and come anew.
            m.returned = Some(now);
            if let Some(mut old) = m.given.as_ref().map(|g| g.entry.clone()) {
                old.server.state = State::Gone;
                entries.push(old);
            }
        }
        if !relayed {
            entry.server.started = entry.server.started.max(m.returned);
        }
        if m.given.as_ref().is_none_or(|g| g.entry != entry)
            && (m.given.is_some() || standing != Standing::Gone)
        {
            entries.push(entry.clone());
        }
        let since = m.given.as_ref().filter(|g| g.standing == standing).map_or(now, |g| g.since);
        if standing != old {
            let penalty = m.penalty.figure(&d, now);
            let (uid, reason) = (uid.to_owned(), reason.clone());
            out.changes.push(Change { uid, old, new: standing, reason, source, penalty });
        }
        m.given = Some(Given { entry, standing, reason, source, since });
    }

    /// Ends the damping of those that have been steady, and keeps those that are held back within their share.
    fn balance(&mut self, now: Micros, entries: &mut Vec<Entry>, out: &mut Output) {
        if self.damped.is_empty() {
            return;
        }
        let d = self.damping;
        let members = &mut self.members;
        let mut steady = Vec::new();
        self.damped.retain(|uid| {
            let Some(m) = members.get_mut(uid) else { return false };
            m.damped = m.penalty.figure(&d, now) >= d.reuse;
            if !m.damped {
                steady.push(uid.clone());
            }
            m.damped
        });
        let held = self.held(now);
        for uid in steady.iter().chain(&self.damped.clone()) {
            let Some(verdict) = self.members.get(uid).and_then(|m| self.verdict(uid, m)) else { continue };
            self.publish(now, uid, verdict, held.contains(uid), entries, out);
        }
    }

    fn give(&self, mode: ListMode, mut entries: Vec<Entry>, relayed: bool, out: &mut Output) {
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
    fn sweep(&mut self, now: Micros) {
        if self.gone.is_empty() {
            return;
        }
        let mut kept: Vec<(f64, String)> = Vec::new();
        let mut leave: Vec<String> = Vec::new();
        for uid in &self.gone {
            let Some(m) = self.members.get(uid) else { continue };
            if m.words.values().any(|w| w.entry.server.state != State::Gone) {
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
