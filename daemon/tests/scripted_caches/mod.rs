//! Cache servers whose every response is sent by the test, and the encoding of clients' requests.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use crate::test_proxy::TestProxy;
use linnetknot_daemon::wire::{fastcgi, resp, Parser};
use linnetknot_harness::clients::WebServer;
use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A cache server that accepts connections and sends responses only when the test tells it to.
pub(crate) struct ScriptedCache {
    pub(crate) listener: TcpListener,
    pub(crate) connections: Vec<ScriptedConnection>,
}

/// A daemon's connection to a scripted cache, with the bytes received and not yet parsed.
pub(crate) struct ScriptedConnection {
    pub(crate) socket: TcpStream,
    pub(crate) parser: resp::ArrayParser,
    pub(crate) input: Vec<u8>,
    pub(crate) ended: bool,
}

impl ScriptedCache {
    pub(crate) fn start() -> ScriptedCache {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedCache {
            listener,
            connections: Vec::new(),
        }
    }

    pub(crate) fn address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Accepts pending connections and returns the commands received on all of them, each with the index of its connection.
    pub(crate) fn take_commands(&mut self) -> Vec<(usize, Vec<String>)> {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).unwrap();
            let parser = resp::ArrayParser::new(1 << 20);
            self.connections.push(ScriptedConnection {
                socket,
                parser,
                input: Vec::new(),
                ended: false,
            });
        }
        let mut all = Vec::new();
        for (index, connection) in self.connections.iter_mut().enumerate() {
            all.extend(
                connection
                    .take_commands()
                    .into_iter()
                    .map(|command| (index, command)),
            );
        }
        all
    }
}

impl ScriptedConnection {
    pub(crate) fn take_commands(&mut self) -> Vec<Vec<String>> {
        let (mut commands, mut bytes) = (Vec::new(), [0; 65_536]);
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => self.ended = true,
                Ok(got) => {
                    self.input.extend_from_slice(&bytes[..got]);
                    continue;
                }
                Err(e) => self.ended |= e.kind() != ErrorKind::WouldBlock,
            }
            break;
        }
        while !self.input.is_empty() {
            let (taken, array) = self.parser.parse(&self.input).unwrap();
            self.input.drain(..taken);
            let text = |item: Vec<u8>| String::from_utf8(item).unwrap();
            commands.extend(array.map(|array| array.into_iter().map(text).collect()));
        }
        commands
    }

    pub(crate) fn respond(&mut self, id: &str, status: &str, fields: &str, body: &str) {
        let mut bytes = Vec::new();
        resp::write_array(
            &mut bytes,
            &[
                id.as_bytes(),
                status.as_bytes(),
                fields.as_bytes(),
                body.as_bytes(),
            ],
        );
        self.socket.write_all(&bytes).unwrap();
    }
}

/// Starts a daemon whose cache servers are all scripted.
pub(crate) fn start_with_scripted_caches<const N: usize>(
    change: impl Fn(&mut Value),
) -> (TestProxy, [ScriptedCache; N]) {
    let caches = std::array::from_fn(|_| ScriptedCache::start());
    let addresses = caches
        .iter()
        .map(ScriptedCache::address)
        .collect::<Vec<_>>();
    let proxy = TestProxy::with(&["s-0a", "s-0b", "s-0c"][..N], |config| {
        for (n, address) in addresses.iter().enumerate() {
            config["known"]["batch"][0]["topology"]["targets"][n]["endpoint"] =
                address.as_str().into();
        }
        change(config);
    });
    (proxy, caches)
}

/// Waits for a command on any cache. Returns the indices of the cache and of its connection, and the command.
pub(crate) fn next_command<const N: usize>(
    caches: &mut [ScriptedCache; N],
) -> (usize, usize, Vec<String>) {
    let start = Instant::now();
    loop {
        for (n, cache) in caches.iter_mut().enumerate() {
            if let Some((index, command)) = cache.take_commands().into_iter().next() {
                return (n, index, command);
            }
        }
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "no command received within 10 s"
        );
        std::thread::yield_now();
    }
}

/// Encodes a client's FastCGI request for a photo.
pub(crate) fn photo_request(id: u16, object: &str, padding: usize) -> Vec<u8> {
    let name = format!("{:016x}", 0xabc_0000 + u64::from(id));
    let padding = "x".repeat(padding);
    let fields = [
        ("HTTP_REQUEST_ID", name.as_str()),
        ("HTTP_RESOURCE_KEY", object),
        ("HTTP_BUDGET_MS", "2000"),
        ("HTTP_PADDING", &padding),
    ];
    WebServer::request(id, "/invoke/photo", &fields, b"")
}

pub(crate) fn abort_record(id: u16) -> Vec<u8> {
    let mut bytes = Vec::new();
    fastcgi::write_record(&mut bytes, fastcgi::kind::ABORT, id, &[]);
    bytes
}

/// Waits without sleeping until the duration has passed on the monotonic clock.
pub(crate) fn busy_wait(duration: Duration) {
    let start = Instant::now();
    while start.elapsed() < duration {
        std::thread::yield_now();
    }
}

/// Fills the listener's accept queue. Further connections are not established until the listener accepts the returned
/// connection.
pub(crate) fn fill_accept_queue(cache: &ScriptedCache) -> TcpStream {
    rustix::net::listen(&cache.listener, 0).unwrap();
    TcpStream::connect(cache.listener.local_addr().unwrap()).unwrap()
}

/// Adds two parents to a configuration, so that a failed fill can be retried from another source.
pub(crate) fn add_parents(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["kinds"].as_array_mut().unwrap().push("mid".into());
    settings["family-info"]["mid-kind"] = 2.into();
    let targets = config["known"]["batch"][0]["topology"]["targets"]
        .as_array_mut()
        .unwrap();
    let origin = targets.last().unwrap().clone();
    for uid in ["s-1a", "s-1b"] {
        let mut parent = origin.clone();
        (parent["uid"], parent["model"]) = (uid.into(), "mid".into());
        targets.push(parent);
    }
}

/// A `fetch` that a cache received: indices of the cache and of its connection, id and fields of the request.
pub(crate) type Fetch = (usize, usize, String, String);

/// Returns all `fetch` commands received by any cache since the last call.
pub(crate) fn take_fetches<const N: usize>(caches: &mut [ScriptedCache; N]) -> Vec<Fetch> {
    let mut all = Vec::new();
    for (n, cache) in caches.iter_mut().enumerate() {
        let commands = cache.take_commands().into_iter();
        let fetched = commands.filter(|(_, command)| command[0] == "fetch");
        all.extend(
            fetched.map(|(index, command)| (n, index, command[1].clone(), command[2].clone())),
        );
    }
    all
}
