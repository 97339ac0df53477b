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
    pub most_answer: usize,
    /// The bus's list counts too.
    pub beside_bus: bool,
    /// Damping.
    pub damping: Damping,
    register: Option<(Registrant, bool)>,
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
