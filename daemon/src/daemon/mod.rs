//! The daemon: connects sockets and deadlines with the core in a single-threaded event loop.
//!
//! | module | purpose |
//! | --- | --- |
//! | `startup` | sockets, store and state at the start |
//! | `event_loop` | waits for events and deadlines, and dispatches them |
//! | `connection_table` | opens, reads, writes and closes connections |
//! | `signals`, `reload` | SIGTERM and SIGHUP, and reloading the configuration |
//! | `shutdown` | the graceful shutdown |
//!
//! Each of the other modules implements one client protocol, one upstream or one feature of [`Daemon`].

use crate::config::{Config, Source};
use crate::core::Core;
use crate::front::cdni::TriggerApi;
use crate::ledger::Ledger;
use crate::limits::Limits;
use crate::net::{Clock, DeadlineId, Deadlines, Key, Listener, Poll, SlotTable};
use crate::plain_purges::PlainPurges;
use linnetknot::{Micros, ServerId};
use linnetknot_discovery::{EndpointTable, ListValidator};
use linnetknot_origin_health::OriginHealth;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};

mod accept_queue;
mod admin;
mod bans;
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
mod loop_statistics;
mod membership;
mod operator_state;
mod peer_index;
mod plain_purges;
mod reconnect;
mod recovery;
mod registration;
mod reload;
mod replication;
mod shared_executions;
mod shared_logs;
mod shared_operator_state;
mod shared_purges;
mod shutdown;
mod signals;
mod sources;
mod startup;
mod store_opening;
mod turn;
mod upstream_connections;

pub use signals::Control;
pub use startup::StartError;

use accept_queue::AcceptQueue;
use connection_table::{ConnectError, Connection, ConnectionKind};
use discovery::LoggedNotices;
use event_loop::Timer;
use loop_statistics::LoopStatistics;
use peer_index::PeerIndex;
use signals::Signal;
use sources::{bus, consul};
use store_opening::PendingStore;
use turn::Turn;

/// A running daemon: the sockets and timers of the event loop, the core, and the state of all optional features.
pub struct Daemon {
    clock: Clock,
    limits: Limits,
    core: Core,
    poll: Poll,
    client_listener: Option<Listener>,
    client_queue: AcceptQueue,
    accept_retry_scheduled: bool,
    /// Attempts that wait because this machine can't open connections at the moment.
    deferred_attempts: reconnect::DeferredAttempts,
    sigterm: Signal,
    sighup: Signal,
    /// The configuration in force, and the function that reads a new one on SIGHUP.
    config: Config,
    config_source: Source,
    reload_retries: reload::ReloadRetries,
    connections: SlotTable<Connection>,
    client_count: usize,
    /// Clients with received requests that this turn did not process.
    unfinished_clients: Vec<Key>,
    cache_connections: BTreeMap<ServerId, Vec<Key>>,
    deadlines: Deadlines<Timer>,
    bus: bus::State,
    /// The merged endpoint list of all sources, and the deadline of its next update.
    endpoint_table: EndpointTable,
    /// Validates the endpoint lists of the event bus.
    list_validator: ListValidator,
    endpoint_table_due: Option<DeadlineId>,
    logged_notices: LoggedNotices,
    consul: Option<consul::State>,
    snapshot_writer: Option<consul::SnapshotWriter>,
    /// The socket for datagrams of peers, and the addresses of all peers.
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    peer_index: PeerIndex,
    plain_purges: PlainPurges,
    /// The deadline at which the next plain purge datagram is sent again or the next received one is written to the log.
    plain_purges_due: Option<DeadlineId>,
    shared_logs: shared_logs::SharedLogs,
    origin_health: Option<OriginHealth>,
    /// The numbers of dropped datagrams: those from unknown senders, and those that were malformed.
    dropped_datagrams: (u64, u64),
    /// The CDNI listener, and the state that handles its requests.
    cdni: Option<(Listener, TriggerApi)>,
    cdni_queue: AcceptQueue,
    ledger: Option<Ledger>,
    /// The store of the ledger, if it could not be opened at startup and is retried.
    pending_store: Option<PendingStore>,
    /// Responses that wait for commits, and the state of the recovery.
    pending_commits: commits::PendingCommits,
    /// The membership of the proxies, and the deadline of its next tick.
    membership: Option<linnetknot_membership::Membership>,
    /// The state of the budgets that all proxies share; `None` if no budgets are shared.
    shared_budgets: Option<budgets::SharedBudgets>,
    membership_due: Option<DeadlineId>,
    /// The signal that the worker thread of the store raises when writes have completed.
    store_signal: Option<Signal>,
    /// Deliveries to peer CDNs that are in progress or wait for a retry.
    pending_deliveries: usize,
    /// The readiness of this proxy as last announced to peer CDNs.
    announced_ready: bool,
    /// The number of bytes of unsent responses of all clients.
    total_unsent_bytes: usize,
    /// The number of bytes of incomplete requests of all clients.
    total_partial_request_bytes: usize,
    /// When SIGTERM was received; `None` before that.
    sigterm_at: Option<Micros>,
    turn: Turn,
    loop_statistics: LoopStatistics,
    shutdown_grace_over: bool,
    /// The admin listener, its connections, and the operators' state.
    admin_listener: Option<Listener>,
    admin_connection_count: usize,
    admin_controller: linnetknot_admin_api::AdminController,
    lifted_bans: bans::LiftedBans,
    /// The directory that stores the operators' state for the next process.
    operator_state_folder: std::path::PathBuf,
    operator_files: operator_state::OperatorFiles,
    /// Whether the client listener was inherited from the parent process, which shares it with the next process.
    listener_inherited: bool,
}

impl Daemon {
    /// Returns the address of the client listener.
    pub fn address(&self) -> Option<SocketAddr> {
        self.client_listener.as_ref()?.address()
    }

    /// Returns the address of the admin listener.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_listener.as_ref()?.address()
    }

    /// Returns a handle that triggers shutdown and reload from another thread.
    ///
    /// # Errors
    /// The descriptors of the signal pipes can't be duplicated.
    pub fn control(&self) -> io::Result<Control> {
        Ok(Control {
            sigterm: self.sigterm.writer.try_clone()?,
            sighup: self.sighup.writer.try_clone()?,
        })
    }
}
