//! The event loop: waits for events and deadlines, and carries out what the core wants done.

use super::connection_table::Kind;
use super::exchange::Effect;
use super::turn::MAX_WAIT_US;
use super::Daemon;
use crate::core::{Command, Wake};
use crate::net::{failure_log, Key, ReadyEvent};
use linnetknot::Micros;
use std::io;

// The tokens of what is watched beside the connections, whose own tokens are their keys in the table.
pub(super) const LISTENER: u64 = u64::MAX;
pub(super) const SIGNAL: u64 = u64::MAX - 1;
pub(super) const PEERS: u64 = u64::MAX - 2;
pub(super) const CDNI: u64 = u64::MAX - 3;
pub(super) const RELOAD: u64 = u64::MAX - 4;
pub(super) const ADMIN: u64 = u64::MAX - 5;
pub(super) const STORE: u64 = u64::MAX - 6;

/// What has a deadline.
pub(super) enum Timer {
    Core(Wake),
    /// A connection begun from here must be up.
    Connect(Key),
    /// A connection to a cache server is checked: barred ids, stalled writing.
    CacheConnection(Key),
    /// Something else is to be done.
    Task(Effect),
    /// A connection's next request, which waited for the answer to the one before.
    Serve(Key),
    /// A client's connection is looked at: it may hold its place for nothing.
    Client(Key),
    /// A client's connection ends if nothing is open on it.
    End(Key),
    /// A connection that could not be watched is tried again.
    Register(Key),
    /// Accepting goes on.
    Accept,
    /// The grace after SIGTERM is over.
    Term,
    /// A caller at the admin listener has had its time.
    Admin(Key),
}

impl Daemon {
    /// Serves until SIGTERM, and then until all is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_done() {
            let now = self.clock.now();
            let wait = self
                .deadlines
                .next()
                .map_or(MAX_WAIT_US, |at| at.saturating_sub(now))
                .min(MAX_WAIT_US);
            self.poll.wait(wait, &mut ready)?;
            self.turn.wait_ended(now, wait, self.clock.now());
            ready.sort_by_key(|event| self.rank(event));
            let cut_short = self.turn_over(&mut ready);
            self.turn.over(cut_short);
            failure_log::log_ended();
        }
        failure_log::log_all();
        self.finish();
        Ok(())
    }

    /// One turn: events, and then what is due. True: it was cut short, as what is known of clients had become old.
    /// epoll tells of the events that are left once more.
    fn turn_over(&mut self, ready: &mut Vec<ReadyEvent>) -> bool {
        for event in ready.drain(..) {
            if self.turn.is_old(self.clock.now()) {
                return true;
            }
            self.event(event);
        }
        let now = self.clock.now();
        if self.turn.is_old(now) {
            return true;
        }
        while let Some(timer) = self.deadlines.pop(now) {
            self.timer(now, timer);
            self.settle(now);
        }
        false
    }

    /// What is taken up first of all that is known at once. Clients that have gone come first, then what is told of the
    /// boxes, then what clients ask and take back, and only then what lets a further attempt begin.
    fn rank(&self, event: &ReadyEvent) -> u8 {
        match event.token {
            SIGNAL | RELOAD | PEERS | ADMIN | STORE => 1,
            LISTENER | CDNI => 3,
            token => match self.connections.get(Key::from_u64(token)).map(|c| &c.kind) {
                Some(Kind::Client(_) | Kind::Cdni(_)) if event.hung_up => 0,
                Some(Kind::Exchange(_) | Kind::Admin(_)) => 1,
                Some(Kind::Client(_) | Kind::Cdni(_) | Kind::Lingering) => 2,
                _ => 4,
            },
        }
    }

    fn event(&mut self, event: ReadyEvent) {
        let now = self.clock.now();
        match event.token {
            LISTENER => self.accept(now),
            SIGNAL => self.term(now),
            RELOAD => self.reload(now),
            PEERS => self.receive_peer_datagrams(now),
            CDNI => self.accept_cdni(now),
            ADMIN => self.accept_admin(now),
            STORE => self.receive_store_completions(now),
            token => self.serve(now, Key::from_u64(token), event),
        }
        self.settle(now);
        self.notify(now);
    }

    fn timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Core(wake) => self.core.wake(now, wake),
            Timer::Connect(key) => self.check_connecting(now, key),
            Timer::CacheConnection(key) => self.check_cache_connection(now, key),
            Timer::Client(key) => self.client_timeout(now, key),
            Timer::End(key) => drop(self.half_close(now, key)),
            Timer::Task(task) => task(self, now),
            Timer::Serve(key) => self.serve_again(now, key),
            Timer::Register(key) => self.register_again(now, key),
            Timer::Accept => {
                self.accepts_later = false;
                self.accept(now);
                self.accept_cdni(now);
                self.accept_admin(now);
            }
            Timer::Term => self.end_clients(now),
            Timer::Admin(key) => self.admin_timeout(now, key),
        }
    }

    /// Carries out what the core wants done, and what follows from that.
    pub(super) fn settle(&mut self, now: Micros) {
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::Send(attempt) => self.send(now, attempt),
                    Command::Cancel(attempt, server) => self.give_up(now, attempt, server),
                    Command::Answer(client, answer) => {
                        self.answer(now, client, answer);
                        self.watch(now, client.connection);
                        self.close_if_broken(now, client.connection);
                        self.note_client(now, client.connection);
                        self.end_if_over(now, client.connection);
                    }
                    Command::Wake(at, wake) => {
                        self.deadlines.set(at, Timer::Core(wake));
                    }
                    Command::Probe(server) => self.probe(now, server),
                    Command::ShareOriginHealth(share) => self.share_origin_health(now, share),
                    Command::Withdraw(server) => self.withdraw(now, server),
                }
            }
        }
    }
}
