//! The event loop: waits for events and deadlines, and carries out what the core wants done.

use super::connection_table::ConnectionKind;
use super::exchange::Task;
use super::turn::MAX_WAIT_US;
use super::Daemon;
use crate::core::{Command, Wake};
use crate::net::{spells, Key, Ready};
use linnetknot::Micros;
use std::io;

// The tokens of what is watched beside the connections, whose own tokens are their keys in the table.
pub(super) const CLIENT_LISTENER_TOKEN: u64 = u64::MAX;
pub(super) const SIGTERM_TOKEN: u64 = u64::MAX - 1;
pub(super) const PEERS_TOKEN: u64 = u64::MAX - 2;
pub(super) const CDNI_LISTENER_TOKEN: u64 = u64::MAX - 3;
pub(super) const SIGHUP_TOKEN: u64 = u64::MAX - 4;
pub(super) const ADMIN_LISTENER_TOKEN: u64 = u64::MAX - 5;
pub(super) const STORE_TOKEN: u64 = u64::MAX - 6;

/// What has a deadline.
pub(super) enum Timer {
    Core(Wake),
    /// A connection begun from here must be up.
    ConnectTimeout(Key),
    /// A connection to a cache server is checked: barred ids, stalled writing.
    CheckCacheConnection(Key),
    /// Something else is to be done.
    Run(Task),
    /// A connection's next request, which waited for the answer to the one before.
    ResumeConnection(Key),
    /// A client's connection is looked at: it may hold its place for nothing.
    CheckClient(Key),
    /// A client's connection ends if nothing is open on it.
    HalfClose(Key),
    /// A connection that could not be watched is tried again.
    RetryRegistration(Key),
    /// Accepting goes on.
    RetryAccept,
    /// The grace after SIGTERM is over.
    ShutdownGrace,
    /// A caller at the admin listener has had its time.
    AdminTimeout(Key),
}

impl Daemon {
    /// Serves until SIGTERM, and then until all is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_shutdown_complete() {
            let now = self.clock.now();
            let wait = self
                .deadlines
                .next()
                .map_or(MAX_WAIT_US, |at| at.saturating_sub(now))
                .min(MAX_WAIT_US);
            self.poll.wait(wait, &mut ready)?;
            self.turn.end_wait(now, wait, self.clock.now());
            ready.sort_by_key(|event| self.event_priority(event));
            let interrupted = self.run_turn(&mut ready);
            self.turn.end_turn(interrupted);
            spells::log_ended();
        }
        spells::log_rest();
        self.finish();
        Ok(())
    }

    /// One turn: events, and then what is due. True: it was cut short, as what is known of clients had become old.
    /// epoll tells of the events that are left once more.
    fn run_turn(&mut self, ready: &mut Vec<Ready>) -> bool {
        for event in ready.drain(..) {
            if self.turn.is_stale(self.clock.now()) {
                return true;
            }
            self.handle_event(event);
        }
        let now = self.clock.now();
        if self.turn.is_stale(now) {
            return true;
        }
        while let Some(timer) = self.deadlines.pop(now) {
            self.handle_timer(now, timer);
            self.execute_commands(now);
        }
        false
    }

    /// What is taken up first of all that is known at once. Clients that have gone come first, then what is told of the
    /// boxes, then what clients ask and take back, and only then what lets a further attempt begin.
    fn event_priority(&self, event: &Ready) -> u8 {
        match event.token {
            SIGTERM_TOKEN | SIGHUP_TOKEN | PEERS_TOKEN | ADMIN_LISTENER_TOKEN | STORE_TOKEN => 1,
            CLIENT_LISTENER_TOKEN | CDNI_LISTENER_TOKEN => 3,
            token => match self
                .connections
                .get(Key::from_u64(token))
                .map(|connection| &connection.kind)
            {
                Some(ConnectionKind::Client(_) | ConnectionKind::Cdni(_)) if event.hung_up => 0,
                Some(ConnectionKind::Exchange(_) | ConnectionKind::Admin(_)) => 1,
                Some(
                    ConnectionKind::Client(_) | ConnectionKind::Cdni(_) | ConnectionKind::Lingering,
                ) => 2,
                _ => 4,
            },
        }
    }

    fn handle_event(&mut self, event: Ready) {
        let now = self.clock.now();
        match event.token {
            CLIENT_LISTENER_TOKEN => self.accept_clients(now),
            SIGTERM_TOKEN => self.handle_sigterm(now),
            SIGHUP_TOKEN => self.reload(now),
            PEERS_TOKEN => self.receive_peer_datagrams(now),
            CDNI_LISTENER_TOKEN => self.accept_cdni(now),
            ADMIN_LISTENER_TOKEN => self.accept_admin(now),
            STORE_TOKEN => self.receive_store_completions(now),
            token => self.handle_ready(now, Key::from_u64(token), event),
        }
        self.execute_commands(now);
        self.announce_readiness(now);
    }

    fn handle_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Core(wake) => self.core.wake(now, wake),
            Timer::ConnectTimeout(key) => self.check_connect_timeout(now, key),
            Timer::CheckCacheConnection(key) => self.check_cache_connection(now, key),
            Timer::CheckClient(key) => self.check_client_timeout(now, key),
            Timer::HalfClose(key) => drop(self.half_close(now, key)),
            Timer::Run(task) => task(self, now),
            Timer::ResumeConnection(key) => self.resume_connection(now, key),
            Timer::RetryRegistration(key) => self.retry_registration(now, key),
            Timer::RetryAccept => {
                self.accept_retry_scheduled = false;
                self.accept_clients(now);
                self.accept_cdni(now);
                self.accept_admin(now);
            }
            Timer::ShutdownGrace => self.close_clients(now),
            Timer::AdminTimeout(key) => self.admin_timeout(now, key),
        }
    }

    /// Carries out what the core wants done, and what follows from that.
    pub(super) fn execute_commands(&mut self, now: Micros) {
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::Send(attempt) => self.send_attempt(now, attempt),
                    Command::GiveUp(attempt, server) => self.cancel_attempt(now, attempt, server),
                    Command::Answer(client, answer) => {
                        self.respond(now, client, answer);
                        self.update_interest(now, client.connection);
                        self.close_if_broken(now, client.connection);
                        self.update_client_state(now, client.connection);
                        self.half_close_if_finished(now, client.connection);
                    }
                    Command::Wake(at, wake) => {
                        self.deadlines.set(at, Timer::Core(wake));
                    }
                    Command::Probe(server) => self.send_health_check(now, server),
                    Command::ShareOriginHealth(share) => self.share_origin_health(now, share),
                    Command::Withdraw(server) => self.withdraw_server(now, server),
                }
            }
        }
    }
}
