//! Requests at a node: admission, queueing, rejection and abort.

use super::{FakeSite, Fetch, Open, Phase, SiteOutput};
use crate::record::{Attempt, Ended, Micros};

impl FakeSite {
    /// Handles the arrival of a request. `advance` must have been called for the current time.
    pub fn fetch(&mut self, now: Micros, uid: &str, fetch: Fetch) -> Vec<SiteOutput> {
        let mut out = Vec::new();
        let Some(node) = self.nodes.get_mut(uid).filter(|n| n.up) else {
            return out;
        };
        self.next += 1;
        let request = self.next;
        self.attempts.push(Attempt {
            id: fetch.id.clone(),
            proxy: fetch.proxy,
            target: uid.to_owned(),
            source: fetch.source.clone(),
            first_byte: now,
            at: now,
            ended: None,
            work_us: fetch.work_us,
            fill_us: 0,
        });
        let attempt = self.attempts.len() - 1;
        let full = node.open.len() >= node.parameters.slots + node.parameters.waiting;
        let work = fetch.work_us as f64;
        node.open.insert(
            request,
            Open {
                fetch,
                phase: Phase::Waiting,
                since: now,
                attempt,
            },
        );
        if self.add_load(now, uid, work, &mut out) {
            return out;
        }
        if full {
            self.reject(now, uid, request, "503", "", &mut out);
        } else if let Some(node) = self.nodes.get_mut(uid) {
            node.waiting.push_back(request);
            self.admit(now, uid, &mut out);
        }
        out
    }

    /// Aborts the request with this id, or all requests of a connection that has ended.
    pub fn abort(&mut self, now: Micros, uid: &str, connection: u64, id: Option<&str>) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        let is_targeted =
            |o: &Open| o.fetch.connection == connection && id.is_none_or(|id| o.fetch.id == id);
        let aborted: Vec<u64> = node
            .open
            .iter()
            .filter(|(_, o)| is_targeted(o))
            .map(|(r, _)| *r)
            .collect();
        for request in &aborted {
            node.link.cancel(*request);
            node.waiting.retain(|r| r != request);
            if let Some(open) = node.open.remove(request) {
                self.attempts[open.attempt].ended = Some((now, Ended::GivenUp));
            }
        }
        // A fill without remaining requests is cancelled.
        let (site_link, fills) = (&mut self.site_link, &mut self.fills_on_link);
        node.filling.retain(|_, f| {
            f.waiters.retain(|r| !aborted.contains(r));
            if f.waiters.is_empty() {
                site_link.cancel(f.number);
                fills.remove(&f.number);
            }
            !f.waiters.is_empty()
        });
    }

    /// Adds work to a node's load, and crashes a cold node that is overloaded. Returns whether the node crashed.
    pub(super) fn add_load(
        &mut self,
        now: Micros,
        uid: &str,
        work_us: f64,
        out: &mut Vec<SiteOutput>,
    ) -> bool {
        let Some(node) = self.nodes.get_mut(uid) else {
            return false;
        };
        let Some(cold) = node.cold.clone().filter(|c| now < c.at + c.warm_us) else {
            return false;
        };
        node.sent.push_back((now, work_us));
        while node
            .sent
            .front()
            .is_some_and(|s| s.0 + cold.overload_window_us < now)
        {
            node.sent.pop_front();
        }
        let sum: f64 = node.sent.iter().map(|s| s.1).sum();
        let from = now.saturating_sub(cold.overload_window_us).max(cold.at);
        if sum
            <= cold.overload_multiple * cold.work_capacity_us(from, from + cold.overload_window_us)
        {
            return false;
        }
        self.stop(now, uid);
        out.push(SiteOutput::Crashed(uid.to_owned()));
        true
    }

    /// Rejects a request.
    pub(super) fn reject(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        status: &'static str,
        how: &'static str,
        out: &mut Vec<SiteOutput>,
    ) {
        let Some(open) = self
            .nodes
            .get_mut(uid)
            .and_then(|n| n.open.remove(&request))
        else {
            return;
        };
        self.attempts[open.attempt].ended = Some((now, Ended::Unseen));
        let Fetch {
            connection,
            id,
            part,
            ..
        } = open.fetch;
        out.push(SiteOutput::Answer {
            connection,
            id,
            status,
            how,
            waited_us: now - open.since,
            made: 0,
            part,
        });
    }

    /// Starts waiting requests while there are free slots.
    pub(super) fn admit(&mut self, now: Micros, uid: &str, out: &mut Vec<SiteOutput>) {
        loop {
            let Some(node) = self.nodes.get_mut(uid) else {
                return;
            };
            let busy = node.open.len() - node.waiting.len();
            if busy >= node.parameters.slots || node.stalled {
                return;
            }
            let Some(request) = node.waiting.pop_front() else {
                return;
            };
            self.begin(now, uid, request, out);
        }
    }
}
