//! Timed events of the nodes: first bytes and timeouts of fills, ends of writes and stalls, and purges.

use super::{Ended, FakeSite, Fetch, FillInProgress, Phase, PurgeTarget, SiteOutput};
use crate::fakes::cache_memory::Part;
use crate::record::Micros;

/// An event of the fake site that is due at a set time.
pub(super) enum Timer {
    /// The first byte of a fill arrives, with the node, the part and the number of the fill.
    FillFirstByte(String, Part, u64),
    /// The timeout of a fill, with the same fields.
    FillTimeout(String, Part, u64),
    /// The origin finishes a request.
    OriginDone,
    /// A write ends, with the node and the request.
    WriteDone(String, u64),
    /// The stall of a node ends.
    StallEnd(String),
    /// A node applies a purge, with the purged object or group and the time of the purge.
    ApplyPurge(String, PurgeTarget, Micros),
}

impl FakeSite {
    /// Handles an event that is due.
    pub(super) fn run_timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<SiteOutput>) {
        match timer {
            Timer::FillFirstByte(uid, part, number) => self.forward_fill(now, uid, part, number),
            Timer::FillTimeout(uid, part, number) => self.expire_fill(now, &uid, part, number, out),
            Timer::OriginDone => self.origin_requests = self.origin_requests.saturating_sub(1),
            Timer::WriteDone(uid, request) => self.finish_write(now, &uid, request, out),
            Timer::ApplyPurge(uid, what, at) => self.purge(&uid, what, at),
            Timer::StallEnd(uid) => self.end_stall(now, &uid),
        }
    }

    /// Starts the answers of the requests that wait for a fill, which are sent while the fill continues.
    fn forward_fill(&mut self, now: Micros, uid: String, part: Part, number: u64) {
        let Some(node) = self.nodes.get_mut(&uid) else {
            return;
        };
        let Some(fill) = node.filling.get(&part).filter(|f| f.number == number) else {
            return;
        };
        let (how, made, started_at) = (fill.how, fill.made, fill.started_at);
        let (waiters, work) = (fill.waiters.clone(), fill.fetch.work_us);
        for (n, request) in waiters.into_iter().enumerate() {
            let Some(open) = node.open.get_mut(&request) else {
                continue;
            };
            let how = if n == 0 { how } else { "rode" };
            open.phase = Phase::Sending {
                how,
                made,
                waited_us: now - started_at,
            };
            node.link.begin(request, open.fetch.work_us);
        }
        self.fills_on_link.insert(number, (uid, part));
        self.site_link
            .begin(number, (work as f64 / self.site.fill_pace) as Micros);
    }

    /// Aborts a fill whose first byte did not arrive before the timeout, and rejects its requests.
    fn expire_fill(
        &mut self,
        now: Micros,
        uid: &str,
        part: Part,
        number: u64,
        out: &mut Vec<SiteOutput>,
    ) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        let waits = |f: &&FillInProgress| {
            let all = f.waiters.iter().filter_map(|r| node.open.get(r));
            f.number == number && all.into_iter().any(|o| o.phase == Phase::Filling)
        };
        if node.filling.get(&part).filter(waits).is_some() {
            let fill = node.filling.remove(&part);
            let waiters = fill.map(|f| f.waiters).unwrap_or_default();
            waiters
                .into_iter()
                .for_each(|r| self.reject(now, uid, r, "503", "cut_off", out));
        }
    }

    /// Answers a write that the origin has executed.
    fn finish_write(&mut self, now: Micros, uid: &str, request: u64, out: &mut Vec<SiteOutput>) {
        let Some(open) = self
            .nodes
            .get_mut(uid)
            .and_then(|n| n.open.remove(&request))
        else {
            return;
        };
        self.attempts[open.attempt].ended = Some((now, Ended::Ran));
        let Fetch {
            connection,
            id,
            write,
            part,
            ..
        } = open.fetch;
        self.count_write(now, write.flatten());
        let (status, how) = ("200", "local");
        out.push(SiteOutput::Answer {
            connection,
            id,
            status,
            how,
            waited_us: 0,
            made: now,
            part,
        });
    }

    /// Counts an executed write. A write that repeats a recent idempotency key is dropped by the origin and not
    /// counted.
    fn count_write(&mut self, now: Micros, key: Option<String>) {
        let known = key.as_ref().and_then(|k| self.keys.get(k)).copied();
        if known.is_none_or(|at| now >= at + self.site.key_us) {
            self.writes.0 += 1;
            self.writes.1 += u64::from(known.is_some());
            self.keys.extend(key.map(|k| (k, now)));
        }
    }

    /// Ends the stall of a node and resets its link to its current capacity, which is lower while the node is cold.
    fn end_stall(&mut self, now: Micros, uid: &str) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        node.stalled = false;
        node.link.set_capacity(
            node.cold
                .as_ref()
                .map_or(node.parameters.capacity, |c| c.capacity_at(now)),
        );
    }
}
