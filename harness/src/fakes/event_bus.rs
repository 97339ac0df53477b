//! A fake of the event bus from which the daemon reads the endpoint list and purges.

use crate::fakes::cache::FakeCache;
use crate::listener::{listen, Listening};
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How the bus writes its event stream. The format allows all of these forms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamForm {
    /// The bytes of interim responses before the response.
    pub interim_responses: &'static str,
    /// The end of each line.
    pub line_end: &'static str,
    /// Whether the stream starts with a byte order mark.
    pub has_byte_order_mark: bool,
    /// Whether the data of an event precedes its id.
    pub is_data_first: bool,
    /// The lines that show that the bus is alive, without the empty line after them.
    pub heartbeat: Vec<&'static [u8]>,
    /// The time without an event after which the heartbeat is written.
    pub heartbeat_interval: Duration,
}

impl Default for StreamForm {
    fn default() -> Self {
        StreamForm {
            interim_responses: "",
            line_end: "\n",
            has_byte_order_mark: false,
            is_data_first: false,
            heartbeat: vec![b":"],
            heartbeat_interval: Duration::from_secs(1),
        }
    }
}

impl StreamForm {
    /// Returns the bytes before the first line of the stream.
    fn start(&self) -> &'static [u8] {
        if self.has_byte_order_mark {
            b"\xef\xbb\xbf"
        } else {
            b""
        }
    }

    /// Returns lines in this form, with the empty line after them.
    fn block(&self, lines: &[&[u8]]) -> Vec<u8> {
        let end = self.line_end.as_bytes();
        let mut out: Vec<u8> = lines.iter().flat_map(|line| [line, end].concat()).collect();
        out.extend_from_slice(end);
        out
    }

    /// Returns an event in this form.
    fn event(&self, number: usize, data: &[u8]) -> Vec<u8> {
        let id = format!("id: {number}").into_bytes();
        let data = [b"data: ", data].concat();
        if self.is_data_first {
            self.block(&[&data, &id])
        } else {
            self.block(&[&id, &data])
        }
    }
}

#[derive(Default)]
struct State {
    form: StreamForm,
    /// The number of heartbeats written.
    heartbeats: usize,
    /// The data of the events, usually JSON without line ends.
    events: Vec<Vec<u8>>,
    calls: Vec<u64>,
    cuts: usize,
    /// Whether each response has a length and ends after the events so far.
    ends_responses: bool,
}

impl State {
    /// Returns the events after the one with the number `last`, in the form of the stream.
    fn events_after(&self, last: usize) -> Vec<u8> {
        let mut out = Vec::new();
        for (index, data) in self.events.iter().enumerate().skip(last) {
            out.extend(self.form.event(index + 1, data));
        }
        out
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A fake event bus; it numbers its events from 1.
#[derive(Clone)]
pub struct Bus {
    /// Address of the listener.
    pub address: SocketAddr,
    state: Shared,
    /// Shared by all clones except those of the serving threads, so that the listener closes when the test drops its
    /// last clone.
    _listening: Option<Arc<Listening>>,
}

/// Returns an entry of the endpoint list for a cache.
pub fn entry(cache: &FakeCache, zone: &str, kind: &str, state: &str) -> Value {
    json!({
        "uid": cache.uid, "endpoint": cache.address.to_string(), "az": zone, "model": kind,
        "pod_group": 0, "state": state, "capacity_hint": 8, "boot_ms": 0,
    })
}

impl Bus {
    /// Starts a bus with no events.
    pub fn start() -> io::Result<Self> {
        let state = Shared::default();
        let served = state.clone();
        let listening = listen("127.0.0.1:0", move |socket| {
            let address = socket.local_addr()?;
            Bus {
                address,
                state: served.clone(),
                _listening: None,
            }
            .serve(socket)
        })?;
        Ok(Bus {
            address: listening.address,
            state,
            _listening: Some(Arc::new(listening)),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes these entries: as the full endpoint list if `all` is set, otherwise as changes to the list.
    pub fn list(&self, all: bool, entries: Vec<Value>) {
        self.push(json!({"topology": {"rev": 1, "all": all, "targets": entries}}));
    }

    /// Publishes an event, to which this method adds the offset.
    pub fn push(&self, mut event: Value) {
        let mut state = self.state();
        event["offset"] = (state.events.len() + 1).into();
        state.events.push(event.to_string().into_bytes());
        self.state.1.notify_all();
    }

    /// Publishes an event with this data, which need not be JSON.
    pub fn push_data(&self, data: &[u8]) {
        self.state().events.push(data.to_vec());
        self.state.1.notify_all();
    }

    /// Closes the connections of all readers.
    pub fn cut(&self) {
        self.state().cuts += 1;
        self.state.1.notify_all();
    }

    /// From now on each response has this form. The connections of all readers are closed.
    pub fn set_form(&self, form: StreamForm) {
        self.state().form = form;
        self.cut();
    }

    /// From now on each response waits for an event, states its length and ends after the events so far. The connections
    /// of all readers are closed.
    pub fn end_responses(&self) {
        self.state().ends_responses = true;
        self.cut();
    }

    /// Waits up to ten seconds for the read request with this index. Returns the request's `Last-Event-ID`.
    pub fn call(&self, index: usize) -> Option<u64> {
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(10), |s| {
                s.calls.len() <= index
            });
        waited
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .calls
            .get(index)
            .copied()
    }

    /// Waits up to ten seconds until this many further heartbeats are written. Returns whether they were.
    pub fn await_heartbeats(&self, count: usize) -> bool {
        let state = self.state();
        let target = state.heartbeats + count;
        let is_waiting = |s: &mut State| s.heartbeats < target;
        let waited = self
            .state
            .1
            .wait_timeout_while(state, Duration::from_secs(10), is_waiting);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Returns the `Last-Event-ID` of each read request so far.
    pub fn calls(&self) -> Vec<u64> {
        self.state().calls.clone()
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            socket.read_exact(&mut byte)?;
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head
            .lines()
            .find_map(|l| l.strip_prefix("last-event-id:"))
            .and_then(|v| v.trim().parse().ok());
        let mut at = last.unwrap_or(0usize);
        let cuts = {
            let mut state = self.state();
            state.calls.push(at as u64);
            self.state.1.notify_all();
            state.cuts
        };
        if self.state().ends_responses {
            return self.serve_ending_response(socket, at);
        }
        let form = self.state().form.clone();
        socket.write_all(form.interim_responses.as_bytes())?;
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        socket.write_all(form.start())?;
        loop {
            let waits = |s: &mut State| s.events.len() <= at && s.cuts == cuts;
            let waited =
                self.state
                    .1
                    .wait_timeout_while(self.state(), form.heartbeat_interval, waits);
            let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            if state.cuts != cuts {
                return Ok(());
            }
            let mut out = state.events_after(at);
            out.extend(form.block(&form.heartbeat));
            at = state.events.len();
            drop(state);
            socket.write_all(&out)?;
            self.state().heartbeats += 1;
            self.state.1.notify_all();
        }
    }

    /// Waits for an event after the one with the number `last`, and writes a response that ends after the events so far.
    fn serve_ending_response(&self, mut socket: TcpStream, last: usize) -> io::Result<()> {
        let waits = |s: &mut State| s.events.len() <= last;
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), Duration::from_secs(1), waits);
        let body = waited
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .events_after(last);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length";
        socket.write_all(format!("{head}: {}\r\n\r\n", body.len()).as_bytes())?;
        socket.write_all(&body)
    }
}
