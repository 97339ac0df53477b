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

use connection_table::{ConnectError, Connection, ConnectionKind};
use discovery::LoggedNotices;
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
    client_listener: Option<Listener>,
    accept_retry_scheduled: bool,
    /// Attempts whose connection can't be begun from here for now.
    deferred_attempts: reconnect::DeferredAttempts,
    sigterm: Signal,
    sighup: Signal,
    /// The configuration that is in force, and where a new one is read from.
    config: Config,
    config_source: Source,
    connections: Slots<Connection>,
    client_count: usize,
    cache_connections: BTreeMap<ServerId, Vec<Key>>,
    deadlines: Deadlines<Timer>,
    bus: bus::State,
    /// What is believed of the boxes, and when it is due to be looked at again.
    endpoint_table: EndpointTable,
    /// What of the bus's lists is believed.
    list_validator: ListValidator,
    endpoint_table_due: Option<Due>,
    logged_notices: LoggedNotices,
    consul: Option<consul::State>,
    snapshot_writer: Option<consul::SnapshotWriter>,
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    /// The same peers by address.
    peer_index: PeerIndex,
    plain_purges: PlainPurges,
    /// When those are looked at again.
    plain_purges_due: Option<Due>,
    origin_health: Option<OriginHealth>,
    /// Datagrams dropped: from nobody who is a peer, and of no known kind.
    dropped_datagrams: (u64, u64),
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
    membership_due: Option<Due>,
    /// Raised by the store's worker when there is word of what is on the disk.
    store_signal: Option<Signal>,
    /// Payloads to neighbours that are on their way or wait to be tried again.
    pending_deliveries: usize,
    /// What neighbours were last told of our being able to serve.
    announced_ready: bool,
    total_unsent_bytes: usize,
    /// Bytes of requests that have not come whole.
    total_partial_request_bytes: usize,
    /// When SIGTERM came, if it has.
    sigterm_at: Option<Micros>,
    turn: Turn,
    shutdown_grace_over: bool,
    /// The admin listener, its callers, and what they decided.
    admin_listener: Option<Listener>,
    admin_connection_count: usize,
    operations: linnetknot_ops::Operations,
    /// Where that is kept for the next process: `$TMPDIR`.
    operator_state_folder: std::path::PathBuf,
    operator_files: operator_state::OperatorFiles,
    /// The clients' listener came from the process that started this one, and is shared with the next.
    listener_inherited: bool,
}

impl Daemon {
    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.client_listener.as_ref()?.address()
    }

    /// Where operators call.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_listener.as_ref()?.address()
    }

    /// What does to it from another thread what signals do.
    pub fn control(&self) -> io::Result<Control> {
        Ok(Control {
            sigterm: self.sigterm.writer.try_clone()?,
            sighup: self.sighup.writer.try_clone()?,
        })
    }
}
