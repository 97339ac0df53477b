//! The registration of the proxy, with a TTL check that passes only while the proxy can serve.
//!
//! An agent that restarts without its state loses the registration. The next check update then fails with status 404,
//! or 500 from older agents, and the proxy registers again.

mod payload;

use crate::backoff::Backoff;
use crate::error::CallError;
use crate::http::{encode_segment, Call, Response, TransportError};
use crate::timeouts::ResponseTimeouts;
use linnetknot::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Delay after the first of consecutive failures.
const MIN_BACKOFF_US: Micros = 100_000;
/// Number of attempts to deregister at shutdown. If all fail, the check becomes critical when its TTL expires.
const MAX_DEREGISTER_ATTEMPTS: u32 = 3;
/// Maximum delay between the attempts to deregister.
const MAX_DEREGISTER_DELAY_US: Micros = 100_000;
/// Combined with the seed, so that the delays of the watch and of the registration of a proxy have different jitter.
const SEED_SALT: u64 = 0x7e61;

/// The service that is registered, and how it is registered.
#[derive(Clone, Debug, PartialEq)]
pub struct Registrant {
    /// Id of the service instance, which is unique at its agent.
    pub id: String,
    /// Name of the service.
    pub name: String,
    /// Address to which clients connect.
    pub address: SocketAddr,
    /// Tags of the service.
    pub tags: Vec<String>,
    /// Metadata of the service.
    pub meta: BTreeMap<String, String>,
    /// TTL of the check, in microseconds: without an update for this long the check becomes critical.
    pub ttl_us: Micros,
    /// The agent deregisters the service once it has been critical for this long, in microseconds. With `None` the
    /// agent never deregisters it.
    pub deregister_after_us: Option<Micros>,
    /// Time within which the response to a call must be complete, in microseconds.
    pub response_timeout_us: Micros,
    /// Number of agents to choose from. A service belongs to the agent at which it was registered, so the agent does
    /// not change after the registration.
    pub agents: usize,
}

impl Registrant {
    fn check_id(&self) -> String {
        format!("service:{}", self.id)
    }
}

/// A change of the registration, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationEvent {
    /// The agent has accepted the registration.
    Registered,
    /// The agent has lost the registration, so the proxy registers again.
    RegistrationLost,
    /// The agent has removed the registration.
    Deregistered,
    /// A call failed. Only the first of consecutive failures is reported.
    Failed(CallError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Unregistered,
    Registered,
    Deregistering,
    Deregistered,
}

/// The call in flight, with the readiness that it reports to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingCall {
    Register { ready: bool },
    Update { ready: bool },
    Deregister,
}

/// The proxy's registration at an agent.
#[derive(Clone, Debug)]
pub struct Registration {
    registrant: Registrant,
    stage: Stage,
    /// Index of the current agent.
    agent: usize,
    pending: Option<PendingCall>,
    next_at: Micros,
    /// The readiness that the agent last acknowledged.
    reported_ready: Option<bool>,
    backoff: Backoff,
    deregister_attempts: u32,
}

impl Registration {
    /// Creates a registration whose first call is due immediately.
    pub fn new(registrant: Registrant, seed: u64) -> Self {
        // With this limit the proxy makes at least two attempts to update the check within a TTL, even during failures.
        let max_backoff_us = (registrant.ttl_us / 3).max(MIN_BACKOFF_US);
        Registration {
            registrant,
            stage: Stage::Unregistered,
            agent: 0,
            pending: None,
            next_at: 0,
            reported_ready: None,
            backoff: Backoff::new(MIN_BACKOFF_US, max_backoff_us, seed ^ SEED_SALT),
            deregister_attempts: 0,
        }
    }

    /// Returns the time at which the next call is due, given whether the proxy can serve. Returns `None` while a call
    /// is in flight and once the registration has ended.
    pub fn due(&self, now: Micros, ready: bool) -> Option<Micros> {
        if self.pending.is_some() || self.stage == Stage::Deregistered {
            return None;
        }
        // A change of readiness is reported immediately, unless the last call failed.
        let changed = self.stage == Stage::Registered
            && self.reported_ready != Some(ready)
            && self.backoff.failures() == 0;
        Some(if changed { now } else { self.next_at })
    }

    /// Returns the next call, if one is due. The caller passes its result to [`on_response`](Self::on_response) or
    /// [`on_failure`](Self::on_failure).
    pub fn poll(&mut self, now: Micros, ready: bool) -> Option<Call> {
        if self.due(now, ready)? > now {
            return None;
        }
        let pending = match self.stage {
            Stage::Unregistered => PendingCall::Register { ready },
            Stage::Registered => PendingCall::Update { ready },
            Stage::Deregistering => PendingCall::Deregister,
            Stage::Deregistered => return None,
        };
        self.pending = Some(pending);
        Some(self.call(pending))
    }

    fn call(&self, pending: PendingCall) -> Call {
        let registrant = &self.registrant;
        let (target, body) = match pending {
            PendingCall::Register { ready } => (
                "/v1/agent/service/register".to_owned(),
                payload::register(registrant, ready),
            ),
            PendingCall::Update { ready } => {
                let check_id = encode_segment(&registrant.check_id());
                let target = format!("/v1/agent/check/update/{check_id}");
                (target, payload::check_update(ready))
            }
            PendingCall::Deregister => {
                let id = encode_segment(&registrant.id);
                let target = format!("/v1/agent/service/deregister/{id}");
                (target, Vec::new())
            }
        };
        Call {
            agent: self.agent,
            method: "PUT",
            target,
            body,
            timeouts: ResponseTimeouts::of_short_response(registrant.response_timeout_us),
        }
    }

    /// Handles the response to the call in flight.
    pub fn on_response(
        &mut self,
        now: Micros,
        response: &Response<'_>,
    ) -> Option<RegistrationEvent> {
        let pending = self.pending.take()?;
        let heartbeat_at = now + self.backoff.jitter(self.registrant.ttl_us / 4);
        match (pending, response.status) {
            (PendingCall::Register { ready }, 200) => {
                if self.stage == Stage::Unregistered {
                    self.stage = Stage::Registered;
                }
                self.on_acknowledged(heartbeat_at, ready);
                Some(RegistrationEvent::Registered)
            }
            (PendingCall::Update { ready }, 200) => {
                self.on_acknowledged(heartbeat_at, ready);
                None
            }
            (PendingCall::Update { .. }, _) if is_unknown_check(response) => {
                if self.stage == Stage::Registered {
                    self.stage = Stage::Unregistered;
                }
                self.next_at = now;
                Some(RegistrationEvent::RegistrationLost)
            }
            (PendingCall::Deregister, 200 | 404) => {
                self.stage = Stage::Deregistered;
                Some(RegistrationEvent::Deregistered)
            }
            (pending, status) => {
                let summary = response.error_summary();
                self.handle_failure(now, pending, CallError::Status { status, summary })
            }
        }
    }

    /// Handles the failure of the call in flight.
    pub fn on_failure(&mut self, now: Micros, error: TransportError) -> Option<RegistrationEvent> {
        let pending = self.pending.take()?;
        self.handle_failure(now, pending, error.into())
    }

    /// Records that the agent has acknowledged the readiness of the proxy.
    fn on_acknowledged(&mut self, heartbeat_at: Micros, ready: bool) {
        self.backoff.reset();
        self.reported_ready = Some(ready);
        if self.stage != Stage::Deregistering {
            self.next_at = heartbeat_at;
        }
    }

    fn handle_failure(
        &mut self,
        now: Micros,
        pending: PendingCall,
        error: CallError,
    ) -> Option<RegistrationEvent> {
        let is_first = self.backoff.failures() == 0;
        self.next_at = now + self.backoff.next_delay();
        match pending {
            // The service is not registered at any agent yet, so the next agent is tried.
            PendingCall::Register { .. } => {
                self.agent = (self.agent + 1) % self.registrant.agents.max(1);
            }
            PendingCall::Update { .. } => {}
            PendingCall::Deregister => {
                self.deregister_attempts += 1;
                if self.deregister_attempts >= MAX_DEREGISTER_ATTEMPTS {
                    self.stage = Stage::Deregistered;
                }
            }
        }
        if self.stage == Stage::Deregistering {
            self.next_at = self.next_at.min(now + MAX_DEREGISTER_DELAY_US);
        }
        is_first.then_some(RegistrationEvent::Failed(error))
    }

    /// Begins the shutdown: deregisters the service as soon as no call is in flight.
    pub fn deregister(&mut self, now: Micros) {
        self.stage = match (self.stage, self.pending) {
            (Stage::Unregistered, None) => Stage::Deregistered,
            (Stage::Deregistered, _) => Stage::Deregistered,
            _ => Stage::Deregistering,
        };
        self.next_at = now;
    }

    /// Returns whether the service is deregistered, or the attempts to deregister it are exhausted.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Deregistered
    }
}

/// Returns whether the response states that the check is unknown to the agent. Older agents respond with 500 instead of
/// 404.
fn is_unknown_check(response: &Response<'_>) -> bool {
    match response.status {
        404 => true,
        500 => response.error_summary().contains("nknown check"),
        _ => false,
    }
}
