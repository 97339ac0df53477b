//! The section `consul` of the file, with its defaults.

use linnetknot_consul::MetaKeys;
use linnetknot_discovery::Damping;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

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
