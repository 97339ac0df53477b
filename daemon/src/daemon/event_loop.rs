//! The event loop: waits for epoll events and deadlines, dispatches them, and executes the commands of the core.

use super::clients::AcceptLimit;
use super::connection_table::ConnectionKind;
use super::exchange::Task;
use super::turn::{EventKind, Turn, MAX_WAIT_US};
use super::Daemon;
use crate::core::{Command, Wake};
use crate::net::{failure_log, Key, ReadyEvent};
use linnetknot::Micros;
use std::collections::HashSet;
use std::io;

// Epoll tokens of the sources other than connections. The token of a connection is its key in the table.
pub(super) const CLIENT_LISTENER_TOKEN: u64 = u64::MAX;
pub(super) const SIGTERM_TOKEN: u64 = u64::MAX - 1;
pub(super) const PEERS_TOKEN: u64 = u64::MAX - 2;
pub(super) const CDNI_LISTENER_TOKEN: u64 = u64::MAX - 3;
pub(super) const SIGHUP_TOKEN: u64 = u64::MAX - 4;
pub(super) const ADMIN_LISTENER_TOKEN: u64 = u64::MAX - 5;
pub(super) const STORE_TOKEN: u64 = u64::MAX - 6;
pub(super) const SHARED_PURGES_TOKEN: u64 = u64::MAX - 7;
pub(super) const SHARED_EXECUTIONS_TOKEN: u64 = u64::MAX - 8;

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
            let wait = self.next_wait(now);
            self.poll.wait(wait, &mut ready)?;
            self.turn.end_wait(now, wait, self.clock.now());
            self.add_unfinished_clients(&mut ready);
            ready.sort_by_cached_key(|event| (self.event_kind(event), self.last_handled(event)));
            let interrupted = self.run_turn(&mut ready);
            self.turn.end_turn(interrupted);
            failure_log::log_ended();
        }
        failure_log::log_all();
        self.finish();
        Ok(())
    }

    /// Returns how long to wait for events.
    fn next_wait(&self, now: Micros) -> Micros {
        if !self.unfinished_clients.is_empty() {
            return 0;
        }
        self.deadlines
            .next()
            .map_or(MAX_WAIT_US, |at| at.saturating_sub(now))
            .min(MAX_WAIT_US)
    }

    /// Adds an event for each client whose received requests the latest turn did not process completely, unless epoll has
    /// reported the connection.
    fn add_unfinished_clients(&mut self, ready: &mut Vec<ReadyEvent>) {
        let mut seen: HashSet<u64> = ready.iter().map(|event| event.token).collect();
        for key in std::mem::take(&mut self.unfinished_clients) {
            if seen.insert(key.to_u64()) {
                ready.push(ReadyEvent::unwatched(key.to_u64()));
            }
        }
    }

    /// Runs one turn: handles the ready events, then the timers that are due. Each kind of events has a share of the
    /// turn. Returns true if the turn was interrupted because its events are stale; epoll reports the unhandled ones
    /// again.
    fn run_turn(&mut self, ready: &mut Vec<ReadyEvent>) -> bool {
        let began = self.clock.now();
        let (mut now, mut is_interrupted) = (began, false);
        for event in ready.drain(..) {
            is_interrupted = is_interrupted || self.turn.is_stale(now);
            let kind = self.event_kind(&event);
            if is_interrupted || self.turn.has_used_share(now, kind) {
                self.carry_over(&event);
                continue;
            }
            self.handle_event(event);
            let ended = self.clock.now();
            self.loop_statistics.record_step(kind, ended - now);
            now = ended;
        }
        is_interrupted = is_interrupted || self.turn.is_stale(now);
        if is_interrupted {
            self.expire_requests(now);
        } else {
            self.run_timers(now);
        }
        self.loop_statistics.record_turn(self.clock.now() - began);
        is_interrupted
    }

    /// Runs the timers that are due, up to their share of the turn.
    fn run_timers(&mut self, began: Micros) {
        let mut now = began;
        while !Turn::have_timers_used_share(began, now) {
            let due_at = self.deadlines.next().unwrap_or(now);
            let Some(timer) = self.deadlines.pop(now) else {
                self.loop_statistics.timers_finished();
                self.log_late_timers_end(now);
                return;
            };
            self.record_timer(now, due_at);
            self.handle_timer(now, timer);
            self.execute_commands(now);
            now = self.clock.now();
        }
    }

    /// Answers the requests whose deadlines have passed. Unlike other timers, a deadline starts no attempt, so it need not
    /// wait until the loop has looked for clients that disconnected.
    fn expire_requests(&mut self, began: Micros) {
        let is_deadline = |timer: &Timer| matches!(timer, Timer::Core(Wake::Request(_)));
        let mut now = began;
        for due in self.deadlines.due_matching(now, is_deadline) {
            if Turn::have_timers_used_share(began, now) {
                return;
            }
            if let Some(timer) = self.deadlines.cancel(due) {
                self.record_timer(now, due.at);
                self.handle_timer(now, timer);
                self.execute_commands(now);
            }
            now = self.clock.now();
        }
    }

    fn record_timer(&mut self, now: Micros, due_at: Micros) {
        let delay_us = now.saturating_sub(due_at);
        if let Some(late) = self.loop_statistics.record_timer(now, delay_us) {
            log::warn!(delay_us = late.max_delay_us; "timers run late");
        }
    }

    fn log_late_timers_end(&mut self, now: Micros) {
        if let Some(late) = self.loop_statistics.take_ended_episode(now) {
            log::info!(
                count = late.count,
                max_delay_us = late.max_delay_us;
                "timers run in time again"
            );
        }
    }

    /// Records that this turn does not handle an event, which the next wait reports again.
    fn carry_over(&mut self, event: &ReadyEvent) {
        match event.token {
            CLIENT_LISTENER_TOKEN => self.client_queue.carry_over(&self.turn),
            CDNI_LISTENER_TOKEN => self.cdni_queue.carry_over(&self.turn),
            token => self.carry_over_connection(Key::from_u64(token)),
        }
    }

    fn carry_over_connection(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.unhandled_input = Some(self.turn.carry_over(connection.unhandled_input));
        if matches!(&connection.kind, ConnectionKind::Client(session) if session.has_inputs()) {
            self.unfinished_clients.push(key);
        }
    }

    /// Returns the kind of an event, which determines its place in the turn. Closed client connections come first, then
    /// updates from operators, peers and other exchanges, then client input, then new connections, and last the responses
    /// of cache servers, which may start further attempts.
    fn event_kind(&self, event: &ReadyEvent) -> EventKind {
        match event.token {
            SIGTERM_TOKEN
            | SIGHUP_TOKEN
            | PEERS_TOKEN
            | ADMIN_LISTENER_TOKEN
            | STORE_TOKEN
            | SHARED_PURGES_TOKEN
            | SHARED_EXECUTIONS_TOKEN => EventKind::Notification,
            CLIENT_LISTENER_TOKEN | CDNI_LISTENER_TOKEN => EventKind::NewClient,
            token => match self
                .connections
                .get(Key::from_u64(token))
                .map(|connection| &connection.kind)
            {
                Some(ConnectionKind::Client(_) | ConnectionKind::Cdni(_)) if event.hung_up => {
                    EventKind::HangUp
                }
                Some(ConnectionKind::Exchange(_) | ConnectionKind::Admin(_)) => {
                    EventKind::Notification
                }
                Some(
                    ConnectionKind::Client(_) | ConnectionKind::Cdni(_) | ConnectionKind::Lingering,
                ) => EventKind::ClientInput,
                _ => EventKind::CacheResponse,
            },
        }
    }

    /// Returns the latest turn that handled an event of the same source. Within a kind, the source that has waited for the
    /// most turns comes first, so that a source with much input can't delay the others.
    fn last_handled(&self, event: &ReadyEvent) -> u64 {
        match event.token {
            CLIENT_LISTENER_TOKEN => self.client_queue.last_handled_turn(),
            CDNI_LISTENER_TOKEN => self.cdni_queue.last_handled_turn(),
            token => self
                .connections
                .get(Key::from_u64(token))
                .filter(|_| self.event_kind(event).has_share())
                .map_or(0, |connection| connection.last_handled_turn),
        }
    }

    fn handle_event(&mut self, event: ReadyEvent) {
        let now = self.clock.now();
        match event.token {
            CLIENT_LISTENER_TOKEN => self.accept_clients(now, AcceptLimit::StepTime),
            SIGTERM_TOKEN => self.handle_sigterm(now),
            SIGHUP_TOKEN => self.reload(now),
            PEERS_TOKEN => drop(self.receive_peer_datagrams(now)),
            SHARED_PURGES_TOKEN => self.receive_shared_purges(now),
            SHARED_EXECUTIONS_TOKEN => self.receive_shared_executions(now),
            CDNI_LISTENER_TOKEN => self.accept_cdni(now, AcceptLimit::StepTime),
            ADMIN_LISTENER_TOKEN => self.accept_admin(now),
            STORE_TOKEN => self.receive_store_completions(now),
            token => {
                let key = Key::from_u64(token);
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.last_handled_turn = self.turn.number();
                }
                self.handle_ready(now, key, event);
            }
        }
        // The step may have taken long.
        let now = self.clock.now();
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
                self.accept_clients(now, AcceptLimit::StepTime);
                self.accept_cdni(now, AcceptLimit::StepTime);
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
                    Command::ShareExecution { id, may_have_run } => {
                        self.share_execution(id, may_have_run);
                    }
                }
            }
        }
    }
}
