//! Simulated clients: their requests and the results.

use super::{FleetSimulation, OpenRequest, Scheduled, KB_PER_S};
use linnetknot::*;

impl FleetSimulation {
    pub(super) fn arrival(&mut self, n: usize) {
        let wait = self.random_interarrival();
        self.schedule(wait, Scheduled::Arrival(n));
        let object = (self.random_unit().powi(4) * self.object_count) as u64;
        let tenant = match self.tenant_shares.is_empty() {
            true => 0,
            false => {
                let mut draw = self.random_unit();
                let last = self.tenant_shares.len() - 1;
                let index = self.tenant_shares.iter().position(|share| {
                    draw -= share;
                    draw < 0.0
                });
                index.unwrap_or(last)
            }
        };
        self.number += 1;
        let id = self.number;
        let (now, arrived_at) = (self.now, self.now);
        self.counts_at(now).requests += 1;
        let deadline = now + self.deadline_us;
        let work_s = self.work_of_object(object);
        let open = OpenRequest {
            object,
            work_s,
            tenant,
            attempts: 0,
            answered: false,
            deadline,
            arrived_at,
            sent: None,
        };
        self.proxies[n].open_requests.insert(id, open);
        self.schedule(self.deadline_us, Scheduled::Deadline(n, id));
        let write = self.write_share > 0.0 && self.random_unit() < self.write_share;
        let request = Request {
            id,
            class: if write { "activate" } else { "video" }.into(),
            tenant: self.tenant_shares.get(tenant).map(f64::to_string),
            object: format!("/o/{object}"),
            part: 0,
            group: 1,
            size_kb: if self.sizes_known {
                work_s * KB_PER_S
            } else {
                0.0
            },
            remaining_us: self.deadline_us,
            is_retry: false,
        };
        self.feed(n, Event::Request(request));
    }

    /// Returns the transfer time of an object at full rate, derived from its number.
    pub(super) fn work_of_object(&self, object: u64) -> f64 {
        // The sum of twelve uniform numbers is approximately normally distributed.
        let draw = |n: u64| {
            let x = (object * 12 + n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            ((x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64 / (1u64 << 53) as f64
        };
        let normal = (0..12).map(draw).sum::<f64>() - 6.0;
        self.work_s * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp()
    }

    /// Returns the fraction of requests that were served, of all requests and of the tenth with the longest transfer
    /// times.
    pub(crate) fn answered_shares(&self) -> (f64, f64) {
        let mut answers = self.answers.clone();
        answers.sort_by(|a, b| b.0.total_cmp(&a.0));
        let share =
            |of: &[(f64, usize, bool)]| of.iter().filter(|a| a.2).count() as f64 / of.len() as f64;
        (share(&answers), share(&answers[..answers.len() / 10]))
    }

    pub(super) fn finish(&mut self, n: usize, id: RequestId, served: bool) {
        let Some(open) = self.proxies[n].open_requests.get_mut(&id) else {
            return;
        };
        assert!(!open.answered, "two final answers");
        open.answered = true;
        let (arrived_at, answer) = (open.arrived_at, (open.work_s, open.tenant, served));
        self.answers.push(answer);
        if !served {
            self.counts_at(arrived_at).failed += 1;
        }
        self.remove_if_finished(n, id);
    }

    pub(super) fn remove_if_finished(&mut self, n: usize, id: RequestId) {
        if self.proxies[n]
            .open_requests
            .get(&id)
            .is_some_and(|o| o.answered && o.sent.is_none())
        {
            self.proxies[n].open_requests.remove(&id);
        }
    }
}
