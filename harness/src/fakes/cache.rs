//! Fake cache servers that store copies, honour the requested maximum age and record every command they receive.

use crate::arrival::{self, ArrivalReader};
use crate::listener::{listen, read_commands, Listening};
use crate::span::Span;
use crate::unix_ms;
use linnetknot_daemon::wire::resp;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Behaviour of a fake cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Delay of each answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of padding bytes at the start of each body.
    pub padding: usize,
    /// Reported time to first byte of fills from the origin, in milliseconds; 0: fills are reported as from a parent.
    pub origin_ms: u64,
    /// Time that passes before an abort is handled, in milliseconds, as on a busy machine.
    pub abort_delay_ms: u64,
    /// Sends no answers.
    pub silent: bool,
    /// Serves stored copies of any age and reports them as new.
    pub any_age: bool,
    /// Time by which the reported dates of copies are too late, in milliseconds.
    pub made_ahead_ms: u64,
}

/// A command received by a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of receipt, in Unix milliseconds.
    pub at: u64,
    /// Command name: `fetch`, `abort` or that of a health check.
    pub command: String,
    /// Id of the request.
    pub id: String,
    /// Fields of the command, as encoded by the proxy.
    pub fields: String,
    /// Body of the command.
    pub body: Vec<u8>,
}

impl Arrival {
    /// Decodes a command.
    fn from_array(array: &[Vec<u8>]) -> Self {
        let text = |at: usize| {
            array
                .get(at)
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .unwrap_or_default()
        };
        Arrival {
            at: unix_ms(),
            command: text(0),
            id: text(1),
            fields: text(2),
            body: array.get(3).cloned().unwrap_or_default(),
        }
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        resp::field(self.fields.as_bytes(), name)
    }
}

/// A fetch received by a cache, with the times by the kernel; `until` is unset while it is in progress.
#[derive(Clone, Debug)]
struct Fetch {
    connection: usize,
    id: String,
    from: Instant,
    until: Option<Instant>,
}

#[derive(Default)]
struct State {
    fetches: Vec<Fetch>,
    behaviour: Behaviour,
    arrivals: Vec<Arrival>,
    made: BTreeMap<String, u64>,
    connections: usize,
    ended: usize,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A fake cache server.
#[derive(Clone)]
pub struct FakeCache {
    /// Id in the endpoint list.
    pub uid: &'static str,
    /// Address of the listener.
    pub address: SocketAddr,
    state: Shared,
    /// Shared by all clones except those of the serving threads, so that the listener closes when the test drops its
    /// last clone.
    _listening: Option<Arc<Listening>>,
}

impl FakeCache {
    /// Starts a cache on a free port.
    pub fn start(uid: &'static str) -> io::Result<Self> {
        Self::start_at(uid, "127.0.0.1:0")
    }

    /// Starts a cache at an address.
    pub fn start_at(uid: &'static str, address: &str) -> io::Result<Self> {
        let state = Shared::default();
        let served = state.clone();
        let listening = listen(address, move |socket| {
            let cache = FakeCache {
                uid,
                address: socket.local_addr().ok()?,
                state: served.clone(),
                _listening: None,
            };
            let connection = {
                let mut state = cache.state();
                state.connections += 1;
                state.connections
            };
            let served = cache.serve(socket, connection);
            cache.state().ended += 1;
            // No client waits for the fetches of a closed connection.
            cache.finish(|fetch| fetch.connection == connection);
            served
        })?;
        Ok(FakeCache {
            uid,
            address: listening.address,
            state,
            _listening: Some(Arc::new(listening)),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the same cache under another id, as if another cache server had taken over the address.
    pub fn with_uid(&self, uid: &'static str) -> Self {
        FakeCache {
            uid,
            ..self.clone()
        }
    }

    /// Sets the behaviour for later commands.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        let state = self.state();
        state.connections - state.ended
    }

    /// Returns all commands received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Waits for a command that matches and returns it; returns `None` after ten seconds.
    pub fn wait_for(&self, matches: impl Fn(&Arrival) -> bool) -> Option<Arrival> {
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(10), |s| {
                !s.arrivals.iter().any(&matches)
            });
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.arrivals.iter().find(|a| matches(a)).cloned()
    }

    /// Returns the interval of each fetch, in microseconds since `start`. A fetch begins when its last byte is received,
    /// and ends with its answer, when an abort is received, or with the end of its connection. Of commands that were read
    /// together only the period is known: a fetch then begins at its end, and ends by an abort at its start.
    pub fn spans(&self, start: Instant) -> Vec<Span> {
        let at = |at: Instant| at.saturating_duration_since(start).as_micros() as u64;
        let now = Instant::now();
        let fetches = self.state().fetches.clone();
        fetches
            .iter()
            .map(|fetch| Span {
                from: at(fetch.from),
                until: at(fetch.until.unwrap_or(now)),
            })
            .collect()
    }

    /// Ends the open fetches that match.
    fn finish(&self, matches: impl Fn(&Fetch) -> bool) {
        let now = Instant::now();
        let mut state = self.state();
        let open = state
            .fetches
            .iter_mut()
            .filter(|fetch| fetch.until.is_none());
        open.filter(|fetch| matches(fetch))
            .for_each(|fetch| fetch.until = Some(now));
    }

    /// Ends the last fetch that matches at the time of its abort, which may have been read after its answer was sent.
    fn abort(&self, at: Instant, matches: impl Fn(&Fetch) -> bool) {
        let mut state = self.state();
        let aborted = state.fetches.iter_mut().rev().find(|fetch| matches(fetch));
        if let Some(fetch) = aborted {
            let at = at.max(fetch.from);
            fetch.until = Some(fetch.until.map_or(at, |until| until.min(at)));
        }
    }

    fn serve(&self, socket: TcpStream, connection: usize) -> Option<()> {
        let mut reader = ArrivalReader::new(&socket).ok()?;
        read_commands(
            |buffer| reader.read(buffer),
            |array, received| {
                self.handle(&array, received, &socket, connection);
                Some(())
            },
        )
    }

    fn handle(
        &self,
        array: &[Vec<u8>],
        received: arrival::Arrival,
        socket: &TcpStream,
        connection: usize,
    ) {
        let arrival = Arrival::from_array(array);
        let mut state = self.state();
        state.arrivals.push(arrival.clone());
        self.state.1.notify_all();
        let behaviour = state.behaviour;
        if arrival.command == "abort" {
            drop(state);
            thread::sleep(Duration::from_millis(behaviour.abort_delay_ms));
            return self.abort(received.earliest, |fetch| {
                fetch.connection == connection && fetch.id == arrival.id
            });
        }
        if arrival.command != "fetch" || behaviour.silent {
            return;
        }
        state.fetches.push(Fetch {
            connection,
            id: arrival.id.clone(),
            from: received.latest,
            until: None,
        });
        let copy = state.copy_for(&arrival);
        drop(state);
        self.answer(arrival, copy, behaviour, socket, connection);
    }

    /// Answers a fetch after the delay of the behaviour.
    fn answer(
        &self,
        arrival: Arrival,
        copy: CachedCopy,
        behaviour: Behaviour,
        socket: &TcpStream,
        connection: usize,
    ) {
        let Ok(mut socket) = socket.try_clone() else {
            return;
        };
        let cache = FakeCache {
            _listening: None,
            ..self.clone()
        };
        let mut send = move || {
            thread::sleep(Duration::from_millis(behaviour.answer_delay_ms));
            let out = encode_answer(&arrival, &copy, &behaviour);
            // The fetch is recorded as ended before the answer is sent, because the client may send the next fetch as
            // soon as it has the answer.
            cache.finish(|fetch| fetch.connection == connection && fetch.id == arrival.id);
            let _ = socket.write_all(&out);
        };
        if behaviour.answer_delay_ms > 0 {
            thread::spawn(send);
        } else {
            send();
        }
    }
}

/// The copy that a fetch is answered with.
struct CachedCopy {
    /// Object and part that the copy contains.
    name: String,
    /// Time at which the origin made the copy, in Unix milliseconds.
    made: u64,
    /// Whether the cache already had the copy before this fetch.
    is_hit: bool,
}

impl State {
    /// Returns the stored copy for a fetch if it is recent enough, otherwise stores and returns a new one.
    fn copy_for(&mut self, arrival: &Arrival) -> CachedCopy {
        let name = format!(
            "{}/{}",
            arrival.field("key").unwrap_or(""),
            arrival.field("part").unwrap_or("")
        );
        let max_age = arrival
            .field("maxage")
            .and_then(|age| age.parse::<u64>().ok())
            .filter(|age| *age > 0);
        let is_fresh = |made: &u64| {
            self.behaviour.any_age || max_age.is_none_or(|age| made + age >= arrival.at)
        };
        let fresh = self.made.get(&name).copied().filter(is_fresh);
        let made = fresh.unwrap_or(arrival.at);
        self.made.insert(name.clone(), made);
        CachedCopy {
            name,
            made,
            is_hit: fresh.is_some(),
        }
    }
}

/// Encodes the answer to a fetch.
fn encode_answer(arrival: &Arrival, copy: &CachedCopy, behaviour: &Behaviour) -> Vec<u8> {
    let CachedCopy { name, made, is_hit } = copy;
    let how = match (is_hit, behaviour.origin_ms) {
        (true, _) => "local",
        (false, 0) => "pulled",
        (false, _) => "pulled_far",
    };
    let ttfb_ms = behaviour.origin_ms.max(1);
    let made_field = if behaviour.any_age { arrival.at } else { *made };
    let made_field = made_field + behaviour.made_ahead_ms;
    let fields = format!("how={how},ttfb={ttfb_ms},made={made_field},etag=t{made}");
    let body = format!("{}{name}@{made}", ".".repeat(behaviour.padding));
    let mut out = Vec::new();
    resp::write_array(
        &mut out,
        &[
            arrival.id.as_bytes(),
            b"200",
            fields.as_bytes(),
            body.as_bytes(),
        ],
    );
    out
}
