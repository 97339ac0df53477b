//! The life cycle of a client's connection, of either front: the one place where it goes from open to gone.
//!
//! | state | what it is | goes on to |
//! | --- | --- | --- |
//! | open | requests are taken | draining, half-closed, gone |
//! | draining | it ends once all that is open on it is answered | half-closed, gone |
//! | half-closed (lingering) | this side has ended its half; what still comes is thrown away | gone |
//! | gone | closed, and all that its client waited for is cancelled | |
//!
//! A close answers bytes that were not read with a reset, which takes along what the client has not read of its
//! answers; and a request that was read behind this side's end would be answered nowhere. So only a connection on which
//! nothing is left to read, after a last look, ends its half, and from then on nothing of it is passed on. The rest ends
//! when the client ends its own half, or after a while.

use super::{Connection, Daemon, Kind, Timer};
use crate::net::{Key, Progress};
use linnetknot::Micros;

impl Daemon {
    /// A client's connection is to end once all that it asked is answered.
    pub(super) fn close_when_answered(&mut self, key: Key) {
        if let Some(Connection {
            kind: Kind::Client(session),
            ..
        }) = self.connections.get_mut(key)
        {
            session.close_when_answered();
        }
    }

    /// Whether nothing of a client's connection is open, half read or unwritten, as far as it was read.
    pub(super) fn is_quiet(c: &Connection) -> bool {
        let quiet = match &c.kind {
            Kind::Client(s) => s.is_idle() && !s.is_partial(),
            Kind::Cdni(s) => s.is_idle() && !s.is_partial(),
            _ => false,
        };
        quiet && c.conn.output.is_empty() && c.conn.input.is_empty()
    }

    /// Whether a client's connection is to end, with all that it asked answered and written.
    pub(super) fn is_over(c: &Connection) -> bool {
        matches!(&c.kind, Kind::Client(s) if s.is_finished() && c.conn.output.is_empty())
    }

    /// Plans the end of a client's connection for this turn of the loop: whoever asks for that may be in the midst of
    /// reading it.
    pub(super) fn end_soon(&mut self, now: Micros, key: Key) {
        if self.connections.get(key).is_some_and(Self::is_quiet) {
            self.deadlines.set(now, Timer::End(key));
        }
    }

    /// Ends a client's connection that is to end once answered, as soon as its last answer is written: were it
    /// left open until its next event, that could be the next request, which would then be taken and never answered.
    pub(super) fn end_if_over(&mut self, now: Micros, key: Key) {
        let over = self.connections.get(key).is_some_and(|c| match &c.kind {
            // One that has asked nothing yet was taken a moment ago, and its request is on its way.
            Kind::Client(s) => s.is_finished() && s.has_received_request(),
            _ => false,
        });
        if over {
            self.end_soon(now, key);
        }
    }

    /// Reads what a client's connection has received up to this moment. False: it has gone.
    pub(super) fn check_client(&mut self, now: Micros, key: Key) -> bool {
        let Some(c) = self.connections.get_mut(key) else {
            return false;
        };
        let here = match &c.kind {
            Kind::Client(_) => self.read_client(now, key),
            Kind::Cdni(_) if c.conn.input.free_bytes() > 0 => match c.conn.read(false) {
                Progress::Moved => {
                    self.read_cdni(now, key);
                    Ok(true)
                }
                got => Ok(got == Progress::Blocked),
            },
            // Its client may have ended its half meanwhile.
            Kind::Lingering => Ok(self.drain_lingering(key)),
            _ => return true,
        };
        if !matches!(here, Ok(true)) {
            self.close(now, key);
            return false;
        }
        self.write(now, key);
        self.close_if_broken(now, key);
        self.note_client(now, key);
        self.connections.get(key).is_some()
    }

    /// Ends a client's connection if nothing is open on it and nothing has come in this very moment. False: it does not
    /// end in this way, as something is open on it, or it has ended before.
    pub(super) fn half_close(&mut self, now: Micros, key: Key) -> bool {
        if !self.check_client(now, key) {
            return true;
        }
        let Some(c) = self.connections.get_mut(key) else {
            return true;
        };
        if !Self::is_quiet(c) {
            return false;
        }
        if c.conn.shutdown_write().is_err() {
            self.close(now, key);
            return true;
        }
        self.waiting_answers -= std::mem::take(&mut c.waiting);
        self.held -= std::mem::take(&mut c.held);
        (c.kind, c.since) = (Kind::Lingering, now);
        self.watch(now, key);
        true
    }

    /// Throws away what still comes on a connection that this side has ended. False: its client has ended it too.
    pub(super) fn drain_lingering(&mut self, key: Key) -> bool {
        let Some(c) = self.connections.get_mut(key) else {
            return false;
        };
        for _ in 0..self.limits.max_reads_per_client {
            match c.conn.read(false) {
                Progress::Moved => c.conn.input.consume(c.conn.input.len()),
                Progress::Blocked => return true,
                Progress::Ended | Progress::Broken => return false,
            }
        }
        true
    }

    /// The process ends: accepts what waits in the kernel's queue and nothing after that, and ends each client's
    /// connection as soon as all is answered there.
    pub(super) fn end_clients(&mut self, now: Micros) {
        self.accept(now);
        self.accept_cdni(now);
        self.grace_over = true;
        self.drop_listener();
        for key in self.connections.keys() {
            self.close_when_answered(key);
            let silent = self
                .connections
                .get(key)
                .is_some_and(|c| c.since + self.limits.client_eviction_grace_us > now);
            if !silent {
                self.end_soon(now, key);
            }
        }
        // Those that came a moment ago: their requests are on their way.
        self.later(now + self.limits.client_eviction_grace_us, |daemon, now| {
            daemon
                .connections
                .keys()
                .into_iter()
                .for_each(|key| daemon.end_soon(now, key));
        });
    }

    /// Whether a client's connection keeps a process that ends from exiting.
    pub(super) fn delays_exit(&self, now: Micros, c: &Connection) -> bool {
        match &c.kind {
            Kind::Client(_) | Kind::Cdni(_) => true,
            Kind::Lingering => self
                .term_at
                .is_some_and(|at| now < at + self.limits.shutdown_linger_us),
            Kind::Admin(caller) => caller.is_waiting() || !c.conn.output.is_empty(),
            _ => false,
        }
    }
}
