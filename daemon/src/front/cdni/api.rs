//! Handles the requests received over CDNI: triggers, redirection, footprints and capabilities, and content.

use super::content::{content_request, path_of, ContentPath};
use super::footprint::Network;
use super::triggers::{self, TriggerTable};
use super::{footprint, redirect, Identity, PeerCdn, Post, Reply, Response, TriggerId};
use crate::wire::http::Head;
use linnetknot::Micros;
use serde_json::Value;

/// The increment between the ids of content requests. It is odd, so that the ids repeat only after 2^64 requests.
const ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// The path of the collection of triggers.
const TRIGGERS: &str = "/cdni/triggers";
/// The prefix of the paths of trigger statuses.
const TRIGGER_PREFIX: &str = "/cdni/triggers/";
/// The prefix of the paths for footprint notices of peer CDNs.
const NOTICE_PREFIX: &str = "/cdni/footprint/";

/// The footprint that a peer CDN has advertised: the networks that it serves.
pub(super) struct PeerFootprint {
    pub(super) provider: String,
    pub(super) networks: Vec<Network>,
}

/// The state of the interconnection with peer CDNs: the triggers, and the footprints that the peers have advertised.
pub struct TriggerApi {
    identity: Identity,
    triggers: TriggerTable,
    footprints: Vec<PeerFootprint>,
    /// The number of requests for content so far, from which their ids are derived.
    content_requests: u64,
    seed: u64,
}

impl TriggerApi {
    /// Creates the state, with up to `max_triggers` triggers of this proxy.
    pub fn new(identity: Identity, seed: u64, max_triggers: usize) -> Self {
        TriggerApi {
            identity,
            triggers: TriggerTable::new(max_triggers),
            footprints: Vec::new(),
            content_requests: 0,
            seed,
        }
    }

    /// Handles a request. `ready` is whether content can be served, and `now` is Unix time.
    pub fn handle(&mut self, now: Micros, ready: bool, head: &Head, body: &[u8]) -> Reply {
        let Some((method, target)) = head.request() else {
            return Reply::Respond(Response::bare(400));
        };
        let path = path_of(target).split('?').next().unwrap_or("");
        let json = || serde_json::from_slice::<Value>(body).ok();
        let response = match (method, path) {
            ("GET", "/health") => Response::bare(if ready { 200 } else { 503 }),
            ("GET", path) if path.starts_with("/content/") => return self.content(head, target),
            ("POST", TRIGGERS) => return self.trigger_command(now, json().as_ref()),
            ("GET", TRIGGERS) => self.triggers.collection(&self.identity, None),
            ("GET" | "DELETE", path) if path.starts_with(TRIGGER_PREFIX) => {
                return self.trigger_status(method, &path[TRIGGER_PREFIX.len()..]);
            }
            ("POST", "/cdni/redirect") => match json() {
                Some(request) => {
                    redirect::answer(&self.identity, &self.footprints, ready, &request)
                }
                None => redirect::error(400, "the request is not JSON"),
            },
            ("GET", "/cdni/footprint") => footprint::advertise(&self.identity, ready),
            ("POST", path) if path.starts_with(NOTICE_PREFIX) => {
                self.take_notice(&path[NOTICE_PREFIX.len()..], json().as_ref())
            }
            (_, TRIGGERS | "/cdni/redirect" | "/cdni/footprint" | "/health") => Response::bare(405),
            _ => Response::bare(404),
        };
        Reply::Respond(response)
    }

    /// Executes a command of a peer CDN.
    fn trigger_command(&mut self, now: Micros, command: Option<&Value>) -> Reply {
        let Some(command) = command else {
            return Reply::Respond(Response::bare(400));
        };
        let mut effects = Vec::new();
        let result = self
            .triggers
            .command(&self.identity, seconds(now), command, &mut effects);
        match result.trigger {
            None => Reply::Respond(result.response),
            trigger => Reply::RespondOnceCommitted {
                response: result.response,
                trigger,
                effects,
            },
        }
    }

    /// Returns or deletes the status of a trigger.
    fn trigger_status(&mut self, method: &str, name: &str) -> Reply {
        let mut effects = Vec::new();
        let response = self
            .triggers
            .resource(&self.identity, method, name, &mut effects);
        if effects.is_empty() {
            return Reply::Respond(response);
        }
        Reply::RespondOnceCommitted {
            response,
            trigger: None,
            effects,
        }
    }

    /// Sets the id of the next trigger of this proxy.
    pub fn start_ids_at(&mut self, first: TriggerId) {
        self.triggers.start_ids_at(first);
    }

    /// Adds the status of a trigger of another proxy, or of an earlier process of this proxy. An expired or incomplete
    /// status is ignored.
    pub fn insert(&mut self, now: Micros, id: TriggerId, payload: &str) {
        self.triggers.insert(seconds(now), id, payload);
    }

    /// Removes a deleted trigger.
    pub fn remove(&mut self, id: TriggerId) {
        self.triggers.remove(id);
    }

    /// Undoes a command whose effects can't be committed: removes the trigger that it created, if any, and returns the
    /// response that asks the peer CDN to retry.
    pub fn retract(&mut self, trigger: Option<TriggerId>) -> Response {
        if let Some(id) = trigger {
            self.triggers.remove(id);
        }
        Response::bare(503).with("Retry-After", "1".to_owned())
    }

    /// Stores the footprint that a peer CDN advertises.
    fn take_notice(&mut self, from: &str, payload: Option<&Value>) -> Response {
        if !self.identity.peers.iter().any(|peer| peer.provider == from) {
            return Response::bare(403);
        }
        let Some(networks) = payload.and_then(footprint::read) else {
            return Response::bare(400);
        };
        self.footprints.retain(|known| known.provider != from);
        self.footprints.push(PeerFootprint {
            provider: from.to_owned(),
            networks,
        });
        Response::bare(204)
    }

    /// Returns the notices of this CDN's footprint, one for each peer CDN.
    pub fn footprint_notices(&self, ready: bool) -> Vec<Post> {
        let body = footprint::advertisement(&self.identity, ready).to_string();
        let notice = |peer: &PeerCdn| Post {
            address: peer.address,
            path: peer.notices.clone(),
            ptype: footprint::PTYPE,
            body: body.clone(),
        };
        self.identity.peers.iter().map(notice).collect()
    }

    /// Returns the commands that forward a purge to all peer CDNs. The purge must not have come from one of them.
    pub fn purge_commands(&self, object: Option<&str>, group: u64) -> Vec<Post> {
        triggers::purge_commands(&self.identity, object, group)
    }

    /// Converts an HTTP request for content to a request for the core.
    fn content(&mut self, head: &Head, target: &str) -> Reply {
        let content = ContentPath::read(path_of(target));
        let known = content.and_then(|content| {
            let class = self
                .identity
                .classes
                .iter()
                .find(|c| c.0 == content.class)?;
            Some((content, class.1))
        });
        let Some((content, timeout_us)) = known else {
            return Reply::Respond(Response::bare(404));
        };
        self.content_requests += 1;
        let id = self
            .seed
            .wrapping_add(self.content_requests.wrapping_mul(ID_STEP));
        let id = format!("{id:016x}");
        Reply::Forward(content_request(id, content, timeout_us, head, target))
    }
}

/// Converts a time to whole seconds.
fn seconds(now: Micros) -> u64 {
    now / 1_000_000
}
