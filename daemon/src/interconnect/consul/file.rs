//! The section `consul` of the file, with its defaults.

use crate::limits::MAX_CACHES;
use linnetknot_consul::MetaKeys;
use linnetknot_discovery::Damping;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The space for an instance with its checks in a response, in bytes of JSON.
const INSTANCE_BYTES: usize = 2 << 10;
/// The default maximum size of a response, in MB: a response may list every cache that the endpoint table holds. It is
/// parsed as it arrives, so that it is never in memory as a whole.
const DEFAULT_RESPONSE_MB: usize = (MAX_CACHES * INSTANCE_BYTES).div_ceil(1 << 20);

/// Consul as a source of the list of pop caches.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ConsulFile {
    /// The address of the agent; null without `agents`: Consul is off.
    pub address: Option<SocketAddr>,
    /// Further agents, in the order of their use.
    pub agents: Vec<SocketAddr>,
    /// The name of the service of the pop caches.
    pub service: String,
    /// The data centers to watch, each by its own queries; empty: that of the agent.
    pub datacenters: Vec<String>,
    /// The namespace; null: that of the token.
    pub namespace: Option<String>,
    /// The tags that an instance must have.
    pub tags: Vec<String>,
    /// The filter expression of the health API.
    pub filter: Option<String>,
    /// The consistency mode of the queries.
    pub consistency: ConsistencyFile,
    /// The maximum staleness of a response, in milliseconds: the time since the server last had contact with its
    /// leader.
    pub most_stale_ms: u64,
    /// The time for which a query waits at the agent for a change, in seconds.
    #[schemars(range(min = 1, max = 600))]
    pub wait_s: u64,
    /// The maximum time without a byte of a response, in milliseconds. Until the first byte, `wait_s` is added for a
    /// query that waits. A whole response may take 20 times as long, and after two that were cut off, 40 and then 80
    /// times, until one is complete.
    #[schemars(range(min = 50, max = 60_000))]
    pub answer_ms: u64,
    /// The maximum size of a response, in MB.
    #[schemars(range(min = 1, max = 1024))]
    pub most_answer_mb: usize,
    /// The file with the ACL token, which is read at the start, on SIGHUP and after a denied query.
    pub token_file: Option<PathBuf>,
    /// The id of a pop cache.
    pub identity: IdentityFile,
    /// The keys of a service's `Meta` that are read.
    pub meta: MetaFile,
    /// The zone of an instance whose `Meta` names none; null: that of the proxy.
    pub zone: Option<String>,
    /// The kind of an instance whose `Meta` names none; null: an ordinary pop cache.
    pub kind: Option<String>,
    /// The tagged address to connect to, such as `lan_ipv4` or `wan`; null: the address of the service, or of its node.
    pub tagged_address: Option<String>,
    /// The minimum share of the running caches in a response. A response with fewer is confirmed before it is used.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub least_share: f64,
    /// Whether the list of the event bus is used as well as that of Consul.
    pub beside_bus: bool,
    /// The damping of flapping pop caches.
    pub damping: DampingFile,
    /// The registration of the proxy; null: it is not registered.
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
            most_answer_mb: DEFAULT_RESPONSE_MB,
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

/// The consistency modes of Consul.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ConsistencyFile {
    /// By the leader, which may have been replaced a moment ago.
    Default,
    /// By the leader, which confirms that it still is the leader.
    Consistent,
    /// By any server, bounded by `most_stale_ms`.
    Stale,
}

/// The ids of pop caches.
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
    /// The zone.
    pub zone: String,
    /// The kind.
    pub kind: String,
    /// The cell: pop caches in one cell share which keys they have seen.
    pub cell: String,
    /// The capacity, in concurrent transfers at full speed; without it, the weights of the service are used.
    pub capacity: String,
    /// The time of the start, in Unix milliseconds.
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

/// The damping of flapping pop caches: each failure adds 1 to a penalty that decays exponentially.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct DampingFile {
    /// The half-life of a penalty, in seconds.
    pub half_life_s: f64,
    /// The penalty from which a recovered pop cache is suppressed.
    pub suppress: f64,
    /// The penalty below which it is used again.
    pub reuse: f64,
    /// The maximum time for which a pop cache is suppressed after its last failure, in seconds.
    pub most_suppressed_s: f64,
    /// The maximum share of the pop caches of a zone and kind that are suppressed at once.
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

/// The registration of the proxy.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RegisterFile {
    /// The name of the service of the proxy.
    pub name: String,
    /// The id of the instance; null: the name of the proxy.
    pub id: Option<String>,
    /// The registered address; null: the address for clients.
    pub address: Option<SocketAddr>,
    /// The tags of the instance.
    pub tags: Vec<String>,
    /// The `Meta` of the instance.
    pub meta: BTreeMap<String, String>,
    /// The time without an update after which the check becomes critical, in seconds.
    #[schemars(range(min = 1, max = 3600))]
    pub ttl_s: u64,
    /// The time in the critical state after which the agent removes the registration, in seconds; null: never.
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
