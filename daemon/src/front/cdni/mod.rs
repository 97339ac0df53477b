//! The CDNI front: interconnection with neighbouring delivery networks over HTTP/1.1.
//!
//! `Desk` answers what needs no box: triggers (RFC 8007), redirection (RFC 7975), footprints and capabilities
//! (RFC 8008). Requests for content become the core's and go through the same decisions as all others.

pub mod footprint;
pub mod redirect;
mod session;
pub mod triggers;

pub use session::{Session, Waiting};

use crate::core::{Answer, ClientRequest, Content};
use crate::wire::http::Head;
use linnetknot::Micros;
use serde_json::Value;
use std::net::SocketAddr;
pub use triggers::Name;
use triggers::Triggers;

/// Media type of all CDNI payloads; `ptype` tells which one it is.
pub const MEDIA: &str = "application/cdni; ptype=";

/// A neighbouring network.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbour {
    /// Its CDN Provider ID.
    pub provider: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path of its trigger interface.
    pub triggers: String,
    /// Path at which it takes our footprint notices.
    pub notices: String,
    /// Base of its content's URLs, for clients in its footprint.
    pub content: String,
}

/// How this network presents itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Our CDN Provider ID.
    pub provider: String,
    /// Base of our URLs.
    pub base: String,
    /// What we can reach, as IPv4 networks.
    pub footprint: Vec<footprint::Network>,
    /// Those we exchange messages with.
    pub neighbours: Vec<Neighbour>,
    /// Classes whose objects may be asked for here, with the time after which their clients give up.
    pub classes: Vec<(String, Micros)>,
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response of a status alone.
    pub fn bare(status: u16) -> Self {
        Response {
            status,
            ..Response::default()
        }
    }

    /// A CDNI payload.
    pub fn payload(status: u16, ptype: &str, value: &Value) -> Self {
        let headers = vec![
            ("Content-Type", format!("{MEDIA}{ptype}")),
            ("Cache-Control", "no-store".to_owned()),
        ];
        Response {
            status,
            headers,
            body: value.to_string().into_bytes(),
        }
    }

    fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// What follows from a message besides its response.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An object, or with none a whole group, is purged as of now.
    Purge(Option<String>, u64),
    /// A trigger was told here, and this is its status.
    Status(Name, String),
    /// A neighbour has done with a trigger's status.
    Gone(Name),
    /// A payload goes to a neighbour.
    Post(Post),
}

/// A payload on its way to a neighbour.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// Where to.
    pub address: SocketAddr,
    /// The path.
    pub path: String,
    /// The payload's type.
    pub ptype: &'static str,
    /// The payload.
    pub body: String,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Respond.
    Now(Response),
    /// Respond once these effects are kept; where they can't be, retract the trigger that was made and say so.
    Promise(Response, Option<Name>, Vec<Effect>),
    /// Ask the core.
    Ask(ClientRequest),
}

/// Whether a target is the status of one trigger.
pub fn is_trigger(target: &str) -> bool {
    path_of(target).starts_with("/cdni/triggers/")
}

/// A content URL's class, object and part, by its path.
pub fn content_path(path: &str) -> Option<(&str, &str, u64)> {
    let mut parts = path
        .split('?')
        .next()?
        .strip_prefix("/content/")?
        .split('/');
    let (class, object) = (parts.next()?, parts.next()?);
    let part = parts.next().map_or(Some(0), |p| p.parse().ok())?;
    let hex = object.len() == 16
        && object
            .bytes()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let named = !class.is_empty()
        && class
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    (hex && named && parts.next().is_none()).then_some((class, object, part))
}

/// The path of a URL, absolute or not.
fn path_of(url: &str) -> &str {
    let rest = url
        .strip_prefix("http://")
        .or_else(|| url.strip_prefix("https://"));
    rest.map_or(url, |rest| rest.find('/').map_or("/", |at| &rest[at..]))
}

/// Whether a payload's list of the networks that it passed names us.
fn looped(cdn_path: &Value, own: &str) -> bool {
    cdn_path
        .as_array()
        .is_some_and(|path| path.iter().any(|id| id == own))
}

/// The state of the interconnection.
pub struct Desk {
    id: Identity,
    triggers: Triggers,
    heard: Vec<(String, Vec<footprint::Network>)>,
    asked: u64,
    seed: u64,
}

impl Desk {
    /// A desk for so many trigger status resources at most.
    pub fn new(id: Identity, seed: u64, most_triggers: usize) -> Self {
        Desk {
            id,
            triggers: Triggers::new(most_triggers),
            heard: Vec::new(),
            asked: 0,
            seed,
        }
    }

    /// Takes a request. `ready` tells whether content can be served, and `now` is Unix time.
    pub fn take(&mut self, now: Micros, ready: bool, head: &Head, body: &[u8]) -> Reply {
        let Some((method, target)) = head.request() else {
            return Reply::Now(Response::bare(400));
        };
        let path = path_of(target).split('?').next().unwrap_or("");
        let json = || serde_json::from_slice::<Value>(body).ok();
        let seconds = now / 1_000_000;
        let mut effects = Vec::new();
        let response = match (method, path) {
            ("GET", "/health") => Response::bare(if ready { 200 } else { 503 }),
            ("GET", path) if path.starts_with("/content/") => return self.content(head, target),
            ("POST", "/cdni/triggers") => match json() {
                Some(command) => {
                    let (response, made) =
                        self.triggers
                            .command(&self.id, seconds, &command, &mut effects);
                    if made.is_some() {
                        return Reply::Promise(response, made, effects);
                    }
                    response
                }
                None => Response::bare(400),
            },
            ("GET", "/cdni/triggers") => self.triggers.collection(&self.id, None),
            ("GET" | "DELETE", path) if path.starts_with("/cdni/triggers/") => {
                let name = &path["/cdni/triggers/".len()..];
                let response = self.triggers.resource(&self.id, method, name, &mut effects);
                if !effects.is_empty() {
                    return Reply::Promise(response, None, effects);
                }
                response
            }
            ("POST", "/cdni/redirect") => match json() {
                Some(asked) => redirect::answer(&self.id, &self.heard, ready, &asked),
                None => redirect::error(400, "the request is not JSON"),
            },
            ("GET", "/cdni/footprint") => footprint::advertise(&self.id, ready),
            ("POST", path) if path.starts_with("/cdni/footprint/") => {
                self.notice(&path["/cdni/footprint/".len()..], json().as_ref())
            }
            (_, "/cdni/triggers" | "/cdni/redirect" | "/cdni/footprint" | "/health") => {
                Response::bare(405)
            }
            _ => Response::bare(404),
        };
        Reply::Now(response)
    }

    /// The triggers that are told here are named from this name on.
    pub fn begin_triggers(&mut self, first: Name) {
        self.triggers.begin(first);
    }

    /// Takes in the status of a trigger that another proxy was told, or an earlier process of this one. One that is too
    /// old, or not all there, is passed over.
    pub fn admit(&mut self, now: Micros, name: Name, payload: &str) {
        self.triggers.admit(now / 1_000_000, name, payload);
    }

    /// There is no such trigger any more.
    pub fn forget(&mut self, name: Name) {
        self.triggers.remove(name);
    }

    /// What was to be promised can't be kept: the trigger that was made is none, and its neighbour is to come again.
    pub fn retract(&mut self, trigger: Option<Name>) -> Response {
        if let Some(name) = trigger {
            self.triggers.remove(name);
        }
        Response::bare(503).with("Retry-After", "1".to_owned())
    }

    /// A neighbour tells what it can reach.
    fn notice(&mut self, from: &str, payload: Option<&Value>) -> Response {
        if !self.id.neighbours.iter().any(|n| n.provider == from) {
            return Response::bare(403);
        }
        let Some(networks) = payload.and_then(footprint::read) else {
            return Response::bare(400);
        };
        self.heard.retain(|(provider, _)| provider != from);
        self.heard.push((from.to_owned(), networks));
        Response::bare(204)
    }

    /// Our notice to every neighbour.
    pub fn notices(&self, ready: bool) -> Vec<Post> {
        let body = footprint::advertisement(&self.id, ready).to_string();
        let to = |n: &Neighbour| Post {
            address: n.address,
            path: n.notices.clone(),
            ptype: footprint::PTYPE,
            body: body.clone(),
        };
        self.id.neighbours.iter().map(to).collect()
    }

    /// A purge that was told here by other ways, for every neighbour.
    pub fn pass_on(&self, object: Option<&str>, group: u64) -> Vec<Post> {
        triggers::outgoing(&self.id, object, group)
    }

    fn content(&mut self, head: &Head, target: &str) -> Reply {
        let Some((class, object, part)) = content_path(path_of(target)) else {
            return Reply::Now(Response::bare(404));
        };
        let Some((class, wait)) = self.id.classes.iter().find(|c| c.0 == class) else {
            return Reply::Now(Response::bare(404));
        };
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let value = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let size_kb = value("kb")
            .and_then(|v| v.parse().ok())
            .filter(|kb: &f64| kb.is_finite() && *kb >= 0.0);
        let tag = |v: &str| v.bytes().all(|b| b.is_ascii_alphanumeric()) && !v.is_empty();
        let have = head
            .header("if-none-match")
            .map(|v| v.trim_start_matches("W/").trim_matches('"'));
        self.asked += 1;
        // Ids are 16 hex digits, as all others are; odd multiples never meet before 2^64 of them.
        let id = self
            .seed
            .wrapping_add(self.asked.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Reply::Ask(ClientRequest {
            id: format!("{id:016x}"),
            class: class.clone(),
            object: object.to_owned(),
            part,
            group: value("lot").and_then(|v| v.parse().ok()).unwrap_or(0),
            size_kb: size_kb.unwrap_or(0.0),
            remaining_us: *wait,
            cached_tag: have.filter(|v| tag(v)).map(str::to_owned),
            ..ClientRequest::default()
        })
    }
}

/// The core's answer as a response; `late` tells that the time for it was over.
pub fn response(answer: Answer, late: bool) -> Response {
    match answer {
        Answer::Served(Content::Object { bytes, tag }) => {
            let response = Response {
                status: 200,
                headers: vec![],
                body: bytes,
            };
            let response = response.with("Content-Type", "application/octet-stream".to_owned());
            match tag {
                Some(tag) => response.with("ETag", format!("\"{tag}\"")),
                None => response,
            }
        }
        Answer::Served(Content::Unchanged) => Response::bare(304),
        Answer::Rejected { retry_after_us } => {
            // The header counts whole seconds.
            let wait = retry_after_us.unwrap_or(0).div_ceil(1_000_000).max(1);
            Response::bare(503).with("Retry-After", wait.to_string())
        }
        Answer::Failed => Response::bare(if late { 504 } else { 502 }),
    }
}
