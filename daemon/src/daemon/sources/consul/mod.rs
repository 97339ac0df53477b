//! Consul: watches the services of each data centre, registers this proxy, and caches the endpoint lists for the next
//! start.

mod cached_snapshot;
mod call;
mod registration;
mod token;

use crate::daemon::discovery::CONSUL;
use crate::daemon::Daemon;
use crate::interconnect::Consul;
use crate::net::{DeadlineId, Key};
pub(in crate::daemon) use cached_snapshot::SnapshotWriter;
use call::{Call, Outcome};
use linnetknot::Micros;
use linnetknot_consul::{Response, Token, TransportError, Watch, WatchEvent, WatchUpdate};
use linnetknot_discovery::{Entry, Evidence, SourceId};
use registration::RegistrationState;
use std::net::SocketAddr;
use token::read_token;
pub(in crate::daemon) use token::TokenError;

/// The watch of the services in one data centre.
struct WatchState {
    watch: Watch,
    /// The connection of the current call, if one is in progress.
    key: Option<Key>,
    timer: Option<DeadlineId>,
}

/// The state of all connections to Consul.
pub(in crate::daemon) struct State {
    agents: Vec<SocketAddr>,
    watches: Vec<WatchState>,
    registration_state: Option<RegistrationState>,
    token: Option<Token>,
    max_answer: usize,
}

/// The reason why a changed configuration of Consul was not applied.
#[derive(Debug, thiserror::Error)]
pub(in crate::daemon) enum ReloadError {
    /// The change can't be applied while the daemon runs.
    #[error("the change of 'consul' needs a restart")]
    NeedsRestart,
    /// The token can't be used.
    #[error(transparent)]
    Token(#[from] TokenError),
}

impl State {
    /// Creates the state at startup. `listen`, the address that clients connect to, is registered unless the
    /// configuration sets another address.
    pub(in crate::daemon) fn start(
        consul: &Consul,
        seed: u64,
        listen: SocketAddr,
    ) -> Result<Self, TokenError> {
        let watch = |(index, options)| {
            let watch = Watch::new(options, consul.mapping.clone(), seed ^ (index as u64 + 1));
            WatchState {
                watch,
                key: None,
                timer: None,
            }
        };
        let registration_state = consul
            .registrant(listen)
            .map(|registrant| RegistrationState::new(registrant, seed));
        Ok(State {
            agents: consul.agents.clone(),
            watches: consul
                .options
                .iter()
                .cloned()
                .enumerate()
                .map(watch)
                .collect(),
            registration_state,
            token: read_token(consul)?,
            max_answer: consul.max_response_bytes,
        })
    }
}

impl Daemon {
    /// Starts all calls that are due, and schedules the others.
    pub(in crate::daemon) fn drive_consul(&mut self, now: Micros) {
        let watches = self.consul.as_ref().map_or(0, |c| c.watches.len());
        (0..watches).for_each(|index| self.drive_watch(now, index));
        self.drive_registration(now);
    }

    fn drive_watch(&mut self, now: Micros, index: usize) {
        let Some(state) = &mut self.consul else {
            return;
        };
        let Some(watch_state) = state.watches.get_mut(index) else {
            return;
        };
        if let Some(timer) = watch_state.timer.take() {
            self.deadlines.cancel(timer);
        }
        let Some(call) = watch_state.watch.poll(now) else {
            if let Some(at) = watch_state.watch.due() {
                let timer = self.schedule(at, move |daemon, now| daemon.drive_watch(now, index));
                if let Some(watch_state) =
                    self.consul.as_mut().and_then(|c| c.watches.get_mut(index))
                {
                    watch_state.timer = Some(timer);
                }
            }
            return;
        };
        let to = state.agents[call.agent.min(state.agents.len() - 1)];
        let request = call.to_bytes(&to.to_string(), state.token.as_ref());
        let done = move |daemon: &mut Daemon, now, outcome: Outcome| {
            daemon.watch_finished(now, index, outcome);
        };
        let exchange = Call::new(
            now,
            request,
            call.timeouts,
            self.limits.max_line_bytes,
            state.max_answer,
            done,
        );
        let exchange = exchange.with_body_handler(index, Daemon::receive_watch_body);
        let key = self.start_exchange(now, to, exchange);
        if let Some(watch_state) = self.consul.as_mut().and_then(|c| c.watches.get_mut(index)) {
            watch_state.key = key;
        }
        if key.is_none() {
            self.watch_finished(now, index, Err(TransportError::Unreachable));
        }
    }

    /// Passes a part of a response body to its watch. Long responses are parsed incrementally to keep the turns of the
    /// event loop short.
    fn receive_watch_body(&mut self, index: usize, bytes: &[u8]) {
        if let Some(watch_state) = self.consul.as_mut().and_then(|c| c.watches.get_mut(index)) {
            watch_state.watch.on_body(bytes);
        }
    }

    fn watch_finished(&mut self, now: Micros, index: usize, outcome: Outcome) {
        let Some(watch_state) = self.consul.as_mut().and_then(|c| c.watches.get_mut(index)) else {
            return;
        };
        watch_state.key = None;
        let WatchUpdate {
            evidence,
            events,
            confirmed,
        } = match &outcome {
            Ok((head, body)) => {
                let response = Response {
                    status: head.status().unwrap_or(0),
                    headers: &head.headers,
                    body,
                };
                watch_state.watch.on_response(now, &response)
            }
            Err(failure) => watch_state.watch.on_failure(now, *failure),
        };
        let source = SourceId(CONSUL.0 + index);
        let mut denied = false;
        for event in events {
            denied |= matches!(event, WatchEvent::PermissionDenied { .. });
            let level = match event {
                WatchEvent::Recovered { .. }
                | WatchEvent::Confirmed
                | WatchEvent::IndexReset { .. } => log::Level::Info,
                WatchEvent::MostlyUnusable { .. } => log::Level::Error,
                _ => log::Level::Warn,
            };
            log::log!(level, source = self.endpoint_table.source_name(source); "Consul watch: {event}");
        }
        if denied {
            // The token may have been replaced since it was read.
            self.refresh_token();
        }
        if let Some(evidence) = evidence {
            self.receive_evidence(now, source, evidence);
        }
        if confirmed {
            self.schedule_snapshot(now, index);
        }
        self.drive_watch(now, index);
        // The list may have changed the readiness of this proxy.
        self.drive_registration(now);
    }

    /// Reads the token file again.
    fn refresh_token(&mut self) {
        let Some((state, consul)) = self.consul.as_mut().zip(self.config.consul.as_ref()) else {
            return;
        };
        match read_token(consul) {
            Ok(token) => state.token = token,
            Err(e) => log::warn!("failed to reload the Consul token, keeping the old one: {e}"),
        }
    }

    /// Restores a watch from a cached snapshot, which is treated as the last response. An empty first response of the
    /// agent then can't remove all endpoints without confirmation.
    pub(super) fn restore_watch(&mut self, index: usize, entries: &[Entry]) -> Option<Evidence> {
        Some(
            self.consul
                .as_mut()?
                .watches
                .get_mut(index)?
                .watch
                .restore(entries),
        )
    }

    /// Applies a changed configuration of Consul. The endpoint list stays until a response changes it.
    pub(in crate::daemon) fn reload_consul(
        &mut self,
        now: Micros,
        new: Option<Consul>,
    ) -> Result<(), ReloadError> {
        if self.config.consul == new {
            self.refresh_token();
            return Ok(());
        }
        let (Some(old), Some(new)) = (&self.config.consul, new) else {
            return Err(ReloadError::NeedsRestart);
        };
        if !old.can_reload_as(&new) {
            return Err(ReloadError::NeedsRestart);
        }
        let token = read_token(&new)?;
        let Some(state) = &mut self.consul else {
            return Err(ReloadError::NeedsRestart);
        };
        let mut keys = Vec::new();
        for (watch_state, options) in state.watches.iter_mut().zip(&new.options) {
            keys.extend(watch_state.key.take());
            watch_state
                .watch
                .reconfigure(options.clone(), new.mapping.clone());
        }
        (state.agents, state.token, state.max_answer) =
            (new.agents.clone(), token, new.max_response_bytes);
        for key in keys {
            self.connections.remove(key);
        }
        self.endpoint_table.set_damping(new.damping);
        self.config.consul = Some(new);
        self.drive_consul(now);
        Ok(())
    }
}
