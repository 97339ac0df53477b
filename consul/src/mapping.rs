//! Maps service instances to caches: the key of each property and its default.
//!
//! Operators choose the names of the properties in their catalog, so every key is configurable.

mod endpoint;
mod instance;

use crate::error::{KeyError, ValueError};
use crate::schema::Field;

/// The part of an instance that identifies a cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// The id of the service instance. Consul ensures that the id is unique per agent; the operators have to ensure
    /// that it is unique across agents.
    #[default]
    Service,
    /// The name of the node, for deployments with one cache per node.
    Node,
    /// The name of the node and the id of the service instance, as `NODE/SERVICE`.
    NodeAndService,
}

/// The keys of the properties in the `Meta` of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetaKeys {
    /// Key whose value is the zone of the cache.
    pub zone: String,
    /// Key whose value is the kind of the cache.
    pub kind: String,
    /// Key of the cell. Caches of the same cell share the idempotency keys that they have seen.
    pub cell: String,
    /// Key of the capacity, in concurrent transfers at full rate. If an instance has no capacity, the weights of its
    /// service are used.
    pub capacity: String,
    /// Key of the start time, in Unix milliseconds.
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

/// Configuration of how instances are mapped to caches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mapping {
    /// The part of an instance that identifies a cache.
    pub identity: Identity,
    /// The keys of the properties in `Meta`.
    pub keys: MetaKeys,
    /// Zone of an instance whose `Meta` has no zone.
    pub zone: String,
    /// Kind of an instance whose `Meta` has no kind.
    pub kind: String,
    /// Zones of the deployment. If empty, any zone is accepted.
    pub zones: Vec<String>,
    /// Tag of the address to use, such as `lan_ipv4` or `wan`. With `None` the address of the service is used, or the
    /// address of its node if the service has none.
    pub tagged_address: Option<String>,
}

/// The part of a cache's identity that an error is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdPart {
    Node,
    Service,
}

/// The error of a node name or service id that can't be read.
struct IdError {
    part: IdPart,
    error: ValueError,
}

impl Mapping {
    /// Returns the id of the cache of a catalog entry.
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

    /// Returns the id of a cache, given the name of its node and the id of its service instance.
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
