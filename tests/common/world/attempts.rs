//! Simulated attempts and the answers of the servers.

use super::{FleetSimulation, InFlight, Scheduled, ORIGIN};
use crate::common::MS;
use linnetknot::*;

impl FleetSimulation {
    /// Asserts that the proxy has not yet been notified that a server is draining or removed.
    fn assert_not_withdrawn(&self, n: usize, server: ServerId) {
        let withdrawn_at = self.proxies[n].withdrawn_at.get(&server);
        assert!(
            withdrawn_at.is_none(),
            "{server} was reported as draining or gone {} us ago",
            self.now - withdrawn_at.unwrap_or(&self.now)
        );
    }

    pub(super) fn attempt(&mut self, n: usize, id: RequestId, server: ServerId, fill: Fill) {
        let (now, zone) = (self.now, self.proxies[n].zone);
        let source = (fill.source != server).then_some(fill.source);
        for s in [Some(server), source].into_iter().flatten() {
            self.assert_not_withdrawn(n, s);
        }
        let open = self.proxies[n]
            .open_requests
            .get_mut(&id)
            .expect("an open request");
        assert!(open.sent.is_none() && !open.answered && open.attempts < 6 && now < open.deadline);
        let (attempt, object, work_s) = (open.attempts, open.object, open.work_s);
        open.attempts += 1;
        self.record_slow_start_load(server);
        let (up, vanished, is_cached) = {
            let fake = self.servers.get_mut(&server).expect("a listed server");
            fake.active += 1.0;
            (fake.up, fake.vanished, fake.cached.contains(&object))
        };
        let mut uses_link = false;
        let end = if vanished {
            None
        } else if !up {
            Some((MS, Outcome::ConnectFailed, Note::None, 0))
        } else if server == ORIGIN {
            assert!(self.executed_writes.insert(id), "a write ran twice");
            Some((80 * MS, Outcome::Ok, Note::Hit, 0))
        } else if is_cached {
            Some((
                self.transfer_us_from(server, work_s),
                Outcome::Ok,
                Note::Hit,
                0,
            ))
        } else if let Some(source) = source {
            let (took, outcome, note, waited) =
                self.fill(source, (object, work_s), fill.only_if_cached, zone);
            uses_link = outcome == Outcome::Ok;
            Some((
                took + if uses_link {
                    self.transfer_us_from(server, work_s)
                } else {
                    0
                },
                outcome,
                note,
                waited,
            ))
        } else {
            Some((5 * MS, Outcome::Miss, Note::None, 0))
        };
        if end.is_none_or(|e| e.1 == Outcome::ConnectFailed) {
            self.counts_at(now).wasted_attempts += 1;
        }
        self.transfers_by_link[zone] += f64::from(u8::from(uses_link));
        let sent = InFlight {
            server,
            sent_at: now,
            uses_link,
        };
        self.proxies[n]
            .open_requests
            .get_mut(&id)
            .expect("an open request")
            .sent = Some(sent);
        if let Some((took, outcome, note, waited)) = end {
            self.schedule(took, Scheduled::End(n, id, attempt, outcome, note, waited));
        }
    }

    /// Returns the duration and the result of a fill from a source.
    pub(super) fn fill(
        &mut self,
        source: ServerId,
        (object, work_s): (u64, f64),
        only_if_cached: bool,
        zone: usize,
    ) -> (Micros, Outcome, Note, Micros) {
        self.record_slow_start_load(source);
        let extra_slowdown =
            ((self.transfers_by_link[zone] + 1.0) / self.link_capacity).max(1.0) - 1.0;
        let transfer_us = (work_s * extra_slowdown * 1e6) as Micros;
        let fake = self.servers.get_mut(&source).expect("a listed source");
        if !fake.up || fake.vanished {
            return (self.fill_timeout_us, Outcome::Full, Note::SourceLost, 0);
        }
        if fake.cached.contains(&object) && source != ORIGIN {
            return (10 * MS + transfer_us, Outcome::Ok, Note::Filled, 10 * MS);
        }
        if only_if_cached {
            return (10 * MS, Outcome::Miss, Note::SourceLacks, 10 * MS);
        }
        fake.cached.insert(object);
        let now = self.now;
        self.origin_free_at =
            self.origin_free_at.max(now) + (1e6 / self.origin_requests_per_s) as Micros;
        let waited = self.origin_free_at - now + 80 * MS;
        self.counts_at(now).origin_requests += 1;
        (
            waited + transfer_us,
            Outcome::Ok,
            Note::FilledByOrigin,
            waited,
        )
    }

    pub(super) fn transfer_us_from(&self, server: ServerId, work_s: f64) -> Micros {
        let fake = &self.servers[&server];
        (work_s * (fake.active / (fake.weight * self.warmth(fake))).max(1.0) * 1e6) as Micros
    }

    pub(super) fn ended(
        &mut self,
        n: usize,
        id: RequestId,
        attempt: Option<u32>,
        outcome: Outcome,
        note: Note,
        first_byte_us: Micros,
    ) {
        let Some(open) = self.proxies[n].open_requests.get_mut(&id) else {
            return;
        };
        let is_deadline = attempt.is_none();
        // The end of an attempt that was cancelled before is ignored.
        let is_current = open.sent.is_some() && attempt.is_none_or(|a| a + 1 == open.attempts);
        if !is_current {
            if is_deadline {
                self.finish(n, id, false);
            }
            return;
        }
        let Some(sent) = open.sent.take() else { return };
        let (number, object, arrived_at) = (open.attempts - 1, open.object, open.arrived_at);
        let settled = outcome == Outcome::Ok || is_deadline;
        let zone = self.proxies[n].zone;
        self.transfers_by_link[zone] -= f64::from(u8::from(sent.uses_link));
        if let Some(fake) = self.servers.get_mut(&sent.server) {
            fake.active = (fake.active - 1.0).max(0.0);
            if outcome == Outcome::Ok {
                fake.cached.insert(object);
            }
        }
        if outcome == Outcome::Ok {
            let now = self.now;
            let in_time = now - arrived_at <= 400 * MS + 150 * MS;
            let counts = self.counts_at(arrived_at);
            *(if in_time {
                &mut counts.in_time
            } else {
                &mut counts.late
            }) += 1;
        }
        if settled {
            self.finish(n, id, outcome == Outcome::Ok);
        }
        let took_us = self.now - sent.sent_at;
        let event = Event::AttemptEnded {
            request: id,
            attempt: number,
            server: sent.server,
            outcome,
            took_us,
            settled,
            note,
            first_byte_us,
            load: self.sends_load_reports.then(|| self.load(sent.server)),
        };
        self.feed(n, event);
        self.remove_if_finished(n, id);
    }
}
