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

use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::net::{Key, Progress};
use linnetknot::Micros;

impl Daemon {
    /// A client's connection is to end once all that it asked is answered.
    pub(super) fn close_when_answered(&mut self, key: Key) {
        if let Some(Connection {
            kind: ConnectionKind::Client(session),
            ..
        }) = self.connections.get_mut(key)
        {
            session.close_when_answered();
        }
    }

    /// Whether nothing of a client's connection is open, half read or unwritten, as far as it was read.
    pub(super) fn is_idle(connection: &Connection) -> bool {
        let is_idle = match &connection.kind {
            ConnectionKind::Client(session) => session.is_idle() && !session.is_partial(),
            ConnectionKind::Cdni(session) => session.is_idle() && !session.is_partial(),
            _ => false,
        };
        is_idle && connection.conn.output.is_empty() && connection.conn.input.is_empty()
    }

    /// Whether a client's connection is to end, with all that it asked answered and written.
    pub(super) fn is_finished(connection: &Connection) -> bool {
        matches!(&connection.kind, ConnectionKind::Client(session) if session.is_finished() && connection.conn.output.is_empty())
    }

    /// Plans the end of a client's connection for this turn of the loop: whoever asks for that may be in the midst of
    /// reading it.
    pub(super) fn schedule_half_close(&mut self, now: Micros, key: Key) {
        if self.connections.get(key).is_some_and(Self::is_idle) {
            self.deadlines.set(now, Timer::HalfClose(key));
        }
    }

    /// Ends a client's connection that is to end once answered, as soon as its last answer is written: were it
    /// left open until its next event, that could be the next request, which would then be taken and never answered.
    pub(super) fn half_close_if_finished(&mut self, now: Micros, key: Key) {
        let is_finished =
            self.connections
                .get(key)
                .is_some_and(|connection| match &connection.kind {
                    // One that has asked nothing yet was taken a moment ago, and its request is on its way.
                    ConnectionKind::Client(session) => {
                        session.is_finished() && session.has_received_request()
                    }
                    _ => false,
                });
        if is_finished {
            self.schedule_half_close(now, key);
        }
    }

    /// Reads what a client's connection has received up to this moment. False: it has gone.
    pub(super) fn poll_client(&mut self, now: Micros, key: Key) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let is_open = match &connection.kind {
            ConnectionKind::Client(_) => self.read_client(now, key),
            ConnectionKind::Cdni(_) if connection.conn.input.free_bytes() > 0 => {
                match connection.conn.read(false) {
                    Progress::Moved => {
                        self.read_cdni(now, key);
                        Ok(true)
                    }
                    progress => Ok(progress == Progress::Blocked),
                }
            }
            // Its client may have ended its half meanwhile.
            ConnectionKind::Lingering => Ok(self.drain_lingering(key)),
            _ => return true,
        };
        if !matches!(is_open, Ok(true)) {
            self.close(now, key);
            return false;
        }
        self.write(now, key);
        self.close_if_broken(now, key);
        self.update_client_state(now, key);
        self.connections.get(key).is_some()
    }

    /// Ends a client's connection if nothing is open on it and nothing has come in this very moment. False: it does not
    /// end in this way, as something is open on it, or it has ended before.
    pub(super) fn half_close(&mut self, now: Micros, key: Key) -> bool {
        if !self.poll_client(now, key) {
            return true;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return true;
        };
        if !Self::is_idle(connection) {
            return false;
        }
        if connection.conn.end_output().is_err() {
            self.close(now, key);
            return true;
        }
        self.total_unsent_bytes -= std::mem::take(&mut connection.unsent_bytes);
        self.total_partial_request_bytes -= std::mem::take(&mut connection.partial_request_bytes);
        (connection.kind, connection.state_since) = (ConnectionKind::Lingering, now);
        self.update_interest(now, key);
        true
    }

    /// Throws away what still comes on a connection that this side has ended. False: its client has ended it too.
    pub(super) fn drain_lingering(&mut self, key: Key) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        for _ in 0..self.limits.client_reads {
            match connection.conn.read(false) {
                Progress::Moved => connection.conn.input.consume(connection.conn.input.len()),
                Progress::Blocked => return true,
                Progress::Ended | Progress::Broken => return false,
            }
        }
        true
    }

    /// The process ends: accepts what waits in the kernel's queue and nothing after that, and ends each client's
    /// connection as soon as all is answered there.
    pub(super) fn close_clients(&mut self, now: Micros) {
        self.accept_clients(now);
        self.accept_cdni(now);
        self.shutdown_grace_over = true;
        self.close_client_listener();
        for key in self.connections.keys() {
            self.close_when_answered(key);
            let is_recent = self
                .connections
                .get(key)
                .is_some_and(|connection| connection.state_since + self.limits.settle_us > now);
            if !is_recent {
                self.schedule_half_close(now, key);
            }
        }
        // Those that came a moment ago: their requests are on their way.
        self.schedule(now + self.limits.settle_us, |daemon, now| {
            daemon
                .connections
                .keys()
                .into_iter()
                .for_each(|key| daemon.schedule_half_close(now, key));
        });
    }

    /// Whether a client's connection keeps a process that ends from exiting.
    pub(super) fn delays_exit(&self, now: Micros, connection: &Connection) -> bool {
        match &connection.kind {
            ConnectionKind::Client(_) | ConnectionKind::Cdni(_) => true,
            ConnectionKind::Lingering => self
                .sigterm_at
                .is_some_and(|at| now < at + self.limits.term_linger_us),
            ConnectionKind::Admin(session) => {
                session.awaits_commit() || !connection.conn.output.is_empty()
            }
            _ => false,
        }
    }
}
