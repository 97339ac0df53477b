//! Fake cache servers: they keep copies, honour the age that is asked for, and write down all that reaches them.

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

/// How a cache behaves from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// It waits so many milliseconds before it answers.
    pub answer_delay_ms: u64,
    /// Bytes that its answers hold besides what they tell.
    pub padding: usize,
    /// It says that what it fetched came from the origin, after so many milliseconds; 0: from a parent cache.
    pub origin_ms: u64,
    /// It answers nothing.
    pub silent: bool,
    /// It serves what it holds however old that is, and calls it new.
    pub any_age: bool,
}

/// Something that reached a cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, in Unix milliseconds.
    pub at: u64,
    /// `fetch`, `abort` or the command of a health check.
    pub command: String,
    /// The request.
    pub id: String,
    /// The fields.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Arrival {
    /// Reads the words of a command.
    fn of(words: &[Vec<u8>]) -> Self {
        let text = |at: usize| {
            words
                .get(at)
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .unwrap_or_default()
        };
        Arrival {
            at: unix_ms(),
            command: text(0),
            id: text(1),
            fields: text(2),
            body: words.get(3).cloned().unwrap_or_default(),
        }
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        resp::field(self.fields.as_bytes(), name)
    }
}

/// A fetch that a cache works on, or has worked on.
#[derive(Clone, Debug)]
struct ActiveFetch {
    connection: usize,
    id: String,
    from: Instant,
    until: Option<Instant>,
}

#[derive(Default)]
struct State {
    fetches: Vec<ActiveFetch>,
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
    /// Its id.
    pub uid: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    state: Shared,
    /// Held by all that it was cloned to, not by the threads that serve it.
    _listening: Option<Arc<Listening>>,
}

impl FakeCache {
    /// Starts a cache on a port of its own.
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
            // Nobody waits for what came on it any more.
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

    /// The same cache under another id, as if it had taken over the address.
    pub fn with_uid(&self, uid: &'static str) -> Self {
        FakeCache {
            uid,
            ..self.clone()
        }
    }

    /// Changes its manner.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// How many connections it has taken.
    pub fn connections(&self) -> usize {
        self.state().connections
    }

    /// How many connections to it are open.
    pub fn open(&self) -> usize {
        let state = self.state();
        state.connections - state.ended
    }

    /// All that has reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Waits until something that fits has reached it; none after ten seconds.
    pub fn wait_for(&self, fits: impl Fn(&Arrival) -> bool) -> Option<Arrival> {
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(10), |s| {
                !s.arrivals.iter().any(&fits)
            });
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.arrivals.iter().find(|a| fits(a)).cloned()
    }

    /// When it worked on fetches, in microseconds from a moment on: until the answer, an abort, or the end of the
    /// connection.
    pub fn spans(&self, begun: Instant) -> Vec<Span> {
        let at = |at: Instant| at.saturating_duration_since(begun).as_micros() as u64;
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

    fn finish(&self, which: impl Fn(&ActiveFetch) -> bool) {
        let now = Instant::now();
        let mut state = self.state();
        // Each ends once; those that have ended long ago need not be looked at.
        let open = state
            .fetches
            .iter_mut()
            .filter(|fetch| fetch.until.is_none());
        open.filter(|fetch| which(fetch))
            .for_each(|fetch| fetch.until = Some(now));
    }

    fn serve(&self, socket: TcpStream, connection: usize) -> Option<()> {
        read_commands(&socket, |array| {
            self.arrived(&array, &socket, connection);
            Some(())
        })
    }

    fn arrived(&self, array: &[Vec<u8>], socket: &TcpStream, connection: usize) {
        let arrival = Arrival::of(array);
        let mut state = self.state();
        state.arrivals.push(arrival.clone());
        self.state.1.notify_all();
        let behaviour = state.behaviour;
        if arrival.command == "abort" {
            drop(state);
            return self.finish(|fetch| fetch.connection == connection && fetch.id == arrival.id);
        }
        if arrival.command != "fetch" || behaviour.silent {
            return;
        }
        state.fetches.push(ActiveFetch {
            connection,
            id: arrival.id.clone(),
            from: Instant::now(),
            until: None,
        });
        let copy = state.copy_for(&arrival);
        drop(state);
        let Ok(mut socket) = socket.try_clone() else {
            return;
        };
        let me = FakeCache {
            _listening: None,
            ..self.clone()
        };
        let mut answer = move || {
            thread::sleep(Duration::from_millis(behaviour.answer_delay_ms));
            let out = answer_bytes(&arrival, &copy, &behaviour);
            // Before its answer is on its way: whoever has that may send the next.
            me.finish(|fetch| fetch.connection == connection && fetch.id == arrival.id);
            let _ = socket.write_all(&out);
        };
        if behaviour.answer_delay_ms > 0 {
            thread::spawn(answer);
        } else {
            answer();
        }
    }
}

/// A copy that answers a fetch.
struct Copied {
    /// The object and part.
    name: String,
    /// When it left the origin, in Unix milliseconds.
    made: u64,
    /// Whether it was there before.
    is_hit: bool,
}

impl State {
    /// The copy for a fetch: the one that is there where it is new enough, or one that is made now.
    fn copy_for(&mut self, arrival: &Arrival) -> Copied {
        let name = format!(
            "{}/{}",
            arrival.field("key").unwrap_or(""),
            arrival.field("part").unwrap_or("")
        );
        let max_age = arrival
            .field("maxage")
            .and_then(|age| age.parse::<u64>().ok())
            .filter(|age| *age > 0);
        let is_good = |made: &u64| {
            self.behaviour.any_age || max_age.is_none_or(|age| made + age >= arrival.at)
        };
        let good = self.made.get(&name).copied().filter(is_good);
        let made = good.unwrap_or(arrival.at);
        self.made.insert(name.clone(), made);
        Copied {
            name,
            made,
            is_hit: good.is_some(),
        }
    }
}

/// The bytes of the answer to a fetch.
fn answer_bytes(arrival: &Arrival, copy: &Copied, behaviour: &Behaviour) -> Vec<u8> {
    let Copied { name, made, is_hit } = copy;
    let how = match (is_hit, behaviour.origin_ms) {
        (true, _) => "local",
        (false, 0) => "pulled",
        (false, _) => "pulled_far",
    };
    let waited = behaviour.origin_ms.max(1);
    let made_field = if behaviour.any_age { arrival.at } else { *made };
    let fields = format!("how={how},ttfb={waited},made={made_field},etag=t{made}");
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
