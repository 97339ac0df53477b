//! Starts the daemon: binds the sockets, opens the store, and restores the state of earlier processes.

mod error;
mod sockets;

pub use error::StartError;

use super::accept_queue::AcceptQueue;
use super::bans::LiftedBans;
use super::bus;
use super::commits::PendingCommits;
use super::consul;
use super::discovery::LoggedNotices;
use super::event_loop::STORE_TOKEN;
use super::loop_statistics::LoopStatistics;
use super::operator_state::OperatorFiles;
use super::peer_index::PeerIndex;
use super::reconnect;
use super::reload::ReloadRetries;
use super::shared_logs::SharedLogs;
use super::signals::Signal;
use super::store_opening::{PendingStore, StoreConfig};
use super::turn::Turn;
use super::Daemon;
use crate::config::{Config, Source};
use crate::core::Core;
use crate::front::cdni::TriggerApi;
use crate::ledger::{Bounds, Ledger};
use crate::net::{Clock, Deadlines, Listener, Poll, SlotTable};
use crate::plain_purges::PlainPurges;
pub(super) use error::{registration_error, system_error};
use linnetknot::Micros;
use linnetknot_discovery::{Damping, EndpointTable, ListValidator, Source as ListSource};
use linnetknot_origin_health::{OriginHealth, ZonePosition};
use sockets::{open_cdni, open_peers, Sockets};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

/// The ledger and its store, if the CDNI listener is configured with a store.
#[derive(Default)]
struct StoreParts {
    ledger: Option<Ledger>,
    pending: Option<PendingStore>,
    signal: Option<Signal>,
}

impl StoreParts {
    /// Opens the store of the ledger, if one is configured.
    fn open(config: &Config, poll: &Poll, clock: &Clock) -> Result<Self, StartError> {
        let path = config.cdni.as_ref().and_then(|cdni| cdni.purges.clone());
        let Some(path) = path else {
            return Ok(StoreParts::default());
        };
        let signal = Signal::new().map_err(system_error("cdni.purges"))?;
        poll.add_at_start(&signal.reader, STORE_TOKEN)
            .map_err(registration_error("cdni.purges"))?;
        let wake = signal.waker().map_err(system_error("cdni.purges"))?;
        let store = StoreConfig {
            path,
            writer: linnetknot_discovery::server_id(&config.name),
            bounds: Bounds {
                replication: config.limits.replication(&config.replication),
                queue: config.limits.max_store_writes,
                bucket_bits: config.replication.purge_table.bucket_bits,
            },
        };
        let opened = store
            .start(clock.now(), config.seed, wake)
            .map_err(|e| StartError::Store(e.into()))?;
        Ok(StoreParts {
            ledger: Some(opened.ledger),
            pending: opened.pending,
            signal: Some(signal),
        })
    }
}

/// Returns the sources of the endpoint list. Each event of the bus is passed to the decision module unchanged; caches
/// listed by Consul are subject to flap damping.
fn list_sources(config: &Config) -> Vec<ListSource> {
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

/// Returns an empty endpoint list of the configured sources.
fn endpoint_table(config: &Config, damping: Damping) -> EndpointTable {
    EndpointTable::new(list_sources(config), damping, config.limits.discovery())
}

/// Returns the state of the shared health of the origin, if it is shared.
fn origin_health(config: &Config, now: Micros) -> Option<OriginHealth> {
    config
        .share_origin_health
        .then(|| OriginHealth::new(ZonePosition::of(&config.settings), now))
}

/// The state of Consul, if configured, and the writer of its cached lists.
struct ConsulParts {
    state: Option<consul::State>,
    snapshot_writer: Option<consul::SnapshotWriter>,
    damping: Damping,
}

impl ConsulParts {
    /// Starts the state of Consul. The address that clients connect to is registered.
    fn start(config: &Config, address: SocketAddr) -> Result<Self, StartError> {
        let Some(consul) = &config.consul else {
            return Ok(ConsulParts {
                state: None,
                snapshot_writer: None,
                damping: Damping::default(),
            });
        };
        let state = consul::State::start(consul, config.seed, address)
            .map_err(|e| StartError::Consul(e.into()))?;
        let snapshot_writer = config
            .state
            .directory
            .as_ref()
            .map(|directory| consul::SnapshotWriter::start(directory, consul.scopes()))
            .transpose()
            .map_err(|e| StartError::Consul(e.into()))?;
        Ok(ConsulParts {
            state: Some(state),
            snapshot_writer,
            damping: consul.damping,
        })
    }
}

/// The parts of the daemon whose setup can fail, prepared before the daemon is assembled.
struct PreparedParts {
    clock: Clock,
    sockets: Sockets,
    trigger_api: Option<(Listener, TriggerApi)>,
    store: StoreParts,
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    core: Core,
    consul: ConsulParts,
}

impl PreparedParts {
    fn set_up(config: &Config) -> Result<Self, StartError> {
        let sockets = Sockets::open(config)?;
        let clock = Clock::start();
        let trigger_api = open_cdni(config, &sockets.poll)?;
        let store = StoreParts::open(config, &sockets.poll, &clock)?;
        if config.replication.enabled && config.peers.is_none() {
            return Err(StartError::NoPeers);
        }
        let peers = open_peers(config, &sockets.poll)?;
        let core = Core::new(config.settings.clone(), config.seed, &config.limits)?;
        let address = sockets.client_listener.address().unwrap_or(config.listen);
        let consul = ConsulParts::start(config, address)?;
        Ok(PreparedParts {
            clock,
            sockets,
            trigger_api,
            store,
            peers,
            core,
            consul,
        })
    }
}

impl Daemon {
    /// Binds the sockets and applies the bus events in the configuration. On SIGHUP, `source` is called to load a new
    /// configuration.
    ///
    /// # Errors
    /// The configuration can't be applied on this machine.
    pub fn start(mut config: Config, source: Source) -> Result<Self, StartError> {
        let parts = PreparedParts::set_up(&config)?;
        let recorded = std::mem::take(&mut config.known);
        let mut daemon = Daemon::assemble(config, source, parts);
        daemon.index_peers();
        let now = daemon.clock.now();
        daemon.restore_purges(now);
        daemon.start_sharing_purges(now)?;
        daemon.start_sharing_executions(now)?;
        daemon.restore_slow_starts(now);
        recorded
            .events
            .into_iter()
            .for_each(|event| daemon.apply_bus_event(now, event));
        daemon.bus.last_offset = recorded.offset;
        daemon.update_machines();
        daemon.join_membership(now);
        daemon
            .join_budgets(now)
            .map_err(|e| StartError::Budgets(e.into()))?;
        daemon.restore_decisions(now);
        daemon.restore_triggers(now);
        daemon.start_recovery(now);
        daemon.schedule_store_opening(now);
        daemon.schedule_operator_state(now);
        daemon.check_shared_operator_state(now);
        daemon.tick_replication(now);
        daemon.load_snapshots(now);
        daemon.connect_bus(now);
        daemon.drive_consul(now);
        daemon.execute_commands(now);
        daemon.log_start();
        if !daemon.admin_controller.in_service() {
            let now = daemon.clock.now();
            daemon.start_drain(now);
        }
        Ok(daemon)
    }

    /// Creates the daemon before the stored state is restored.
    fn assemble(config: Config, source: Source, parts: PreparedParts) -> Self {
        let now = parts.clock.now();
        let stored = OperatorFiles::load(&config.operator_state_folder, config.seed, now);
        Daemon {
            clock: parts.clock,
            core: parts.core,
            poll: parts.sockets.poll,
            client_listener: Some(parts.sockets.client_listener),
            client_queue: AcceptQueue::default(),
            accept_retry_scheduled: false,
            deferred_attempts: reconnect::DeferredAttempts::default(),
            sigterm: parts.sockets.sigterm,
            sighup: parts.sockets.sighup,
            connections: SlotTable::new(config.limits.max_connections),
            client_count: 0,
            unfinished_clients: Vec::new(),
            cache_connections: BTreeMap::new(),
            deadlines: Deadlines::default(),
            bus: bus::State::new(config.seed, &config.limits),
            endpoint_table: endpoint_table(&config, parts.consul.damping),
            list_validator: ListValidator::default(),
            endpoint_table_due: None,
            logged_notices: LoggedNotices::default(),
            consul: parts.consul.state,
            snapshot_writer: parts.consul.snapshot_writer,
            peers: parts.peers,
            peer_index: PeerIndex::default(),
            plain_purges: PlainPurges::new(&config.limits),
            plain_purges_due: None,
            shared_logs: SharedLogs::default(),
            origin_health: origin_health(&config, now),
            dropped_datagrams: (0, 0),
            cdni: parts.trigger_api,
            cdni_queue: AcceptQueue::default(),
            ledger: parts.store.ledger,
            pending_store: parts.store.pending,
            pending_commits: PendingCommits::default(),
            membership: None,
            shared_budgets: None,
            membership_due: None,
            store_signal: parts.store.signal,
            pending_deliveries: 0,
            announced_ready: false,
            total_unsent_bytes: 0,
            total_partial_request_bytes: 0,
            sigterm_at: None,
            turn: Turn::start(now),
            loop_statistics: LoopStatistics::start(),
            shutdown_grace_over: false,
            admin_listener: parts.sockets.admin_listener,
            admin_connection_count: 0,
            admin_controller: stored.admin_controller,
            lifted_bans: LiftedBans::default(),
            operator_state_folder: config.operator_state_folder.clone(),
            operator_files: stored.files,
            listener_inherited: parts.sockets.listener_inherited,
            limits: config.limits.clone(),
            reload_retries: ReloadRetries::new(config.seed),
            config,
            config_source: source,
        }
    }

    /// Logs the addresses of the listeners and the restored decisions of operators.
    fn log_start(&self) {
        if let Some(address) = self.address() {
            log::info!("{} listens on {address}", self.config.name);
        }
        if let Some(address) = self.cdni_address() {
            log::info!("neighbours connect to {address}");
        }
        if let Some(address) = self.admin_address() {
            log::info!("the admin listener is at {address}");
        }
        let bans: Vec<&str> = self.admin_controller.bans().collect();
        if !bans.is_empty() || !self.admin_controller.in_service() {
            log::warn!(bans = bans.join(" ").as_str(), in_service = self.admin_controller.in_service(); "restored the stored decisions of the operators");
        }
    }
}
