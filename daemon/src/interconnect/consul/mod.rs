//! The section `consul`: Consul as a source of the endpoint list, and the registration of this proxy there.

mod file;
mod validation;

pub use file::{ConsistencyFile, ConsulFile, DampingFile, IdentityFile, MetaFile, RegisterFile};

use linnetknot_consul::{Mapping, Options, Registrant};
use linnetknot_discovery::Damping;
use std::net::SocketAddr;
use std::path::PathBuf;

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
    pub max_response_bytes: usize,
    /// The bus's list counts too.
    pub beside_bus: bool,
    /// Damping.
    pub damping: Damping,
    register: Option<Registration>,
}

/// The proxy's own registration, checked.
#[derive(Clone, Debug, PartialEq)]
struct Registration {
    registrant: Registrant,
    /// The file names the address that is registered; else it is the one that clients connect to.
    has_address: bool,
}

impl Registration {
    /// Whether two registrations are the same at the agents, however many agents there are.
    fn is_same(&self, other: &Registration) -> bool {
        let registrant = Registrant {
            agents: self.registrant.agents,
            ..other.registrant.clone()
        };
        self.registrant == registrant && self.has_address == other.has_address
    }
}

impl Consul {
    /// What is registered, where clients connect to `listen` unless the file names another address.
    pub fn registrant(&self, listen: SocketAddr) -> Option<Registrant> {
        let Registration {
            registrant,
            has_address,
        } = self.register.as_ref()?;
        let address = if *has_address {
            registrant.address
        } else {
            listen
        };
        Some(Registrant {
            address,
            ..registrant.clone()
        })
    }

    /// Whether a running daemon can follow a change to this: the sources of its list and its own registration are
    /// those of its start.
    pub fn can_reload_as(&self, new: &Consul) -> bool {
        let has_same_registration = match (&self.register, &new.register) {
            (Some(own), Some(new)) => own.is_same(new),
            (own, new) => own.is_none() && new.is_none(),
        };
        self.datacenters().eq(new.datacenters())
            && has_same_registration
            && self.beside_bus == new.beside_bus
    }

    /// The data centres that are watched; none stands for the agent's own.
    fn datacenters(&self) -> impl Iterator<Item = Option<&str>> {
        self.options
            .iter()
            .map(|options| options.datacenter.as_deref())
    }

    /// What a list of each data centre is the list of.
    pub fn scopes(&self) -> Vec<String> {
        let scope = |options: &Options| {
            let datacenter = options.datacenter.as_deref().unwrap_or("");
            let namespace = options.namespace.as_deref().unwrap_or("");
            format!("consul {datacenter} {namespace} {}", options.service)
        };
        self.options.iter().map(scope).collect()
    }
}
