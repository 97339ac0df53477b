//! What is learned from the end of an attempt, and what becomes of its request.

use super::outliers::FAILURE_WEIGHT;
use super::statistics::ROUND_TRIP_S;
use super::Router;
use crate::interface::{Action, Event, Micros, Note, Outcome, ServerId, Tells};

/// Not reached: marked at once, its process is down whatever the list says.
const CONNECT_FAILURE_WEIGHT: f64 = 2.0;
/// A broken connection: if its process has ended, that shows with the next one.
const RESET_WEIGHT: f64 = 0.5;
/// Those that took longer than `STUCK_FACTOR` is counted from.
const TAIL_SHARE: f64 = 0.02;
/// Weight of one answer in what that time is.
const TAIL_STEP: f64 = 0.2;
/// Against its server: it may be a large object or a slow source.
const STUCK_WEIGHT: f64 = 0.25;
/// An answer so many times its aim late is told to others: less may be chance.
const REPORTED_LATENESS: f64 = 2.0;

impl Router {
    pub(super) fn outcome(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let Event::Outcome {
            request: id,
            attempt: number,
            outcome,
            took_us,
            settled,
            note,
            waited_us,
            ..
        } = event
        else {
            return;
        };
        let Some(expected_s) = self.requests.get(&id).map(|open| self.expected_s(open)) else {
            return;
        };
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.in_flight.take_if(|a| a.number == number) else {
            return;
        };
        let (class, over, transfer_s, size_known) = (
            open.class,
            open.client_left,
            open.transfer_s,
            open.size_known,
        );
        let server = attempt.server;
        open.stuck += u32::from(attempt.stuck);
        let mut first_failed_server = open.first_failed_server.filter(|id| *id != server);
        // Where a server answered others meanwhile, only this answer may be lost: the work ran, and the copy
        // is there by now, so the same server is asked again.
        let answered = |id: ServerId| {
            self.endpoints
                .get(&id)
                .is_some_and(|s| s.last_success > attempt.sent_at)
        };
        let slow = attempt.stuck && answered(server);
        let again = slow && open.stuck == 1;
        let mute = attempt.source.filter(|id| attempt.stuck && !answered(*id));
        // A parent that is lost tells nothing of the origin: the others must go on asking it.
        let by_origin = attempt
            .source
            .is_some_and(|id| note != Note::SourceLost || answered(id));
        // Nothing came back while it was wanted, though cache and source are well: an origin that is asked
        // for more than it can do shows that first, and many routers see nothing else of it.
        let aim_us = self.settings.classes[class].aim_us.max(1);
        let ended = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let sound = answered(server)
            && attempt
                .source
                .is_none_or(|id| answered(id) || self.is_healthy(id, now));
        let unanswered = attempt.may_reach_origin && ended && took_us > aim_us && sound;
        let capacity = self
            .endpoints
            .get(&server)
            .map_or(0.0, |s| self.capacity(s));
        let hit = outcome == Outcome::Ok && matches!(note, Note::Hit | Note::Stale);
        let took_s = took_us as f64 / 1e6;
        if hit && !size_known {
            // Sizes are not told: what hits take, less the sharing that the told link explains.
            let sharing = (attempt.server_load / capacity.max(0.1)).max(1.0);
            self.learn_transfer(class, (took_s - ROUND_TRIP_S).max(0.001) / sharing);
        }
        let held_now = self.endpoints.get(&server).map_or(0.0, |s| self.load(s));
        if let Some(s) = self.endpoints.get_mut(&server) {
            if hit {
                s.hit_pace.add(
                    now,
                    took_s,
                    transfer_s + ROUND_TRIP_S,
                    (attempt.server_load + held_now) / 2.0,
                );
            }
            s.in_flight = s.in_flight.saturating_sub(1);
        }
        // However it ended, a trial is over: left open by what judges nobody, it would bar the server.
        for id in [Some(server), attempt.source].into_iter().flatten() {
            self.endpoints
                .get_mut(&id)
                .into_iter()
                .for_each(|s| s.trial_in_flight = false);
        }
        // What was called off as slow had its share of the link all the while. What timed out at the client's
        // deadline may as well have waited for the origin, which says nothing of the link.
        let filled = outcome == Outcome::Ok && matches!(note, Note::Filled | Note::FilledByOrigin);
        if size_known && attempt.source.is_some() && (filled || slow) {
            let moving_s = took_us.saturating_sub(waited_us) as f64 / 1e6;
            self.link_pace.add(
                now,
                moving_s,
                transfer_s + ROUND_TRIP_S,
                (attempt.link_fills + self.link_fills()) / 2.0,
            );
        }
        if unanswered {
            self.learn_origin(now, Note::OriginFailed, took_us as f64 / aim_us as f64);
        } else if by_origin {
            let late = waited_us as f64 / aim_us as f64;
            self.learn_origin(now, note, late);
            let clear = note == Note::FilledByOrigin && late >= REPORTED_LATENESS;
            self.origin_finding = clear.then_some(self.origin_share).or(self.origin_finding);
        }
        let told = matches!(
            note,
            Note::SourceRefused | Note::SourceLost | Note::OriginFailed
        );
        // Where reasons are not told, cache or source failed: the blame is shared by their failures so far,
        // and the sound one is cleared by its other answers.
        let failing = |id: ServerId| {
            self.endpoints.get(&id).map_or(0.0, |s| s.failure_rate) + FAILURE_WEIGHT / 4.0
        };
        let untold =
            self.settings.tells != Tells::All && matches!(outcome, Outcome::Full | Outcome::Error);
        let shared = attempt.source.filter(|_| untold).map(failing);
        let blame = shared.map_or(f64::from(u8::from(told)), |source| {
            source / (source + failing(server))
        });
        let by_source = blame >= 0.5;
        match outcome {
            Outcome::Ok => {
                first_failed_server
                    .into_iter()
                    .for_each(|id| self.record_result(now, id, Some(1.0)));
                self.record_result(now, server, None);
                let longer = f64::from(u8::from(took_s > self.tail_factor[class] * expected_s));
                self.tail_factor[class] *= 1.0 + TAIL_STEP * (longer - TAIL_SHARE);
                self.miss_rate += 0.01 * (f64::from(u8::from(!hit)) - self.miss_rate);
                if let Some(source) = attempt.source {
                    if hit {
                        // Found in the cache: the source was never asked.
                        let s = self.endpoints.get_mut(&source).into_iter();
                        s.for_each(|s| s.slow_start_charges.retain(|c| c.2 != id));
                    } else if note != Note::None && note != Note::Joined {
                        self.record_result(now, source, None);
                        let s = self.endpoints.get_mut(&source).filter(|_| size_known);
                        s.into_iter().for_each(|s| {
                            s.fill_pace.add(now, took_s, transfer_s + ROUND_TRIP_S, 0.0);
                        });
                    }
                }
            }
            Outcome::Cancelled if attempt.stuck => {
                // It counts as long as well: were only answers counted, cutting off their tail would lower
                // the bound further, and a slow origin would have all its work called off and begun anew.
                if slow {
                    self.tail_factor[class] *= 1.0 + TAIL_STEP * (1.0 - TAIL_SHARE);
                }
                let muted = [Some(server).filter(|_| !again), mute];
                muted
                    .into_iter()
                    .flatten()
                    .for_each(|id| self.record_result(now, id, Some(STUCK_WEIGHT)));
            }
            Outcome::Miss | Outcome::Moot | Outcome::Cancelled => {}
            _ if told => attempt
                .source
                .into_iter()
                .for_each(|id| self.record_result(now, id, Some(1.0))),
            Outcome::Full if note == Note::NoFillPlace || note == Note::SourceLacks => {}
            _ if shared.is_some() => {
                self.record_result(now, server, Some(1.0 - blame));
                attempt
                    .source
                    .into_iter()
                    .for_each(|id| self.record_result(now, id, Some(blame)));
            }
            Outcome::Timeout if now < attempt.overdue_at => {}
            Outcome::ConnectFailed | Outcome::Unreached => {
                self.record_result(now, server, Some(CONNECT_FAILURE_WEIGHT));
                let s = self.endpoints.get_mut(&server).into_iter();
                s.for_each(|s| s.connect_failed |= outcome == Outcome::ConnectFailed);
            }
            Outcome::Reset => {
                // One break ends all that is out on a connection: it counts once.
                let last = self
                    .endpoints
                    .get_mut(&server)
                    .map(|s| std::mem::replace(&mut s.last_reset, now));
                if last.is_some_and(|last| last != now) {
                    self.record_result(now, server, Some(RESET_WEIGHT));
                }
            }
            // Whose fault it is, the server's or the request's, shows elsewhere.
            Outcome::Error => first_failed_server = Some(server),
            _ => self.record_result(now, server, Some(1.0)),
        }
        if settled || over {
            self.requests.remove(&id);
            return;
        }
        let lost = outcome == Outcome::Cancelled
            && attempt.source.is_some_and(|id| !self.is_healthy(id, now));
        let by_source = by_source || lost && self.is_healthy(server, now);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        use Outcome::{ConnectFailed, Full, Miss, Moot, Unreached};
        if !matches!(outcome, Full | ConnectFailed | Unreached | Moot | Miss) {
            let place = self
                .endpoints
                .get(&server)
                .map_or((usize::MAX, u64::MAX), |s| (s.zone, s.cell));
            open.may_have_run = open
                .may_have_run
                .or(Some((attempt.sent_at, place.0, place.1)));
        }
        open.excluded_sources.extend(mute);
        if outcome == Outcome::Error && !told && shared.is_none() {
            open.unexplained_errors += 1;
            open.first_failed_server = open.first_failed_server.or(first_failed_server);
        }
        // An untold failure may be the origin's behind the source: another fill would only add to its load.
        open.failed_fills += if shared.is_some() {
            2
        } else {
            u32::from(by_source || mute.is_some())
        };
        if by_source || outcome == Outcome::Miss || note == Note::SourceLacks {
            // What two parents lack hardly any other holds, and the cache has just been looked into.
            open.known_miss |= outcome == Outcome::Miss;
            open.failed_fills += u32::from(outcome == Outcome::Miss && attempt.fills_from_upstream);
            open.excluded_sources.extend(attempt.source);
        } else if !self.settings.classes[class].write && !again {
            open.tried_servers.push(server);
        }
        self.route(now, id, actions);
    }
}
