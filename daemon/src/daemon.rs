//! The loop: sockets and deadlines on one side, the core on the other.

use crate::bus::{self, BusEvent, Feed, News};
use crate::config::Config;
use crate::core::{Answer, AttemptId, Client, Command, Core, Wake};
use crate::front::fastcgi::{Input, Session};
use crate::limits::Limits;
use crate::net::{connect, Clock, Conn, Deadlines, Due, Key, Poll, Progress, Ready, Slots};
use crate::upstream::{Link, Told};
use crate::wire::WireError;
use linnetknot::{Micros, Outcome, ServerId};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;

const LISTENER: u64 = u64::MAX;
const SIGNAL: u64 = u64::MAX - 1;
/// The longest wait of the loop where no deadline is near.
const IDLE_US: Micros = 1_000_000;

enum Kind {
    Client(Session),
    Box(Link),
    Bus(Feed),
}

struct Connection {
    conn: Conn,
    kind: Kind,
    /// Bytes of waiting answers that the daemon's sum holds for it.
    waiting: usize,
}

/// What has a deadline.
#[derive(Clone, Copy, Debug)]
enum Timer {
    Core(Wake),
    /// A connection begun from here must be up.
    Connect(Key),
    /// A link is looked at again: barred ids, stalled writing.
    Link(Key),
    /// The bus is called, or found silent.
    Bus,
    /// Accepting goes on.
    Accept,
    /// The grace after SIGTERM is over.
    Term,
}

/// The daemon.
pub struct Daemon {
    clock: Clock,
    limits: Limits,
    core: Core,
    poll: Poll,
    listener: Option<TcpListener>,
    accepting: bool,
    signal: UnixStream,
    connections: Slots<Connection>,
    clients: usize,
    links: BTreeMap<ServerId, Vec<Key>>,
    deadlines: Deadlines<Timer>,
    bus: Option<SocketAddr>,
    feed: Option<Key>,
    bus_timer: Option<Due>,
    last_event: u64,
    waiting_answers: usize,
    stopping: bool,
    grace_over: bool,
}

impl Daemon {
    /// Binds the sockets and replays the known events.
    pub fn start(config: Config) -> Result<Self, String> {
        let text = |e: io::Error| e.to_string();
        let limits = config.limits;
        let listener =
            TcpListener::bind(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
        listener.set_nonblocking(true).map_err(text)?;
        let (signal, raised) = UnixStream::pair().map_err(text)?;
        signal.set_nonblocking(true).map_err(text)?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, raised).map_err(text)?;
        let poll = Poll::new(256).map_err(text)?;
        poll.add(&listener, LISTENER, true, false).map_err(text)?;
        poll.add(&signal, SIGNAL, true, false).map_err(text)?;
        let core = Core::new(config.settings, config.seed, &limits).map_err(|e| e.to_string())?;
        let mut daemon = Daemon {
            clock: Clock::start(),
            core,
            poll,
            listener: Some(listener),
            accepting: true,
            signal,
            connections: Slots::new(limits.connections),
            clients: 0,
            links: BTreeMap::new(),
            deadlines: Deadlines::default(),
            bus: config.bus,
            feed: None,
            bus_timer: None,
            last_event: config.known.0,
            waiting_answers: 0,
            stopping: false,
            grace_over: false,
            limits,
        };
        let now = daemon.clock.now();
        config.known.1.into_iter().for_each(|event| daemon.news(now, event));
        daemon.call_bus(now);
        daemon.settle(now);
        log::info!("{} listens on {}", config.name, config.listen);
        Ok(daemon)
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Serves until SIGTERM, and then until all is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_done() {
            let now = self.clock.now();
            let wait = self.deadlines.next().map_or(IDLE_US, |at| at.saturating_sub(now)).min(IDLE_US);
            self.poll.wait(wait, &mut ready)?;
            for event in ready.drain(..) {
                self.event(event);
            }
            let now = self.clock.now();
            while let Some(timer) = self.deadlines.pop(now) {
                self.timer(now, timer);
                self.settle(now);
            }
        }
        let c = self.core.counts;
        log::info!(
            "ended: {} taken, {} served, {} refused, {} failed, {} left, {} attempts",
            c.taken,
            c.served,
            c.refused,
            c.failed,
            c.left,
            c.attempts
        );
        Ok(())
    }

    fn is_done(&self) -> bool {
        self.grace_over && self.core.is_idle() && self.waiting_answers == 0 && {
            let written = |key: &Key| {
                let c = self.connections.get(*key);
                c.is_none_or(
                    |c| !matches!(&c.kind, Kind::Client(s) if !s.is_idle() || !c.conn.output.is_empty()),
                )
            };
            self.connections.keys().iter().all(written)
        }
    }

    fn event(&mut self, event: Ready) {
        let now = self.clock.now();
        match event.token {
            LISTENER => self.accept(now),
            SIGNAL => self.term(now),
            token => self.serve(now, Key::from_u64(token), event),
        }
        self.settle(now);
    }

    fn timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Core(wake) => self.core.wake(now, wake),
            Timer::Connect(key) => {
                if self.connections.get(key).is_some_and(|c| !c.conn.up) {
                    self.close(now, key);
                }
            }
            Timer::Link(key) => self.look_at_link(now, key),
            Timer::Bus => self.check_bus(now),
            Timer::Accept => self.accept(now),
            Timer::Term => {
                self.grace_over = true;
                self.listener = None;
            }
        }
    }

    // ---- Clients ----

    fn accept(&mut self, now: Micros) {
        while let Some(listener) = &self.listener {
            // Full tables leave connections in the kernel's queue: others end, and these are taken then.
            let full = self.clients >= self.limits.clients || self.connections.is_full();
            let taken = if full { Err(io::ErrorKind::OutOfMemory.into()) } else { listener.accept() };
            let socket = match taken {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                Err(e) => {
                    // No descriptor left: the listener would stay readable and the loop spin on it.
                    log::warn!("accepting pauses: {e}");
                    let _ = self.poll.change(listener, LISTENER, false, false);
                    self.accepting = false;
                    self.deadlines.set(now + self.limits.accept_again_us, Timer::Accept);
                    return;
                }
            };
            let conn = Conn::new(socket, true, self.limits.input_ring, self.limits.output_ring);
            if let Ok(conn) = conn {
                if self.open(conn, Kind::Client(Session::default())).is_some() {
                    self.clients += 1;
                }
            }
        }
        if let Some(listener) = self.listener.as_ref().filter(|_| !self.accepting) {
            self.accepting = self.poll.change(listener, LISTENER, true, false).is_ok();
        }
    }

    fn term(&mut self, now: Micros) {
        let mut bytes = [0; 16];
        while io::Read::read(&mut self.signal, &mut bytes).is_ok_and(|n| n > 0) {}
        if !std::mem::replace(&mut self.stopping, true) {
            log::info!("SIGTERM: answering what is open");
            self.deadlines.set(now + self.limits.term_grace_us, Timer::Term);
        }
    }

    /// Takes in what a client's connection asks.
    fn read_client(&mut self, now: Micros, key: Key) -> Result<(), WireError> {
        loop {
            let Some(c) = self.connections.get_mut(key) else { return Ok(()) };
            let Kind::Client(session) = &mut c.kind else { return Ok(()) };
            match session.read(&mut c.conn.input, &self.limits)? {
                None => return Ok(()),
                Some(Input::Leave(ticket)) => self.core.leave(now, ticket),
                Some(Input::Health(stream)) => {
                    let ready = self.core.is_ready() && !self.stopping;
                    session.say(stream, if ready { "200 OK" } else { "503 Service Unavailable" });
                }
                Some(Input::Ask(stream, asked)) => {
                    let client = Client { connection: key, stream: u32::from(stream) };
                    let slow = self.waiting_answers > self.limits.waiting_answers;
                    let ticket = if slow { None } else { self.core.ask(now, client, asked) };
                    match ticket {
                        Some(ticket) => session.taken(stream, ticket),
                        None => session.answer(stream, &Answer::Refused { wait_us: None }),
                    }
                }
            }
            // Answers given at once belong to requests that are already known as taken.
            self.settle(now);
        }
    }

    fn answer(&mut self, client: Client, answer: &Answer) {
        let Some(c) = self.connections.get_mut(client.connection) else { return };
        if let Kind::Client(session) = &mut c.kind {
            session.answer(client.stream as u16, answer);
        }
        self.write_client(client.connection);
    }

    fn write_client(&mut self, key: Key) {
        let Some(c) = self.connections.get_mut(key) else { return };
        let Kind::Client(session) = &mut c.kind else { return };
        loop {
            session.write(&mut c.conn.output);
            if c.conn.write() != Progress::Moved {
                break;
            }
        }
        let before = std::mem::replace(&mut c.waiting, session.waiting());
        self.waiting_answers = self.waiting_answers + c.waiting - before;
    }

    // ---- Connections ----

    fn open(&mut self, conn: Conn, kind: Kind) -> Option<Key> {
        let up = conn.up;
        let key = self.connections.insert(Connection { conn, kind, waiting: 0 }).ok()?;
        let c = self.connections.get(key)?;
        if let Err(e) = self.poll.add(c.conn.socket(), key.to_u64(), true, !up) {
            log::warn!("a connection can't be watched: {e}");
            self.connections.remove(key);
            return None;
        }
        Some(key)
    }

    fn call(&mut self, now: Micros, to: SocketAddr, kind: Kind) -> Option<Key> {
        let socket = connect(to).map_err(|e| log::warn!("no connection to {to}: {e}")).ok()?;
        let conn = Conn::new(socket, false, self.limits.input_ring, self.limits.output_ring).ok()?;
        let key = self.open(conn, kind)?;
        self.deadlines.set(now + self.limits.connect_us, Timer::Connect(key));
        Some(key)
    }

    fn serve(&mut self, now: Micros, key: Key, ready: Ready) {
        // A stale event, of a connection that ended earlier in the same round, misses by its generation.
        let Some(c) = self.connections.get_mut(key) else { return };
        if ready.write && !c.conn.up {
            if c.conn.finish_connect().is_err() {
                return self.close(now, key);
            }
            if let (Kind::Bus(_), Some(bus)) = (&c.kind, self.bus) {
                c.conn.output.push(&bus::request(&bus.to_string(), self.last_event));
            }
        }
        let mut over = false;
        if ready.read && c.conn.up {
            let got = c.conn.read();
            over = matches!(got, Progress::Ended | Progress::Broken);
            if let Err(e) = self.read(now, key) {
                log::warn!("a connection is ended: {e}");
                over = true;
            }
        }
        if over || !self.write(now, key) {
            self.close(now, key);
        }
    }

    fn read(&mut self, now: Micros, key: Key) -> Result<(), WireError> {
        let Some(c) = self.connections.get_mut(key) else { return Ok(()) };
        match &mut c.kind {
            Kind::Client(_) => self.read_client(now, key),
            Kind::Box(link) => {
                let mut told = Vec::new();
                let result = link.read(now, &mut c.conn, &self.core, &mut told);
                let server = link.server;
                self.tell(now, server, told);
                result
            }
            Kind::Bus(feed) => {
                let mut events = Vec::new();
                let mut result = Ok(());
                while !c.conn.input.is_empty() && result.is_ok() {
                    let front = c.conn.input.front();
                    let taken = front.len();
                    result = feed.read(now, front, &mut self.last_event).map(|e| events.extend(e));
                    c.conn.input.consume(taken);
                }
                events.into_iter().for_each(|event| self.news(now, event));
                result
            }
        }
    }

    /// Writes what is waiting; false where the connection is over.
    fn write(&mut self, now: Micros, key: Key) -> bool {
        let Some(c) = self.connections.get_mut(key) else { return true };
        let sound = match &mut c.kind {
            Kind::Client(_) => {
                self.write_client(key);
                self.connections.get(key).is_none_or(|c| match &c.kind {
                    Kind::Client(s) => !(s.is_over() && c.conn.output.is_empty()),
                    _ => true,
                })
            }
            Kind::Box(_) => self.pump(now, key),
            Kind::Bus(_) => c.conn.write() != Progress::Broken,
        };
        self.watch(key);
        sound
    }

    fn watch(&mut self, key: Key) {
        let Some(c) = self.connections.get_mut(key) else { return };
        if let Some((read, write)) = c.conn.watch() {
            if let Err(e) = self.poll.change(c.conn.socket(), key.to_u64(), read, write) {
                log::warn!("a connection can't be watched: {e}");
            }
        }
    }

    fn close(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.remove(key) else { return };
        match c.kind {
            Kind::Client(session) => {
                self.clients -= 1;
                self.waiting_answers -= c.waiting;
                session.tickets().into_iter().for_each(|ticket| self.core.leave(now, ticket));
            }
            Kind::Box(link) => {
                let server = link.server;
                if let Some(links) = self.links.get_mut(&server) {
                    links.retain(|k| *k != key);
                }
                let mut told = Vec::new();
                link.broken(c.conn.written, &mut told);
                self.tell(now, server, told);
            }
            Kind::Bus(_) => {
                self.feed = None;
                self.wake_bus(now + self.limits.bus_again_us);
            }
        }
    }

    // ---- Boxes ----

    /// Carries out what the core wants done, and what follows from that.
    fn settle(&mut self, now: Micros) {
        loop {
            let commands = self.core.commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::Send(attempt) => self.send(now, attempt),
                    Command::GiveUp(attempt, server) => self.give_up(now, attempt, server),
                    Command::Answer(client, answer) => {
                        self.answer(client, &answer);
                        self.watch(client.connection);
                    }
                    Command::Wake(at, wake) => {
                        self.deadlines.set(at, Timer::Core(wake));
                    }
                    Command::Probe(server) => self.probe(now, server),
                    Command::Withdraw(server) => self.withdraw(now, server),
                }
            }
        }
    }

    fn tell(&mut self, now: Micros, server: ServerId, told: Vec<Told>) {
        for t in told {
            match t {
                Told::Ended(attempt, ended) => self.core.ended(now, attempt, ended),
                Told::Probed(outcome, took_us, load) => self.core.probed(now, server, outcome, took_us, load),
            }
        }
    }

    fn link(&mut self, key: Key) -> Option<(&mut Conn, &mut Link)> {
        match self.connections.get_mut(key)? {
            Connection { conn, kind: Kind::Box(link), .. } => Some((conn, link)),
            _ => None,
        }
    }

    fn send(&mut self, now: Micros, attempt: AttemptId) {
        let Some((asked, sending)) = self.core.sending(attempt) else { return };
        let (id, server) = (asked.id.as_str(), sending.server);
        let links = self.links.get(&server).map_or(&[][..], Vec::as_slice);
        let room = |key: &Key| match self.connections.get(*key) {
            Some(Connection { conn, kind: Kind::Box(link), .. }) => {
                Some((!conn.up, link.room_for(id, &self.limits)?))
            }
            _ => None,
        };
        let best = links.iter().filter_map(|key| Some((room(key)?, *key))).min().map(|(_, key)| key);
        let fresh = best.is_none() && links.len() < self.limits.box_connections;
        let endpoint = self.core.location(server).map(|(_, endpoint)| endpoint).filter(|_| fresh);
        let key = best.or_else(|| {
            let key = self.call(now, endpoint?, Kind::Box(Link::new(server, &self.limits, now)))?;
            self.links.entry(server).or_default().push(key);
            Some(key)
        });
        match key.and_then(|key| Some((key, self.link(key)?.1))) {
            Some((key, link)) => {
                link.send(attempt);
                if !self.pump(now, key) {
                    self.close(now, key);
                }
                self.watch(key);
            }
            // Nothing was written: it never ran.
            None => self.core.ended(now, attempt, Outcome::ConnectFailed.into()),
        }
    }

    fn pump(&mut self, now: Micros, key: Key) -> bool {
        let Some(Connection { conn, kind: Kind::Box(link), .. }) = self.connections.get_mut(key) else {
            return true;
        };
        let (server, mut told) = (link.server, Vec::new());
        let sound = link.pump(now, conn, &self.core, &self.limits, &mut told);
        if conn.up && !conn.output.is_empty() {
            self.deadlines.set(now + self.limits.stalled_us, Timer::Link(key));
        }
        self.tell(now, server, told);
        sound
    }

    fn look_at_link(&mut self, now: Micros, key: Key) {
        if !self.pump(now, key) {
            self.close(now, key);
        }
        self.watch(key);
        if let Some(Connection { kind: Kind::Box(link), .. }) = self.connections.get_mut(key) {
            link.prune(now, &self.limits);
        }
    }

    fn give_up(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self.links.get(&server).cloned().unwrap_or_default() {
            let Some((conn, link)) = self.link(key) else { continue };
            let mut told = Vec::new();
            let sound = link.give_up(now, attempt, conn, &mut told);
            self.tell(now, server, told);
            self.deadlines.set(now + self.limits.barred_us, Timer::Link(key));
            if !sound || !self.pump(now, key) {
                self.close(now, key);
            }
            self.watch(key);
        }
    }

    fn withdraw(&mut self, now: Micros, server: ServerId) {
        for key in self.links.values().flatten().copied().collect::<Vec<_>>() {
            let Some(Connection { kind: Kind::Box(link), .. }) = self.connections.get_mut(key) else {
                continue;
            };
            let (to, mut told) = (link.server, Vec::new());
            link.withdraw(server, &self.core, &mut told);
            let over = to == server && link.is_idle();
            self.tell(now, to, told);
            if over {
                // Its address may be given to another box.
                self.close(now, key);
            }
        }
    }

    fn probe(&mut self, now: Micros, server: ServerId) {
        let key = self.links.get(&server).and_then(|links| links.first()).copied();
        let asked = key.and_then(|key| self.link(key)).is_some_and(|(conn, link)| link.probe(now, conn));
        match key.filter(|_| asked) {
            Some(key) => {
                self.write(now, key);
            }
            None => self.core.probed(now, server, Outcome::ConnectFailed, 0, None),
        }
    }

    // ---- The event bus ----

    fn news(&mut self, now: Micros, event: BusEvent) {
        match event.news {
            Some(News::List(mode, entries)) => self.core.list(now, mode, entries),
            Some(News::Purge { object, group, at }) => self.core.purged(now, object, group, at),
            None => log::debug!("event {} of the bus is of an unknown kind", event.offset),
        }
    }

    fn call_bus(&mut self, now: Micros) {
        let Some(bus) = self.bus else { return };
        self.feed = self.call(now, bus, Kind::Bus(Feed::new(&self.limits, now)));
        self.wake_bus(now + self.limits.bus_silence_us / 2);
    }

    fn wake_bus(&mut self, at: Micros) {
        if let Some(due) = self.bus_timer.replace(self.deadlines.set(at, Timer::Bus)) {
            self.deadlines.take_back(due);
        }
    }

    /// A bus that has gone silent may have gone without a word: what it has to tell counts as told all the same.
    fn check_bus(&mut self, now: Micros) {
        let read = self.feed.and_then(|key| match &self.connections.get(key)?.kind {
            Kind::Bus(feed) => Some((key, feed.last_read())),
            _ => None,
        });
        match read {
            None => self.call_bus(now),
            Some((key, at)) if at + self.limits.bus_silence_us < now => {
                log::warn!("the event bus is silent and called again");
                self.close(now, key);
            }
            Some(_) => {
                self.wake_bus(now + self.limits.bus_silence_us / 2);
            }
        }
    }
}
