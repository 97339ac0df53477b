//! A fake Consul agent: the health, catalogue and agent endpoints of the HTTP API, with the shapes, headers and
//! blocking queries of its pages, and the ways in which an agent fails.

mod answer;

use crate::listener::{listen, Listening};
use answer::HttpAnswer;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a query waits that does not say.
const DEFAULT_WAIT_MS: u64 = 300_000;

/// How an agent behaves from now on, also towards queries that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers.
    #[default]
    Normal,
    /// As `Normal`, in chunks.
    Chunked,
    /// Its servers have no leader: 500.
    Leaderless,
    /// It wants a token that it was not given: 403.
    Denied,
    /// It limits the rate of calls: 429, and when to come back.
    Busy,
    /// It answers with something that is not JSON.
    Garbage,
    /// It breaks off in the middle of an answer.
    CutOff,
    /// Its answer goes on and on.
    Endless,
    /// It takes calls and says nothing.
    Silent,
    /// It ends every connection at once.
    Unavailable,
}

/// A call that reached the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The token that came with it.
    pub token: Option<String>,
    /// Body.
    pub body: String,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    turns: u64,
    index: u64,
    /// The instances, as they are written.
    instances: Vec<String>,
    /// Ids that the catalogue names although the health API does not, and whether it names those of health.
    catalogue: Vec<(String, String)>,
    token: Option<String>,
    /// Registrations by other programs: id, and the status of the check.
    registered: BTreeMap<String, (Value, String)>,
    requests: Vec<AgentRequest>,
    /// How many calls there were when the instances or the index last changed.
    changed_at: usize,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// An agent.
#[derive(Clone)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    state: Shared,
    /// Held by all that it was cloned to, not by the threads that serve it.
    _listening: Option<Arc<Listening>>,
}

/// An instance with the node's check and one of its own.
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
    /// Starts an agent that knows no instance.
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

    /// Registers instances in place of those before, and moves the index on.
    pub fn register(&self, instances: &[Value]) {
        let written = instances.iter().map(Value::to_string).collect();
        let named = |i: &Value| {
            let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
            (text(&i["Node"]["Node"]), text(&i["Service"]["ID"]))
        };
        let catalogue = instances.iter().map(named).collect();
        self.change(|s| {
            (s.index, s.changed_at) = (s.index + 1, s.requests.len());
            (s.instances, s.catalogue) = (written, catalogue);
        });
    }

    /// Changes one of the instances, by its place, and moves the index on.
    pub fn update(&self, index: usize, instance: &Value) {
        self.change(|s| {
            (s.index, s.changed_at) = (s.index + 1, s.requests.len());
            s.instances[index] = instance.to_string();
        });
    }

    /// The health API names no instance any more, though all are registered.
    pub fn lose_health(&self) {
        self.change(|s| {
            (s.index, s.changed_at) = (s.index + 1, s.requests.len());
            s.instances.clear();
        });
    }

    /// The index is set, as by servers that were restored.
    pub fn set_index(&self, index: u64) {
        self.change(|s| (s.index, s.changed_at) = (index, s.requests.len()));
    }

    /// Changes its manner.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.change(|s| (s.behaviour, s.turns) = (behaviour, s.turns + 1));
    }

    /// Calls must bring this token from now on.
    pub fn want_token(&self, token: &str) {
        self.change(|s| s.token = Some(token.to_owned()));
    }

    /// Forgets the registrations of other programs.
    pub fn forget(&self) {
        self.change(|s| s.registered.clear());
    }

    /// All calls so far.
    pub fn requests(&self) -> Vec<AgentRequest> {
        self.state().requests.clone()
    }

    /// Waits until the calls so far fit; false after twenty seconds.
    pub fn wait_for(&self, fits: impl Fn(&[AgentRequest]) -> bool) -> bool {
        let waits = |s: &mut State| !fits(&s.requests);
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(20), waits);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Waits until a query has been made behind the present index: whoever made it has read all that there is.
    pub fn wait_until_read(&self) -> bool {
        let (behind, since) = {
            let state = self.state();
            (format!("index={}&", state.index), state.changed_at)
        };
        self.wait_for(|request| request[since..].iter().any(|a| a.target.contains(&behind)))
    }

    /// Waits until a registration's check has this status; none: until it is not registered.
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
        let mut words = head.split(' ').map(str::to_owned);
        let (method, target) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
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

    /// What a call is answered, once it has waited for a change if it asks for that; none: nothing at all.
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

    /// Blocks a query that waits for an index until there is a newer one, or its wait is over.
    fn wait_for_change(&self, query: &str) -> MutexGuard<'_, State> {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let state = self.state();
        let turns = state.turns;
        let index: u64 = value("index").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait_ms = value("wait").and_then(|v| v.strip_suffix("ms")?.parse().ok());
        let wait = Duration::from_millis(wait_ms.unwrap_or(DEFAULT_WAIT_MS));
        let waits = |s: &mut State| {
            s.turns == turns
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
