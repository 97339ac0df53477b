//! The operators' own file, `deploy/interconnect.json`, with a module for each section. The types define the form of
//! the file, and each section is validated next to its type. A section that is omitted is off. The JSON Schema of the
//! file, `docs/interconnect.schema.json`, is generated from the types (`linnetknot schema`).

mod budgets;
mod cdni;
mod consul;
mod error;
mod log;
mod peers;
mod replication;
mod state;
mod validation;

pub use budgets::{Budgets, BudgetsFile, OriginFile, SharedBudget};
pub use cdni::{Cdni, CdniFile, NeighbourFile};
pub use consul::{
    ConsistencyFile, Consul, ConsulFile, DampingFile, IdentityFile, MetaFile, RegisterFile,
};
pub use error::InterconnectError;
pub use log::{LogFile, LogForm};
pub use peers::{PeerAddresses, PeersFile};
pub use replication::{CopiesFile, PurgeTableSize, Replication};
pub use state::{State, StateFile};

use schemars::JsonSchema;
use serde::Deserialize;

/// The operators' own file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(title = "linnetknot interconnect")]
pub struct File {
    /// The listener for peer CDNs.
    pub cdni: Option<CdniFile>,
    /// Consul as a source of the list of pop caches.
    pub consul: Option<ConsulFile>,
    /// The exchange between the proxies of the fleet.
    pub peers: PeersFile,
    /// The replication of purges, if `peers.copies` is on.
    pub copies: CopiesFile,
    /// The budgets that all proxies share.
    pub budgets: BudgetsFile,
    /// The state that outlives the process.
    pub state: StateFile,
    /// The log.
    pub log: LogFile,
}

type Result<T> = std::result::Result<T, InterconnectError>;

/// Returns the JSON Schema of the file.
pub fn schema() -> String {
    let schema = schemars::schema_for!(File);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
