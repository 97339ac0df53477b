//! How a node begins a request: from its memory, by a fill from a source, or as a write at the origin.

use super::timers::Timer;
use super::{FakeSite, Fetch, Filling, Kind, Out, Phase};
use crate::fakes::cache_memory::Part;
use crate::record::Micros;

/// What a source answers to a fill.
struct SourceAnswer {
    /// The wait for its first byte.
    wait_us: Micros,
    /// How it was made, in the protocol's words.
    how: &'static str,
    /// When it was made.
    made: Micros,
}

impl FakeSite {
    /// Begins a request that has got a slot.
    pub(super) fn begin(&mut self, now: Micros, uid: &str, request: u64, out: &mut Vec<Out>) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        let Some(open) = node.open.get_mut(&request) else {
            return;
        };
        let fetch = open.fetch.clone();
        if fetch.write.is_some() {
            open.phase = Phase::Filling;
            return self.begin_write(now, uid, request, out);
        }
        let oldest = now.saturating_sub(fetch.max_age_us);
        let made = match node.kind {
            Kind::Origin => Some(now),
            Kind::Box | Kind::Hub => node.memory.get(fetch.part, oldest, fetch.keep),
        };
        if let Some(made) = made {
            open.phase = Phase::Sending {
                how: "local",
                made,
                waited_us: 0,
            };
            return node.link.begin(request, fetch.work_us);
        }
        open.phase = Phase::Filling;
        if node.filling.contains_key(&fetch.part) {
            return self.join_fill(now, uid, request, &fetch, out);
        }
        self.begin_fill(now, uid, request, fetch, out);
    }

    /// Runs a write at the origin; no other node takes one.
    fn begin_write(&mut self, now: Micros, uid: &str, request: u64, out: &mut Vec<Out>) {
        if self
            .nodes
            .get(uid)
            .is_some_and(|node| node.kind == Kind::Origin)
        {
            let took = self.ask_origin(now);
            return self.at(now + took, Timer::Written(uid.to_owned(), request));
        }
        self.reject(now, uid, request, "404", "", out);
    }

    /// Joins the fill of the same part that is under way.
    fn join_fill(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        fetch: &Fetch,
        out: &mut Vec<Out>,
    ) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        let Some(fill) = node.filling.get_mut(&fetch.part) else {
            return;
        };
        // One that is under way from a copy that is too old for this one is nothing to join.
        if !fetch.join || fill.made < now.saturating_sub(fetch.max_age_us) {
            return self.reject(now, uid, request, "404", "rode", out);
        }
        fill.waiters.push(request);
        fill.fetch.keep = fill.fetch.keep.max(fetch.keep);
        let (made, is_sending) = (fill.made, self.inward_fills.contains_key(&fill.number));
        if let Some(open) = node.open.get_mut(&request).filter(|_| is_sending) {
            // It has begun to come: this one is sent it from here on.
            open.phase = Phase::Sending {
                how: "rode",
                made,
                waited_us: 0,
            };
            node.link.begin(request, fetch.work_us);
        }
    }

    /// Begins a fill from the source that the request names.
    fn begin_fill(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        fetch: Fetch,
        out: &mut Vec<Out>,
    ) {
        let Some(node) = self.nodes.get(uid) else {
            return;
        };
        let Some(attempt) = node.open.get(&request).map(|open| open.attempt) else {
            return;
        };
        let Some(source) = fetch.source.clone() else {
            return self.reject(now, uid, request, "404", "", out);
        };
        if node.filling.len() >= node.figures.fills {
            return self.reject(now, uid, request, "503", "no_place", out);
        }
        let timeout = node.figures.fill_timeout_us;
        self.attempts[attempt].fill_us = fetch.work_us;
        if self.push(now, &source, fetch.work_us as f64, out) || !self.is_up(&source) {
            return self.reject(now, uid, request, "503", "cut_off", out);
        }
        let Some(SourceAnswer { wait_us, how, made }) = self.ask(now, &source, &fetch) else {
            return self.reject(now, uid, request, "503", "not_there", out);
        };
        self.next += 1;
        let number = self.next;
        let part = fetch.part;
        let filling = Filling {
            number,
            how,
            made,
            began: now,
            waiters: vec![request],
            fetch,
        };
        if let Some(node) = self.nodes.get_mut(uid) {
            node.filling.insert(part, filling);
        }
        self.at(now + wait_us, Timer::Begins(uid.to_owned(), part, number));
        self.at(now + timeout, Timer::Late(uid.to_owned(), part, number));
    }

    /// The origin is asked: how long it takes, more where it is crowded.
    fn ask_origin(&mut self, now: Micros) -> Micros {
        let workers = self
            .nodes
            .values()
            .find(|n| n.kind == Kind::Origin)
            .map_or(1, |n| n.figures.fills.max(1));
        self.origin_busy += 1;
        let crowd = (self.origin_busy as f64 / workers as f64).max(1.0);
        let took = (self.site.origin_us as f64 * self.origin_slow * crowd) as Micros;
        self.at(now + took, Timer::OriginFree);
        took
    }

    /// A source is asked for a part; none: it lacks it.
    fn ask(&mut self, now: Micros, source: &str, f: &Fetch) -> Option<SourceAnswer> {
        let answer = |wait_us, how, made| Some(SourceAnswer { wait_us, how, made });
        let kind = self.nodes.get(source)?.kind;
        if kind == Kind::Origin {
            let took = self.ask_origin(now);
            return answer(self.site.far_us + took, "pulled", now + took);
        }
        let oldest = now.saturating_sub(f.max_age_us);
        let near = self.site.near_us;
        let node = self.nodes.get_mut(source)?;
        if let Some(made) = node.memory.get(f.part, oldest, 0) {
            return answer(near, "pulled", made);
        }
        if kind == Kind::Box {
            return None;
        }
        node.fetching.retain(|_, (until, _)| *until > now);
        if let Some((until, made)) = node.fetching.get(&f.part).copied() {
            return answer(near + (until - now), "pulled_far", made);
        }
        let took = self.site.far_us + self.ask_origin(now);
        let node = self.nodes.get_mut(source)?;
        node.fetching.insert(f.part, (now + took, now + took));
        node.memory.keep(f.part, f.group, f.kb, now + took, 1);
        answer(near + took, "pulled_far", now + took)
    }

    /// A fill has come whole: its copy is kept, by the highest rank that was asked for.
    pub(super) fn filled(&mut self, uid: &str, part: Part, number: u64) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        if node.filling.get(&part).is_some_and(|f| f.number == number) {
            let Some(Filling { fetch: f, made, .. }) = node.filling.remove(&part) else {
                return;
            };
            // A copy from before a purge that was carried out here while it came is one of those that must go.
            let struck = [Ok(part.0), Err(f.group)]
                .iter()
                .any(|w| node.struck.get(w).is_some_and(|at| made < *at));
            if struck && !self.site.late_fills {
                return;
            }
            node.memory.keep(part, f.group, f.kb, made, f.keep);
        }
    }
}
