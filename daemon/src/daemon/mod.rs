//! The daemon: sockets and deadlines on one side, the core on the other, and one thread that turns between them.
//!
//! | module | its job |
//! | --- | --- |
//! | `startup` | sockets, store and state at the start |
//! | `event_loop` | waits for events and deadlines, and dispatches them |
//! | `connection_table` | opens, reads, writes and closes connections |
//! | `signals`, `reload` | SIGTERM and SIGHUP, and a new configuration |
//! | `shutdown` | the graceful shutdown |
//!
//! The other modules add to `Daemon` what belongs to one front, one upstream or one duty each.

use crate::config::{Config, Source};
use crate::core::Core;
use crate::front::cdni::TriggerApi;
use crate::ledger::Ledger;
use crate::limits::Limits;
use crate::net::{Clock, Deadlines, Due, Key, Listener, Poll, Slots};
use crate::plain_purges::PlainPurges;
use linnetknot::{Micros, ServerId};
use linnetknot_discovery::{EndpointTable, ListValidator};
use linnetknot_origin_health::OriginHealth;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};

mod admin;
mod budgets;
mod cdni_listener;
mod clients;
mod commits;
mod connection_table;
mod discovery;
mod event_loop;
mod exchange;
mod fleet_status;
mod lifecycle;
mod membership;
mod operator_state;
mod peer_index;
mod plain_purges;
mod reconnect;
mod recovery;
mod registration;
mod reload;
mod replication;
mod shutdown;
mod signals;
mod sources;
mod startup;
mod store_opening;
mod turn;
mod upstream_connections;

pub use signals::Control;
pub use startup::StartError;

use connection_table::{ConnectError, Connection, Kind};
use discovery::LoggedLines;
use event_loop::Timer;
use peer_index::PeerIndex;
use signals::Signal;
use sources::{bus, consul};
use store_opening::PendingStore;
use turn::Turn;

/// The daemon.
pub struct Daemon {
    clock: Clock,
    limits: Limits,
    core: Core,
    poll: Poll,
    listener: Option<Listener>,
    accepts_later: bool,
    /// Attempts whose connection can't be begun from here for now.
    reconnect: reconnect::WaitingAttempts,
    term: Signal,
    hup: Signal,
    /// The configuration that is in force, and where a new one is read from.
    config: Config,
    source: Source,
    connections: Slots<Connection>,
    clients: usize,
    cache_connections: BTreeMap<ServerId, Vec<Key>>,
    deadlines: Deadlines<Timer>,
    bus: bus::State,
    /// What is believed of the boxes, and when it is due to be looked at again.
    members: EndpointTable,
    /// What of the bus's lists is believed.
    validator: ListValidator,
    members_due: Option<Due>,
    logged: LoggedLines,
    consul: Option<consul::State>,
    snapshots: Option<consul::SnapshotWriter>,
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    /// The same peers by address.
    peer_index: PeerIndex,
    plain_purges: PlainPurges,
    /// When those are looked at again.
    plain_purges_due: Option<Due>,
    origin_health: Option<OriginHealth>,
    /// Datagrams dropped: from nobody who is a peer, and of no known kind.
    dropped: (u64, u64),
    trigger_api: Option<(Listener, TriggerApi)>,
    ledger: Option<Ledger>,
    /// Its store, while that can't be opened.
    pending_store: Option<PendingStore>,
    /// The responses that wait for commits of it, and when replication is due.
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
    ops: linnetknot_admin_api::AdminController,
    /// Where that is kept for the next process: `$TMPDIR`.
    ops_folder: std::path::PathBuf,
    operator_state: operator_state::OperatorFiles,
    /// The clients' listener came from the process that started this one, and is shared with the next.
    inherited: bool,
}

impl Daemon {
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
}
