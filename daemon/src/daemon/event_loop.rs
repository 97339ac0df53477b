//! The event loop: waits for epoll events and deadlines, dispatches them, and executes the commands of the core.

use super::connection_table::ConnectionKind;
use super::exchange::Task;
use super::turn::MAX_WAIT_US;
use super::Daemon;
use crate::core::{Command, Wake};
use crate::net::{failure_log, Key, ReadyEvent};
use linnetknot::Micros;
use std::io;

// Epoll tokens of the sources other than connections. The token of a connection is its key in the table.
pub(super) const CLIENT_LISTENER_TOKEN: u64 = u64::MAX;
pub(super) const SIGTERM_TOKEN: u64 = u64::MAX - 1;
pub(super) const PEERS_TOKEN: u64 = u64::MAX - 2;
pub(super) const CDNI_LISTENER_TOKEN: u64 = u64::MAX - 3;
pub(super) const SIGHUP_TOKEN: u64 = u64::MAX - 4;
pub(super) const ADMIN_LISTENER_TOKEN: u64 = u64::MAX - 5;
pub(super) const STORE_TOKEN: u64 = u64::MAX - 6;

/// An action that is scheduled for a deadline.
pub(super) enum Timer {
    Core(Wake),
    /// Closes a connection that is still not established, or extends its deadline.
    ConnectTimeout(Key),
    /// Checks a connection to a cache server: removes finished streams and writes pending output.
    CheckCacheConnection(Key),
    /// Runs a task when the timer expires.
    Run(Task),
    /// Writes a deferred response and reads the next request of the connection.
    ResumeConnection(Key),
    /// Checks whether a client connection has exceeded the timeout of its state.
    CheckClient(Key),
    /// Half-closes a client connection if it is idle.
    HalfClose(Key),
    /// Retries the epoll registration of a connection.
    RetryRegistration(Key),
    /// Resumes accepting on all listeners.
    RetryAccept,
    /// The grace period after SIGTERM has expired.
    ShutdownGrace,
    /// The time limit of a connection to the admin listener has expired.
    AdminTimeout(Key),
}

impl Daemon {
    /// Runs until SIGTERM is received and the shutdown is complete.
    ///
    /// # Errors
    /// Waiting for events fails.
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
            failure_log::log_ended();
        }
        failure_log::log_all();
        self.finish();
        Ok(())
    }

    /// Runs one turn: handles the ready events, then the timers that are due. Returns true if the turn was
    /// interrupted because its events are stale; epoll reports the unhandled ones again.
    fn run_turn(&mut self, ready: &mut Vec<ReadyEvent>) -> bool {
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

    /// Returns the priority of an event; lower values are handled first. Closed client connections come first, then
    /// updates from operators, peers and other exchanges, then client input, then new connections, and last the
    /// responses of cache servers, which may start further attempts.
    fn event_priority(&self, event: &ReadyEvent) -> u8 {
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

    fn handle_event(&mut self, event: ReadyEvent) {
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

    /// Executes the commands of the core until it has none left.
    pub(super) fn execute_commands(&mut self, now: Micros) {
        loop {
            let commands = self.core.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::Send(attempt) => self.send_attempt(now, attempt),
                    Command::Cancel(attempt, server) => self.cancel_attempt(now, attempt, server),
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
