//! A fake Consul agent with the health, catalogue and agent endpoints of the HTTP API, including blocking queries and
//! several kinds of failure.

mod answer;

use crate::listener::{listen, Listening};
use answer::HttpAnswer;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Wait of a blocking query that sets no `wait` parameter.
const DEFAULT_WAIT_MS: u64 = 300_000;

/// Behaviour of a fake agent. A change also applies to blocking queries that are already waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers correctly.
    #[default]
    Normal,
    /// Answers correctly with the chunked transfer encoding.
    Chunked,
    /// Answers 500, as without a cluster leader.
    Leaderless,
    /// Answers 403, as for a missing token.
    Denied,
    /// Answers 429 with a `Retry-After` header.
    Busy,
    /// Answers 200 with a body that is not JSON.
    Garbage,
    /// Closes the connection in the middle of a response.
    CutOff,
    /// Sends a response without an end.
    Endless,
    /// Answers correctly, but sends the response in parts, with pauses between them.
    InParts,
    /// Sends half of a response, and then nothing on an open connection.
    Stalled,
    /// Sends the head of a response, and then a body without an end, byte by byte.
    Dripping,
    /// Reads requests and does not answer.
    Silent,
    /// Closes every connection at once.
    Unavailable,
}

/// A request received by the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentRequest {
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Value of the `X-Consul-Token` header.
    pub token: Option<String>,
    /// Body of the request.
    pub body: String,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    behaviour_changes: u64,
    index: u64,
    /// Instances of the health API, as JSON texts.
    instances: Vec<String>,
    /// Node name and service id of each instance in the catalogue. It may have instances that the health API lacks.
    catalogue: Vec<(String, String)>,
    token: Option<String>,
    /// Services registered over HTTP, by id: the registration and the status of its check.
    registered: BTreeMap<String, (Value, String)>,
    requests: Vec<AgentRequest>,
    /// Number of requests received before the instances or the index last changed.
    changed_at: usize,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A fake Consul agent.
#[derive(Clone)]
pub struct Agent {
    /// Address of the listener.
    pub address: SocketAddr,
    state: Shared,
    /// Shared by all clones except those of the serving threads, so that the listener closes when the test drops its
    /// last clone.
    _listening: Option<Arc<Listening>>,
}

/// Returns an instance as the health API does, with a passing node check and a service check of this status.
pub fn instance(id: &str, address: SocketAddr, status: &str) -> Value {
    let (ip, port) = (address.ip().to_string(), address.port());
    let check = |check: &str, status: &str| {
        json!({"Node": "n1", "CheckID": check, "Name": check, "Status": status, "Notes": "", "Output": "",
            "ServiceID": "", "ServiceName": "", "ServiceTags": [], "Type": "tcp"})
    };
    json!({
        "Node": {"ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "n1", "Address": ip, "Datacenter": "dc1",
            "TaggedAddresses": {"lan": ip, "wan": ip}, "Meta": {"consul-network-segment": ""}},
        "Service": {"ID": id, "Service": "pop-cache", "Tags": [], "Address": "", "Port": port,
            "TaggedAddresses": {"lan_ipv4": {"Address": ip, "Port": port}},
            "Meta": {"az": "here", "model": "box", "capacity_hint": "8"},
            "Weights": {"Passing": 1, "Warning": 1}, "EnableTagOverride": false,
            "Proxy": {"MeshGateway": {}, "Expose": {}}, "Connect": {}},
        "Checks": [check("serfHealth", "passing"), check("service:own", status)],
    })
}

impl Agent {
    /// Starts an agent without instances.
    pub fn start() -> io::Result<Self> {
        let state = Shared::default();
        state.0.lock().unwrap_or_else(PoisonError::into_inner).index = 1;
        let served = state.clone();
        let listening = listen("127.0.0.1:0", move |socket| {
            let address = socket.local_addr()?;
            Agent {
                address,
                state: served.clone(),
                _listening: None,
            }
            .serve(socket)
        })?;
        Ok(Agent {
            address: listening.address,
            state,
            _listening: Some(Arc::new(listening)),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.state.1.notify_all();
    }

    /// Replaces all instances and advances the index.
    pub fn register(&self, instances: &[Value]) {
        let instance_texts = instances.iter().map(Value::to_string).collect();
        let catalogue_entry = |i: &Value| {
            let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
            (text(&i["Node"]["Node"]), text(&i["Service"]["ID"]))
        };
        let catalogue = instances.iter().map(catalogue_entry).collect();
        self.change(|s| {
            (s.index, s.changed_at) = (s.index + 1, s.requests.len());
            (s.instances, s.catalogue) = (instance_texts, catalogue);
        });
    }

    /// Replaces the instance at a position in the health API and advances the index.
    pub fn update(&self, position: usize, instance: &Value) {
        self.change(|s| {
            (s.index, s.changed_at) = (s.index + 1, s.requests.len());
            s.instances[position] = instance.to_string();
        });
    }

    /// Removes all instances from the health API, but not from the catalogue, and advances the index.
    pub fn lose_health(&self) {
        self.change(|s| {
            (s.index, s.changed_at) = (s.index + 1, s.requests.len());
            s.instances.clear();
        });
    }

    /// Sets the index, which may go back as after a restore of the servers.
    pub fn set_index(&self, index: u64) {
        self.change(|s| (s.index, s.changed_at) = (index, s.requests.len()));
    }

    /// Sets the behaviour and wakes blocking queries.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.change(|s| (s.behaviour, s.behaviour_changes) = (behaviour, s.behaviour_changes + 1));
    }

    /// Requires this token in all later requests.
    pub fn want_token(&self, token: &str) {
        self.change(|s| s.token = Some(token.to_owned()));
    }

    /// Removes all services registered over HTTP.
    pub fn forget(&self) {
        self.change(|s| s.registered.clear());
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<AgentRequest> {
        self.state().requests.clone()
    }

    /// Waits until the received requests satisfy a condition; returns false after twenty seconds.
    pub fn wait_for(&self, condition: impl Fn(&[AgentRequest]) -> bool) -> bool {
        let waits = |s: &mut State| !condition(&s.requests);
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(20), waits);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Waits for a blocking query with the current index, which shows that its sender has read the latest state.
    /// Returns false if no such query arrives before the timeout.
    pub fn wait_until_read(&self) -> bool {
        let (parameter, since) = {
            let state = self.state();
            (format!("index={}&", state.index), state.changed_at)
        };
        self.wait_for(|requests| {
            requests[since..]
                .iter()
                .any(|a| a.target.contains(&parameter))
        })
    }

    /// Waits until the check of a registration has this status, or with `None` until the registration is absent.
    /// Returns false after ten seconds.
    pub fn wait_for_check(&self, id: &str, status: Option<&str>) -> bool {
        let waits =
            |s: &mut State| s.registered.get(id).map(|(_, status)| status.as_str()) != status;
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(10), waits);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        if self.state().behaviour == Behaviour::Unavailable {
            return Ok(());
        }
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            socket.read_exact(&mut byte)?;
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let header = |name: &str| {
            let lines = head.lines().filter_map(|l| l.split_once(':'));
            lines
                .into_iter()
                .find(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.trim().to_owned())
        };
        let length = header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        socket.read_exact(&mut body)?;
        let mut tokens = head.split(' ').map(str::to_owned);
        let (method, target) = (
            tokens.next().unwrap_or_default(),
            tokens.next().unwrap_or_default(),
        );
        let body = String::from_utf8_lossy(&body).into_owned();
        let request = AgentRequest {
            method,
            target,
            token: header("x-consul-token"),
            body,
        };
        self.change(|s| s.requests.push(request.clone()));
        self.answer(&request, &mut socket)
    }

    fn answer(&self, request: &AgentRequest, socket: &mut TcpStream) -> io::Result<()> {
        let Some(answer) = self.answer_to(request) else {
            return Ok(());
        };
        self.state.1.notify_all();
        answer.write(socket)
    }

    /// Returns the response to a request, after the wait of a blocking query, or `None` if the request gets no
    /// response.
    fn answer_to(&self, request: &AgentRequest) -> Option<HttpAnswer> {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let mut state = self.wait_for_change(query);
        let denied = state.token.is_some() && state.token != request.token;
        let (status, body) = match state.behaviour {
            Behaviour::Unavailable | Behaviour::Silent => return None,
            Behaviour::Leaderless => ("500 Internal Server Error", "No cluster leader".to_owned()),
            Behaviour::Busy => ("429 Too Many Requests", "rate limit exceeded".to_owned()),
            Behaviour::Denied => ("403 Forbidden", "Permission denied".to_owned()),
            _ if denied => (
                "403 Forbidden",
                "Permission denied: token lacks 'service:read'".to_owned(),
            ),
            Behaviour::Garbage => ("200 OK", "<html>welcome</html>".to_owned()),
            _ if request.method == "PUT" => Self::put(&mut state, path, &request.body),
            _ if path.starts_with("/v1/catalog/service/") => {
                let one = |(node, id): &(String, String)| json!({"Node": node, "ServiceID": id});
                (
                    "200 OK",
                    state
                        .catalogue
                        .iter()
                        .map(one)
                        .collect::<Value>()
                        .to_string(),
                )
            }
            _ => ("200 OK", format!("[{}]", state.instances.join(","))),
        };
        Some(HttpAnswer {
            status,
            body,
            index: state.index,
            behaviour: state.behaviour,
        })
    }

    /// Blocks a query with an `index` parameter until the index or the behaviour changes or its wait has passed.
    fn wait_for_change(&self, query: &str) -> MutexGuard<'_, State> {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let state = self.state();
        let behaviour_changes = state.behaviour_changes;
        let index: u64 = value("index").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait_ms = value("wait").and_then(|v| v.strip_suffix("ms")?.parse().ok());
        let wait = Duration::from_millis(wait_ms.unwrap_or(DEFAULT_WAIT_MS));
        let waits = |s: &mut State| {
            s.behaviour_changes == behaviour_changes
                && (s.behaviour == Behaviour::Silent
                    || index > 0 && s.index == index && s.behaviour != Behaviour::Unavailable)
        };
        let waited = self.state.1.wait_timeout_while(state, wait, waits);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn put(state: &mut State, path: &str, body: &str) -> (&'static str, String) {
        let registration: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
        if path == "/v1/agent/service/register" {
            let status = text(&registration["Check"]["Status"]);
            state
                .registered
                .insert(text(&registration["ID"]), (registration, status));
        } else if let Some(id) = path.strip_prefix("/v1/agent/check/update/service%3A") {
            match state.registered.get_mut(id) {
                Some(known) => known.1 = text(&registration["Status"]),
                None => {
                    return (
                        "404 Not Found",
                        format!("Unknown check ID \"service:{id}\""),
                    )
                }
            }
        } else if let Some(id) = path.strip_prefix("/v1/agent/service/deregister/") {
            state.registered.remove(id);
        } else {
            return ("404 Not Found", String::new());
        }
        ("200 OK", String::new())
    }
}
