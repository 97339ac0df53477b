//! The operators' own file, `deploy/interconnect.json`, a module for each of its sections: the types in them are the
//! form of the file, the validation of a section stands beside them. A section that is left out is off. The JSON Schema
//! of the file, `docs/interconnect.schema.json`, is made from the types (`linnetknot schema`).

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

type Result<T> = std::result::Result<T, InterconnectError>;

/// The file's JSON Schema.
pub fn schema() -> String {
    let schema = schemars::schema_for!(File);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
