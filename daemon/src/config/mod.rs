//! Reads and validates the configuration and applies its defaults. Every error names the key at fault.

mod check;
mod error;
mod present_keys;
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
use present_keys::PresentKeys;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A function that returns the configuration. It is called again on SIGHUP.
pub type Source = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// The default path of the operators' own file. An environment variable can set another path.
const DEFAULT_INTERCONNECT_PATH: &str = "deploy/interconnect.json";
/// The file descriptors and the memory of a machine if the configuration does not state them.
const DEFAULT_DESCRIPTORS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The validated configuration of a daemon, from the configuration file and the operators' own file.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the proxy, which identifies it to its peers and to Consul.
    pub name: String,
    /// The address on which clients connect by FastCGI.
    pub listen: SocketAddr,
    /// The address of the admin listener, if there is one.
    pub admin: Option<SocketAddr>,
    /// The folder in which the operators' bans and drains are stored for the next process, `$TMPDIR`.
    pub operator_state_folder: PathBuf,
    /// The seed of the random number generator of the daemon.
    pub seed: u64,
    /// The limits, derived from the machine and the settings.
    pub limits: Limits,
    /// The event bus; `None` if the endpoint list comes from elsewhere.
    pub bus: Option<SocketAddr>,
    /// The events of the bus that are part of the configuration and precede the start.
    pub known: KnownEvents,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The addresses at which the proxies of the fleet exchange datagrams; `None` for a single proxy.
    pub peers: Option<PeerAddresses>,
    /// Whether the proxies notify each other of a slow origin.
    pub share_origin_health: bool,
    /// The replication of purges by peer CDNs.
    pub replication: Replication,
    /// The replication settings as read from the file. They are validated again when a reload changes the peers.
    replication_file: ReplicationFile,
    /// The budgets that all proxies share.
    pub budgets: Budgets,
    /// The listener for peer CDNs; `None` if it is off.
    pub cdni: Option<Cdni>,
    /// Consul as a source of the endpoint list; `None` if it is off.
    pub consul: Option<Consul>,
    /// The location and the maximum age of state that outlives the process.
    pub state: State,
    /// The format of the log lines of the daemon.
    pub log: LogForm,
    /// The keys of the configuration file, which a reloaded file must have as well.
    keys: PresentKeys,
}

/// The events of the bus that are part of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownEvents {
    /// The bus offset of the last event in `events`.
    pub offset: u64,
    /// The events in the order of their offsets.
    pub events: Vec<BusEvent>,
}

/// The replication settings of the operators' file.
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
    /// Reads the file that `ROUTER_CONFIG` names. `ROUTER_NAME`, `ROUTER_LISTEN` and `ROUTER_OPS` supply keys that are
    /// missing in the file. The sections for peer CDNs, Consul, replication, budgets, state and log are read from the
    /// operators' own file, which is `deploy/interconnect.json` unless `LINNETKNOT_INTERCONNECT` names another file.
    ///
    /// # Errors
    /// Fails if a file can't be read or a key is invalid.
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
        let path = named.as_deref().unwrap_or(DEFAULT_INTERCONNECT_PATH);
        if named.is_some() || Path::new(path).exists() {
            config
                .interconnect(&read_object(path)?)
                .map_err(|e| e.in_file(path))?;
        }
        Ok(config)
    }

    /// Applies the operators' own file. The features of omitted sections are off.
    ///
    /// # Errors
    /// Fails if a key is unknown or invalid.
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

    /// Validates the replication settings of the file for these peers, and returns the result.
    ///
    /// # Errors
    /// Fails if the peers are on too few machines.
    pub fn check_replication(
        &self,
        peers: Option<&PeerAddresses>,
    ) -> Result<Replication, InterconnectError> {
        let ReplicationFile { is_on, copies } = &self.replication_file;
        copies.check(*is_on, peers)
    }

    /// Creates a configuration without its optional parts.
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
            keys: PresentKeys::default(),
        }
    }

    /// Creates an empty configuration. The operators' own file is checked against it if no configuration is given. Its
    /// only zone has no name, so that any zone name in the file is valid.
    fn empty() -> Result<Self, ConfigError> {
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

    /// Checks that a reloaded configuration has all keys of this one. A file that lacks one is incomplete, and its
    /// defaults must not replace the configuration in use.
    ///
    /// # Errors
    /// Fails on the first missing key.
    pub fn check_reload(&self, new: &Config) -> Result<(), ConfigError> {
        self.keys
            .missing_in(&new.keys)
            .map_or(Ok(()), |key| Err(ConfigError::MissingOnReload { key }))
    }

    /// Requires the keys of `new` from the next reload on, because `new` was applied.
    pub(crate) fn adopt_keys_of(&mut self, new: &Config) {
        self.keys.clone_from(&new.keys);
    }

    /// Returns the changed keys of a new configuration that a running daemon can't apply, because sockets, tables and
    /// the decision module were created from them. `seed` and `known` are ignored: they differ for every start and are
    /// not used by a running daemon.
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
