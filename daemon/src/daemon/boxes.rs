//! Links to boxes: which connection an attempt takes, and what becomes of it.

use super::{Connection, Daemon, Kind, Timer};
use crate::core::{AttemptId, TRACE};
use crate::net::{Conn, Key};
use crate::upstream::{Link, Told};
use linnetknot::{Micros, Outcome, ServerId};

impl Daemon {
    pub(super) fn tell(&mut self, now: Micros, server: ServerId, told: Vec<Told>) {
        for t in told {
            match t {
                Told::Ended(attempt, ended) => self.core.ended(now, attempt, ended),
                Told::Probed(outcome, took_us, load) => self.core.probed(now, server, outcome, took_us, load),
            }
        }
    }

    pub(super) fn link(&mut self, key: Key) -> Option<(&mut Conn, &mut Link)> {
        match self.connections.get_mut(key)? {
            Connection { conn, kind: Kind::Box(link), .. } => Some((conn, link)),
            _ => None,
        }
    }

    /// A connection to a box, to look at.
    fn peek(&self, key: Key) -> Option<(&Conn, &Link)> {
        match self.connections.get(key)? {
            Connection { conn, kind: Kind::Box(link), .. } => Some((conn, link)),
            _ => None,
        }
    }

    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId) {
        let Some((asked, sending)) = self.core.sending(attempt) else { return };
        let (id, server) = (asked.id.as_str(), sending.server);
        let links = self.links.get(&server).map_or(&[][..], Vec::as_slice);
        let endpoint = self.core.location(server).map(|(_, endpoint)| endpoint);
        let room = |key: &Key| {
            let (conn, link) = self.peek(*key).filter(|(_, link)| link.endpoint == endpoint)?;
            Some((!link.gave_up(id), !conn.up, link.room_for(id, &self.core, &self.limits)?))
        };
        let best = links.iter().filter_map(|key| Some((room(key)?, *key))).min();
        // One answer that can't be read ends all that is open on its connection: the more of them, the less is
        // lost at once. The next one is begun ahead, so that no attempt waits for it.
        let up = |key: &Key| self.peek(*key).is_some_and(|(conn, _)| conn.up);
        let shared = best.is_some_and(|((.., live), _)| live >= self.limits.box_shared);
        let spare = self.connections.room() > self.limits.spare_connections;
        let ahead = shared && spare && links.len() < self.limits.box_connections && links.iter().all(up);
        // A connection that may lead nowhere gives its place up to the one that takes over from it: places at a box are
        // scarce where many proxies hold some, and what is kept in vain by all bars all.
        let idle = |key: &&Key| self.peek(**key).is_some_and(|(_, link)| link.is_suspect() && link.is_idle());
        let vain: Vec<Key> = links.iter().filter(idle).copied().collect();
        let fresh = best.is_none() && links.len() - vain.len() < self.limits.box_connections;
        if fresh {
            vain.into_iter().for_each(|key| self.close(now, key));
        }
        let key = match best {
            Some((_, key)) => Some(key),
            None if fresh => self.dial(now, server),
            None => None,
        };
        if ahead {
            self.dial(now, server);
        }
        match key.and_then(|key| Some((key, self.link(key)?.1))) {
            Some((key, link)) => {
                link.send(attempt);
                if !self.pump(now, key) {
                    self.close(now, key);
                }
                self.watch(key);
            }
            // Nothing was written: it never ran.
            None => self.core.ended(now, attempt, Outcome::ConnectFailed.into()),
        }
    }

    /// Begins a connection to a box.
    fn dial(&mut self, now: Micros, server: ServerId) -> Option<Key> {
        let (_, endpoint) = self.core.location(server)?;
        let mut link = Link::new(server, &self.limits, now);
        link.endpoint = Some(endpoint);
        let key = self.call(now, endpoint, Kind::Box(link))?;
        let links = self.links.entry(server).or_default();
        links.push(key);
        log::debug!(target: TRACE, "box" = self.core.uid(server), number = links.len(); "a connection is begun");
        Some(key)
    }

    pub(super) fn pump(&mut self, now: Micros, key: Key) -> bool {
        let Some(Connection { conn, kind: Kind::Box(link), .. }) = self.connections.get_mut(key) else {
            return true;
        };
        let (server, mut told) = (link.server, Vec::new());
        let sound = link.pump(now, conn, &self.core, &self.limits, &mut told);
        let due = [link.report_at(&self.limits), link.half_at(&self.limits).filter(|_| sound)];
        for at in due.into_iter().flatten() {
            self.deadlines.set(at, Timer::Link(key));
        }
        if conn.up && !conn.output.is_empty() {
            self.deadlines.set(now + self.limits.stalled_us, Timer::Link(key));
        }
        // What drains or is gone gets nothing new: once all that it owed has come, its connections are of no use,
        // and where a machine has vanished nobody else would end them.
        let moved = self.core.location(server).is_some_and(|(_, at)| link.endpoint != Some(at));
        let done = link.is_idle() && (moved || !self.core.takes_work(server));
        self.tell(now, server, told);
        sound && !done
    }

    pub(super) fn look_at_link(&mut self, now: Micros, key: Key) {
        if !self.pump(now, key) {
            self.close(now, key);
        }
        self.watch(key);
        if let Some(Connection { kind: Kind::Box(link), .. }) = self.connections.get_mut(key) {
            link.prune(now, &self.limits);
        }
    }

    pub(super) fn give_up(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self.links.get(&server).cloned().unwrap_or_default() {
            let Some((conn, link)) = self.link(key) else { continue };
            let mut told = Vec::new();
            let sound = link.give_up(now, attempt, conn, &mut told);
            self.tell(now, server, told);
            self.deadlines.set(now + self.limits.forget_us, Timer::Link(key));
            if !sound || !self.pump(now, key) {
                self.close(now, key);
            }
            self.watch(key);
        }
    }

    pub(super) fn withdraw(&mut self, now: Micros, server: ServerId) {
        for key in self.links.values().flatten().copied().collect::<Vec<_>>() {
            let Some(Connection { kind: Kind::Box(link), .. }) = self.connections.get_mut(key) else {
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
        let endpoint = self.core.location(server).map(|(_, endpoint)| endpoint);
        let mut links = self.links.get(&server).into_iter().flatten().copied();
        let key = links.find(|key| self.peek(*key).is_some_and(|(_, link)| link.endpoint == endpoint));
        let asked = key.and_then(|key| self.link(key)).is_some_and(|(conn, link)| link.probe(now, conn));
        match key.filter(|_| asked) {
            Some(key) => {
                self.write(now, key);
            }
            None => self.core.probed(now, server, Outcome::ConnectFailed, 0, None),
        }
    }
}
