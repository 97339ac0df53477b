//! `linnetknot fleet status`: what a running proxy knows of the replication of its log, as its admin listener shows it.

mod query;
mod table;

pub use query::{query_budgets, query_status, StatusError};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Peers that one status shows.
pub const MAX_PEERS: usize = 48;
/// Logs that one status shows: with those peers it fits the admin listener's ring buffer.
pub const MAX_LOGS: usize = 32;

/// The status of a proxy's replication. The names of the fields are the keys of the JSON, which tools read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the proxy.
    pub name: String,
    /// The machine that it runs on, by its configuration.
    pub machine: String,
    /// The epoch of its log.
    #[serde(rename = "life")]
    pub epoch: String,
    /// The minimum of further machines that acknowledge a purge before it is committed.
    #[serde(rename = "wait")]
    pub min_acks: usize,
    /// The replication factor: further machines that have each purge in the end.
    #[serde(rename = "holders")]
    pub replication_factor: usize,
    /// The last index of its log.
    #[serde(rename = "end")]
    pub last_index: u64,
    /// The durable index of its log on its own disk.
    #[serde(rename = "on_disk")]
    pub durable_index: u64,
    /// Entries in force, of all logs.
    pub entries: usize,
    /// Older purges that have a slot of their own in the compact table.
    #[serde(default)]
    pub compacted: usize,
    /// Memory of that table, in bytes.
    #[serde(default)]
    pub table_bytes: usize,
    /// Why its store can't be opened, while it is so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_error: Option<String>,
    /// Peers have compacted what is missing here: a snapshot is on its way.
    #[serde(default)]
    pub catching_up: bool,
    /// A checksum of all logs: proxies with the same entries have the same.
    pub digest: String,
    /// Pending commits.
    #[serde(rename = "waiting")]
    pub pending_commits: usize,
    /// Under-replicated entries: 0 once all peers have caught up.
    #[serde(rename = "short")]
    pub under_replicated: usize,
    /// Commits of this process.
    #[serde(rename = "promised")]
    pub committed: u64,
    /// Rejected commits of this process.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Members that it believes to be alive, itself among them.
    #[serde(rename = "up")]
    pub alive_members: usize,
    /// A later process of its name has started: this one commits nothing any more.
    pub replaced: bool,
    /// Its peers, the first of them.
    pub peers: Vec<PeerStatus>,
    /// The number of all peers.
    #[serde(rename = "peers_in_all")]
    pub peers_total: usize,
    /// The logs of which it has entries, the first of them.
    pub logs: Vec<LogStatus>,
    /// The number of all logs.
    #[serde(rename = "logs_in_all")]
    pub logs_total: usize,
}

/// What a proxy knows of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The address of the peer.
    pub address: SocketAddr,
    /// Its machine.
    pub machine: String,
    /// Its name; empty until that is known.
    pub name: String,
    /// Its state by the membership: `unknown`, `alive`, `suspect`, `dead` or `left`.
    #[serde(rename = "standing")]
    pub state: String,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// Its acknowledged index in the log of the proxy.
    #[serde(rename = "held")]
    pub acked_index: u64,
    /// Entries of that log that it has not acknowledged.
    #[serde(rename = "behind")]
    pub lag: u64,
}

/// A log of which a proxy has entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The hash of its writer's name.
    pub writer: String,
    /// The epoch of the log.
    #[serde(rename = "life")]
    pub epoch: String,
    /// Whether the proxy wrote it, in this process or an earlier one.
    pub own: bool,
    /// The last index that the proxy has.
    #[serde(rename = "end")]
    pub last_index: u64,
    /// The durable index on the disk of the proxy.
    #[serde(rename = "on_disk")]
    pub durable_index: u64,
}

/// A status as JSON in one line.
pub fn to_json(status: &impl Serialize) -> String {
    // It holds strings, numbers and flags alone, all of which JSON can represent.
    serde_json::to_string(status).unwrap_or_default()
}
