//! The other direction: the proxy's own registration, with a TTL check that it keeps passing only while it can serve.
//!
//! An agent that starts again without its state has forgotten the registration: the next update of the check says
//! so (404, or 500 from older agents), and it is taken up again.

use crate::backoff::Backoff;
use crate::http::{segment, Call, Response, TransportError};
use linnetknot::Micros;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What is registered.
#[derive(Clone, Debug, PartialEq)]
pub struct Registrant {
    /// Id of the instance, unique at its agent.
    pub id: String,
    /// Name of the service.
    pub name: String,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Tags.
    pub tags: Vec<String>,
    /// Meta.
    pub meta: BTreeMap<String, String>,
    /// The check turns critical by itself if it is not updated for so long.
    pub ttl_us: Micros,
    /// The agent drops the registration once it was critical for so long; none: never.
    pub deregister_after_us: Option<Micros>,
    /// How long a call may take.
    pub response_timeout_us: Micros,
    /// Agents to choose from. The one that took the registration keeps it: a service belongs to an agent.
    pub agents: usize,
}

/// What is to be said of a call that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationEvent {
    /// Registered.
    Registered,
    /// The agent has forgotten the registration: it is taken up again.
    Forgotten,
    /// Deregistered.
    Deregistered,
    /// A call failed for this reason, the first in a row.
    Failed(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Unregistered,
    Registered,
    Deregistering,
    Deregistered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingCall {
    Register(bool),
    Update(bool),
    Deregister,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Register<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    tags: &'a [String],
    meta: &'a BTreeMap<String, String>,
    check: RegisterCheck,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterCheck {
    #[serde(rename = "CheckID")]
    check_id: String,
    name: &'static str,
    #[serde(rename = "TTL")]
    ttl: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    deregister_critical_service_after: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Update {
    status: &'static str,
    output: &'static str,
}

fn status(ready: bool) -> &'static str {
    if ready {
        "passing"
    } else {
        "critical"
    }
}

/// The proxy's registration at an agent.
#[derive(Clone, Debug)]
pub struct Registration {
    registrant: Registrant,
    stage: Stage,
    agent: usize,
    pending: Option<PendingCall>,
    next_at: Micros,
    /// What the agent was last told of the proxy's being able to serve.
    reported_ready: Option<bool>,
    backoff: Backoff,
    deregister_attempts: u32,
}

/// Tries to deregister: the proxy is about to end, and the check turns critical by itself.
const MAX_DEREGISTER_ATTEMPTS: u32 = 3;

impl Registration {
    /// A registration that is still to be made.
    pub fn new(registrant: Registrant, seed: u64) -> Self {
        // Never slower than two updates within a TTL, whatever fails in between.
        let max_backoff_us = (registrant.ttl_us / 3).max(100_000);
        Registration {
            registrant,
            stage: Stage::Unregistered,
            agent: 0,
            pending: None,
            next_at: 0,
            reported_ready: None,
            backoff: Backoff::new(100_000.min(max_backoff_us), max_backoff_us, seed ^ 0x7e61),
            deregister_attempts: 0,
        }
    }

    fn check_id(&self) -> String {
        format!("service:{}", self.registrant.id)
    }

    /// When the next call is due, given whether the proxy can serve; none while one is out, or when all is done.
    pub fn due(&self, now: Micros, ready: bool) -> Option<Micros> {
        if self.pending.is_some() || self.stage == Stage::Deregistered {
            return None;
        }
        // A change is told at once, unless the agent has just failed.
        let changed = self.stage == Stage::Registered
            && self.reported_ready != Some(ready)
            && self.backoff.failures() == 0;
        Some(if changed { now } else { self.next_at })
    }

    /// The next call, if it is due. Its end must be handed back by `answered` or `failed`.
    pub fn poll(&mut self, now: Micros, ready: bool) -> Option<Call> {
        if self.due(now, ready)? > now {
            return None;
        }
        let (call, target, body) = match self.stage {
            Stage::Unregistered => {
                let body = Register {
                    id: &self.registrant.id,
                    name: &self.registrant.name,
                    address: self.registrant.address.ip().to_string(),
                    port: self.registrant.address.port(),
                    tags: &self.registrant.tags,
                    meta: &self.registrant.meta,
                    check: RegisterCheck {
                        check_id: self.check_id(),
                        name: "can serve",
                        ttl: format!("{}ms", self.registrant.ttl_us / 1000),
                        status: status(ready),
                        deregister_critical_service_after: self
                            .registrant
                            .deregister_after_us
                            .map(|us| format!("{}ms", us / 1000)),
                    },
                };
                let body = serde_json::to_vec(&body).unwrap_or_default();
                (
                    PendingCall::Register(ready),
                    "/v1/agent/service/register".to_owned(),
                    body,
                )
            }
            Stage::Registered => {
                let output = if ready {
                    "serving"
                } else {
                    "no boxes to send to, or about to end"
                };
                let body = serde_json::to_vec(&Update {
                    status: status(ready),
                    output,
                })
                .unwrap_or_default();
                (
                    PendingCall::Update(ready),
                    format!("/v1/agent/check/update/{}", segment(&self.check_id())),
                    body,
                )
            }
            Stage::Deregistering => (
                PendingCall::Deregister,
                format!(
                    "/v1/agent/service/deregister/{}",
                    segment(&self.registrant.id)
                ),
                Vec::new(),
            ),
            Stage::Deregistered => return None,
        };
        self.pending = Some(call);
        Some(Call {
            agent: self.agent,
            method: "PUT",
            target,
            body,
            timeout_us: self.registrant.response_timeout_us,
        })
    }

    /// The call was answered.
    pub fn on_response(
        &mut self,
        now: Micros,
        response: &Response<'_>,
    ) -> Option<RegistrationEvent> {
        let call = self.pending.take()?;
        let heartbeat_us = self.backoff.jitter(self.registrant.ttl_us / 4);
        match (call, response.status) {
            (PendingCall::Register(ready), 200) => {
                if self.stage == Stage::Unregistered {
                    self.stage = Stage::Registered;
                }
                self.on_success(now + heartbeat_us, ready);
                Some(RegistrationEvent::Registered)
            }
            (PendingCall::Update(ready), 200) => {
                self.on_success(now + heartbeat_us, ready);
                None
            }
            // Older agents answer 500 with these words in place of 404.
            (PendingCall::Update(_), status)
                if status == 404
                    || status == 500 && response.error_summary().contains("nknown check") =>
            {
                if self.stage == Stage::Registered {
                    self.stage = Stage::Unregistered;
                }
                self.next_at = now;
                Some(RegistrationEvent::Forgotten)
            }
            (PendingCall::Deregister, 200 | 404) => {
                self.stage = Stage::Deregistered;
                Some(RegistrationEvent::Deregistered)
            }
            (call, status) => self.fail(
                now,
                call,
                format!("answers {status} ({})", response.error_summary()),
            ),
        }
    }

    fn on_success(&mut self, next_at: Micros, ready: bool) {
        self.backoff.reset();
        self.reported_ready = Some(ready);
        if self.stage != Stage::Deregistering {
            self.next_at = next_at;
        }
    }

    /// The call came to nothing.
    pub fn on_failure(
        &mut self,
        now: Micros,
        failure: TransportError,
    ) -> Option<RegistrationEvent> {
        let call = self.pending.take()?;
        self.fail(now, call, failure.to_string())
    }

    fn fail(
        &mut self,
        now: Micros,
        call: PendingCall,
        reason: String,
    ) -> Option<RegistrationEvent> {
        let first = self.backoff.failures() == 0;
        self.next_at = now + self.backoff.next_delay();
        match call {
            // It is nobody's yet: the next agent may take it.
            PendingCall::Register(_) => {
                self.agent = (self.agent + 1) % self.registrant.agents.max(1);
            }
            PendingCall::Update(_) => {}
            PendingCall::Deregister => {
                self.deregister_attempts += 1;
                if self.deregister_attempts >= MAX_DEREGISTER_ATTEMPTS {
                    self.stage = Stage::Deregistered;
                }
            }
        }
        if self.stage == Stage::Deregistering {
            self.next_at = self.next_at.min(now + 100_000);
        }
        first.then_some(RegistrationEvent::Failed(reason))
    }

    /// The proxy is about to end: deregisters, as soon as no call is out.
    pub fn deregister(&mut self, now: Micros) {
        self.stage = match (self.stage, self.pending) {
            (Stage::Unregistered, None) => Stage::Deregistered,
            (Stage::Deregistered, _) => Stage::Deregistered,
            _ => Stage::Deregistering,
        };
        self.next_at = now;
    }

    /// Whether nothing is left to be done before the proxy ends.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Deregistered
    }
}
