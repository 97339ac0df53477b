//! The start of a request at a node: from its memory, by a fill from a source, or as a write at the origin.

use super::timers::Timer;
use super::{FakeSite, Fetch, FillInProgress, NodeKind, Phase, SiteOutput};
use crate::fakes::cache_memory::Part;
use crate::record::Micros;

/// The answer of a source to a fill.
struct SourceAnswer {
    /// The time until the first byte arrives.
    wait_us: Micros,
    /// How the copy was obtained, as in the protocol's field `how`.
    how: &'static str,
    /// The time at which the copy was created; its age and its validity after purges are computed from it.
    made: Micros,
}

impl FakeSite {
    /// Starts a request that has a slot.
    pub(super) fn begin(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        out: &mut Vec<SiteOutput>,
    ) {
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
            NodeKind::Origin => Some(now),
            NodeKind::EdgeCache | NodeKind::ParentCache => {
                node.memory.get(fetch.part, oldest, fetch.rank)
            }
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

    /// Executes a write at the origin. Nodes other than the origin reject writes.
    fn begin_write(&mut self, now: Micros, uid: &str, request: u64, out: &mut Vec<SiteOutput>) {
        if self
            .nodes
            .get(uid)
            .is_some_and(|node| node.kind == NodeKind::Origin)
        {
            let took = self.begin_origin_request(now);
            return self.schedule(now + took, Timer::WriteDone(uid.to_owned(), request));
        }
        self.reject(now, uid, request, "404", "", out);
    }

    /// Joins the fill of the same part that is in progress.
    fn join_fill(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        fetch: &Fetch,
        out: &mut Vec<SiteOutput>,
    ) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        let Some(fill) = node.filling.get_mut(&fetch.part) else {
            return;
        };
        // The request cannot join a fill whose copy is older than the request's maximum age.
        if !fetch.join || fill.made < now.saturating_sub(fetch.max_age_us) {
            return self.reject(now, uid, request, "404", "rode", out);
        }
        fill.waiters.push(request);
        fill.fetch.rank = fill.fetch.rank.max(fetch.rank);
        let (made, is_sending) = (fill.made, self.fills_on_link.contains_key(&fill.number));
        if let Some(open) = node.open.get_mut(&request).filter(|_| is_sending) {
            // The first byte of the fill has arrived, so the answer can be sent immediately.
            open.phase = Phase::Sending {
                how: "rode",
                made,
                waited_us: 0,
            };
            node.link.begin(request, fetch.work_us);
        }
    }

    /// Starts a fill from the source that the request names.
    fn begin_fill(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        fetch: Fetch,
        out: &mut Vec<SiteOutput>,
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
        if node.filling.len() >= node.parameters.fills {
            return self.reject(now, uid, request, "503", "no_place", out);
        }
        let timeout = node.parameters.fill_timeout_us;
        self.attempts[attempt].fill_us = fetch.work_us;
        if self.add_load(now, &source, fetch.work_us as f64, out) || !self.is_up(&source) {
            return self.reject(now, uid, request, "503", "cut_off", out);
        }
        let Some(SourceAnswer { wait_us, how, made }) = self.query_source(now, &source, &fetch)
        else {
            return self.reject(now, uid, request, "503", "not_there", out);
        };
        self.next += 1;
        let number = self.next;
        let part = fetch.part;
        let filling = FillInProgress {
            number,
            how,
            made,
            started_at: now,
            waiters: vec![request],
            fetch,
        };
        if let Some(node) = self.nodes.get_mut(uid) {
            node.filling.insert(part, filling);
        }
        self.schedule(
            now + wait_us,
            Timer::FillFirstByte(uid.to_owned(), part, number),
        );
        self.schedule(
            now + timeout,
            Timer::FillTimeout(uid.to_owned(), part, number),
        );
    }

    /// Starts a request at the origin and returns its duration, which grows with the number of concurrent requests.
    fn begin_origin_request(&mut self, now: Micros) -> Micros {
        let workers = self
            .nodes
            .values()
            .find(|n| n.kind == NodeKind::Origin)
            .map_or(1, |n| n.parameters.fills.max(1));
        self.origin_requests += 1;
        let crowd = (self.origin_requests as f64 / workers as f64).max(1.0);
        let took = (self.site.origin_us as f64 * self.origin_slowdown * crowd) as Micros;
        self.schedule(now + took, Timer::OriginDone);
        took
    }

    /// Returns the answer of a source to a fill, or `None` if the source has no usable copy.
    fn query_source(&mut self, now: Micros, source: &str, f: &Fetch) -> Option<SourceAnswer> {
        let answer = |wait_us, how, made| Some(SourceAnswer { wait_us, how, made });
        let kind = self.nodes.get(source)?.kind;
        if kind == NodeKind::Origin {
            let took = self.begin_origin_request(now);
            return answer(self.site.far_us + took, "pulled", now + took);
        }
        let oldest = now.saturating_sub(f.max_age_us);
        let near = self.site.near_us;
        let node = self.nodes.get_mut(source)?;
        if let Some(made) = node.memory.get(f.part, oldest, 0) {
            return answer(near, "pulled", made);
        }
        if kind == NodeKind::EdgeCache {
            return None;
        }
        node.fetching.retain(|_, (until, _)| *until > now);
        if let Some((until, made)) = node.fetching.get(&f.part).copied() {
            return answer(near + (until - now), "pulled_far", made);
        }
        let took = self.site.far_us + self.begin_origin_request(now);
        let node = self.nodes.get_mut(source)?;
        node.fetching.insert(f.part, (now + took, now + took));
        node.memory.insert(f.part, f.group, f.kb, now + took, 1);
        answer(near + took, "pulled_far", now + took)
    }

    /// Completes a fill and stores its copy with the highest requested rank.
    pub(super) fn finish_fill(&mut self, uid: &str, part: Part, number: u64) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        if node.filling.get(&part).is_some_and(|f| f.number == number) {
            let Some(FillInProgress { fetch: f, made, .. }) = node.filling.remove(&part) else {
                return;
            };
            // The node applied a purge during the fill that is newer than the copy.
            let is_purged = [Ok(part.0), Err(f.group)]
                .iter()
                .any(|w| node.applied_purges.get(w).is_some_and(|at| made < *at));
            if is_purged && !self.site.late_fills {
                return;
            }
            node.memory.insert(part, f.group, f.kb, made, f.rank);
        }
    }
}
