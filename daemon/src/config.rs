//! The one place where configuration is read, given defaults and checked. Every message names the faulty key.

use crate::bus::{read_event, BusEvent, News};
use crate::front::cdni::footprint::Network;
use crate::front::cdni::{Identity, Neighbour};
use crate::interconnect::{
    Budgets, CdniFile, Consul, Copies, CopiesFile, File, LogForm, NeighbourFile, State,
};
use crate::limits::Limits;
use linnetknot::Settings;
use linnetknot_discovery::ReceivedList;
use linnetknot_settings::{
    get, int_or, list, object, settings, text, text_or, wrong, Fields, Result,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What a daemon is told at its start, and where it is read again from.
pub type Source = Box<dyn Fn() -> Result<Config>>;

/// What a daemon is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The admin listener; none: there is none.
    pub ops: Option<SocketAddr>,
    /// Where the operators' bans and drains are kept for the next process: `$TMPDIR`.
    pub ops_folder: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// The bounds that follow from the machine.
    pub limits: Limits,
    /// The event bus; none: the list comes from elsewhere.
    pub bus: Option<SocketAddr>,
    /// The events up to the start, and the number of the last.
    pub known: (u64, Vec<BusEvent>),
    /// What the decision module is told.
    pub settings: Settings,
    /// Where peers send to, and where they are sent to.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// Peers are told of an origin that is late, and listened to.
    pub tell: bool,
    /// Purges that neighbours told are copied from peer to peer until all have them, and what is promised of that.
    pub copies: Copies,
    /// The same as the file has it, for peers that change.
    copies_file: (bool, CopiesFile),
    /// What is shared with all proxies.
    pub budgets: Budgets,
    /// The second front.
    pub cdni: Option<Cdni>,
    /// Consul as a source of the list.
    pub consul: Option<Consul>,
    /// What outlives the process.
    pub state: State,
    /// The form of the log.
    pub log: LogForm,
}

/// The second front: where it listens, and how it presents itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Cdni {
    /// Where neighbours and redirected clients connect.
    pub listen: SocketAddr,
    /// What it tells of itself.
    pub identity: Identity,
    /// The file that its purges are kept in; none: they last as long as the daemon runs.
    pub purges: Option<PathBuf>,
}

const INTERCONNECT: &str = "deploy/interconnect.json";
const SOCKET_SLACK_US: u64 = 50_000;

fn address(m: &Fields, key: &str) -> Result<Option<SocketAddr>> {
    get(m, key)
        .map(|_| text(m, key)?.parse().map_err(|_| wrong(key)))
        .transpose()
}

fn known(m: &Fields) -> Result<(u64, Vec<BusEvent>)> {
    if get(m, "known").is_none() {
        return Ok((0, Vec::new()));
    }
    let known = object(m, "known")?;
    let events: Vec<BusEvent> = list(known, "batch")?
        .iter()
        .map(read_event)
        .collect::<Result<_>>()?;
    // Heard later, what can't be read is passed over; here it is a fault of the configuration.
    for event in &events {
        if let Some(News::List(ReceivedList { unreadable, .. })) = &event.news {
            unreadable
                .first()
                .map_or(Ok(()), |fault| Err(fault.clone()))?;
        }
    }
    Ok((int_or(known, "offset", 0)?, events))
}

fn cdni(file: &CdniFile, settings: &Settings) -> Result<Option<Cdni>> {
    let Some(listen) = file.listen else {
        return Ok(None);
    };
    let said =
        |key: &str, value: &Option<String>| value.clone().ok_or(format!("cdni.{key} is missing"));
    let mut footprint = Vec::new();
    for (n, text) in file.footprint.iter().enumerate() {
        let network = Network::read(text);
        footprint.push(network.ok_or(format!("cdni.footprint[{n}]: '{text}' is no IPv4 network"))?);
    }
    let neighbour = |n: &NeighbourFile| Neighbour {
        provider: n.provider.clone(),
        address: n.address,
        triggers: n.triggers.clone(),
        notices: n.notices.clone(),
        content: n.content.clone(),
    };
    let read = settings.classes.iter().filter(|c| !c.write);
    let identity = Identity {
        provider: said("provider", &file.provider)?,
        base: said("base", &file.base)?,
        footprint,
        neighbours: file.neighbours.iter().map(neighbour).collect(),
        classes: read.map(|c| (c.name.clone(), c.deadline_us)).collect(),
    };
    Ok(Some(Cdni {
        listen,
        identity,
        purges: file.purges.clone(),
    }))
}

/// What the settings say of connections to boxes: how long one may take to come up, and how long it may rest; 0: not
/// told.
fn network(settings: &Fields) -> Result<(u64, u64)> {
    let none = Fields::new();
    let limits = if get(settings, "limits").is_some() {
        object(settings, "limits")?
    } else {
        &none
    };
    Ok((
        int_or(limits, "connect-timeout-us", 0)?,
        int_or(limits, "conn-idle-us", 0)?,
    ))
}

/// The object of a file.
fn file(path: &str) -> Result<Fields> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    match serde_json::from_str(&text) {
        Ok(Value::Object(m)) => Ok(m),
        Ok(_) => Err(format!("{path}: not a JSON object")),
        Err(e) => Err(format!("{path}: not JSON: {e}")),
    }
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names; `ROUTER_NAME` and `ROUTER_LISTEN` stand in for keys that it
    /// lacks. The second front and Consul stand in a file of the deployment's own, `deploy/interconnect.json`
    /// unless `LINNETKNOT_INTERCONNECT` names another.
    pub fn from_env() -> Result<Self> {
        let path = std::env::var("ROUTER_CONFIG")
            .map_err(|_| "the variable ROUTER_CONFIG names no file")?;
        let mut m = file(&path)?;
        for (key, variable) in [
            ("name", "ROUTER_NAME"),
            ("listen", "ROUTER_LISTEN"),
            ("ops", "ROUTER_OPS"),
        ] {
            if let (None, Ok(said)) = (get(&m, key), std::env::var(variable)) {
                m.insert(key.to_owned(), said.into());
            }
        }
        let mut config = Self::read(&m).map_err(|e| format!("{path}: {e}"))?;
        let named = std::env::var("LINNETKNOT_INTERCONNECT").ok();
        let path = named.as_deref().unwrap_or(INTERCONNECT);
        if named.is_some() || Path::new(path).exists() {
            config
                .interconnect(&file(path)?)
                .map_err(|e| format!("{path}: {e}"))?;
        }
        Ok(config)
    }

    /// Reads the operators' own file: all that it tells of is off where it says nothing.
    pub fn interconnect(&mut self, m: &Fields) -> Result<()> {
        let value = Value::Object(m.clone());
        let file: File = serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            format!("{path}: {}", e.into_inner())
        })?;
        self.cdni = file
            .cdni
            .as_ref()
            .map(|c| cdni(c, &self.settings))
            .transpose()?
            .flatten();
        let consul = file
            .consul
            .as_ref()
            .map(|c| c.check(&self.settings, &self.name));
        self.consul = consul.transpose()?.flatten();
        self.tell = file.peers.tell;
        self.copies_file = (file.peers.copies, file.copies);
        self.copies = self.check_copies(self.peers.as_ref())?;
        if self.copies.on && self.cdni.as_ref().is_none_or(|c| c.purges.is_none()) {
            return Err("peers.copies: 'cdni.purges' names no file to keep them in".into());
        }
        self.budgets = file
            .budgets
            .check(&self.settings, self.copies.on, self.peers.as_ref())?;
        self.state = file.state.check()?;
        self.log = file.log.form;
        Ok(())
    }

    /// What is promised of copies with these peers.
    pub fn check_copies(&self, peers: Option<&(SocketAddr, Vec<SocketAddr>)>) -> Result<Copies> {
        self.copies_file.1.check(self.copies_file.0, peers)
    }

    /// A configuration that says nothing, to check the operators' own file against where there is none: its one zone
    /// has no name, so any name of a zone will do.
    fn bare() -> Result<Self> {
        let mut none = Fields::new();
        none.insert("zone".to_owned(), "".into());
        none.insert("localities".to_owned(), vec![""].into());
        Ok(Config {
            name: "linnetknot".to_owned(),
            listen: ([127, 0, 0, 1], 0).into(),
            ops: None,
            ops_folder: std::env::temp_dir(),
            seed: 0,
            limits: Limits::for_machine(1024, 192),
            bus: None,
            known: (0, Vec::new()),
            settings: settings(&none)?,
            peers: None,
            tell: false,
            copies: Copies::default(),
            copies_file: Default::default(),
            budgets: Budgets::default(),
            cdni: None,
            consul: None,
            state: State::default(),
            log: LogForm::default(),
        })
    }

    /// The keys in which a new configuration differs although a running daemon can't follow it there: what they
    /// say was built into sockets, tables and the decision module at the start. `seed` and `known` are another
    /// with every start and mean nothing to a daemon that runs.
    pub fn fixed_changes(&self, new: &Config) -> Vec<&'static str> {
        let own = |c: &Config| c.peers.as_ref().map(|(own, _)| *own);
        let changes = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("limits", self.limits != new.limits),
            ("settings", self.settings != new.settings),
            ("peer_listen", own(self) != own(new)),
            ("peers.tell", self.tell != new.tell),
            ("copies", self.copies_file != new.copies_file),
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

    /// Reads a configuration.
    pub fn read(m: &Fields) -> Result<Self> {
        let none = Fields::new();
        let machine = if get(m, "limits").is_some() {
            object(m, "limits")?
        } else {
            &none
        };
        let whole = |key: &str, default: u64| {
            int_or(machine, key, default).and_then(|n| {
                let n = usize::try_from(n).map_err(|_| wrong(&format!("limits.{key}")))?;
                if n == 0 {
                    Err(format!("field 'limits.{key}' must not be 0"))
                } else {
                    Ok(n)
                }
            })
        };
        let seed = text_or(m, "seed", "0")?;
        let peers = list(m, "peers")?
            .iter()
            .map(|v| v.as_str().and_then(|p| p.parse().ok()));
        let peers = peers
            .collect::<Option<Vec<_>>>()
            .ok_or_else(|| wrong("peers"))?;
        let mut parsed = settings(object(m, "settings")?).map_err(|e| format!("settings: {e}"))?;
        // Boxes drop what was purged by themselves, each time limit on sockets being that much longer: until
        // then an age must be asked for.
        parsed.rules.purge_done_us += SOCKET_SLACK_US;
        parsed.check().map_err(|e| format!("settings: {e}"))?;
        let network = network(object(m, "settings")?).map_err(|e| format!("settings: {e}"))?;
        // What the process may really hold binds it, whatever it was told.
        let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let allowed = allowed
            .and_then(|n| usize::try_from(n).ok())
            .unwrap_or(usize::MAX);
        let sockets = whole("sockets", 1024)?.min(allowed.max(1));
        let machine = Limits::for_machine(sockets, whole("memory_mb", 192)?);
        Ok(Config {
            name: text_or(m, "name", "linnetknot")?,
            listen: address(m, "listen")?.ok_or("field 'listen' is missing")?,
            ops: address(m, "ops")?,
            ops_folder: std::env::temp_dir(),
            seed: u64::from_str_radix(&seed, 16).map_err(|_| wrong("seed"))?,
            limits: machine.for_site(&parsed, network.0, network.1),
            bus: address(m, "bus")?,
            known: known(m).map_err(|e| format!("known: {e}"))?,
            settings: parsed,
            peers: address(m, "peer_listen")?.map(|own| (own, peers)),
            tell: false,
            copies: Copies::default(),
            copies_file: Default::default(),
            budgets: Budgets::default(),
            cdni: None,
            consul: None,
            state: State::default(),
            log: LogForm::default(),
        })
    }
}

/// Checks files without starting anything; without any, those that a start would read. For each its name, and what it
/// is or what is wrong with it.
pub fn check(files: &[PathBuf]) -> Vec<(String, Result<&'static str>)> {
    if files.is_empty() {
        let result = Config::from_env().map(|_| "a start would find nothing wrong");
        return vec![("environment".to_owned(), result)];
    }
    // The operators' own file leans on the settings, so a configuration named beside it lends it these.
    let mut lent = None;
    let mut own = Vec::new();
    let mut results = Vec::new();
    for path in files {
        let shown = path.display().to_string();
        let read =
            file(&shown).and_then(
                |m| match get(&m, "settings").or(get(&m, "listen")).is_some() {
                    false => {
                        own.push((shown.clone(), m));
                        Ok(None)
                    }
                    true => Config::read(&m)
                        .map(Some)
                        .map_err(|e| format!("{shown}: {e}")),
                },
            );
        match read {
            Ok(None) => {}
            Ok(Some(config)) => {
                lent = Some(config);
                results.push((shown, Ok("a configuration, sound")));
            }
            Err(e) => results.push((shown, Err(e))),
        }
    }
    for (shown, m) in own {
        let config = lent.clone().map_or_else(Config::bare, Ok);
        let result = config.and_then(|mut config| config.interconnect(&m));
        let result = result.map_err(|e| format!("{shown}: {e}"));
        results.push((shown, result.map(|()| "an interconnect file, sound")));
    }
    results
}
