//! The one place where configuration is read, given defaults and checked. Every message names the faulty key.

mod check;
mod error;
mod read;

pub use check::{check, CheckedFile};
pub use error::ConfigError;

use crate::bus::BusEvent;
use crate::interconnect::{
    Budgets, Cdni, Consul, CopiesFile, File, InterconnectError, LogForm, PeerAddresses,
    Replication, State,
};
use crate::limits::Limits;
use linnetknot::Settings;
use linnetknot_settings::{get, parse_settings, Fields};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Reads the configuration: at the start, and again on SIGHUP.
pub type Source = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// The operators' own file where the environment names no other.
const INTERCONNECT: &str = "deploy/interconnect.json";
/// Descriptors and megabytes of a machine of which the configuration says nothing.
const DEFAULT_DESCRIPTORS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The configuration of a daemon.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The admin listener; none: there is none.
    pub admin: Option<SocketAddr>,
    /// The folder in which the operators' bans and drains are stored for the next process: `$TMPDIR`.
    pub operator_state_folder: PathBuf,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The bounds that follow from the machine.
    pub limits: Limits,
    /// The event bus; none: the endpoint list comes from elsewhere.
    pub bus: Option<SocketAddr>,
    /// The events up to the start.
    pub known: KnownEvents,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The addresses at which the proxies of the fleet exchange datagrams; none: it is alone.
    pub peers: Option<PeerAddresses>,
    /// Peers are notified of an origin that is late, and listened to.
    pub share_origin_health: bool,
    /// To how many machines purges by peer CDNs are replicated before they are committed.
    pub replication: Replication,
    /// The same as the file has it, for peers that change.
    replication_file: ReplicationFile,
    /// The limits that all proxies share.
    pub budgets: Budgets,
    /// The listener for peer CDNs; none: it is off.
    pub cdni: Option<Cdni>,
    /// Consul as a source of the endpoint list; none: it is off.
    pub consul: Option<Consul>,
    /// What outlives the process.
    pub state: State,
    /// The format of the log.
    pub log: LogForm,
}

/// Events of the bus that a daemon is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownEvents {
    /// The number of the last event.
    pub offset: u64,
    /// The events, in their order.
    pub events: Vec<BusEvent>,
}

/// What the operators' file says of replication.
#[derive(Clone, Debug, Default, PartialEq)]
struct ReplicationFile {
    is_on: bool,
    copies: CopiesFile,
}

/// Returns the JSON object that a file holds.
fn read_object(path: &str) -> Result<Fields, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    match serde_json::from_str(&text) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(ConfigError::NotAnObject {
            path: path.to_owned(),
        }),
        Err(source) => Err(ConfigError::NotJson {
            path: path.to_owned(),
            source,
        }),
    }
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; `ROUTER_NAME`, `ROUTER_LISTEN` and `ROUTER_OPS` stand in for keys that
    /// it lacks. The listener for peer CDNs, Consul, replication, budgets, state and log stand in a file of the
    /// deployment's own, `deploy/interconnect.json` unless `LINNETKNOT_INTERCONNECT` names another.
    ///
    /// # Errors
    /// Fails where a file can't be read or a key is faulty.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("ROUTER_CONFIG").map_err(|_| ConfigError::NoFile)?;
        let mut fields = read_object(&path)?;
        for (key, variable) in [
            ("name", "ROUTER_NAME"),
            ("listen", "ROUTER_LISTEN"),
            ("ops", "ROUTER_OPS"),
        ] {
            if let (None, Ok(value)) = (get(&fields, key), std::env::var(variable)) {
                fields.insert(key.to_owned(), value.into());
            }
        }
        let mut config = Self::read(&fields).map_err(|e| e.in_file(&path))?;
        let named = std::env::var("LINNETKNOT_INTERCONNECT").ok();
        let path = named.as_deref().unwrap_or(INTERCONNECT);
        if named.is_some() || Path::new(path).exists() {
            config
                .interconnect(&read_object(path)?)
                .map_err(|e| e.in_file(path))?;
        }
        Ok(config)
    }

    /// Takes over the operators' own file: a section that it leaves out is off.
    ///
    /// # Errors
    /// Fails where a key is unknown or faulty.
    pub fn interconnect(&mut self, fields: &Fields) -> Result<(), ConfigError> {
        let value = Value::Object(fields.clone());
        let file: File =
            serde_path_to_error::deserialize(value).map_err(InterconnectError::from)?;
        self.cdni = match &file.cdni {
            Some(cdni) => cdni.check(&self.settings)?,
            None => None,
        };
        self.consul = match &file.consul {
            Some(consul) => consul.check(&self.settings, &self.name)?,
            None => None,
        };
        self.share_origin_health = file.peers.tell;
        self.replication_file = ReplicationFile {
            is_on: file.peers.copies,
            copies: file.copies,
        };
        self.replication = self.check_replication(self.peers.as_ref())?;
        let has_purge_file = self.cdni.as_ref().is_some_and(|cdni| cdni.purges.is_some());
        if self.replication.enabled && !has_purge_file {
            return Err(InterconnectError::NoPurgeFile.into());
        }
        self.budgets = file.budgets.check(
            &self.settings,
            self.replication.enabled,
            self.peers.as_ref(),
        )?;
        self.state = file.state.check()?;
        self.log = file.log.form;
        Ok(())
    }

    /// Replication as it is with these peers.
    ///
    /// # Errors
    /// Fails where they stand on too few machines.
    pub fn check_replication(
        &self,
        peers: Option<&PeerAddresses>,
    ) -> Result<Replication, InterconnectError> {
        let ReplicationFile { is_on, copies } = &self.replication_file;
        copies.check(*is_on, peers)
    }

    /// A configuration with all that is optional left out.
    fn new(name: String, listen: SocketAddr, settings: Settings, limits: Limits) -> Self {
        Config {
            name,
            listen,
            admin: None,
            operator_state_folder: std::env::temp_dir(),
            seed: 0,
            limits,
            bus: None,
            known: KnownEvents::default(),
            settings,
            peers: None,
            share_origin_health: false,
            replication: Replication::default(),
            replication_file: ReplicationFile::default(),
            budgets: Budgets::default(),
            cdni: None,
            consul: None,
            state: State::default(),
            log: LogForm::default(),
        }
    }

    /// A configuration that says nothing, to check the operators' own file against where there is none: its one zone
    /// has no name, so any name of a zone will do.
    fn bare() -> Result<Self, ConfigError> {
        let mut fields = Fields::new();
        fields.insert("zone".to_owned(), "".into());
        fields.insert("localities".to_owned(), vec![""].into());
        Ok(Config::new(
            "linnetknot".to_owned(),
            ([127, 0, 0, 1], 0).into(),
            parse_settings(&fields)?,
            Limits::for_machine(DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB),
        ))
    }

    /// The keys in which a new configuration differs although a running daemon can't follow it there: what they
    /// say was built into sockets, tables and the decision module at the start. `seed` and `known` are another
    /// with every start and mean nothing to a daemon that runs.
    pub fn fixed_changes(&self, new: &Config) -> Vec<&'static str> {
        let own = |config: &Config| config.peers.as_ref().map(|peers| peers.own);
        let changes = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.admin != new.admin),
            ("limits", self.limits != new.limits),
            ("settings", self.settings != new.settings),
            ("peer_listen", own(self) != own(new)),
            (
                "peers.tell",
                self.share_origin_health != new.share_origin_health,
            ),
            ("copies", self.replication_file != new.replication_file),
            ("cdni", self.cdni != new.cdni),
            ("state", self.state != new.state),
            ("log", self.log != new.log),
        ];
        changes
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}
