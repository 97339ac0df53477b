//! A world of nodes on loopback sockets: one thread owns the world, others only read. Each proxy is given addresses of its
//! own for every node, by which the record tells who sent what.

use super::world::{Fetch, Out, World};
use crate::record::Micros;
use linnetknot_daemon::wire::resp;
use linnetknot_harness::listener::{listen, read_commands, Listening};
use linnetknot_harness::time::unix_us;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What a part is, as far as the wire does not tell: its size in KB and its group.
pub type Parts = HashMap<(u64, u64), (f64, u64)>;

/// What the driver must know of the load.
pub struct Knows {
    /// Parts.
    pub parts: Parts,
    /// Pace of one transfer to a client, KB a second.
    pub flow_kb_per_s: f64,
    /// By class: how long a copy is fresh, in microseconds (0: for good), and whether it is a write.
    pub classes: HashMap<String, (Micros, bool)>,
    /// Every tenth answer's bytes are another part's: a fault that is planted.
    pub spoil: bool,
}

type Change = Box<dyn FnOnce(&mut World, Micros) + Send>;

enum Message {
    Opened(u64, String, TcpStream),
    Got {
        connection: u64,
        node: String,
        proxy: usize,
        words: Vec<Vec<u8>>,
    },
    Closed(u64),
    Change(Change),
    End,
}

/// A world that is served.
pub struct Served {
    /// By proxy and node: where that node listens for that proxy.
    pub addresses: BTreeMap<(usize, String), SocketAddr>,
    tell: Sender<Message>,
    world: JoinHandle<World>,
    _listeners: Vec<Listening>,
}

impl Served {
    /// Serves a world's nodes to so many proxies.
    pub fn start(world: World, nodes: &[String], proxies: usize, knows: Knows) -> io::Result<Self> {
        let (tell, told) = mpsc::channel();
        let next = Arc::new(AtomicU64::new(1));
        let (mut addresses, mut listeners) = (BTreeMap::new(), Vec::new());
        for proxy in 0..proxies {
            for node in nodes {
                let (tell, next, name) = (tell.clone(), next.clone(), node.clone());
                let listening = listen("127.0.0.1:0", move |socket: TcpStream| {
                    let connection = next.fetch_add(1, Ordering::Relaxed);
                    socket.set_nodelay(true).ok()?;
                    tell.send(Message::Opened(
                        connection,
                        name.clone(),
                        socket.try_clone().ok()?,
                    ))
                    .ok()?;
                    read_commands(socket, |words| {
                        let node = name.clone();
                        tell.send(Message::Got {
                            connection,
                            node,
                            proxy,
                            words,
                        })
                        .ok()
                    });
                    tell.send(Message::Closed(connection)).ok()
                })?;
                addresses.insert((proxy, node.clone()), listening.address);
                listeners.push(listening);
            }
        }
        let world = thread::spawn(move || {
            let mut driver = Driver {
                world,
                knows,
                sockets: HashMap::new(),
                answers: 0,
            };
            loop {
                let now = unix_us();
                let out = driver.world.advance(now);
                driver.write(out);
                let wait = driver
                    .world
                    .next_due()
                    .map_or(1_000_000, |due| due.saturating_sub(now));
                match told.recv_timeout(Duration::from_micros(wait.min(1_000_000))) {
                    Ok(Message::End) | Err(RecvTimeoutError::Disconnected) => return driver.world,
                    Ok(message) => driver.message(message),
                    Err(RecvTimeoutError::Timeout) => {}
                }
            }
        });
        Ok(Served {
            addresses,
            tell,
            world,
            _listeners: listeners,
        })
    }

    /// Changes the world.
    pub fn change(&self, change: impl FnOnce(&mut World, Micros) + Send + 'static) {
        let _ = self.tell.send(Message::Change(Box::new(change)));
    }

    /// Ends, and gives the world with its record.
    pub fn end(self) -> io::Result<World> {
        let _ = self.tell.send(Message::End);
        self.world
            .join()
            .map_err(|_| io::Error::other("the world's thread has panicked"))
    }
}

struct Driver {
    world: World,
    knows: Knows,
    /// Open connections, with their nodes.
    sockets: HashMap<u64, (String, TcpStream)>,
    answers: u64,
}

impl Driver {
    fn message(&mut self, message: Message) {
        let now = unix_us();
        let out = self.world.advance(now);
        self.write(out);
        match message {
            Message::Opened(connection, node, socket) => {
                if self.world.is_up(&node) {
                    self.sockets.insert(connection, (node, socket));
                } else {
                    let _ = socket.shutdown(Shutdown::Both);
                }
            }
            Message::Closed(connection) => {
                if let Some((node, _)) = self.sockets.remove(&connection) {
                    self.world.abort(now, &node, connection, None);
                }
            }
            Message::Got {
                connection,
                node,
                proxy,
                words,
            } => self.got(now, connection, &node, proxy, &words),
            Message::Change(change) => {
                change(&mut self.world, now);
                // A node that has died resets what was open to it.
                let world = &self.world;
                self.sockets.retain(|_, (node, socket)| {
                    world.is_up(node) || {
                        let _ = socket.shutdown(Shutdown::Both);
                        false
                    }
                });
            }
            Message::End => {}
        }
    }

    fn got(&mut self, now: Micros, connection: u64, node: &str, proxy: usize, words: &[Vec<u8>]) {
        let text = |n: usize| {
            words
                .get(n)
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .unwrap_or_default()
        };
        let (word, id) = (text(0), text(1));
        let fields = words.get(2).map(Vec::as_slice).unwrap_or_default();
        let field = |name: &str| resp::field(fields, name);
        match word.as_str() {
            "abort" => self.world.abort(now, node, connection, Some(&id)),
            "fetch" => {
                let object = field("key")
                    .and_then(|k| u64::from_str_radix(k, 16).ok())
                    .unwrap_or(0);
                let part = (
                    object,
                    field("part").and_then(|p| p.parse().ok()).unwrap_or(0),
                );
                let (kb, group) = self.knows.parts.get(&part).copied().unwrap_or((1.0, 0));
                let class = self.knows.classes.get(field("class").unwrap_or(""));
                let (fresh_us, write) = class.copied().unwrap_or((0, false));
                let asked = field("maxage")
                    .and_then(|m| m.parse::<u64>().ok())
                    .filter(|m| *m > 0);
                let good = if fresh_us == 0 { u64::MAX } else { fresh_us };
                let fetch = Fetch {
                    connection,
                    proxy,
                    id,
                    part,
                    group,
                    work_us: (kb / self.knows.flow_kb_per_s * 1e6) as Micros,
                    kb: kb.ceil() as u64,
                    source: field("src").map(str::to_owned),
                    keep: field("keep").and_then(|k| k.parse().ok()).unwrap_or(0),
                    max_age_us: asked.map_or(good, |ms| ms * 1000),
                    join: field("flags").is_some_and(|f| f.split('+').any(|w| w == "wait-for")),
                    write: write.then(|| field("once").map(str::to_owned)),
                };
                let out = self.world.fetch(now, node, fetch);
                self.write(out);
            }
            probe => {
                let fields = format!("stats=inflight:{}", self.world.inflight(node));
                let answer = if probe == "stats" { "stats" } else { "alive" };
                self.send(
                    connection,
                    &[
                        text(1).as_bytes(),
                        answer.as_bytes(),
                        fields.as_bytes(),
                        b"",
                    ],
                );
            }
        }
    }

    fn send(&mut self, connection: u64, words: &[&[u8]]) {
        let Some((_, socket)) = self.sockets.get_mut(&connection) else {
            return;
        };
        let mut out = Vec::new();
        resp::write_array(&mut out, words);
        // Whoever has gone is told of by the thread that reads.
        let _ = socket.write_all(&out);
    }

    fn write(&mut self, out: Vec<Out>) {
        for one in out {
            match one {
                Out::Answer {
                    connection,
                    id,
                    word,
                    how,
                    waited_us,
                    made,
                    part,
                } => {
                    let made_ms = made / 1000;
                    let mut fields = format!("ttfb={}", waited_us / 1000);
                    if !how.is_empty() {
                        fields += &format!(",how={how}");
                    }
                    let mut body = Vec::new();
                    if word == "200" {
                        fields += &format!(",made={made_ms},etag=t{made_ms}");
                        self.answers += 1;
                        let spoilt = self.knows.spoil && self.answers % 10 == 0;
                        body = bytes((part.0, part.1 + u64::from(spoilt)), made_ms);
                    }
                    self.send(
                        connection,
                        &[id.as_bytes(), word.as_bytes(), fields.as_bytes(), &body],
                    );
                }
                Out::Fell(node) => {
                    self.sockets.retain(|_, (of, socket)| {
                        let over = *of == node;
                        if over {
                            let _ = socket.shutdown(Shutdown::Both);
                        }
                        !over
                    });
                }
            }
        }
    }
}

/// The bytes of a part in a copy made at this Unix millisecond: a client can tell whether it was given them whole.
pub fn bytes(part: (u64, u64), made_ms: u64) -> Vec<u8> {
    let head = format!("{:016x}/{}@{made_ms};", part.0, part.1);
    let fill = part.0 ^ part.1.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let length = 200 + (fill % 800) as usize;
    head.bytes()
        .chain((0..length).map(|n| b'a' + ((fill >> (n % 48)) % 26) as u8))
        .collect()
}

/// When a copy was made that these are the bytes of, whole and unchanged, for this part.
pub fn made_of(part: (u64, u64), body: &[u8]) -> Option<u64> {
    let end = body.iter().take(64).position(|b| *b == b';')?;
    let head = std::str::from_utf8(&body[..end]).ok()?;
    let made_ms = head.split_once('@')?.1.parse().ok()?;
    (bytes(part, made_ms) == body).then_some(made_ms)
}
