//! The other direction: the proxy's own registration, with a TTL check that it keeps passing only while it can serve.
//!
//! An agent that starts again without its state has forgotten the registration: the next update of the check says
//! so (404, or 500 from older agents), and it is taken up again.

use crate::backoff::Backoff;
use crate::http::{segment, Call, Failure, Response};
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
    pub drop_after_us: Option<Micros>,
    /// How long a call may take.
    pub answer_us: Micros,
    /// Agents to choose from. The one that took the registration keeps it: a service belongs to an agent.
    pub agents: usize,
}

/// What is to be said of a call that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Registered.
    Registered,
    /// The agent has forgotten the registration: it is taken up again.
    Forgotten,
    /// Deregistered.
    Left,
    /// A call failed for this reason, the first in a row.
    Failed(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Unregistered,
    Registered,
    Leaving,
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Out {
    Register(bool),
    Update(bool),
    Leave,
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
    r: Registrant,
    stage: Stage,
    agent: usize,
    out: Option<Out>,
    next_at: Micros,
    /// What the agent was last told of the proxy's being able to serve.
    told: Option<bool>,
    backoff: Backoff,
    leave_tries: u32,
}

/// Tries to deregister: the proxy is about to end, and the check turns critical by itself.
const LEAVE_TRIES: u32 = 3;

impl Registration {
    /// A registration that is still to be made.
    pub fn new(registrant: Registrant, seed: u64) -> Self {
        // Never slower than two updates within a TTL, whatever fails in between.
        let most = (registrant.ttl_us / 3).max(100_000);
        Registration {
            r: registrant,
            stage: Stage::Unregistered,
            agent: 0,
            out: None,
            next_at: 0,
            told: None,
            backoff: Backoff::new(100_000.min(most), most, seed ^ 0x7e61),
            leave_tries: 0,
        }
    }

    fn check_id(&self) -> String {
        format!("service:{}", self.r.id)
    }

    /// When the next call is due, given whether the proxy can serve; none while one is out, or when all is done.
    pub fn due(&self, now: Micros, ready: bool) -> Option<Micros> {
        if self.out.is_some() || self.stage == Stage::Left {
            return None;
        }
        // A change is told at once, unless the agent has just failed.
        let news = self.stage == Stage::Registered
            && self.told != Some(ready)
            && self.backoff.failures() == 0;
        Some(if news { now } else { self.next_at })
    }

    /// The next call, if it is due. Its end must be handed back by `answered` or `failed`.
    pub fn ask(&mut self, now: Micros, ready: bool) -> Option<Call> {
        if self.due(now, ready)? > now {
            return None;
        }
        let (out, target, body) = match self.stage {
            Stage::Unregistered => {
                let body = Register {
                    id: &self.r.id,
                    name: &self.r.name,
                    address: self.r.address.ip().to_string(),
                    port: self.r.address.port(),
                    tags: &self.r.tags,
                    meta: &self.r.meta,
                    check: RegisterCheck {
                        check_id: self.check_id(),
                        name: "can serve",
                        ttl: format!("{}ms", self.r.ttl_us / 1000),
                        status: status(ready),
                        deregister_critical_service_after: self
                            .r
                            .drop_after_us
                            .map(|us| format!("{}ms", us / 1000)),
                    },
                };
                let body = serde_json::to_vec(&body).unwrap_or_default();
                (
                    Out::Register(ready),
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
                    Out::Update(ready),
                    format!("/v1/agent/check/update/{}", segment(&self.check_id())),
                    body,
                )
            }
            Stage::Leaving => (
                Out::Leave,
                format!("/v1/agent/service/deregister/{}", segment(&self.r.id)),
                Vec::new(),
            ),
            Stage::Left => return None,
        };
        self.out = Some(out);
        Some(Call {
            agent: self.agent,
            method: "PUT",
            target,
            body,
            timeout_us: self.r.answer_us,
        })
    }

    /// The call was answered.
    pub fn answered(&mut self, now: Micros, response: &Response<'_>) -> Option<Step> {
        let out = self.out.take()?;
        let beat = self.backoff.spread(self.r.ttl_us / 4);
        match (out, response.status) {
            (Out::Register(ready), 200) => {
                if self.stage == Stage::Unregistered {
                    self.stage = Stage::Registered;
                }
                self.done(now + beat, ready);
                Some(Step::Registered)
            }
            (Out::Update(ready), 200) => {
                self.done(now + beat, ready);
                None
            }
            // Older agents answer 500 with these words in place of 404.
            (Out::Update(_), status)
                if status == 404 || status == 500 && response.says().contains("nknown check") =>
            {
                if self.stage == Stage::Registered {
                    self.stage = Stage::Unregistered;
                }
                self.next_at = now;
                Some(Step::Forgotten)
            }
            (Out::Leave, 200 | 404) => {
                self.stage = Stage::Left;
                Some(Step::Left)
            }
            (out, status) => self.fail(now, out, format!("answers {status} ({})", response.says())),
        }
    }

    fn done(&mut self, next_at: Micros, ready: bool) {
        self.backoff.succeeded();
        self.told = Some(ready);
        if self.stage != Stage::Leaving {
            self.next_at = next_at;
        }
    }

    /// The call came to nothing.
    pub fn failed(&mut self, now: Micros, failure: Failure) -> Option<Step> {
        let out = self.out.take()?;
        self.fail(now, out, failure.to_string())
    }

    fn fail(&mut self, now: Micros, out: Out, why: String) -> Option<Step> {
        let first = self.backoff.failures() == 0;
        self.next_at = now + self.backoff.failed();
        match out {
            // It is nobody's yet: the next agent may take it.
            Out::Register(_) => self.agent = (self.agent + 1) % self.r.agents.max(1),
            Out::Update(_) => {}
            Out::Leave => {
                self.leave_tries += 1;
                if self.leave_tries >= LEAVE_TRIES {
                    self.stage = Stage::Left;
                }
            }
        }
        if self.stage == Stage::Leaving {
            self.next_at = self.next_at.min(now + 100_000);
        }
        first.then_some(Step::Failed(why))
    }

    /// The proxy is about to end: deregisters, as soon as no call is out.
    pub fn leave(&mut self, now: Micros) {
        self.stage = match (self.stage, self.out) {
            (Stage::Unregistered, None) => Stage::Left,
            (Stage::Left, _) => Stage::Left,
            _ => Stage::Leaving,
        };
        self.next_at = now;
    }

    /// Whether nothing is left to be done before the proxy ends.
    pub fn has_left(&self) -> bool {
        self.stage == Stage::Left
    }
}
