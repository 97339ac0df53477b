//! How catalog instances become caches: where each property is found, and its default.
//!
//! Operators name the properties in their catalog as they like, so every key is a setting.

mod endpoint;
mod instance;

use crate::error::{KeyError, ValueError};
use crate::schema::Field;

/// What identifies a cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// The id of the service instance. Consul keeps it unique per agent only; beyond that the operators have to.
    #[default]
    Service,
    /// The name of the node: one cache per node.
    Node,
    /// Both, as `NODE/SERVICE`.
    NodeAndService,
}

/// The keys of a service's `Meta` that are read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetaKeys {
    /// Zone.
    pub zone: String,
    /// Kind.
    pub kind: String,
    /// Cell: caches that share the set of keys they have seen.
    pub cell: String,
    /// Capacity, in concurrent transfers at full rate; without it the service's weights count.
    pub capacity: String,
    /// Start time, in Unix milliseconds.
    pub started_ms: String,
}

impl Default for MetaKeys {
    fn default() -> Self {
        MetaKeys {
            zone: "az".to_owned(),
            kind: "model".to_owned(),
            cell: "pod_group".to_owned(),
            capacity: "capacity_hint".to_owned(),
            started_ms: "boot_ms".to_owned(),
        }
    }
}

/// How instances are mapped to caches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mapping {
    /// What identifies a cache.
    pub identity: Identity,
    /// The keys of `Meta`.
    pub keys: MetaKeys,
    /// Zone of an instance whose `Meta` names none.
    pub zone: String,
    /// Kind of an instance whose `Meta` names none.
    pub kind: String,
    /// Zones of the deployment; empty: any zone is accepted.
    pub zones: Vec<String>,
    /// The tagged address to use, such as `lan_ipv4` or `wan`; none: the service's address, or its node's.
    pub tagged_address: Option<String>,
}

/// The part of an instance that an identity is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdPart {
    Node,
    Service,
}

/// A part of an identity that can't be read.
struct IdError {
    part: IdPart,
    error: ValueError,
}

impl Mapping {
    /// The id of a catalog entry's cache.
    pub(crate) fn catalog_uid(
        &self,
        node: &Field<String>,
        service: &Field<String>,
    ) -> Result<String, KeyError> {
        self.uid(node, service).map_err(|IdError { part, error }| {
            let key = match part {
                IdPart::Node => "Node",
                IdPart::Service => "ServiceID",
            };
            KeyError::new(key, error)
        })
    }

    /// The id of a cache, by the name of its node and the id of its service instance.
    fn uid(&self, node: &Field<String>, service: &Field<String>) -> Result<String, IdError> {
        let node = || id_text(IdPart::Node, node);
        let service = || id_text(IdPart::Service, service);
        match self.identity {
            Identity::Service => Ok(service()?.to_owned()),
            Identity::Node => Ok(node()?.to_owned()),
            Identity::NodeAndService => Ok(format!("{}/{}", node()?, service()?)),
        }
    }
}

fn id_text(part: IdPart, field: &Field<String>) -> Result<&str, IdError> {
    match field.required() {
        Ok(text) => Ok(text),
        Err(error) => Err(IdError { part, error }),
    }
}
