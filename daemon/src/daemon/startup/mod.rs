//! The start of the daemon: binds the sockets, opens the store, and replays what earlier processes left behind.

mod error;
mod sockets;

pub use error::StartError;

use super::bus;
use super::commits::PendingCommits;
use super::consul;
use super::discovery::LoggedLines;
use super::event_loop::STORE;
use super::operator_state::OperatorFiles;
use super::peer_index::PeerIndex;
use super::reconnect;
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
use error::{kernel, watching};
use linnetknot_discovery::{Damping, EndpointTable, ListValidator, Source as ListSource};
use linnetknot_origin_health::{OriginHealth, ZonePosition};
use sockets::{open_cdni, open_peers, Sockets};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

/// The ledger of purges with what belongs to it, where the front for CDNI has a store.
#[derive(Default)]
struct StoreParts {
    ledger: Option<Ledger>,
    pending: Option<PendingStore>,
    word: Option<Signal>,
}

impl StoreParts {
    /// Opens the store that the configuration names, if it names one.
    fn open(config: &Config, poll: &Poll, clock: &Clock) -> Result<Self, StartError> {
        let path = config.cdni.as_ref().and_then(|cdni| cdni.purges.clone());
        let Some(path) = path else {
            return Ok(StoreParts::default());
        };
        let word = Signal::new().map_err(kernel("cdni.purges"))?;
        poll.add_at_start(&word.heard, STORE)
            .map_err(watching("cdni.purges"))?;
        let wake = word.raiser().map_err(kernel("cdni.purges"))?;
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
            word: Some(word),
        })
    }
}

/// The sources of the list of cache servers. The bus alone is relayed: on the platform the module hears it event by
/// event.
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

/// Consul, where the configuration names one, with what keeps its list for the next process.
struct ConsulParts {
    state: Option<consul::State>,
    snapshots: Option<consul::SnapshotWriter>,
    damping: Damping,
}

impl ConsulParts {
    /// `address` is where clients connect, which is what is registered.
    fn start(config: &Config, address: SocketAddr) -> Result<Self, StartError> {
        let Some(consul) = &config.consul else {
            return Ok(ConsulParts {
                state: None,
                snapshots: None,
                damping: Damping::default(),
            });
        };
        let state = consul::State::start(consul, config.seed, address)
            .map_err(|e| StartError::Consul(e.into()))?;
        let snapshots = config
            .state
            .directory
            .as_ref()
            .map(|folder| consul::SnapshotWriter::start(folder, consul.scopes()))
            .transpose()
            .map_err(|e| StartError::Consul(e.into()))?;
        Ok(ConsulParts {
            state: Some(state),
            snapshots,
            damping: consul.damping,
        })
    }
}

/// All that can fail to be set up.
struct Parts {
    clock: Clock,
    sockets: Sockets,
    trigger_api: Option<(Listener, TriggerApi)>,
    store: StoreParts,
    peers: Option<(UdpSocket, Vec<SocketAddr>)>,
    core: Core,
    consul: ConsulParts,
}

impl Parts {
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
        let address = sockets.clients.address().unwrap_or(config.listen);
        let consul = ConsulParts::start(config, address)?;
        Ok(Parts {
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
    /// Binds the sockets and replays the known events. On SIGHUP a new configuration is read from `source`.
    ///
    /// # Errors
    /// The configuration can't be followed on this machine.
    pub fn start(mut config: Config, source: Source) -> Result<Self, StartError> {
        let parts = Parts::set_up(&config)?;
        let known = std::mem::take(&mut config.known);
        let mut daemon = Daemon::assemble(config, source, parts);
        daemon.index_peers();
        let now = daemon.clock.now();
        daemon.restore_purges(now);
        known
            .events
            .into_iter()
            .for_each(|event| daemon.apply_bus_event(now, event));
        daemon.bus.last = known.offset;
        daemon.update_machines();
        daemon.join_membership(now);
        daemon
            .join_budgets(now)
            .map_err(|e| StartError::Budgets(e.into()))?;
        daemon.restore_decisions(now);
        daemon.restore_triggers(now);
        daemon.begin_recovery(now);
        daemon.begin_reopening(now);
        daemon.schedule_operator_state(now);
        daemon.tick_replication(now);
        daemon.load_snapshots(now);
        daemon.connect_bus(now);
        daemon.drive_consul(now);
        daemon.settle(now);
        daemon.log_start();
        if !daemon.ops.in_service() {
            let now = daemon.clock.now();
            daemon.start_drain(now);
        }
        Ok(daemon)
    }

    /// The daemon before anything was replayed.
    fn assemble(config: Config, source: Source, parts: Parts) -> Self {
        let now = parts.clock.now();
        let stored = OperatorFiles::load(&config.operator_state_folder, config.seed, now);
        let origin_health = config
            .share_origin_health
            .then(|| OriginHealth::new(ZonePosition::of(&config.settings), now));
        Daemon {
            clock: parts.clock,
            core: parts.core,
            poll: parts.sockets.poll,
            listener: Some(parts.sockets.clients),
            accepts_later: false,
            reconnect: reconnect::WaitingAttempts::default(),
            term: parts.sockets.term,
            hup: parts.sockets.hup,
            connections: SlotTable::new(config.limits.max_connections),
            clients: 0,
            cache_connections: BTreeMap::new(),
            deadlines: Deadlines::default(),
            bus: bus::State::new(config.seed, &config.limits),
            members: EndpointTable::new(
                list_sources(&config),
                parts.consul.damping,
                config.limits.discovery(),
            ),
            validator: ListValidator::default(),
            members_due: None,
            logged: LoggedLines::default(),
            consul: parts.consul.state,
            snapshots: parts.consul.snapshots,
            peers: parts.peers,
            peer_index: PeerIndex::default(),
            plain_purges: PlainPurges::new(&config.limits),
            plain_purges_due: None,
            origin_health,
            dropped: (0, 0),
            trigger_api: parts.trigger_api,
            ledger: parts.store.ledger,
            pending_store: parts.store.pending,
            pending_commits: PendingCommits::default(),
            membership: None,
            shared_budgets: None,
            fleet_due: None,
            store_word: parts.store.word,
            posts: 0,
            told_ready: false,
            waiting_answers: 0,
            held: 0,
            term_at: None,
            turn: Turn::start(now),
            grace_over: false,
            admin: parts.sockets.admin,
            callers: 0,
            ops: stored.operations,
            ops_folder: config.operator_state_folder.clone(),
            operator_state: stored.files,
            inherited: parts.sockets.inherited,
            limits: config.limits.clone(),
            config,
            source,
        }
    }

    /// Logs where the daemon listens, and what the operators decided before.
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
        let bans: Vec<&str> = self.ops.bans().collect();
        if !bans.is_empty() || !self.ops.in_service() {
            log::warn!(bans = bans.join(" ").as_str(), in_service = self.ops.in_service(); "kept by the operators");
        }
    }
}
