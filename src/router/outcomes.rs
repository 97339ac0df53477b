//! What is learned from the end of an attempt, and what becomes of its request.

use super::outliers::FAIL_STEP;
use super::statistics::WAY_S;
use super::Router;
use crate::interface::{Action, Event, Micros, Note, Outcome, ServerId, Tells};

/// Not reached: marked at once, its process is down whatever the list says.
const GONE_WEIGHT: f64 = 2.0;
/// A broken connection: if its process has ended, that shows with the next one.
const RESET_WEIGHT: f64 = 0.5;
/// Those that took longer than `STUCK_TIMES` is counted from.
const LONG_SHARE: f64 = 0.02;
/// Weight of one answer in what that time is.
const LONG_STEP: f64 = 0.2;
/// Against its server: it may be a large object or a slow source.
const STUCK_WEIGHT: f64 = 0.25;
/// An answer so many times its aim late is told to others: less may be chance.
const ORIGIN_TOLD: f64 = 2.0;

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
        let Some(base_s) = self.open.get(&id).map(|open| self.base_s(open)) else {
            return;
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.out.take_if(|a| a.number == number) else {
            return;
        };
        let (class, over, work_s, sized) = (open.class, open.over, open.work_s, open.sized);
        let server = attempt.server;
        open.stuck += u32::from(attempt.stuck);
        let mut erred = open.erred.filter(|id| *id != server);
        // Where a server answered others meanwhile, only this answer may be lost: the work ran, and the copy
        // is there by now, so the same server is asked again.
        let answered = |id: ServerId| {
            self.servers
                .get(&id)
                .is_some_and(|s| s.last_ok > attempt.sent)
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
                .is_none_or(|id| answered(id) || self.is_well(id, now));
        let unanswered = attempt.asks && ended && took_us > aim_us && sound;
        let capacity = self.servers.get(&server).map_or(0.0, |s| self.capacity(s));
        let hit = outcome == Outcome::Ok && matches!(note, Note::Hit | Note::Stale);
        let took_s = took_us as f64 / 1e6;
        if hit && !sized {
            // Sizes are not told: what hits take, less the sharing that the told link explains.
            let sharing = (attempt.held / capacity.max(0.1)).max(1.0);
            self.learn_usual(class, (took_s - WAY_S).max(0.001) / sharing);
        }
        let held_now = self.servers.get(&server).map_or(0.0, |s| self.held(s));
        if let Some(s) = self.servers.get_mut(&server) {
            if hit {
                s.hits
                    .add(now, took_s, work_s + WAY_S, (attempt.held + held_now) / 2.0);
            }
            s.out = s.out.saturating_sub(1);
        }
        // However it ended, a trial is over: left open by what judges nobody, it would bar the server.
        for id in [Some(server), attempt.source].into_iter().flatten() {
            self.servers
                .get_mut(&id)
                .into_iter()
                .for_each(|s| s.on_trial = false);
        }
        // What was called off as slow had its share of the link all the while. What timed out at the client's
        // deadline may as well have waited for the origin, which says nothing of the link.
        let filled = outcome == Outcome::Ok && matches!(note, Note::Filled | Note::FilledByOrigin);
        if sized && attempt.source.is_some() && (filled || slow) {
            let moving_s = took_us.saturating_sub(waited_us) as f64 / 1e6;
            self.link.add(
                now,
                moving_s,
                work_s + WAY_S,
                (attempt.fills + self.fills()) / 2.0,
            );
        }
        if unanswered {
            self.learn_origin(now, Note::OriginFailed, took_us as f64 / aim_us as f64);
        } else if by_origin {
            let late = waited_us as f64 / aim_us as f64;
            self.learn_origin(now, note, late);
            let clear = note == Note::FilledByOrigin && late >= ORIGIN_TOLD;
            self.found = clear.then_some(self.origin_share).or(self.found);
        }
        let told = matches!(
            note,
            Note::SourceRefused | Note::SourceLost | Note::OriginFailed
        );
        // Where reasons are not told, cache or source failed: the blame is shared by their failures so far,
        // and the sound one is cleared by its other answers.
        let failing =
            |id: ServerId| self.servers.get(&id).map_or(0.0, |s| s.failing) + FAIL_STEP / 4.0;
        let untold =
            self.settings.tells != Tells::All && matches!(outcome, Outcome::Full | Outcome::Error);
        let shared = attempt.source.filter(|_| untold).map(failing);
        let blame = shared.map_or(f64::from(u8::from(told)), |source| {
            source / (source + failing(server))
        });
        let by_source = blame >= 0.5;
        match outcome {
            Outcome::Ok => {
                erred
                    .into_iter()
                    .for_each(|id| self.judge(now, id, Some(1.0)));
                self.judge(now, server, None);
                let longer = f64::from(u8::from(took_s > self.long[class] * base_s));
                self.long[class] *= 1.0 + LONG_STEP * (longer - LONG_SHARE);
                self.missing += 0.01 * (f64::from(u8::from(!hit)) - self.missing);
                if let Some(source) = attempt.source {
                    if hit {
                        // Found in the cache: the source was never asked.
                        let s = self.servers.get_mut(&source).into_iter();
                        s.for_each(|s| s.charged.retain(|c| c.2 != id));
                    } else if note != Note::None && note != Note::Joined {
                        self.judge(now, source, None);
                        let s = self.servers.get_mut(&source).filter(|_| sized);
                        s.into_iter()
                            .for_each(|s| s.fills.add(now, took_s, work_s + WAY_S, 0.0));
                    }
                }
            }
            Outcome::Cancelled if attempt.stuck => {
                // It counts as long as well: were only answers counted, cutting off their tail would lower
                // the bound further, and a slow origin would have all its work called off and begun anew.
                if slow {
                    self.long[class] *= 1.0 + LONG_STEP * (1.0 - LONG_SHARE);
                }
                let muted = [Some(server).filter(|_| !again), mute];
                muted
                    .into_iter()
                    .flatten()
                    .for_each(|id| self.judge(now, id, Some(STUCK_WEIGHT)));
            }
            Outcome::Miss | Outcome::Moot | Outcome::Cancelled => {}
            _ if told => attempt
                .source
                .into_iter()
                .for_each(|id| self.judge(now, id, Some(1.0))),
            Outcome::Full if note == Note::NoFillPlace || note == Note::SourceLacks => {}
            _ if shared.is_some() => {
                self.judge(now, server, Some(1.0 - blame));
                attempt
                    .source
                    .into_iter()
                    .for_each(|id| self.judge(now, id, Some(blame)));
            }
            Outcome::Timeout if now < attempt.overdue_at => {}
            Outcome::ConnectFailed | Outcome::Unreached => {
                self.judge(now, server, Some(GONE_WEIGHT));
                let s = self.servers.get_mut(&server).into_iter();
                s.for_each(|s| s.lost |= outcome == Outcome::ConnectFailed);
            }
            Outcome::Reset => {
                // One break ends all that is out on a connection: it counts once.
                let last = self
                    .servers
                    .get_mut(&server)
                    .map(|s| std::mem::replace(&mut s.reset_at, now));
                if last.is_some_and(|last| last != now) {
                    self.judge(now, server, Some(RESET_WEIGHT));
                }
            }
            // Whose fault it is, the server's or the request's, shows elsewhere.
            Outcome::Error => erred = Some(server),
            _ => self.judge(now, server, Some(1.0)),
        }
        if settled || over {
            self.open.remove(&id);
            return;
        }
        let lost = outcome == Outcome::Cancelled
            && attempt.source.is_some_and(|id| !self.is_well(id, now));
        let by_source = by_source || lost && self.is_well(server, now);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        use Outcome::{ConnectFailed, Full, Miss, Moot, Unreached};
        if !matches!(outcome, Full | ConnectFailed | Unreached | Moot | Miss) {
            let place = self
                .servers
                .get(&server)
                .map_or((usize::MAX, u64::MAX), |s| (s.zone, s.cell));
            open.may_have_run = open.may_have_run.or(Some((attempt.sent, place.0, place.1)));
        }
        open.bad_sources.extend(mute);
        if outcome == Outcome::Error && !told && shared.is_none() {
            open.errors += 1;
            open.erred = open.erred.or(erred);
        }
        // An untold failure may be the origin's behind the source: another fill would only add to its load.
        open.failed_fills += if shared.is_some() {
            2
        } else {
            u32::from(by_source || mute.is_some())
        };
        if by_source || outcome == Outcome::Miss || note == Note::SourceLacks {
            // What two parents lack hardly any other holds, and the cache has just been looked into.
            open.missed |= outcome == Outcome::Miss;
            open.failed_fills += u32::from(outcome == Outcome::Miss && attempt.fetches);
            open.bad_sources.extend(attempt.source);
        } else if !self.settings.classes[class].write && !again {
            open.tried.push(server);
        }
        self.route(now, id, actions);
    }
}
