//! The loop: sockets and deadlines on one side, the core on the other.

use crate::config::{Config, Source};
use crate::core::{Command, Core, Wake, TRACE};
use crate::front::cdni::{self, Desk, Waiting};
use crate::front::fastcgi::Session;
use crate::ledger::{Bounds, Ledger};
use crate::limits::Limits;
use crate::net::{
    bind_shared_udp, connect, spells, Clock, Conn, Deadlines, Due, Failure, FailureKind, Key,
    Listener, Poll, Progress, Ready, Slots,
};
use crate::plain_purges::PlainPurges;
use crate::upstream::Link;
use crate::wire::WireError;
use linnetknot::{Micros, Outcome, ServerId};
use linnetknot_discovery::{Damping, Discovery, Source as ListSource, Vetting};
use linnetknot_origin_health::{OriginHealth, ZonePlace};
use rustix::fd::OwnedFd;
use rustix::pipe::{pipe_with, PipeFlags};
use std::collections::{btree_map::Entry, BTreeMap};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

mod admin;
mod boxes;
mod budgets;
mod clients;
mod commits;
mod discovery;
mod exchange;
mod feeds;
mod fleet_status;
mod lifecycle;
mod membership;
mod neighbours;
mod operator_state;
mod peer_index;
mod plain_purges;
mod recovery;
mod redial;
mod registration;
mod replication;
mod store_opening;
mod turn;

use discovery::LoggedLines;
use exchange::{Effect, Exchange};
use feeds::{bus, consul};
use peer_index::PeerIndex;
use registration::Registration;
use store_opening::{PendingStore, StoreConfig};
use turn::Turn;

const LISTENER: u64 = u64::MAX;
const SIGNAL: u64 = u64::MAX - 1;
const PEERS: u64 = u64::MAX - 2;
const CDNI: u64 = u64::MAX - 3;
const RELOAD: u64 = u64::MAX - 4;
const ADMIN: u64 = u64::MAX - 5;
const STORE: u64 = u64::MAX - 6;
/// The longest wait of the loop where no deadline is near.
const IDLE_US: Micros = 1_000_000;

enum Kind {
    Client(Session),
    Box(Link),
    Cdni(Box<cdni::Session>),
    /// A client's that this side has ended, with all answered: what still comes is thrown away.
    Lingering,
    /// What this side has begun.
    Exchange(Box<dyn Exchange>),
    /// An operator's call at the admin listener.
    Admin(Box<admin::Caller>),
}

impl Kind {
    fn is_client(&self) -> bool {
        matches!(self, Kind::Client(_) | Kind::Cdni(_) | Kind::Lingering)
    }
}

/// Why a connection was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoCall {
    /// The other side refused it: nobody listens there.
    Refused,
    /// Others that were begun before have not come up, or this one can't.
    Late,
    /// No place in the table is left here, which says nothing of the other side.
    NoRoom,
    /// No descriptor, port, route or memory is left here for now, which says nothing of the other side.
    Local,
}

struct Connection {
    conn: Conn,
    kind: Kind,
    /// A client's: when it was last waited for here, or what it is now at began.
    since: Micros,
    /// A client's: a request had come in part when that was last looked at.
    half: bool,
    /// Bytes of waiting answers that the daemon's sum holds for it.
    waiting: usize,
    /// Bytes of requests that have not come whole, the same.
    held: usize,
    /// How far it is known to the epoll set, and whether that is due to be tried again.
    registration: Registration,
    registers_later: bool,
}

/// What has a deadline.
enum Timer {
    Core(Wake),
    /// A connection begun from here must be up.
    Connect(Key),
    /// A link is looked at again: barred ids, stalled writing.
    Link(Key),
    /// Something else is to be done.
    Task(Effect),
    /// A connection's next request, which waited for the answer to the one before.
    Serve(Key),
    /// A client's connection is looked at: it may hold its place for nothing.
    Client(Key),
    /// A client's connection ends if nothing is open on it.
    End(Key),
    /// A connection that could not be watched is tried again.
    Register(Key),
    /// Accepting goes on.
    Accept,
    /// The grace after SIGTERM is over.
    Term,
    /// A caller at the admin listener has had its time.
    Admin(Key),
}

/// Does to a daemon what the signals do.
pub struct Control {
    term: OwnedFd,
    hup: OwnedFd,
}

impl Control {
    /// Ends it as SIGTERM does, once all that it has taken is answered.
    pub fn stop(&mut self) -> io::Result<()> {
        rustix::io::write(&self.term, b"t")
            .map(drop)
            .map_err(io::Error::from)
    }

    /// Has it read its configuration again, as SIGHUP does.
    pub fn reload(&mut self) -> io::Result<()> {
        rustix::io::write(&self.hup, b"h")
            .map(drop)
            .map_err(io::Error::from)
    }
}

/// The two ends of the pipe that a signal is heard by: the one that is read, and the one that the signal writes to.
/// A pipe and not a pair of Unix sockets: some platforms that run the daemon allow sockets of TCP and UDP alone.
struct Signal {
    heard: OwnedFd,
    raised: OwnedFd,
}

impl Signal {
    fn new() -> io::Result<Self> {
        let (heard, raised) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC)?;
        Ok(Signal { heard, raised })
    }

    fn register(signal: i32) -> io::Result<Self> {
        let new = Self::new()?;
        signal_hook::low_level::pipe::register(signal, new.raised.try_clone()?)?;
        Ok(new)
    }

    /// What raises it from another thread.
    fn raiser(&self) -> io::Result<impl Fn() + Send + 'static> {
        let raised = self.raised.try_clone()?;
        Ok(move || {
            // A full pipe is raised already.
            let _ = rustix::io::write(&raised, b"w");
        })
    }

    /// Takes in what was raised: signals that come close together count as one.
    fn clear(&mut self) {
        let mut bytes = [0; 16];
        while rustix::io::read(&self.heard, &mut bytes).is_ok_and(|n| n > 0) {}
    }
}

/// Who tells of the boxes. The bus alone is relayed: on the platform the module hears it event by event.
fn sources(config: &Config) -> Vec<ListSource> {
    let mut sources = vec![ListSource {
        name: "bus".into(),
        relayed: true,
        damped: false,
    }];
    for options in config.consul.iter().flat_map(|c| &c.options) {
        let name = options
            .datacenter
            .as_ref()
            .map_or("consul".to_owned(), |dc| format!("consul/{dc}"));
        sources.push(ListSource {
            name,
            relayed: false,
            damped: true,
        });
    }
    sources
}

/// The daemon.
pub struct Daemon {
    clock: Clock,
    limits: Limits,
    core: Core,
    poll: Poll,
    listener: Option<Listener>,
    accepts_later: bool,
    /// Attempts whose connection can't be begun from here for now.
    redial: redial::Waiting,
    term: Signal,
    hup: Signal,
    /// The configuration that is in force, and where a new one is read from.
    config: Config,
    source: Source,
    connections: Slots<Connection>,
    clients: usize,
    links: BTreeMap<ServerId, Vec<Key>>,
    deadlines: Deadlines<Timer>,
    bus: bus::State,
    /// What is believed of the boxes, and when it is due to be looked at again.
    members: Discovery,
    /// What of the bus's lists is believed.
    vetting: Vetting,
    members_due: Option<Due>,
    logged: LoggedLines,
    consul: Option<consul::State>,
    keeper: Option<consul::Keeper>,
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    /// The same peers by address.
    peer_index: PeerIndex,
    plain_purges: PlainPurges,
    /// When those are looked at again.
    plain_purges_due: Option<Due>,
    origin_health: Option<OriginHealth>,
    /// Datagrams dropped: from nobody who is a peer, and of no known kind.
    dropped: (u64, u64),
    desk: Option<(Listener, Desk)>,
    ledger: Option<Ledger>,
    /// Its store, while that can't be opened.
    pending_store: Option<PendingStore>,
    /// The answers that wait for it, and when it is due to be looked at again.
    pending_commits: commits::PendingCommits,
    /// Who of the peers is there, and when that is due to be looked at again.
    membership: Option<linnetknot_membership::Membership>,
    /// What all proxies spend together.
    shared_budgets: Option<budgets::SharedBudgets>,
    fleet_due: Option<Due>,
    /// Raised by the store's worker when there is word of what is on the disk.
    store_word: Option<Signal>,
    /// Payloads to neighbours that are on their way or wait to be tried again.
    posts: usize,
    /// What neighbours were last told of our being able to serve.
    told_ready: bool,
    waiting_answers: usize,
    /// Bytes of requests that have not come whole.
    held: usize,
    /// When SIGTERM came, if it has.
    term_at: Option<Micros>,
    turn: Turn,
    grace_over: bool,
    /// The admin listener, its callers, and what they decided.
    admin: Option<Listener>,
    callers: usize,
    ops: linnetknot_ops::Operations,
    /// Where that is kept for the next process: `$TMPDIR`.
    ops_folder: std::path::PathBuf,
    operator_state: operator_state::OperatorFiles,
    /// The clients' listener came from the process that started this one, and is shared with the next.
    inherited: bool,
}

/// The clients' listener: the one that `$ROUTER_SOCKET_FD` names, inherited from the platform, or one of its own.
fn client_listener(config: &Config) -> Result<(TcpListener, bool), String> {
    let Ok(fd) = std::env::var("ROUTER_SOCKET_FD") else {
        let listener = TcpListener::bind(config.listen)
            .map_err(|e| format!("listen: {}: {e}", config.listen))?;
        return Ok((listener, false));
    };
    let fd: u32 = fd
        .parse()
        .map_err(|_| format!("ROUTER_SOCKET_FD: '{fd}' is no descriptor"))?;
    // listenfd takes descriptors as systemd hands them over; this is told before any thread is started.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let listener = taken
        .map_err(|e| format!("ROUTER_SOCKET_FD: descriptor {fd}: {e}"))?
        .ok_or(format!(
            "ROUTER_SOCKET_FD: descriptor {fd} is no listening TCP socket"
        ))?;
    Ok((listener, true))
}

impl Daemon {
    /// Binds the sockets and replays the known events. On SIGHUP a new configuration is read from `source`.
    pub fn start(mut config: Config, source: Source) -> Result<Self, String> {
        let text = |e: io::Error| e.to_string();
        let limits = config.limits.clone();
        let (listener, inherited) = client_listener(&config)?;
        let term = Signal::register(signal_hook::consts::SIGTERM).map_err(text)?;
        let hup = Signal::register(signal_hook::consts::SIGHUP).map_err(text)?;
        // As many as there can be: what is known at all is known before anything is done about a part of it.
        let poll = Poll::new(limits.descriptors).map_err(text)?;
        let lacking = |e: Failure| e.to_string();
        let listener = Listener::watch(listener, LISTENER, &poll).map_err(text)?;
        poll.add_at_start(&term.heard, SIGNAL).map_err(lacking)?;
        poll.add_at_start(&hup.heard, RELOAD).map_err(lacking)?;
        let admin = config
            .ops
            .map(|at| TcpListener::bind(at).map_err(|e| format!("ops: {at}: {e}")))
            .transpose()?;
        let admin = admin.map(|listener| Listener::watch(listener, ADMIN, &poll));
        let admin = admin.transpose().map_err(text)?;
        let clock = Clock::start();
        let (mut desk, mut peers, mut ledger, mut store_word) = (None, None, None, None);
        let mut pending_store = None;
        if let Some(cdni) = config.cdni.clone() {
            let listener = TcpListener::bind(cdni.listen)
                .map_err(|e| format!("cdni.listen: {}: {e}", cdni.listen))?;
            let listener = Listener::watch(listener, CDNI, &poll).map_err(text)?;
            desk = Some((
                listener,
                Desk::new(cdni.identity, config.seed, limits.triggers),
            ));
            if let Some(path) = cdni.purges {
                let writer = linnetknot_discovery::server_id(&config.name);
                let word = Signal::new().map_err(text)?;
                poll.add_at_start(&word.heard, STORE).map_err(lacking)?;
                let bounds = Bounds {
                    replication: limits.replication(&config.copies),
                    queue: limits.store_writes,
                    bucket_bits: config.copies.purge_table.bucket_bits,
                };
                let wake = word.raiser().map_err(text)?;
                let store = StoreConfig {
                    path,
                    writer,
                    bounds,
                };
                let opened = store
                    .start(clock.now(), config.seed, wake)
                    .map_err(|e| e.to_string())?;
                (ledger, pending_store) = (Some(opened.ledger), opened.pending);
                store_word = Some(word);
            }
        }
        if config.copies.on && config.peers.is_none() {
            return Err("peers.copies: the configuration names no 'peers' to copy to".into());
        }
        // Peers are told what the second front is told, and of an origin that is late.
        let talks = desk.is_some() || config.tell;
        if let Some((own, known)) = config.peers.clone().filter(|_| talks) {
            let socket = bind_shared_udp(own).map_err(|e| format!("peer_listen: {own}: {e}"))?;
            socket.set_nonblocking(true).map_err(text)?;
            poll.add_at_start(&socket, PEERS).map_err(lacking)?;
            peers = Some((socket, known));
        }
        let ops_folder = config.ops_folder.clone();
        let stored = operator_state::OperatorFiles::load(&ops_folder, config.seed, clock.now());
        let place = ZonePlace::of(&config.settings);
        let origin_health = config.tell.then(|| OriginHealth::new(place, clock.now()));
        let core =
            Core::new(config.settings.clone(), config.seed, &limits).map_err(|e| e.to_string())?;
        let (last_event, known) = std::mem::take(&mut config.known);
        let damping = config
            .consul
            .as_ref()
            .map_or(Damping::default(), |c| c.damping);
        let address = listener.address().unwrap_or(config.listen);
        let consul = config
            .consul
            .as_ref()
            .map(|c| consul::State::start(c, config.seed, address))
            .transpose()?;
        let keeper = config.consul.as_ref().zip(config.state.directory.as_ref());
        let keeper = keeper
            .map(|(c, folder)| consul::Keeper::start(folder, c.scopes()))
            .transpose()?;
        let mut daemon = Daemon {
            clock,
            core,
            poll,
            listener: Some(listener),
            accepts_later: false,
            redial: redial::Waiting::default(),
            term,
            hup,
            connections: Slots::new(limits.connections),
            clients: 0,
            links: BTreeMap::new(),
            deadlines: Deadlines::default(),
            bus: bus::State::new(config.seed, &limits),
            members: Discovery::new(sources(&config), damping, limits.members()),
            vetting: Vetting::default(),
            members_due: None,
            logged: LoggedLines::default(),
            consul,
            keeper,
            peers,
            peer_index: PeerIndex::default(),
            plain_purges: PlainPurges::new(&limits),
            plain_purges_due: None,
            origin_health,
            dropped: (0, 0),
            desk,
            ledger,
            pending_store,
            pending_commits: commits::PendingCommits::default(),
            membership: None,
            shared_budgets: None,
            fleet_due: None,
            store_word,
            posts: 0,
            told_ready: false,
            waiting_answers: 0,
            held: 0,
            term_at: None,
            turn: Turn::start(clock.now()),
            grace_over: false,
            admin,
            callers: 0,
            ops: stored.operations,
            ops_folder,
            operator_state: stored.files,
            inherited,
            limits,
            config,
            source,
        };
        daemon.index_peers();
        let now = daemon.clock.now();
        daemon.restore_purges(now);
        known.into_iter().for_each(|event| daemon.news(now, event));
        daemon.bus.last = last_event;
        daemon.update_machines();
        daemon.join_membership(now);
        daemon.join_budgets(now).map_err(|e| e.to_string())?;
        daemon.restore_decisions(now);
        daemon.restore_triggers(now);
        daemon.begin_recovery(now);
        daemon.begin_reopening(now);
        daemon.schedule_operator_state(now);
        daemon.tick_replication(now);
        daemon.recall_lists(now);
        daemon.call_bus(now);
        daemon.drive_consul(now);
        daemon.settle(now);
        if let Some(address) = daemon.address() {
            log::info!("{} listens on {address}", daemon.config.name);
        }
        if let Some(address) = daemon.cdni_address() {
            log::info!("neighbours connect to {address}");
        }
        if let Some(address) = daemon.admin_address() {
            log::info!("the admin listener is at {address}");
        }
        let bans: Vec<&str> = daemon.ops.bans().collect();
        if !bans.is_empty() || !daemon.ops.in_service() {
            log::warn!(bans = bans.join(" ").as_str(), in_service = daemon.ops.in_service(); "kept by the operators");
        }
        if !daemon.ops.in_service() {
            let now = daemon.clock.now();
            daemon.start_drain(now);
        }
        Ok(daemon)
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.address()
    }

    /// Where operators call.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref()?.address()
    }

    /// What does to it from another thread what signals do.
    pub fn control(&self) -> io::Result<Control> {
        Ok(Control {
            term: self.term.raised.try_clone()?,
            hup: self.hup.raised.try_clone()?,
        })
    }

    /// Serves until SIGTERM, and then until all is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        while !self.is_done() {
            let now = self.clock.now();
            let wait = self
                .deadlines
                .next()
                .map_or(IDLE_US, |at| at.saturating_sub(now))
                .min(IDLE_US);
            self.poll.wait(wait, &mut ready)?;
            self.turn
                .wait_ended(now, wait, self.clock.now(), !ready.is_empty());
            ready.sort_by_key(|event| self.rank(event));
            let broken_off = self.turn_over(&mut ready);
            self.turn.over(broken_off);
            spells::log_ended();
        }
        spells::log_rest();
        self.write_lists(self.clock.now());
        let tally = self
            .ledger
            .as_ref()
            .map(|ledger| ledger.replica().counters());
        if let Some(Err(e)) = self.ledger.take().map(Ledger::close) {
            log::warn!(
                "the store is not closed, and the next start begins a new life of its log: {e}"
            );
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
        self.log_budgets();
        if self.peers.is_some() {
            let (strangers, foreign) = self.dropped;
            log::info!(strangers = strangers, foreign = foreign; "datagrams that were dropped");
        }
        if let Some(t) = tally {
            log::info!(
                sent = t.sent,
                learned = t.learned,
                known = t.known,
                out_of_order = t.out_of_order,
                rejected = t.rejected,
                committed = t.committed,
                commits_rejected = t.commits_rejected;
                "entries of logs copied to and from peers, and promises of them"
            );
        }
        if let Some(t) = self.origin_health.as_ref().map(OriginHealth::counters) {
            log::info!(
                sent = t.sent,
                suppressed = t.suppressed,
                received = t.received,
                old = t.old,
                torn = t.torn,
                version = t.version,
                too_long = t.too_long;
                "reports of a late origin to and from peers"
            );
        }
        Ok(())
    }

    /// One turn: events, and then what is due. True: it was broken off, as what is known of clients had become old.
    /// epoll tells of the events that are left once more.
    fn turn_over(&mut self, ready: &mut Vec<Ready>) -> bool {
        for event in ready.drain(..) {
            if self.turn.is_old(self.clock.now()) {
                return true;
            }
            self.event(event);
        }
        let now = self.clock.now();
        if self.turn.is_old(now) {
            return true;
        }
        while let Some(timer) = self.deadlines.pop(now) {
            self.timer(now, timer);
            self.settle(now);
        }
        false
    }

    /// Whether SIGTERM has come.
    fn is_stopping(&self) -> bool {
        self.term_at.is_some()
    }

    fn is_done(&self) -> bool {
        let now = self.clock.now();
        self.grace_over
            && self.has_left_consul()
            && self.core.is_idle()
            && self.waiting_answers == 0
            && {
                let holds = |key: &Key| {
                    self.connections
                        .get(*key)
                        .is_some_and(|c| self.holds_back(now, c))
                };
                !self.connections.keys().iter().any(holds)
            }
    }

    /// What is taken up first of all that is known at once. Clients that have gone come first, then what is told of the
    /// boxes, then what clients ask and take back, and only then what lets a further attempt begin.
    fn rank(&self, event: &Ready) -> u8 {
        match event.token {
            SIGNAL | RELOAD | PEERS | ADMIN | STORE => 1,
            LISTENER | CDNI => 3,
            token => match self.connections.get(Key::from_u64(token)).map(|c| &c.kind) {
                Some(Kind::Client(_) | Kind::Cdni(_)) if event.hung_up => 0,
                Some(Kind::Exchange(_) | Kind::Admin(_)) => 1,
                Some(Kind::Client(_) | Kind::Cdni(_) | Kind::Lingering) => 2,
                _ => 4,
            },
        }
    }

    fn event(&mut self, event: Ready) {
        let now = self.clock.now();
        match event.token {
            LISTENER => self.accept(now),
            SIGNAL => self.term(now),
            RELOAD => self.reload(now),
            PEERS => self.hear_peers(now),
            CDNI => self.accept_cdni(now),
            ADMIN => self.accept_admin(now),
            STORE => self.receive_store_completions(now),
            token => self.serve(now, Key::from_u64(token), event),
        }
        self.settle(now);
        self.notify(now);
    }

    fn timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Core(wake) => self.core.wake(now, wake),
            Timer::Connect(key) => self.look_at_dial(now, key),
            Timer::Link(key) => self.look_at_link(now, key),
            Timer::Client(key) => self.look_at_client(now, key),
            Timer::End(key) => drop(self.half_close(now, key)),
            Timer::Task(task) => task(self, now),
            Timer::Serve(key) => self.serve_again(now, key),
            Timer::Register(key) => self.register_again(now, key),
            Timer::Accept => {
                self.accepts_later = false;
                self.accept(now);
                self.accept_cdni(now);
                self.accept_admin(now);
            }
            Timer::Term => self.end_clients(now),
            Timer::Admin(key) => self.admin_timeout(now, key),
        }
    }

    // ---- Signals ----

    fn term(&mut self, now: Micros) {
        self.term.clear();
        if !self.is_stopping() {
            self.term_at = Some(now);
            self.core.end_by(now + self.limits.term_answer_us);
            log::info!("SIGTERM: answering what is open");
            if self.inherited {
                // The next process accepts on the same socket: whatever this one took now it would have to answer
                // on its way out, and each kept connection ends after its next answer instead of being cut.
                self.drop_listener();
                for key in self.connections.keys() {
                    self.close_when_answered(key);
                    self.end_if_over(now, key);
                }
            }
            self.deadlines
                .set(now + self.limits.term_grace_us, Timer::Term);
            self.leave_consul(now);
            self.leave_membership(now);
        }
    }

    /// Accepts no more. The next process may hold the same socket: were it still watched here, each connection
    /// that comes would wake this one in vain.
    fn drop_listener(&mut self) {
        if let Some(listener) = self.listener.take() {
            if let Err(e) = listener.close(&self.poll) {
                log::debug!("the listener was not watched: {e}");
            }
        }
    }

    /// Reads the configuration again. Nothing that is open is dropped for it, and a faulty file changes
    /// nothing: a daemon that ended over it would take all its clients with it.
    fn reload(&mut self, now: Micros) {
        self.hup.clear();
        let mut new = match (self.source)() {
            Ok(new) => new,
            Err(e) => return log::error!("SIGHUP: the configuration stays as it was: {e}"),
        };
        if self.config.settings != new.settings && self.retune(&new.settings) {
            self.limits.follow(&new.limits);
            self.config.limits.follow(&new.limits);
        }
        for key in self
            .config
            .fixed_changes(&new)
            .into_iter()
            .filter(|key| *key != "settings")
        {
            log::warn!("SIGHUP: '{key}' has changed, which takes effect with the next start only");
        }
        if let (Some((_, known)), Some((_, peers))) = (&mut self.peers, &new.peers) {
            known.clone_from(peers);
            self.origin_health
                .iter_mut()
                .for_each(|h| h.retain_peers(|peer| peers.contains(peer)));
        }
        if self.config.budgets != new.budgets {
            self.reload_budgets(&new.budgets);
        }
        let moved = self.config.bus != new.bus;
        self.config.bus = new.bus;
        self.config.peers = new.peers.take().or(self.config.peers.take());
        let machines = self.config.copies.machines.clone();
        match self.config.check_copies(self.config.peers.as_ref()) {
            Ok(copies) => self.config.copies.machines = copies.machines,
            Err(e) => log::error!("SIGHUP: the machines of the peers stay as they were: {e}"),
        }
        if machines != self.config.copies.machines {
            self.detach_budgets();
            let peers = self.config.copies.machines.len();
            self.membership
                .iter_mut()
                .for_each(|fleet| fleet.peers(peers));
            self.update_machines();
            if !self.pending_commits.has_recovered() {
                self.begin_recovery(now);
            }
        }
        log::info!(
            "SIGHUP: the configuration is read again{}",
            if moved {
                "; the event bus has moved"
            } else {
                ""
            }
        );
        self.index_peers();
        if moved {
            self.move_bus(now);
        }
        if !self.reload_consul(now, new.consul.take()) {
            log::warn!("SIGHUP: 'consul' has changed, which takes effect with the next start only");
        }
    }

    /// Puts new settings in force where a running router can follow them: its classes and its attempts. The rest
    /// of `settings` was built into the router's tables at the start. False: they can't be used.
    fn retune(&mut self, new: &linnetknot::Settings) -> bool {
        let mut next = self.config.settings.clone();
        next.classes.clone_from(&new.classes);
        next.max_attempts = new.max_attempts;
        if next != *new {
            log::warn!("SIGHUP: 'settings' has changed beyond its classes and attempts, which takes effect with the next start only");
        }
        match self.core.retune(next.clone()) {
            Ok(()) => {
                log::info!(classes = next.classes.len(), attempts = next.max_attempts; "SIGHUP: new settings are in force");
                self.config.settings = next;
                true
            }
            Err(e) => {
                log::error!("SIGHUP: 'settings' stay as they were: {e}");
                false
            }
        }
    }

    // ---- Connections ----

    fn open(&mut self, now: Micros, conn: Conn, kind: Kind) -> Option<Key> {
        let key = self.connections.insert(Connection {
            conn,
            kind,
            since: now,
            half: false,
            waiting: 0,
            held: 0,
            registration: Registration::Missing,
            registers_later: false,
        });
        let key = key.ok()?;
        if !self.register(now, key) {
            self.connections.remove(key);
            return None;
        }
        Some(key)
    }

    /// Begins a connection. An error tells whether the other side refused it, or none could be begun from here.
    fn call(&mut self, now: Micros, to: SocketAddr, kind: Kind) -> Result<Key, NoCall> {
        let socket = connect(to).map_err(|failure| {
            log::debug!("no connection to {to}: {failure}");
            match failure.kind {
                FailureKind::Refused => NoCall::Refused,
                FailureKind::Broken => NoCall::Late,
                FailureKind::ProgramFault => NoCall::NoRoom,
                FailureKind::RetryNow
                | FailureKind::WouldBlock
                | FailureKind::RetryLater
                | FailureKind::NoDescriptors => NoCall::Local,
            }
        })?;
        let conn = Conn::new(
            socket,
            false,
            self.limits.input_ring,
            self.limits.output_ring,
        );
        let key = self
            .open(now, conn.map_err(|_| NoCall::NoRoom)?, kind)
            .ok_or(NoCall::NoRoom)?;
        self.deadlines
            .set(now + self.limits.connect_us, Timer::Connect(key));
        Ok(key)
    }

    fn serve(&mut self, now: Micros, key: Key, ready: Ready) {
        // A stale event, of a connection that ended earlier in the same round, misses by its generation.
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if ready.write && !c.conn.up {
            if c.conn.finish_connect().is_err() {
                return self.close(now, key);
            }
            if let Kind::Exchange(exchange) = &c.kind {
                c.conn.output.push(&exchange.opening());
            }
        }
        if matches!(c.kind, Kind::Client(_) | Kind::Cdni(_)) && ready.hung_up {
            // Whatever it sent before, nobody is left to take the answers.
            return self.close(now, key);
        }
        if matches!(c.kind, Kind::Client(_) | Kind::Lingering) {
            if self.look(now, key) && self.connections.get(key).is_some_and(Self::is_over) {
                self.half_close(now, key);
            }
            return;
        }
        let mut over = false;
        if ready.read && c.conn.up {
            let got = c.conn.read(ready.broken);
            let ended = matches!(got, Progress::Ended | Progress::Broken);
            // A caller at the admin listener may end its half once its call is sent: its answer is still owed.
            over = ended && !(matches!(c.kind, Kind::Admin(_)) && got == Progress::Ended);
            if let Err(e) = self.read(now, key, ended) {
                // Whoever sends garbage must not fill the log with it.
                let client = self
                    .connections
                    .get(key)
                    .is_some_and(|c| c.kind.is_client());
                log::log!(
                    if client {
                        log::Level::Debug
                    } else {
                        log::Level::Warn
                    },
                    "a connection is ended: {e}"
                );
                over = true;
            }
        }
        if over {
            return self.close(now, key);
        }
        if !self.write(now, key) && !self.half_close(now, key) {
            return self.close(now, key);
        }
        self.note_client(now, key);
    }

    fn read(&mut self, now: Micros, key: Key, ended: bool) -> Result<(), WireError> {
        let Some(c) = self.connections.get_mut(key) else {
            return Ok(());
        };
        match &mut c.kind {
            // These are read by `look`.
            Kind::Client(_) | Kind::Lingering => Ok(()),
            Kind::Cdni(_) => self.read_cdni(now, key),
            Kind::Exchange(_) => {
                self.read_exchange(now, key);
                Ok(())
            }
            Kind::Admin(_) => {
                self.read_admin(now, key, ended);
                Ok(())
            }
            Kind::Box(link) => {
                let mut told = Vec::new();
                let result = link.read(now, &mut c.conn, &self.core, &mut told);
                let server = link.server;
                self.tell(now, server, told);
                result
            }
        }
    }

    /// Writes what is waiting; false where the connection is over.
    fn write(&mut self, now: Micros, key: Key) -> bool {
        let Some(c) = self.connections.get_mut(key) else {
            return true;
        };
        let sound = match &mut c.kind {
            Kind::Client(_) => {
                self.write_client(key);
                self.connections.get(key).is_none_or(|c| match &c.kind {
                    Kind::Client(s) => {
                        !(c.conn.is_broken() || s.is_over() && c.conn.output.is_empty())
                    }
                    _ => true,
                })
            }
            Kind::Box(_) => self.pump(now, key),
            Kind::Cdni(_) => self.write_cdni(key),
            Kind::Exchange(_) => c.conn.write() != Progress::Broken,
            Kind::Lingering => true,
            Kind::Admin(caller) => {
                let over = caller.is_over();
                c.conn.write() != Progress::Broken && !(over && c.conn.output.is_empty())
            }
        };
        self.watch(now, key);
        sound
    }

    fn close(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.remove(key) else {
            return;
        };
        match c.kind {
            Kind::Client(session) => {
                self.clients -= 1;
                self.waiting_answers -= c.waiting;
                self.held -= c.held;
                session
                    .tickets()
                    .into_iter()
                    .for_each(|ticket| self.core.leave(now, ticket));
            }
            Kind::Box(mut link) => {
                let server = link.server;
                log::debug!(target: TRACE, "box" = self.core.uid(server), up = c.conn.up; "a connection has ended");
                if let Entry::Occupied(mut links) = self.links.entry(server) {
                    links.get_mut().retain(|k| *k != key);
                    if links.get().is_empty() {
                        links.remove();
                    }
                }
                let mut told = Vec::new();
                let failure = c.conn.connect_failure();
                if failure.is_some_and(Failure::is_local) {
                    // Nothing was heard of its box: what waited for it goes on waiting.
                    for attempt in link.take_queued() {
                        self.send_later(now, attempt);
                    }
                }
                let unsent = match failure.map(|failure| failure.kind) {
                    _ if c.conn.up => Outcome::Moot,
                    Some(FailureKind::Refused) => Outcome::ConnectFailed,
                    _ => Outcome::Unreached,
                };
                link.broken(unsent, c.conn.written, &mut told);
                self.tell(now, server, told);
            }
            Kind::Cdni(session) => {
                self.clients -= 1;
                if let Some(Waiting::Core(ticket)) = session.waiting {
                    self.core.leave(now, ticket);
                }
            }
            Kind::Lingering => self.clients -= 1,
            Kind::Admin(_) => self.callers -= 1,
            Kind::Exchange(exchange) => {
                let end = if c.conn.up {
                    exchange::End::Closed
                } else {
                    exchange::End::Unreachable
                };
                if let Some(effect) = exchange.ended(end) {
                    effect(self, now);
                }
            }
        }
    }

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
                        self.answer(now, client, answer);
                        self.watch(now, client.connection);
                        self.close_if_broken(now, client.connection);
                        self.note_client(now, client.connection);
                        self.end_if_over(now, client.connection);
                    }
                    Command::Wake(at, wake) => {
                        self.deadlines.set(at, Timer::Core(wake));
                    }
                    Command::Probe(server) => self.probe(now, server),
                    Command::Found(share) => self.tell_found(now, share),
                    Command::Withdraw(server) => self.withdraw(now, server),
                }
            }
        }
    }
}
