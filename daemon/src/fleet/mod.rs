//! `linnetknot fleet status`: what a running proxy knows of the replication of its log, as its admin listener shows it.

mod query;
mod table;

pub use query::{ask, ask_budgets, StatusError};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Peers that one status shows.
pub const MAX_PEERS: usize = 48;
/// Logs that one status shows: with those peers it fits the admin listener's ring buffer.
pub const MAX_LOGS: usize = 32;

/// Where a proxy's copies and promises stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// The machine that it says it stands on.
    pub machine: String,
    /// The life of its log.
    pub life: String,
    /// Further machines that a promise waits for.
    pub wait: usize,
    /// Further machines that are to have each in the end.
    pub holders: usize,
    /// The last place in its log.
    pub end: u64,
    /// Up to where that is on its own disk.
    pub on_disk: u64,
    /// Entries in force, of all logs.
    pub entries: usize,
    /// Purges of the table behind them that have a slot of their own there.
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
    /// A sum over all logs: proxies with the same have the same.
    pub digest: String,
    /// Answers that wait for copies.
    pub waiting: usize,
    /// Promises with fewer copies than wanted: 0 once all is well.
    pub short: usize,
    /// Promises given in this process.
    pub promised: u64,
    /// Promises refused in this process.
    pub refused: u64,
    /// Members that run, by its own belief, itself among them.
    pub up: usize,
    /// Another process of its name has begun after it: it promises nothing any more.
    pub replaced: bool,
    /// Its peers.
    pub peers: Vec<PeerStatus>,
    /// How many there are.
    pub peers_in_all: usize,
    /// The logs that it has.
    pub logs: Vec<LogStatus>,
    /// How many there are.
    pub logs_in_all: usize,
}

/// What a proxy knows of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its address.
    pub address: SocketAddr,
    /// Its machine.
    pub machine: String,
    /// Its name, once it has told it.
    pub name: String,
    /// What is believed of it: `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub standing: String,
    /// Its life among the members.
    pub life: String,
    /// Up to where it is known to have the asked proxy's log on its disk.
    pub held: u64,
    /// Places behind.
    pub behind: u64,
}

/// A log that a proxy has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The hash of its writer's name.
    pub writer: String,
    /// Its life.
    pub life: String,
    /// Whether the asked proxy wrote it, in this life or an earlier one.
    pub own: bool,
    /// Up to where it is had.
    pub end: u64,
    /// Up to where it is on the asked proxy's disk.
    pub on_disk: u64,
}

/// A status as JSON in one line.
pub fn to_json(status: &impl Serialize) -> String {
    // It holds strings, numbers and flags alone, all of which JSON can represent.
    serde_json::to_string(status).unwrap_or_default()
}
