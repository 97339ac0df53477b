//! Clients' connections on the platform's front: who is taken in, who has to leave, what they ask and are answered.

use super::{Connection, Daemon, Kind, Timer};
use crate::core::{Answer, Client};
use crate::front::fastcgi::Input;
use crate::limits::Standing;
use crate::net::{Conn, FailureKind, Key, Progress};
use crate::wire::WireError;
use linnetknot::Micros;
use linnetknot_ops::Drain;
use std::io;

impl Daemon {
    fn standing(c: &Connection) -> Option<Standing> {
        let (busy, half, asked) = match &c.kind {
            Kind::Client(s) => (
                s.has_pending_answers(),
                s.is_partial(),
                s.has_received_request(),
            ),
            Kind::Cdni(s) => (!s.is_idle(), s.is_partial(), s.has_received_request()),
            Kind::Lingering => return Some(Standing::Lingering),
            _ => return None,
        };
        Some(
            match (
                busy || !c.conn.output.is_empty(),
                half || !c.conn.input.is_empty(),
                asked,
            ) {
                (true, ..) => Standing::Busy,
                (_, true, _) => Standing::Half,
                (.., true) => Standing::Idle,
                _ => Standing::Silent,
            },
        )
    }

    fn owed(c: &Connection) -> usize {
        match &c.kind {
            Kind::Client(s) => s.unanswered(),
            Kind::Cdni(s) => usize::from(s.waiting.is_some()),
            _ => 0,
        }
    }

    /// Who is to leave for one more client; an error where nobody can. The one that is likeliest to want nothing any
    /// more makes room: a crowd that says nothing, or clients that ask once and keep their connection for good, must not
    /// shut all others out. One that came a moment ago is let be, as its request is on its way, and so is one of which the
    /// last look shows that it has asked after all.
    pub(super) fn leaver(&mut self, now: Micros) -> io::Result<Key> {
        let settled = now.saturating_sub(self.limits.settle_us);
        let leaves = |daemon: &Self, key: Key| {
            let c = daemon.connections.get(key)?;
            let standing = Self::standing(c).filter(|s| *s != Standing::Busy)?;
            Some((standing, c.since)).filter(|(_, since)| *since <= settled)
        };
        loop {
            let keys = self.connections.keys();
            let first = keys
                .iter()
                .filter_map(|key| Some((leaves(self, *key)?, *key)))
                .min();
            let (before, key) = first.ok_or(io::ErrorKind::OutOfMemory)?;
            // Bytes that came meanwhile put it into another standing: then it is not the one to leave.
            if !self.look(now, key) || leaves(self, key) == Some(before) {
                return Ok(key);
            }
        }
    }

    /// Who is to leave for one more client, or none where there is room; an error where nobody can leave.
    pub(super) fn room_for_client(&mut self, now: Micros) -> io::Result<Option<Key>> {
        if self.clients < self.limits.clients && !self.connections.is_full() {
            return Ok(None);
        }
        self.leaver(now).map(Some)
    }

    /// Notes what a client's connection is at since when, after something was read or written there.
    pub(super) fn note_client(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Some(standing) = Self::standing(c) else {
            return;
        };
        let half = standing == Standing::Half;
        // A request that comes in crumbs stays the one that began with the first.
        if standing == Standing::Busy || half && !std::mem::replace(&mut c.half, half) {
            c.since = now;
        }
        c.half = half;
        let held = if let Kind::Client(session) = &c.kind {
            session.buffered_bytes()
        } else {
            0
        };
        let before = std::mem::replace(&mut c.held, held);
        self.held = self.held + held - before;
        if held > before {
            self.free_half_requests(now);
        }
        if self.grace_over {
            self.end_soon(now, key);
        }
    }

    /// Holds what is kept of requests that have not come whole to its bound. The clients that hold most of it make room:
    /// one of them that is owed answers gets these, and a refusal of what is not whole; the others are ended.
    fn free_half_requests(&mut self, now: Micros) {
        while self.held > self.limits.bodies {
            let keys = self.connections.keys().into_iter();
            let held = |key: Key| Some((self.connections.get(key)?.held, key));
            let Some((before, key)) = keys.filter_map(held).max().filter(|(held, _)| *held > 0)
            else {
                return;
            };
            let Some(c) = self.connections.get_mut(key) else {
                return;
            };
            if let Kind::Client(session) = &mut c.kind {
                if session.has_unanswered_requests() {
                    session.reject_partial(Some(self.limits.back_off_us));
                    c.held = session.buffered_bytes();
                    self.held = self.held + c.held - before;
                }
            }
            if c.held == before {
                log::debug!("a connection is ended: too much of requests that have not come whole");
                self.close(now, key);
            } else {
                self.write_client(key);
                self.watch(now, key);
            }
        }
    }

    /// Ends a client's connection that holds its place for nothing. Usual clients end theirs sooner, so none of
    /// their requests can cross this.
    pub(super) fn check_client(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Some(standing) = Self::standing(c) else {
            return;
        };
        if standing == Standing::Idle {
            c.conn.input.release();
            c.conn.output.release();
        }
        let mut due = self.limits.leaves_at(standing, Self::owed(c), c.since);
        if due.is_some_and(|due| due <= now) {
            // What came in this very moment changes what it is at, and then it stays.
            if !self.look(now, key) {
                return;
            }
            let Some(c) = self.connections.get(key) else {
                return;
            };
            due = Self::standing(c).and_then(|s| self.limits.leaves_at(s, Self::owed(c), c.since));
            if due.is_some_and(|due| due <= now) && !self.half_close(now, key) {
                return self.close(now, key);
            }
        }
        let look = now + self.limits.client_look_us;
        self.deadlines.set(
            due.filter(|due| *due > now)
                .map_or(look, |due| due.min(look)),
            Timer::Client(key),
        );
    }

    pub(super) fn accept(&mut self, now: Micros) {
        let mut made_room = false;
        while self.listener.is_some() {
            // With no room left, connections wait in the kernel's queue: others end, and these are taken then.
            let Ok(mut leaver) = self.room_for_client(now) else {
                return self.pause_accepting(now);
            };
            let Some(listener) = &self.listener else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => break,
                // No descriptor is left though the table has places: one who rests makes room there too. More than one
                // would be ended for something else than descriptors.
                Err(failure) if failure.kind == FailureKind::NoDescriptors => {
                    match leaver.take().map_or_else(|| self.leaver(now), Ok) {
                        Ok(key) if !std::mem::replace(&mut made_room, true) => {
                            self.close(now, key);
                            continue;
                        }
                        _ => return self.pause_accepting(now),
                    }
                }
                // Short of memory, say, which no single client that left would mend.
                Err(_) => return self.pause_accepting(now),
            };
            made_room = false;
            let conn = Conn::new(
                socket,
                true,
                self.limits.input_ring,
                self.limits.output_ring,
            );
            if let Ok(conn) = conn {
                self.take_in(now, conn, Kind::Client(Default::default()), leaver);
            }
        }
        let resumed = self.listener.as_mut().is_none_or(|l| l.resume(&self.poll));
        if !resumed {
            self.accept_later(now);
        }
    }

    /// No place left: the listener would stay readable and the loop spin on it.
    fn pause_accepting(&mut self, now: Micros) {
        if let Some(listener) = &mut self.listener {
            listener.pause(&self.poll);
        }
        self.accept_later(now);
    }

    /// Accepts again in a moment. Both fronts may ask for it: were each to set a deadline of its own, every one
    /// of them would set two more while the table stays full.
    pub(super) fn accept_later(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.accepts_later, true) {
            self.deadlines
                .set(now + self.limits.accept_again_us, Timer::Accept);
        }
    }

    /// A client's connection, of either front, and who leaves for it.
    pub(super) fn take_in(&mut self, now: Micros, conn: Conn, kind: Kind, leaver: Option<Key>) {
        if let Some(leaver) = leaver {
            self.close(now, leaver);
        }
        if let Some(key) = self.open(now, conn, kind) {
            if !self.ops.in_service() {
                self.close_when_answered(key);
            }
            self.clients += 1;
            self.deadlines
                .set(now + self.limits.client_half_us, Timer::Client(key));
            if self.turn.waited_unread(now) > 0 {
                // Its requests have been there since before the loop was kept: in the next turn they would seem new.
                self.look(now, key);
            }
        }
    }

    /// Takes in what a client's connection asks. False: its client has gone, and of what it sent before nothing begins.
    pub(super) fn read_client(&mut self, now: Micros, key: Key) -> Result<bool, WireError> {
        for _ in 0..self.limits.client_reads {
            let Some(c) = self.connections.get_mut(key) else {
                return Ok(false);
            };
            let Kind::Client(session) = &mut c.kind else {
                return Ok(true);
            };
            match c.conn.read(false) {
                Progress::Moved => match session.read(&mut c.conn.input, &self.limits) {
                    Err(e) if session.has_unanswered_requests() => {
                        log::debug!("a connection is read no further: {e}");
                        session.stop_reading();
                    }
                    read => read?,
                },
                Progress::Blocked => break,
                Progress::Ended | Progress::Broken => return Ok(false),
            }
        }
        loop {
            let Some(c) = self.connections.get_mut(key) else {
                return Ok(false);
            };
            let Kind::Client(session) = &mut c.kind else {
                return Ok(true);
            };
            let Some((input, first)) = session.next_input() else {
                return Ok(true);
            };
            let stopping = self.term_at.is_some();
            match input {
                Input::ClientGone(ticket) => self.core.client_gone(now, ticket),
                Input::HealthCheck(stream) => {
                    let ready = self.core.is_ready() && !stopping && self.ops.in_service();
                    session.answer_status(
                        stream,
                        if ready {
                            "200 OK"
                        } else {
                            "503 Service Unavailable"
                        },
                    );
                }
                Input::Request(stream, mut asked) => {
                    // A client counts its time from when it sent the request.
                    let unread = self.turn.waited_unread(now);
                    asked.remaining_us = asked.remaining_us.saturating_sub(unread);
                    let client = Client {
                        connection: key,
                        stream: u32::from(stream),
                    };
                    let slow = self.waiting_answers > self.limits.waiting_answers;
                    // One client's flood must leave room for the requests of the others.
                    let flood = !self
                        .limits
                        .admits(session.unanswered(), self.core.is_half_full());
                    // (What is owed counts this request.) A connection that is to close takes no more while it is busy,
                    // or late in a drain or an end: it would never come to idle, and what it held would be cut when the
                    // process ends or the drain is over. The front sends what is turned away to another proxy.
                    let late = stopping
                        || matches!(self.ops.drain(), Drain::Draining(since) if now > since + self.limits.drain_last_taken_us);
                    // The first request of a connection was sent before the front could know that this one ends.
                    let leaving =
                        session.is_closing() && (session.unanswered() > 1 || late && !first);
                    let ticket = if slow || flood || leaving {
                        None
                    } else {
                        self.core.admit(now, client, asked)
                    };
                    match ticket {
                        Some(ticket) => session.admitted(stream, ticket),
                        None => session.answer(
                            stream,
                            &Answer::Rejected {
                                retry_after_us: Some(self.limits.back_off_us),
                            },
                        ),
                    }
                }
            }
            // Answers given at once belong to requests that are already known as taken.
            self.settle(now);
        }
    }

    pub(super) fn answer(&mut self, now: Micros, client: Client, answer: Answer) {
        let Some(c) = self.connections.get_mut(client.connection) else {
            return;
        };
        // It may rest from now on: its next request may be on its way, so that it must not make room at once.
        c.since = now;
        match &mut c.kind {
            Kind::Client(session) => {
                session.answer(client.stream as u16, &answer);
                self.write_client(client.connection);
            }
            Kind::Cdni(_) => self.answer_cdni(now, client.connection, answer),
            _ => {}
        }
    }

    /// Ends a client's connection that writing has shown to be broken: its client has gone.
    pub(super) fn close_if_broken(&mut self, now: Micros, key: Key) {
        let client = |c: &Connection| c.kind.is_client() && c.conn.is_broken();
        if self.connections.get(key).is_some_and(client) {
            self.close(now, key);
        }
    }

    pub(super) fn write_client(&mut self, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Kind::Client(session) = &mut c.kind else {
            return;
        };
        loop {
            session.write(&mut c.conn.output);
            if c.conn.write() != Progress::Moved {
                break;
            }
        }
        let before = std::mem::replace(&mut c.waiting, session.pending_output());
        self.waiting_answers = self.waiting_answers + c.waiting - before;
    }
}
