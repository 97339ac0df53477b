//! Clients of the proxies: when they ask, for what, and what became of it.

use super::{OpenRequest, Scheduled, World, KB_PER_S};
use linnetknot::*;

impl World {
    pub(super) fn arrival(&mut self, n: usize) {
        let wait = self.gap();
        self.later(wait, Scheduled::Arrival(n));
        let object = (self.unit().powi(4) * self.objects) as u64;
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => {
                let mut draw = self.unit();
                let last = self.tenants.len() - 1;
                let place = self.tenants.iter().position(|share| {
                    draw -= share;
                    draw < 0.0
                });
                place.unwrap_or(last)
            }
        };
        self.number += 1;
        let id = self.number;
        let (now, at) = (self.now, self.now);
        self.second(now).asked += 1;
        let deadline = now + self.deadline_us;
        let work_s = self.work_of(object);
        let out = OpenRequest {
            object,
            work_s,
            tenant,
            attempts: 0,
            answered: false,
            deadline,
            at,
            sent: None,
        };
        self.seats[n].out.insert(id, out);
        self.later(self.deadline_us, Scheduled::Deadline(n, id));
        let write = self.writes > 0.0 && self.unit() < self.writes;
        let request = Request {
            id,
            class: if write { "activate" } else { "video" }.into(),
            tenant: self.tenants.get(tenant).map(f64::to_string),
            object: format!("/o/{object}"),
            part: 0,
            group: 1,
            size_kb: if self.sizes_told {
                work_s * KB_PER_S
            } else {
                0.0
            },
            remaining_us: self.deadline_us,
            is_retry: false,
        };
        self.feed(n, Event::Request(request));
    }

    /// What an object takes at full pace: drawn once for each, by its number.
    pub(super) fn work_of(&self, object: u64) -> f64 {
        // A sum of twelve even draws is close to a normal one.
        let draw = |n: u64| {
            let x = (object * 12 + n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            ((x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64 / (1u64 << 53) as f64
        };
        let normal = (0..12).map(draw).sum::<f64>() - 6.0;
        self.work_s * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp()
    }

    /// The share that is answered: of all requests, and of the tenth that take longest.
    pub(crate) fn answered(&self) -> (f64, f64) {
        let mut answers = self.answers.clone();
        answers.sort_by(|a, b| b.0.total_cmp(&a.0));
        let share =
            |of: &[(f64, usize, bool)]| of.iter().filter(|a| a.2).count() as f64 / of.len() as f64;
        (share(&answers), share(&answers[..answers.len() / 10]))
    }

    pub(super) fn finish(&mut self, n: usize, id: RequestId, served: bool) {
        let Some(out) = self.seats[n].out.get_mut(&id) else {
            return;
        };
        assert!(!out.answered, "two final answers");
        out.answered = true;
        let (at, answer) = (out.at, (out.work_s, out.tenant, served));
        self.answers.push(answer);
        if !served {
            self.second(at).lost += 1;
        }
        self.tidy(n, id);
    }

    pub(super) fn tidy(&mut self, n: usize, id: RequestId) {
        if self.seats[n]
            .out
            .get(&id)
            .is_some_and(|o| o.answered && o.sent.is_none())
        {
            self.seats[n].out.remove(&id);
        }
    }
}
