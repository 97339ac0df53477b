//! A fake site on loopback sockets. One thread owns the site, and other threads read from the sockets. Each node
//! listens on a separate address for each proxy, so that the record can name the proxy that sent a request.

use super::site::{FakeSite, Fetch, SiteOutput};
use crate::record::Micros;
use linnetknot_daemon::wire::resp;
use linnetknot_harness::arrival::ArrivalReader;
use linnetknot_harness::listener::{listen, read_commands, Listening};
use linnetknot_harness::time::unix_us;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The size in KB and the group of each part, which are not contained in the requests on the wire.
pub type Parts = HashMap<(u64, u64), (f64, u64)>;

/// The properties of the load that the nodes need and that are not contained in requests.
pub struct Workload {
    /// The parts of all objects.
    pub parts: Parts,
    /// The full rate of a transfer to a client, in KB per second.
    pub flow_kb_per_s: f64,
    /// The classes by name.
    pub classes: HashMap<String, ClassRules>,
    /// Injects a defect: every tenth answer carries the bytes of another part.
    pub corrupt_answers: bool,
}

/// The properties of a class that the nodes use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassRules {
    /// The time for which a copy is fresh, in microseconds. 0 means without limit.
    pub freshness_us: Micros,
    /// Whether requests of the class are writes.
    pub is_write: bool,
}

impl Workload {
    /// Parses the fields of a fetch. The caller sets the connection, the proxy and the id.
    fn fetch(&self, fields: &[u8]) -> Fetch {
        let field = |name: &str| resp::field(fields, name);
        let number = |name: &str| field(name).and_then(|value| value.parse::<u64>().ok());
        let object = field("key").and_then(|key| u64::from_str_radix(key, 16).ok());
        let part = (object.unwrap_or(0), number("part").unwrap_or(0));
        let (kb, group) = self.parts.get(&part).copied().unwrap_or((1.0, 0));
        let class = self.classes.get(field("class").unwrap_or(""));
        let ClassRules {
            freshness_us,
            is_write,
        } = class.copied().unwrap_or_default();
        let freshness_us = if freshness_us == 0 {
            u64::MAX
        } else {
            freshness_us
        };
        let max_age_ms = number("maxage").filter(|ms| *ms > 0);
        Fetch {
            connection: 0,
            proxy: 0,
            id: String::new(),
            part,
            group,
            work_us: (kb / self.flow_kb_per_s * 1e6) as Micros,
            kb: kb.ceil() as u64,
            source: field("src").map(str::to_owned),
            rank: field("keep").and_then(|k| k.parse().ok()).unwrap_or(0),
            max_age_us: max_age_ms.map_or(freshness_us, |ms| ms * 1000),
            join: field("flags").is_some_and(|f| f.split('+').any(|w| w == "wait-for")),
            write: is_write.then(|| field("once").map(str::to_owned)),
        }
    }
}

type Change = Box<dyn FnOnce(&mut FakeSite, Micros) + Send>;

enum Message {
    Opened(u64, String, TcpStream),
    Command {
        connection: u64,
        node: String,
        proxy: usize,
        words: Vec<Vec<u8>>,
    },
    Closed(u64),
    Change(Change),
    End,
}

/// The maximum time between two steps of the site.
const MAX_WAIT_US: Micros = 1_000_000;

/// A running fake site.
pub struct SiteServer {
    /// The address of each node for each proxy.
    pub addresses: BTreeMap<(usize, String), SocketAddr>,
    sender: Sender<Message>,
    site: JoinHandle<FakeSite>,
    _listeners: Vec<Listening>,
}

/// Opens the listener of one node for one proxy.
fn listen_for(
    proxy: usize,
    node: &str,
    sender: &Sender<Message>,
    next: &Arc<AtomicU64>,
) -> io::Result<Listening> {
    let (sender, next, node) = (sender.clone(), next.clone(), node.to_owned());
    listen("127.0.0.1:0", move |socket: TcpStream| {
        let connection = next.fetch_add(1, Ordering::Relaxed);
        socket.set_nodelay(true).ok()?;
        let writer = socket.try_clone().ok()?;
        sender
            .send(Message::Opened(connection, node.clone(), writer))
            .ok()?;
        let mut reader = ArrivalReader::new(&socket).ok()?;
        read_commands(
            |buffer| reader.read(buffer),
            |words, _| {
                let message = Message::Command {
                    connection,
                    node: node.clone(),
                    proxy,
                    words,
                };
                sender.send(message).ok()
            },
        );
        sender.send(Message::Closed(connection)).ok()
    })
}

impl SiteServer {
    /// Starts a site's nodes for this number of proxies.
    pub fn start(
        site: FakeSite,
        nodes: &[String],
        proxies: usize,
        workload: Workload,
    ) -> io::Result<Self> {
        let (sender, messages) = mpsc::channel();
        let next = Arc::new(AtomicU64::new(1));
        let (mut addresses, mut listeners) = (BTreeMap::new(), Vec::new());
        for proxy in 0..proxies {
            for node in nodes {
                let listening = listen_for(proxy, node, &sender, &next)?;
                addresses.insert((proxy, node.clone()), listening.address);
                listeners.push(listening);
            }
        }
        let driver = Driver {
            site,
            workload,
            sockets: HashMap::new(),
            answers: 0,
        };
        let site = thread::spawn(move || driver.run(&messages));
        Ok(SiteServer {
            addresses,
            sender,
            site,
            _listeners: listeners,
        })
    }

    /// Applies a change on the site's thread.
    pub fn change(&self, change: impl FnOnce(&mut FakeSite, Micros) + Send + 'static) {
        let _ = self.sender.send(Message::Change(Box::new(change)));
    }

    /// Stops the site and returns it, including the recorded attempts.
    pub fn end(self) -> io::Result<FakeSite> {
        let _ = self.sender.send(Message::End);
        self.site
            .join()
            .map_err(|_| io::Error::other("the site's thread has panicked"))
    }
}

struct Driver {
    site: FakeSite,
    workload: Workload,
    /// The open connections with their nodes.
    sockets: HashMap<u64, (String, TcpStream)>,
    answers: u64,
}

impl Driver {
    /// Advances the site and handles messages until the end.
    fn run(mut self, messages: &Receiver<Message>) -> FakeSite {
        loop {
            let now = unix_us();
            let out = self.site.advance(now);
            self.write(out);
            let next_due = self.site.next_due();
            let wait = next_due.map_or(MAX_WAIT_US, |due| due.saturating_sub(now));
            match messages.recv_timeout(Duration::from_micros(wait.min(MAX_WAIT_US))) {
                Ok(Message::End) | Err(RecvTimeoutError::Disconnected) => return self.site,
                Ok(message) => self.message(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn message(&mut self, message: Message) {
        let now = unix_us();
        let out = self.site.advance(now);
        self.write(out);
        match message {
            Message::Opened(connection, node, socket) => {
                if self.site.is_up(&node) {
                    self.sockets.insert(connection, (node, socket));
                } else {
                    let _ = socket.shutdown(Shutdown::Both);
                }
            }
            Message::Closed(connection) => {
                if let Some((node, _)) = self.sockets.remove(&connection) {
                    self.site.abort(now, &node, connection, None);
                }
            }
            Message::Command {
                connection,
                node,
                proxy,
                words,
            } => self.handle_command(now, connection, &node, proxy, &words),
            Message::Change(change) => {
                change(&mut self.site, now);
                // A stopped node resets its connections.
                let site = &self.site;
                self.sockets.retain(|_, (node, socket)| {
                    site.is_up(node) || {
                        let _ = socket.shutdown(Shutdown::Both);
                        false
                    }
                });
            }
            Message::End => {}
        }
    }

    fn handle_command(
        &mut self,
        now: Micros,
        connection: u64,
        node: &str,
        proxy: usize,
        words: &[Vec<u8>],
    ) {
        let text = |n: usize| {
            words
                .get(n)
                .map(|b| String::from_utf8_lossy(b).into_owned())
                .unwrap_or_default()
        };
        let (command, id) = (text(0), text(1));
        match command.as_str() {
            "abort" => self.site.abort(now, node, connection, Some(&id)),
            "fetch" => {
                let fields = words.get(2).map(Vec::as_slice).unwrap_or_default();
                let mut fetch = self.workload.fetch(fields);
                fetch.connection = connection;
                fetch.proxy = proxy;
                fetch.id = id;
                let out = self.site.fetch(now, node, fetch);
                self.write(out);
            }
            probe => {
                let fields = format!("stats=inflight:{}", self.site.inflight(node));
                let answer = if probe == "stats" { "stats" } else { "alive" };
                let words = [id.as_bytes(), answer.as_bytes(), fields.as_bytes(), b""];
                self.send(connection, &words);
            }
        }
    }

    fn send(&mut self, connection: u64, words: &[&[u8]]) {
        let Some((_, socket)) = self.sockets.get_mut(&connection) else {
            return;
        };
        let mut out = Vec::new();
        resp::write_array(&mut out, words);
        // The reading thread reports a closed connection.
        let _ = socket.write_all(&out);
    }

    fn write(&mut self, out: Vec<SiteOutput>) {
        for one in out {
            match one {
                SiteOutput::Answer {
                    connection,
                    id,
                    status,
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
                    if status == "200" {
                        fields += &format!(",made={made_ms},etag=t{made_ms}");
                        self.answers += 1;
                        let is_corrupted = self.workload.corrupt_answers && self.answers % 10 == 0;
                        body = part_bytes((part.0, part.1 + u64::from(is_corrupted)), made_ms);
                    }
                    self.send(
                        connection,
                        &[id.as_bytes(), status.as_bytes(), fields.as_bytes(), &body],
                    );
                }
                SiteOutput::Crashed(node) => {
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

/// Returns the body of a part. The body depends on the time of the copy, so that a client can verify it completely.
pub fn part_bytes(part: (u64, u64), made_ms: u64) -> Vec<u8> {
    let head = format!("{:016x}/{}@{made_ms};", part.0, part.1);
    let fill = part.0 ^ part.1.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let length = 200 + (fill % 800) as usize;
    head.bytes()
        .chain((0..length).map(|n| b'a' + ((fill >> (n % 48)) % 26) as u8))
        .collect()
}

/// Returns the time of the copy, or `None` if the body is incomplete or belongs to another part.
pub fn verified_copy_time_ms(part: (u64, u64), body: &[u8]) -> Option<u64> {
    let end = body.iter().take(64).position(|b| *b == b';')?;
    let head = std::str::from_utf8(&body[..end]).ok()?;
    let made_ms = head.split_once('@')?.1.parse().ok()?;
    (part_bytes(part, made_ms) == body).then_some(made_ms)
}
