//! The section `consul`: Consul as a source of the endpoint list, and the registration of this proxy.

mod file;
mod validation;

pub use file::{ConsistencyFile, ConsulFile, DampingFile, IdentityFile, MetaFile, RegisterFile};

use linnetknot_consul::{Mapping, Options, Registrant};
use linnetknot_discovery::Damping;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The validated section `consul`.
#[derive(Clone, Debug, PartialEq)]
pub struct Consul {
    /// The agents, in the order in which they are tried.
    pub agents: Vec<SocketAddr>,
    /// The options of the queries, one for each data center.
    pub options: Vec<Options>,
    /// The mapping of instances to endpoints.
    pub mapping: Mapping,
    /// The file with the ACL token.
    pub token_file: Option<PathBuf>,
    /// The maximum size of a response, in bytes.
    pub max_response_bytes: usize,
    /// Whether the endpoint list of the event bus is used in addition.
    pub beside_bus: bool,
    /// The damping of flapping caches.
    pub damping: Damping,
    register: Option<Registration>,
}

/// The validated registration of the proxy.
#[derive(Clone, Debug, PartialEq)]
struct Registration {
    registrant: Registrant,
    /// Whether the file names the registered address; otherwise it is the address for clients.
    has_address: bool,
}

impl Registration {
    /// Whether two registrations are equal, ignoring the number of agents.
    fn is_same(&self, other: &Registration) -> bool {
        let registrant = Registrant {
            agents: self.registrant.agents,
            ..other.registrant.clone()
        };
        self.registrant == registrant && self.has_address == other.has_address
    }
}

impl Consul {
    /// Returns the registration of a proxy with this address for clients, which is used unless the file names another.
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

    /// Whether a running daemon can change to the configuration `new`. The sources of the endpoint list and the
    /// registration must be unchanged.
    pub fn can_reload_as(&self, new: &Consul) -> bool {
        let has_same_registration = match (&self.register, &new.register) {
            (Some(own), Some(new)) => own.is_same(new),
            (own, new) => own.is_none() && new.is_none(),
        };
        self.datacenters().eq(new.datacenters())
            && has_same_registration
            && self.beside_bus == new.beside_bus
    }

    /// Returns the watched data centers; `None` stands for the data center of the agent.
    fn datacenters(&self) -> impl Iterator<Item = Option<&str>> {
        self.options
            .iter()
            .map(|options| options.datacenter.as_deref())
    }

    /// Returns a text for each data center that identifies the endpoint list of its query.
    pub fn scopes(&self) -> Vec<String> {
        let scope = |options: &Options| {
            let datacenter = options.datacenter.as_deref().unwrap_or("");
            let namespace = options.namespace.as_deref().unwrap_or("");
            format!("consul {datacenter} {namespace} {}", options.service)
        };
        self.options.iter().map(scope).collect()
    }
}
