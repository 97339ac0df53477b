//! `linnetknot fleet status`: the replication status of a running proxy, as its admin listener returns it.

mod query;
mod table;

pub use query::{query_budgets, query_status, StatusError};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum number of peers in a status.
pub const MAX_PEERS: usize = 48;
/// The maximum number of logs in a status. A status with this many logs and `MAX_PEERS` peers fits into the send buffer
/// of the admin listener.
pub const MAX_LOGS: usize = 32;

/// The replication status of a proxy. The JSON keys must not change, because tools read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the proxy.
    pub name: String,
    /// The machine of the proxy, as configured.
    pub machine: String,
    /// The epoch of the log of the proxy.
    #[serde(rename = "life")]
    pub epoch: String,
    /// The number of further machines that acknowledge a purge before it is committed.
    #[serde(rename = "wait")]
    pub min_acks: usize,
    /// The number of further machines to which each purge is eventually replicated.
    #[serde(rename = "holders")]
    pub replication_factor: usize,
    /// The last index of the log of the proxy.
    #[serde(rename = "end")]
    pub last_index: u64,
    /// The index through which the log of the proxy is durable on its disk.
    #[serde(rename = "on_disk")]
    pub durable_index: u64,
    /// The number of entries in force, in all logs.
    pub entries: usize,
    /// The number of older purges that the compact table holds in a slot of their own.
    #[serde(default)]
    pub compacted: usize,
    /// The memory of the compact table, in bytes.
    #[serde(default)]
    pub table_bytes: usize,
    /// Why the store could not be opened; absent if it is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_error: Option<String>,
    /// Whether the proxy is receiving a snapshot, because peers have compacted entries that it lacks.
    #[serde(default)]
    pub catching_up: bool,
    /// A checksum of all logs. Proxies with the same entries have the same checksum.
    pub digest: String,
    /// The number of pending commits.
    #[serde(rename = "waiting")]
    pub pending_commits: usize,
    /// The number of under-replicated entries; 0 once all peers have caught up.
    #[serde(rename = "short")]
    pub under_replicated: usize,
    /// The number of purges in force that no log contains yet: those that a peer sent as plain datagrams, and those of
    /// entries that arrived out of order.
    #[serde(rename = "unlogged", default)]
    pub unlogged_purges: usize,
    /// The number of entries that arrived out of order and wait for the entries before them.
    #[serde(rename = "reordered", default)]
    pub reordered_entries: usize,
    /// The number of commits of this process.
    #[serde(rename = "promised")]
    pub committed: u64,
    /// The number of rejected commits of this process.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The number of members that are believed to be alive, including the proxy.
    #[serde(rename = "up")]
    pub alive_members: usize,
    /// Whether a later process with the same name has started, so that this one commits nothing.
    pub replaced: bool,
    /// The status of up to `MAX_PEERS` peers.
    pub peers: Vec<PeerStatus>,
    /// The number of all peers.
    #[serde(rename = "peers_in_all")]
    pub peers_total: usize,
    /// The status of up to `MAX_LOGS` logs that have entries.
    pub logs: Vec<LogStatus>,
    /// The number of all logs.
    #[serde(rename = "logs_in_all")]
    pub logs_total: usize,
}

/// The status of a peer, as known to the proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The address of the peer.
    pub address: SocketAddr,
    /// The machine of the peer.
    pub machine: String,
    /// The name of the peer; empty while unknown.
    pub name: String,
    /// The membership state of the peer: `unknown`, `alive`, `suspect`, `dead` or `left`.
    #[serde(rename = "standing")]
    pub state: String,
    /// The incarnation of the peer.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// The index through which the peer has acknowledged the log of the proxy.
    #[serde(rename = "held")]
    pub acked_index: u64,
    /// The number of entries of that log that the peer has not acknowledged.
    #[serde(rename = "behind")]
    pub lag: u64,
}

/// The status of a log of which the proxy has entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The hash of the name of the writer.
    pub writer: String,
    /// The epoch of the log.
    #[serde(rename = "life")]
    pub epoch: String,
    /// Whether the proxy wrote the log, in this process or an earlier one.
    pub own: bool,
    /// The last index of the log that the proxy has.
    #[serde(rename = "end")]
    pub last_index: u64,
    /// The index through which the log is durable on the disk of the proxy.
    #[serde(rename = "on_disk")]
    pub durable_index: u64,
}

/// Formats a status as JSON in one line.
pub fn to_json(status: &impl Serialize) -> String {
    // Strings, numbers and flags are always valid JSON.
    serde_json::to_string(status).unwrap_or_default()
}
