//! The operators' own file, `deploy/interconnect.json`: the second front, Consul, state and logs. All of it is off
//! where nothing is said. The types here are its form; its JSON Schema, `docs/interconnect.schema.json`, is made
//! from them (`linnetknot schema`).

use linnetknot::{Budget, Micros, Settings};
use linnetknot_budgets::{kinds, spec::BudgetSpec};
use linnetknot_consul::{Consistency, Identity, Mapping, MetaKeys, Options, Registrant};
use linnetknot_discovery::Damping;
use linnetknot_purges::BucketBits;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The operators' own file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(title = "linnetknot interconnect")]
pub struct File {
    /// The second front.
    pub cdni: Option<CdniFile>,
    /// Consul as a source of the list of boxes.
    pub consul: Option<ConsulFile>,
    /// What the proxies of the fleet tell each other.
    pub peers: PeersFile,
    /// What is promised of their copies, where `peers.copies` is on.
    pub copies: CopiesFile,
    /// What all proxies spend together, divided among them.
    pub budgets: BudgetsFile,
    /// What outlives the process.
    pub state: StateFile,
    /// The log.
    pub log: LogFile,
}

/// What the proxies of the fleet tell each other.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PeersFile {
    /// Of an origin that is late: datagrams of 24 bytes to all `peers`, while it lasts. The same at all of them.
    pub tell: bool,
    /// Logs of what neighbours told: each proxy has those of all, also when it was away or lost its disk. Needs
    /// `cdni.purges` and `peers` in the configuration. The same at all of them.
    pub copies: bool,
}

/// What is promised of copies: a neighbour is told yes only once they are on disks.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CopiesFile {
    /// Further machines that must have what a neighbour told on their disks before it is answered yes. 0: this proxy's
    /// disk is enough, and what a machine promised may be lost with it.
    pub wait: usize,
    /// Further machines that are to have it in the end; null: 2, or as many as there are.
    pub holders: Option<usize>,
    /// A yes that can't be given within this is a no (503), in milliseconds.
    #[schemars(range(min = 50, max = 30_000))]
    pub within_ms: u64,
    /// The machine that this proxy stands on, as the unit that is lost at once; null: the address of its `peer_listen`.
    pub machine: Option<String>,
    /// The machines of peers, by their addresses in `peers`; of those not named here, the address is the machine.
    pub machines: BTreeMap<SocketAddr, String>,
    /// The size of the table in which older purges are held, in MiB: a power of two. It takes that twice in memory, a
    /// third time while a peer reads a snapshot of it, and once on the disk. Proxies may differ.
    #[schemars(range(min = 1, max = 1024))]
    pub purge_table_mb: u32,
    /// Purges that are held one by one before older ones move to the table; null: the daemon's own bound. For tests,
    /// which can't tell a proxy of so many.
    #[schemars(skip)]
    pub exact_purges: Option<usize>,
}

impl Default for CopiesFile {
    fn default() -> Self {
        CopiesFile {
            wait: 1,
            holders: None,
            within_ms: 1_000,
            machine: None,
            machines: BTreeMap::new(),
            purge_table_mb: PurgeTableSize::DEFAULT_MB,
            exact_purges: None,
        }
    }
}

/// What is promised of copies, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copies {
    /// They are made.
    pub on: bool,
    /// Further machines to wait for.
    pub wait: usize,
    /// Further machines that are to have them.
    pub holders: usize,
    /// How long a yes may take.
    pub within_us: Micros,
    /// This proxy's machine.
    pub machine: String,
    /// Those of its peers, in the order of their list; itself left out.
    pub machines: Vec<(SocketAddr, String)>,
    /// How many purges are held, and how.
    pub purge_table: PurgeTableSize,
}

/// How many purges are held one by one, and the size of the compact table that takes all older ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PurgeTableSize {
    /// The size of the table.
    pub bucket_bits: BucketBits,
    /// Purges that are held one by one; none: the daemon's own bound.
    pub exact: Option<usize>,
}

impl PurgeTableSize {
    /// The usual size of the table, in MiB.
    const DEFAULT_MB: u32 = 4;
    /// The binary logarithm of the number of buckets in a MiB.
    const BITS_OF_ONE_MB: u32 = 14;
    /// The largest table, in MiB.
    const MAX_MB: u32 = 1 << (BucketBits::MAX.value() as u32 - Self::BITS_OF_ONE_MB);

    fn check(file: &CopiesFile) -> Result<Self> {
        const KEY: &str = "copies.purge_table_mb";
        let mb = range(KEY, file.purge_table_mb, 1, Self::MAX_MB)?;
        if !mb.is_power_of_two() {
            return Err(format!("{KEY}: {mb} is no power of two"));
        }
        let bits = Self::BITS_OF_ONE_MB + mb.ilog2();
        let bucket_bits = BucketBits::new(bits as u8).map_err(|e| format!("{KEY}: {e}"))?;
        let exact = file
            .exact_purges
            .map(|n| range("copies.exact_purges", n, 1, 1 << 24))
            .transpose()?;
        Ok(PurgeTableSize { bucket_bits, exact })
    }
}

impl CopiesFile {
    /// What the daemon uses, for the peers of the configuration.
    pub fn check(&self, on: bool, peers: Option<&(SocketAddr, Vec<SocketAddr>)>) -> Result<Copies> {
        let within_us = range("copies.within_ms", self.within_ms, 50, 30_000)? * 1000;
        let purge_table = PurgeTableSize::check(self)?;
        if !on {
            // A promise is kept on this proxy's own disk alone.
            return Ok(Copies {
                within_us,
                purge_table,
                ..Copies::default()
            });
        }
        let name = |peer: &SocketAddr| {
            self.machines
                .get(peer)
                .cloned()
                .unwrap_or_else(|| peer.ip().to_string())
        };
        let own = peers.map(|(own, _)| *own);
        let machine = self
            .machine
            .clone()
            .or(own.as_ref().map(name))
            .unwrap_or_default();
        let others = peers
            .into_iter()
            .flat_map(|(own, all)| all.iter().filter(move |peer| *peer != own));
        let machines: Vec<_> = others.map(|peer| (*peer, name(peer))).collect();
        let further: BTreeSet<&String> = machines
            .iter()
            .map(|(_, m)| m)
            .filter(|m| **m != machine)
            .collect();
        // Without peers a file is checked by itself, and nothing can be said of their machines.
        for (key, wanted) in [
            ("wait", self.wait),
            ("holders", self.holders.unwrap_or(self.wait)),
        ] {
            if peers.is_some() && wanted > further.len() {
                return Err(format!(
                    "copies.{key}: {wanted} further machines are to have what is promised, and the peers stand on \
                     {} besides this proxy's own; 'copies.machines' names those that share an address",
                    further.len()
                ));
            }
        }
        if self.holders.is_some_and(|holders| holders < self.wait) {
            return Err(format!(
                "copies.holders: fewer than the {} of 'copies.wait'",
                self.wait
            ));
        }
        let holders = self.holders.unwrap_or(further.len().min(2).max(self.wait));
        Ok(Copies {
            on,
            wait: self.wait,
            holders,
            within_us,
            machine,
            machines,
            purge_table,
        })
    }
}

/// What all proxies spend together, divided among them so that their parts never sum to more than the whole. Needs
/// `peers.copies`, by which proxies know each other. The same at all of them.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetsFile {
    /// Requests that the origin holds at a time; null: each proxy guesses by what it hears.
    pub origin: Option<OriginFile>,
    /// What cold boxes and hub caches bear is divided by need, and not in as many equal parts as there are proxies.
    pub cold: bool,
    /// Share of what cold servers bear that is set aside, in equal parts for all proxies, whatever they can reach.
    #[schemars(range(min = 0.01, max = 1.0))]
    // The file's key `cold_floors` stands for the share that is reserved.
    #[serde(rename = "cold_floors")]
    pub cold_reserved: f64,
}

impl Default for BudgetsFile {
    fn default() -> Self {
        BudgetsFile {
            origin: None,
            cold: false,
            cold_reserved: 0.25,
        }
    }
}

/// Requests that the origin holds at a time.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OriginFile {
    /// Of all proxies together.
    #[schemars(range(min = 1, max = 1_000_000))]
    // The file's key `whole` stands for the limit.
    #[serde(rename = "whole")]
    pub limit: u64,
    /// Set aside of that for each proxy in `peers`, whatever it can reach.
    // The file's key `floor` stands for the reserved minimum.
    #[serde(rename = "floor", default = "one")]
    #[schemars(range(min = 0, max = 1_000_000))]
    pub reserved: u64,
}

fn one() -> u64 {
    1
}

/// One thing that is shared.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// Its name.
    pub name: String,
    /// What its amounts count.
    pub unit: kinds::Unit,
    /// What the module knows it as; none: it is another zone's.
    pub of: Option<linnetknot::Budget>,
    /// Its limit and reserved minimum.
    pub spec: BudgetSpec,
}

/// What is shared, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Budgets {
    /// This proxy's index in the list of all.
    pub index: usize,
    /// How many are in it.
    pub members: usize,
    /// Stands for what is shared among how many: whose is another does not share with this proxy.
    pub fingerprint: u64,
    /// What is shared.
    pub list: Vec<Shared>,
}

impl Budgets {
    /// How long a request may be open at most, whatever its client says; none: places at the origin are not shared, so
    /// that it need not be bounded.
    pub fn longest_open_us(&self) -> Option<Micros> {
        let origin = self
            .list
            .iter()
            .find(|shared| shared.of == Some(Budget::Origin));
        origin.map(|shared| shared.spec.settling_us)
    }
}

impl BudgetsFile {
    /// What the daemon uses, for these settings and the peers of the configuration.
    pub fn check(
        &self,
        settings: &Settings,
        copies: bool,
        peers: Option<&(SocketAddr, Vec<SocketAddr>)>,
    ) -> Result<Budgets> {
        let reserved_share = range("budgets.cold_floors", self.cold_reserved, 0.01, 1.0)?;
        if let Some(origin) = &self.origin {
            range("budgets.origin.whole", origin.limit, 1, 1_000_000)?;
            range("budgets.origin.floor", origin.reserved, 0, 1_000_000)?;
        }
        if self.origin.is_none() && !self.cold {
            return Ok(Budgets::default());
        }
        if !copies {
            return Err(
                "budgets: needs 'peers.copies', by which the proxies know each other".into(),
            );
        }
        // Without peers a file is checked by itself, and nothing can be said of how many share.
        let Some((own, all)) = peers else {
            return Ok(Budgets::default());
        };
        let index = all.iter().position(|peer| peer == own).ok_or(
            "budgets: 'peers' does not name this proxy's own 'peer_listen', by whose place there it is known",
        )?;
        let members = all.len();
        let share = |kind: kinds::Kind, zone: &str, of, spec| {
            let name = if zone.is_empty() {
                kind.name.to_owned()
            } else {
                format!("{}:{zone}", kind.name)
            };
            Shared {
                name,
                unit: kind.unit,
                of,
                spec,
            }
        };
        let mut list = Vec::new();
        if let Some(OriginFile { limit, reserved }) = self.origin {
            let settling_us = settings
                .classes
                .iter()
                .map(|class| class.deadline_us)
                .max()
                .unwrap_or(0);
            let spec = BudgetSpec {
                limit,
                reserved,
                settling_us,
            };
            spec.shared(members)
                .map_err(|e| format!("budgets.origin.whole: {} is {e}", spec.limit))?;
            list.push(share(kinds::ORIGIN, "", Some(Budget::Origin), spec));
        }
        if self.cold {
            let all = kinds::CACHES.unit.one();
            let reserved = (reserved_share * all as f64 / members as f64) as u64;
            let spec = BudgetSpec {
                limit: all,
                reserved,
                settling_us: settings.rules.fall_us,
            };
            if settings.parent_kind.is_some() {
                list.push(share(kinds::PARENTS, "", Some(Budget::Parents), spec));
            }
            for (n, zone) in settings.zones.iter().enumerate() {
                let of = (n == settings.zone).then_some(Budget::Caches);
                list.push(share(kinds::CACHES, &zone.name, of, spec));
            }
        }
        let names = list
            .iter()
            .map(|b| format!("{} {} {}", b.name, b.spec.reserved, b.spec.settling_us));
        let text = names.fold(format!("{members}"), |text, name| text + "\n" + &name);
        Ok(Budgets {
            index,
            members,
            fingerprint: linnetknot_discovery::server_id(&text),
            list,
        })
    }
}

/// The second front: where it listens, and how it presents itself.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CdniFile {
    /// Where neighbours and redirected clients connect; null: the second front is off.
    pub listen: Option<SocketAddr>,
    /// Our CDN Provider ID.
    pub provider: Option<String>,
    /// Base of our URLs.
    pub base: Option<String>,
    /// What we can reach, as IPv4 networks.
    pub footprint: Vec<String>,
    /// Those we exchange messages with.
    pub neighbours: Vec<NeighbourFile>,
    /// The file that purges of this front are kept in; null: they last as long as the daemon runs.
    pub purges: Option<PathBuf>,
}

/// A neighbouring network.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NeighbourFile {
    /// Its CDN Provider ID.
    pub provider: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path of its trigger interface.
    #[serde(default = "triggers")]
    pub triggers: String,
    /// Path at which it takes our footprint notices.
    pub notices: String,
    /// Base of its content's URLs, for clients in its footprint.
    pub content: String,
}

fn triggers() -> String {
    "/cdni/triggers".to_owned()
}

/// Consul as a source of the list of boxes.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ConsulFile {
    /// The agent; null, with no `agents` either: Consul is off.
    pub address: Option<SocketAddr>,
    /// Further agents, in the order in which they are turned to.
    pub agents: Vec<SocketAddr>,
    /// Name of the boxes' service.
    pub service: String,
    /// Data centres to follow, each by queries of its own; none: the agent's own.
    pub datacenters: Vec<String>,
    /// Namespace; null: the token's own.
    pub namespace: Option<String>,
    /// Tags that an instance must all have.
    pub tags: Vec<String>,
    /// Filter expression of the health API.
    pub filter: Option<String>,
    /// Consistency mode of the queries.
    pub consistency: ConsistencyFile,
    /// A stale answer from a server that has not heard its leader for longer is not used, in milliseconds.
    pub most_stale_ms: u64,
    /// How long a query waits at the agent for a change, in seconds.
    #[schemars(range(min = 1, max = 600))]
    pub wait_s: u64,
    /// How long a query that does not wait may take, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub answer_ms: u64,
    /// The longest answer that is read, in MB.
    #[schemars(range(min = 1, max = 1024))]
    pub most_answer_mb: usize,
    /// A file with the ACL token; it is read at the start, on SIGHUP and after a query was denied.
    pub token_file: Option<PathBuf>,
    /// What names a box.
    pub identity: IdentityFile,
    /// The keys of a service's `Meta` that are read.
    pub meta: MetaFile,
    /// Zone of an instance whose `Meta` names none; null: the proxy's own.
    pub zone: Option<String>,
    /// Kind of an instance whose `Meta` names none; null: a box like any other.
    pub kind: Option<String>,
    /// The tagged address to connect to, such as `lan_ipv4` or `wan`; null: the service's address, or its node's.
    pub tagged_address: Option<String>,
    /// An answer that names a smaller share of what ran is confirmed before it counts.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub least_share: f64,
    /// The event bus's list counts beside Consul's; else Consul alone has the list.
    pub beside_bus: bool,
    /// Damping of boxes whose health flaps.
    pub damping: DampingFile,
    /// The proxy's own registration; null: it is not registered.
    pub register: Option<RegisterFile>,
}

impl Default for ConsulFile {
    fn default() -> Self {
        ConsulFile {
            address: None,
            agents: Vec::new(),
            service: "pop-cache".to_owned(),
            datacenters: Vec::new(),
            namespace: None,
            tags: Vec::new(),
            filter: None,
            consistency: ConsistencyFile::Default,
            most_stale_ms: 1000,
            wait_s: 10,
            answer_ms: 2000,
            most_answer_mb: 16,
            token_file: None,
            identity: IdentityFile::Service,
            meta: MetaFile::default(),
            zone: None,
            kind: None,
            tagged_address: None,
            least_share: 0.5,
            beside_bus: false,
            damping: DampingFile::default(),
            register: None,
        }
    }
}

/// Consul's consistency modes.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ConsistencyFile {
    /// By the leader, which may be an old one for a moment.
    Default,
    /// By the leader, which makes sure that it is one.
    Consistent,
    /// By any server, bounded by `most_stale_ms`.
    Stale,
}

/// What names a box.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum IdentityFile {
    /// The id of the service instance.
    Service,
    /// The name of the node.
    Node,
    /// Both, as `NODE/SERVICE`.
    NodeAndService,
}

/// The keys of a service's `Meta` that are read.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct MetaFile {
    /// Zone.
    pub zone: String,
    /// Kind.
    pub kind: String,
    /// Cell: boxes that share which keys they have seen.
    pub cell: String,
    /// Capacity, in transfers at full pace; without it the service's weights hold.
    pub capacity: String,
    /// Unix millisecond of its start.
    pub started_ms: String,
}

impl Default for MetaFile {
    fn default() -> Self {
        let MetaKeys {
            zone,
            kind,
            cell,
            capacity,
            started_ms,
        } = MetaKeys::default();
        MetaFile {
            zone,
            kind,
            cell,
            capacity,
            started_ms,
        }
    }
}

/// Damping of boxes whose health flaps: each loss adds 1 to a penalty that halves with time.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct DampingFile {
    /// Time in which a penalty halves, in seconds.
    pub half_life_s: f64,
    /// A box that comes back with this penalty is held back.
    pub suppress: f64,
    /// It is taken in again below this.
    pub reuse: f64,
    /// Longest time that a box is held back after its last loss, in seconds.
    pub most_suppressed_s: f64,
    /// Share of the boxes of one zone and kind that may be held back at once.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub most_share: f64,
}

impl Default for DampingFile {
    fn default() -> Self {
        let d = Damping::default();
        DampingFile {
            half_life_s: d.half_life_us as f64 / 1e6,
            suppress: d.suppress,
            reuse: d.reuse,
            most_suppressed_s: d.max_suppressed_us as f64 / 1e6,
            most_share: d.max_suppressed_share,
        }
    }
}

/// The proxy's own registration.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RegisterFile {
    /// Name of the service under which it is registered.
    pub name: String,
    /// Id of the instance; null: the proxy's name.
    pub id: Option<String>,
    /// The address that is registered; null: the one that it listens on.
    pub address: Option<SocketAddr>,
    /// Tags.
    pub tags: Vec<String>,
    /// Meta.
    pub meta: BTreeMap<String, String>,
    /// The check turns critical if it is not updated for so long, in seconds.
    #[schemars(range(min = 1, max = 3600))]
    pub ttl_s: u64,
    /// The agent drops the registration once it was critical for so long, in seconds; null: never.
    pub drop_after_s: Option<u64>,
}

impl Default for RegisterFile {
    fn default() -> Self {
        RegisterFile {
            name: "edge-proxy".to_owned(),
            id: None,
            address: None,
            tags: Vec::new(),
            meta: BTreeMap::new(),
            ttl_s: 10,
            drop_after_s: None,
        }
    }
}

/// What outlives the process.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct StateFile {
    /// The folder for it; null: nothing does.
    pub directory: Option<PathBuf>,
    /// A kept list of boxes that is older is not used, in seconds.
    pub most_age_s: u64,
}

impl Default for StateFile {
    fn default() -> Self {
        StateFile {
            directory: None,
            most_age_s: 86_400,
        }
    }
}

/// The log.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LogFile {
    /// Its form.
    pub form: LogForm,
}

/// Forms of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Consul as the daemon uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct Consul {
    /// Agents, in the order in which they are turned to.
    pub agents: Vec<SocketAddr>,
    /// What is watched: one set of options a data centre.
    pub options: Vec<Options>,
    /// How instances are read.
    pub mapping: Mapping,
    /// The file with the token.
    pub token_file: Option<PathBuf>,
    /// The longest answer that is read.
    pub most_answer: usize,
    /// The bus's list counts too.
    pub beside_bus: bool,
    /// Damping.
    pub damping: Damping,
    register: Option<(Registrant, bool)>,
}

/// What outlives the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The folder for it.
    pub directory: Option<PathBuf>,
    /// The greatest age of a kept list.
    pub most_age_us: Micros,
}

/// A message that names the key at fault by its full path.
type Result<T> = std::result::Result<T, String>;

fn range<T: PartialOrd + std::fmt::Display>(key: &str, value: T, least: T, most: T) -> Result<T> {
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(format!("{key}: {value} is not from {least} to {most}"))
    }
}

fn seconds(key: &str, s: f64) -> Result<Micros> {
    Ok((range(key, s, 0.001, 1e6)? * 1e6) as Micros)
}

/// A word that stands in an address of the agent: an empty one would ask for something else.
fn word(key: &str, text: &str) -> Result<()> {
    match text.is_empty() || text.len() > 256 || text.chars().any(char::is_control) {
        true => Err(format!("{key}: '{}' can't be used", text.escape_default())),
        false => Ok(()),
    }
}

impl ConsulFile {
    /// What the daemon uses, checked; none where no agent is named.
    pub fn check(&self, settings: &Settings, name: &str) -> Result<Option<Consul>> {
        let agents: Vec<SocketAddr> = self.address.iter().chain(&self.agents).copied().collect();
        if agents.is_empty() {
            return Ok(None);
        }
        word("consul.service", &self.service)?;
        for (key, texts) in [("datacenters", &self.datacenters), ("tags", &self.tags)] {
            for (n, text) in texts.iter().enumerate() {
                word(&format!("consul.{key}[{n}]"), text)?;
            }
        }
        range("consul.datacenters", self.datacenters.len(), 0, 16)?;
        let options = Options {
            service: self.service.clone(),
            datacenter: None,
            namespace: self.namespace.clone(),
            tags: self.tags.clone(),
            filter: self.filter.clone(),
            consistency: match self.consistency {
                ConsistencyFile::Default => Consistency::Default,
                ConsistencyFile::Consistent => Consistency::Consistent,
                ConsistencyFile::Stale => Consistency::Stale,
            },
            max_stale_us: self.most_stale_ms.saturating_mul(1000),
            blocking_wait_us: range("consul.wait_s", self.wait_s, 1, 600)? * 1_000_000,
            response_timeout_us: range("consul.answer_ms", self.answer_ms, 50, 60_000)? * 1000,
            agents: agents.len(),
            min_share: range("consul.least_share", self.least_share, 0.0, 1.0)?,
            ..Options::default()
        };
        let zones = settings
            .zones
            .iter()
            .map(|z| z.name.clone())
            .filter(|name| !name.is_empty());
        let zones: Vec<String> = zones.collect();
        if let Some(zone) = self
            .zone
            .as_ref()
            .filter(|zone| !zones.is_empty() && !zones.contains(zone))
        {
            return Err(format!(
                "consul.zone: '{zone}' is none of the settings' zones ({})",
                zones.join(", ")
            ));
        }
        let own = settings
            .zones
            .get(settings.zone)
            .map(|z| z.name.clone())
            .unwrap_or_default();
        let meta = &self.meta;
        let mapping = Mapping {
            identity: match self.identity {
                IdentityFile::Service => Identity::Service,
                IdentityFile::Node => Identity::Node,
                IdentityFile::NodeAndService => Identity::NodeAndService,
            },
            keys: MetaKeys {
                zone: meta.zone.clone(),
                kind: meta.kind.clone(),
                cell: meta.cell.clone(),
                capacity: meta.capacity.clone(),
                started_ms: meta.started_ms.clone(),
            },
            zone: self.zone.clone().unwrap_or(own),
            kind: self.kind.clone().unwrap_or_default(),
            zones,
            tagged_address: self.tagged_address.clone(),
        };
        let each = |dc: &String| Options {
            datacenter: Some(dc.clone()),
            ..options.clone()
        };
        let options = match self.datacenters.is_empty() {
            true => vec![options.clone()],
            false => self.datacenters.iter().map(each).collect(),
        };
        let d = &self.damping;
        let damping = Damping {
            half_life_us: seconds("consul.damping.half_life_s", d.half_life_s)?,
            suppress: d.suppress,
            reuse: d.reuse,
            max_suppressed_us: seconds("consul.damping.most_suppressed_s", d.most_suppressed_s)?,
            max_suppressed_share: d.most_share,
        };
        damping.check().map_err(|error| match error.key() {
            key @ ("half_life" | "most_suppressed") => format!("consul.damping.{key}_s {error}"),
            key => format!("consul.damping.{key} {error}"),
        })?;
        let register = self
            .register
            .as_ref()
            .map(|r| r.check(name, agents.len()))
            .transpose()?;
        Ok(Some(Consul {
            agents,
            options,
            mapping,
            token_file: self.token_file.clone(),
            most_answer: range("consul.most_answer_mb", self.most_answer_mb, 1, 1024)? << 20,
            beside_bus: self.beside_bus,
            damping,
            register,
        }))
    }
}

impl RegisterFile {
    fn check(&self, name: &str, agents: usize) -> Result<(Registrant, bool)> {
        word("consul.register.name", &self.name)?;
        let id = self.id.clone().unwrap_or_else(|| name.to_owned());
        word("consul.register.id", &id)?;
        let size: usize = self.tags.iter().map(String::len).sum::<usize>()
            + self
                .meta
                .iter()
                .map(|(k, v)| k.len() + v.len())
                .sum::<usize>();
        range(
            "consul.register: bytes of 'tags' and 'meta'",
            size,
            0,
            16 << 10,
        )?;
        let registrant = Registrant {
            id,
            name: self.name.clone(),
            address: self.address.unwrap_or(([0, 0, 0, 0], 0).into()),
            tags: self.tags.clone(),
            meta: self.meta.clone(),
            ttl_us: range("consul.register.ttl_s", self.ttl_s, 1, 3600)? * 1_000_000,
            deregister_after_us: self.drop_after_s.map(|s| s.saturating_mul(1_000_000)),
            response_timeout_us: 1_000_000,
            agents,
        };
        Ok((registrant, self.address.is_some()))
    }
}

impl Consul {
    /// What is registered, where clients connect to `listen` unless the file says otherwise.
    pub fn registrant(&self, listen: SocketAddr) -> Option<Registrant> {
        let (registrant, named) = self.register.as_ref()?;
        let address = if *named { registrant.address } else { listen };
        Some(Registrant {
            address,
            ..registrant.clone()
        })
    }

    /// Whether a running daemon can follow a change to this: the sources of its list and its own registration are
    /// those of its start.
    pub fn can_become(&self, new: &Consul) -> bool {
        let sources = |c: &Consul| {
            c.options
                .iter()
                .map(|o| o.datacenter.clone())
                .collect::<Vec<_>>()
        };
        let registered = |c: &Consul| {
            c.register.as_ref().map(|(r, named)| {
                (
                    Registrant {
                        agents: 0,
                        ..r.clone()
                    },
                    *named,
                )
            })
        };
        sources(self) == sources(new)
            && registered(self) == registered(new)
            && self.beside_bus == new.beside_bus
    }

    /// What a list of each data centre is the list of.
    pub fn scopes(&self) -> Vec<String> {
        let scope = |o: &Options| {
            let dc = o.datacenter.as_deref().unwrap_or("");
            let namespace = o.namespace.as_deref().unwrap_or("");
            format!("consul {dc} {namespace} {}", o.service)
        };
        self.options.iter().map(scope).collect()
    }
}

impl StateFile {
    /// What the daemon uses.
    pub fn check(&self) -> Result<State> {
        let most_age_us = range("state.most_age_s", self.most_age_s, 1, 1 << 32)? * 1_000_000;
        Ok(State {
            directory: self.directory.clone(),
            most_age_us,
        })
    }
}

/// The file's JSON Schema.
pub fn schema() -> String {
    let schema = schemars::schema_for!(File);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
