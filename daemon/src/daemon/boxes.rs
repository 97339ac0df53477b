//! Links to boxes: which connection an attempt takes, and what becomes of it.

use super::{Connection, Daemon, Kind, NoCall, Timer};
use crate::core::{AttemptId, TRACE};
use crate::net::{Conn, Key};
use crate::upstream::{Link, Told};
use linnetknot::{Micros, Outcome, ServerId};

impl Daemon {
    pub(super) fn tell(&mut self, now: Micros, server: ServerId, told: Vec<Told>) {
        for t in told {
            match t {
                Told::Begun(attempt) => self.core.attempt_started(attempt),
                // A box that answers on another connection is there: only this one did not come up.
                Told::Ended(attempt, ended)
                    if ended.outcome == Outcome::Unreached && self.hears(now, server) =>
                {
                    self.core
                        .attempt_finished(now, attempt, Outcome::Moot.into());
                }
                Told::Ended(attempt, ended) => self.core.attempt_finished(now, attempt, ended),
                Told::Dated(made) => self.core.observe_origin_date(now, made),
                Told::Probed(outcome, took_us, load) => {
                    self.core
                        .health_check_finished(now, server, outcome, took_us, load);
                }
            }
        }
    }

    /// Whether a connection to a box is up on which it has spoken a moment ago.
    fn hears(&self, now: Micros, server: ServerId) -> bool {
        let fresh = |(conn, link): (&Conn, &Link)| {
            conn.up && link.last_heard() + self.limits.suspect_us > now
        };
        self.links
            .get(&server)
            .into_iter()
            .flatten()
            .any(|key| self.peek(*key).is_some_and(fresh))
    }

    pub(super) fn link(&mut self, key: Key) -> Option<(&mut Conn, &mut Link)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: Kind::Box(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    /// A connection to a box, to look at.
    fn peek(&self, key: Key) -> Option<(&Conn, &Link)> {
        match self.connections.get(key)? {
            Connection {
                conn,
                kind: Kind::Box(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId) {
        let Some(dispatch) = self.core.dispatch(attempt) else {
            return;
        };
        let (id, server) = (dispatch.request.id.as_str(), dispatch.target.server);
        let links = self.links.get(&server).map_or(&[][..], Vec::as_slice);
        let endpoint = self.core.endpoint(server);
        let leads = |key: &Key| {
            self.peek(*key)
                .filter(|(_, link)| link.endpoint == endpoint)
        };
        let room = |key: &Key| {
            let (conn, link) = leads(key)?;
            let waits =
                !conn.up && link.is_late(now, &self.limits) || link.is_stale(now, &self.limits);
            let live = link
                .room_for(id, &self.core, &self.limits)
                .filter(|_| !waits)?;
            Some((
                !link.gave_up(id),
                !conn.up,
                link.is_held_up(now, &self.limits),
                live,
            ))
        };
        let best = links
            .iter()
            .filter_map(|key| Some((room(key)?, *key)))
            .min();
        // One answer that can't be read ends all that is open on its connection: the more of them, the less is
        // lost at once. The next one is begun ahead, so that no attempt waits for it.
        let up = |key: &Key| self.peek(*key).is_some_and(|(conn, _)| conn.up);
        let shared = best.is_some_and(|((.., live), _)| live >= self.limits.box_shared);
        let ahead = shared && links.len() < self.limits.box_connections && links.iter().all(up);
        // A connection that may lead nowhere gives its place up to the one that takes over from it: places at a box are
        // scarce where many proxies hold some, and what is kept in vain by all bars all.
        let vain = |key: &&Key| {
            self.peek(**key).is_some_and(|(conn, link)| {
                conn.up && link.is_idle() && (link.is_suspect() || link.is_stale(now, &self.limits))
            })
        };
        let vain: Vec<Key> = links.iter().filter(vain).copied().collect();
        // Connections that are late may come up all the same: more of them than this would only add to whatever
        // keeps them.
        let late = links
            .iter()
            .filter(|key| leads(key).is_some_and(|(conn, _)| !conn.up))
            .count();
        let places = links.len() - vain.len() < self.limits.box_connections;
        let fresh = best.is_none() && places && late < self.limits.box_dials;
        if fresh {
            vain.into_iter().for_each(|key| self.close(now, key));
        }
        let key = match best {
            Some((_, key)) => Ok(key),
            None if fresh => self.dial(now, server),
            // All that lead there are taken, which says nothing of the box, or none comes up.
            None if late == 0 => Err(NoCall::NoRoom),
            None => Err(NoCall::Late),
        };
        if ahead && self.connections.room() > self.limits.spare_connections {
            let _ = self.dial(now, server);
        }
        match key {
            Ok(key) => {
                let Some((conn, link)) = self.link(key) else {
                    return;
                };
                link.send(now, attempt);
                let up = conn.up;
                if !up {
                    self.deadlines
                        .set(now + self.limits.connect_us, Timer::Link(key));
                }
                if !self.pump(now, key) {
                    self.close(now, key);
                }
                self.watch(now, key);
            }
            // Nothing was written: it never ran.
            Err(NoCall::Refused) => {
                self.core
                    .attempt_finished(now, attempt, Outcome::ConnectFailed.into());
            }
            Err(NoCall::Late) => self.tell(
                now,
                server,
                vec![Told::Ended(attempt, Outcome::Unreached.into())],
            ),
            Err(NoCall::NoRoom) => self
                .core
                .attempt_finished(now, attempt, Outcome::Moot.into()),
            Err(NoCall::Local) => self.send_later(now, attempt),
        }
    }

    /// Begins a connection to a box. The last places of the table are kept for others than boxes: were they taken too,
    /// the list of boxes could not be asked for any more. Connections that rest make room.
    fn dial(&mut self, now: Micros, server: ServerId) -> Result<Key, NoCall> {
        let endpoint = self.core.endpoint(server).ok_or(NoCall::NoRoom)?;
        if self.connections.room() <= self.limits.spare_connections {
            let rests = |key: &&Key| self.peek(**key).is_some_and(|(_, link)| link.is_idle());
            let used = |key: &Key| (self.peek(*key).map(|(_, link)| link.last_used()), *key);
            let longest = self.links.values().flatten().filter(rests).map(used).min();
            let (_, longest) = longest.ok_or(NoCall::NoRoom)?;
            self.close(now, longest);
        }
        let mut link = Link::new(server, &self.limits, now);
        link.endpoint = Some(endpoint);
        let key = self.call(now, endpoint, Kind::Box(link))?;
        let links = self.links.entry(server).or_default();
        links.push(key);
        log::debug!(target: TRACE, cache = self.core.uid(server), number = links.len(); "a connection is begun");
        Ok(key)
    }

    /// A connection is not up in time. What waits for one to a box goes on elsewhere; the connection itself is let be
    /// for longer, as it may come up yet: given up each time, a box that is slow to accept would get one after another
    /// and never be reached.
    pub(super) fn look_at_dial(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get(key).filter(|c| !c.conn.up) else {
            return;
        };
        match &c.kind {
            Kind::Box(link) if link.given_up_at(&self.limits) > now => {
                let at = link.given_up_at(&self.limits);
                self.deadlines.set(at, Timer::Connect(key));
            }
            _ => self.close(now, key),
        }
    }

    /// Begins what a connection takes, and tells what has ended on it. False: it is to be closed.
    pub(super) fn pump(&mut self, now: Micros, key: Key) -> bool {
        let Some(Connection {
            conn,
            kind: Kind::Box(link),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        let (server, mut told) = (link.server, Vec::new());
        let sound = link.pump(now, conn, &self.core, &self.limits, &mut told);
        let forgets = link.forget_at(now, &self.limits);
        let due = [
            link.report_at(&self.limits),
            link.half_at(&self.limits).filter(|_| sound),
            forgets,
        ];
        for at in due.into_iter().flatten() {
            self.deadlines.set(at, Timer::Link(key));
        }
        if conn.is_stuck() {
            self.deadlines
                .set(now + self.limits.stalled_us, Timer::Link(key));
        }
        // What drains or is gone gets nothing new: once all that it owed has come, its connections are of no use,
        // and where a machine has vanished nobody else would end them.
        let moved = self
            .core
            .endpoint(server)
            .is_some_and(|at| link.endpoint != Some(at));
        let done = link.is_idle() && (moved || !self.core.is_cache_ready(server));
        self.tell(now, server, told);
        sound && !done
    }

    pub(super) fn look_at_link(&mut self, now: Micros, key: Key) {
        if let Some(Connection {
            kind: Kind::Box(link),
            ..
        }) = self.connections.get_mut(key)
        {
            link.prune(now, &self.limits);
        }
        if !self.pump(now, key) {
            self.close(now, key);
        }
        self.watch(now, key);
    }

    pub(super) fn give_up(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self.links.get(&server).cloned().unwrap_or_default() {
            let Some((_, link)) = self.link(key) else {
                continue;
            };
            link.give_up(now, attempt);
            if !self.pump(now, key) {
                self.close(now, key);
            }
            self.watch(now, key);
        }
    }

    pub(super) fn withdraw(&mut self, now: Micros, server: ServerId) {
        for key in self.links.values().flatten().copied().collect::<Vec<_>>() {
            let Some(Connection {
                kind: Kind::Box(link),
                ..
            }) = self.connections.get_mut(key)
            else {
                continue;
            };
            let (to, mut told) = (link.server, Vec::new());
            link.withdraw(server, &self.core, &mut told);
            let over = to == server && link.is_idle();
            self.tell(now, to, told);
            if over {
                // Its address may be given to another box.
                self.close(now, key);
            }
        }
    }

    pub(super) fn probe(&mut self, now: Micros, server: ServerId) {
        let endpoint = self.core.endpoint(server);
        let mut links = self.links.get(&server).into_iter().flatten().copied();
        let key = links.find(|key| {
            self.peek(*key)
                .is_some_and(|(_, link)| link.endpoint == endpoint)
        });
        let asked = key
            .and_then(|key| self.link(key))
            .is_some_and(|(conn, link)| link.probe(now, conn));
        match key.filter(|_| asked) {
            Some(key) => {
                self.write(now, key);
            }
            None => self
                .core
                .health_check_finished(now, server, Outcome::ConnectFailed, 0, None),
        }
    }
}
