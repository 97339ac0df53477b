//! Consul in the daemon: the watches of its data centres, the proxy's own registration, and the endpoint lists that are
//! cached for the next start.

mod cached_snapshot;
mod call;

use crate::daemon::discovery::CONSUL;
use crate::daemon::Daemon;
use crate::interconnect::Consul;
use crate::net::{Due, Key};
pub(in crate::daemon) use cached_snapshot::SnapshotWriter;
use call::{Call, Outcome};
use linnetknot::Micros;
use linnetknot_consul::{
    Registration, RegistrationEvent, Response, Token, TransportError, Watch, WatchEvent,
    WatchUpdate,
};
use linnetknot_discovery::{Entry, Evidence, SourceId};
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The watch of one data centre.
struct Watched {
    watch: Watch,
    /// The call that is out.
    key: Option<Key>,
    timer: Option<Due>,
}

/// The proxy's own registration.
struct Registered {
    registration: Registration,
    timer: Option<Due>,
}

/// What the daemon knows of Consul.
pub(in crate::daemon) struct State {
    agents: Vec<SocketAddr>,
    watches: Vec<Watched>,
    registered: Option<Registered>,
    token: Option<Token>,
    max_answer: usize,
}

/// The file of the token can't be used. Its text shows in no message.
#[derive(Debug, thiserror::Error)]
#[error("consul.token_file: {}: {reason}", path.display())]
pub(in crate::daemon) struct TokenError {
    path: PathBuf,
    reason: Box<dyn Error + Send + Sync>,
}

/// Reads the token's file.
fn token(consul: &Consul) -> Result<Option<Token>, TokenError> {
    let Some(path) = &consul.token_file else {
        return Ok(None);
    };
    let error = |reason| TokenError {
        path: path.clone(),
        reason,
    };
    let text = fs::read_to_string(path).map_err(|e| error(e.into()))?;
    let token = Token::parse(&text).map_err(|e| error(e.into()))?;
    Ok(Some(token))
}

impl State {
    /// The state at the start. `listen` is where clients connect, which is what is registered.
    pub(in crate::daemon) fn start(
        consul: &Consul,
        seed: u64,
        listen: SocketAddr,
    ) -> Result<Self, TokenError> {
        let watch = |(n, options)| {
            let watch = Watch::new(options, consul.mapping.clone(), seed ^ (n as u64 + 1));
            Watched {
                watch,
                key: None,
                timer: None,
            }
        };
        let registered = consul.registrant(listen).map(|r| Registered {
            registration: Registration::new(r, seed),
            timer: None,
        });
        Ok(State {
            agents: consul.agents.clone(),
            watches: consul
                .options
                .iter()
                .cloned()
                .enumerate()
                .map(watch)
                .collect(),
            registered,
            token: token(consul)?,
            max_answer: consul.most_answer,
        })
    }
}

impl Daemon {
    /// Begins whatever of Consul is due, and sees to it that the rest is begun in time.
    pub(in crate::daemon) fn drive_consul(&mut self, now: Micros) {
        let watches = self.consul.as_ref().map_or(0, |c| c.watches.len());
        (0..watches).for_each(|n| self.drive_watch(now, n));
        self.drive_registration(now);
    }

    fn drive_watch(&mut self, now: Micros, n: usize) {
        let Some(state) = &mut self.consul else {
            return;
        };
        let Some(w) = state.watches.get_mut(n) else {
            return;
        };
        if let Some(timer) = w.timer.take() {
            self.deadlines.cancel(timer);
        }
        let Some(call) = w.watch.poll(now) else {
            if let Some(at) = w.watch.due() {
                let timer = self.later(at, move |daemon, now| daemon.drive_watch(now, n));
                if let Some(w) = self.consul.as_mut().and_then(|c| c.watches.get_mut(n)) {
                    w.timer = Some(timer);
                }
            }
            return;
        };
        let to = state.agents[call.agent.min(state.agents.len() - 1)];
        let request = call.to_bytes(&to.to_string(), state.token.as_ref());
        let then = move |daemon: &mut Daemon, now, outcome: Outcome| {
            daemon.watch_finished(now, n, outcome);
        };
        let exchange = Call::new(request, self.limits.line, state.max_answer, then);
        let exchange = exchange.in_parts(n, Daemon::watch_reads);
        let key = self.exchange(now, to, exchange, Some(call.timeout_us));
        if let Some(w) = self.consul.as_mut().and_then(|c| c.watches.get_mut(n)) {
            w.key = key;
        }
        if key.is_none() {
            self.watch_finished(now, n, Err(TransportError::Unreachable));
        }
    }

    /// A part of an answer: read as it comes, so that a long one takes the loop's time in small steps.
    fn watch_reads(&mut self, n: usize, bytes: &[u8]) {
        if let Some(w) = self.consul.as_mut().and_then(|c| c.watches.get_mut(n)) {
            w.watch.on_body(bytes);
        }
    }

    fn watch_finished(&mut self, now: Micros, n: usize, outcome: Outcome) {
        let Some(w) = self.consul.as_mut().and_then(|c| c.watches.get_mut(n)) else {
            return;
        };
        w.key = None;
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
                w.watch.on_response(now, &response)
            }
            Err(failure) => w.watch.on_failure(now, *failure),
        };
        let source = SourceId(CONSUL.0 + n);
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
            log::log!(level, source = self.members.source_name(source); "a watch of Consul: {event}");
        }
        if denied {
            // It may have been replaced since.
            self.read_token();
        }
        if let Some(evidence) = evidence {
            self.receive_evidence(now, source, evidence);
        }
        if confirmed {
            self.schedule_snapshot(now, n);
        }
        self.drive_watch(now, n);
        // Whether this proxy can serve may have changed with the list.
        self.drive_registration(now);
    }

    fn read_token(&mut self) {
        let Some((state, consul)) = self.consul.as_mut().zip(self.config.consul.as_ref()) else {
            return;
        };
        match token(consul) {
            Ok(token) => state.token = token,
            Err(e) => log::warn!("the token stays as it was: {e}"),
        }
    }

    pub(in crate::daemon) fn drive_registration(&mut self, now: Micros) {
        let ready = self.can_serve();
        let Some(state) = &mut self.consul else {
            return;
        };
        let Some(r) = &mut state.registered else {
            return;
        };
        let Some(call) = r.registration.poll(now, ready) else {
            let due = r.registration.due(now, ready);
            if due != r.timer.map(|timer| timer.at) {
                if let Some(timer) = r.timer.take() {
                    self.deadlines.cancel(timer);
                }
                let timer = due.map(|at| {
                    self.later(at, |daemon, now| {
                        if let Some(r) = daemon.consul.as_mut().and_then(|c| c.registered.as_mut())
                        {
                            r.timer = None;
                        }
                        daemon.drive_registration(now);
                    })
                });
                if let Some(r) = self.consul.as_mut().and_then(|c| c.registered.as_mut()) {
                    r.timer = timer;
                }
            }
            return;
        };
        let to = state.agents[call.agent.min(state.agents.len() - 1)];
        let request = call.to_bytes(&to.to_string(), state.token.as_ref());
        let then =
            |daemon: &mut Daemon, now, outcome: Outcome| daemon.registration_finished(now, outcome);
        let exchange = Call::new(request, self.limits.line, self.limits.line, then);
        let key = self.exchange(now, to, exchange, Some(call.timeout_us));
        if key.is_none() {
            self.registration_finished(now, Err(TransportError::Unreachable));
        }
    }

    fn registration_finished(&mut self, now: Micros, outcome: Outcome) {
        let Some(r) = self.consul.as_mut().and_then(|c| c.registered.as_mut()) else {
            return;
        };
        let step = match &outcome {
            Ok((head, body)) => {
                let response = Response {
                    status: head.status().unwrap_or(0),
                    headers: &head.headers,
                    body,
                };
                r.registration.on_response(now, &response)
            }
            Err(failure) => r.registration.on_failure(now, *failure),
        };
        match step {
            Some(RegistrationEvent::Registered) => log::info!("registered in Consul"),
            Some(RegistrationEvent::RegistrationLost) => {
                log::warn!("the agent has forgotten the registration: it is taken up again");
            }
            Some(RegistrationEvent::Deregistered) => log::info!("deregistered in Consul"),
            Some(RegistrationEvent::Failed(why)) => log::warn!("the registration: the agent {why}"),
            None => {}
        }
        self.drive_registration(now);
    }

    /// A cached snapshot counts as the last answer of a watch, so that an empty first answer can't wipe it out.
    pub(super) fn seed_watch(&mut self, n: usize, entries: &[Entry]) -> Option<Evidence> {
        Some(
            self.consul
                .as_mut()?
                .watches
                .get_mut(n)?
                .watch
                .restore(entries),
        )
    }

    /// Ends the proxy's registration, as the process is about to end: clients are to go elsewhere.
    pub(in crate::daemon) fn deregister_from_consul(&mut self, now: Micros) {
        if let Some(r) = self.consul.as_mut().and_then(|c| c.registered.as_mut()) {
            r.registration.deregister(now);
        }
        self.drive_registration(now);
    }

    /// Whether Consul needs nothing more of a proxy that ends.
    pub(in crate::daemon) fn is_deregistered_from_consul(&self) -> bool {
        let registered = self.consul.as_ref().and_then(|c| c.registered.as_ref());
        registered.is_none_or(|r| r.registration.is_finished())
    }

    /// Takes another configuration of Consul. The list stays until an answer changes it. False: it needs a new start.
    pub(in crate::daemon) fn reload_consul(&mut self, now: Micros, new: Option<Consul>) -> bool {
        if self.config.consul == new {
            self.read_token();
            return true;
        }
        let (Some(old), Some(new)) = (&self.config.consul, new) else {
            return false;
        };
        if !old.can_become(&new) {
            return false;
        }
        let token = match token(&new) {
            Ok(token) => token,
            Err(e) => {
                log::error!("SIGHUP: 'consul' stays as it was: {e}");
                return true;
            }
        };
        let Some(state) = &mut self.consul else {
            return false;
        };
        let mut keys = Vec::new();
        for (w, options) in state.watches.iter_mut().zip(&new.options) {
            keys.extend(w.key.take());
            w.watch.reconfigure(options.clone(), new.mapping.clone());
        }
        (state.agents, state.token, state.max_answer) =
            (new.agents.clone(), token, new.most_answer);
        for key in keys {
            self.connections.remove(key);
        }
        self.members.set_damping(new.damping);
        self.config.consul = Some(new);
        self.drive_consul(now);
        true
    }
}
