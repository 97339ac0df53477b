//! Determines the address of a cache: the configured tagged address, else the address of the service, else the address
//! of its node. Host names are not resolved.

use super::Mapping;
use crate::error::{KeyError, ValueError};
use crate::schema::{Field, Node, Service, TaggedAddress};
use std::net::{IpAddr, SocketAddr};

/// The text of an address and the key that it was read from.
struct AddressText<'a> {
    key: String,
    text: &'a str,
}

/// The field of a port and its key.
struct PortField<'a> {
    key: String,
    field: &'a Field<i64>,
}

/// The address and port of an instance under the configured tag.
#[derive(Default)]
struct TaggedEndpoint<'a> {
    address: Option<AddressText<'a>>,
    port: Option<PortField<'a>>,
}

impl Mapping {
    /// Returns the address of an instance.
    pub(super) fn endpoint(&self, node: &Node, service: &Service) -> Result<SocketAddr, KeyError> {
        let tagged = match self.tagged_address.as_deref() {
            Some(tag) => TaggedEndpoint::find(tag, node, service)?,
            None => TaggedEndpoint::default(),
        };
        let address = match tagged.address {
            Some(address) => address,
            None => default_address(node, service)?,
        };
        let ip = address.parse()?;
        let port = tagged.port.unwrap_or(PortField {
            key: "Service.Port".to_owned(),
            field: &service.port,
        });
        Ok(SocketAddr::new(ip, port.parse()?))
    }
}

impl<'a> TaggedEndpoint<'a> {
    /// Returns the tagged address of the service, else the tagged address of its node.
    fn find(tag: &str, node: &'a Node, service: &'a Service) -> Result<Self, KeyError> {
        match service_tagged(tag, service)? {
            Some(tagged) => TaggedEndpoint::of_service(tag, tagged),
            None => TaggedEndpoint::of_node(tag, node),
        }
    }

    fn of_service(tag: &str, tagged: &'a TaggedAddress) -> Result<Self, KeyError> {
        let key = format!("Service.TaggedAddresses.{tag}.Address");
        let port = PortField {
            key: format!("Service.TaggedAddresses.{tag}.Port"),
            field: &tagged.port,
        };
        Ok(TaggedEndpoint {
            address: address_text(key, &tagged.address)?,
            port: Some(port),
        })
    }

    fn of_node(tag: &str, node: &'a Node) -> Result<Self, KeyError> {
        let key = format!("Node.TaggedAddresses.{tag}");
        let addresses = match node.tagged_addresses.value() {
            Ok(addresses) => addresses,
            Err(error) => return Err(KeyError::new(key, error)),
        };
        let Some(field) = addresses.and_then(|addresses| addresses.get(tag)) else {
            return Ok(TaggedEndpoint::default());
        };
        Ok(TaggedEndpoint {
            address: address_text(key, field)?,
            port: None,
        })
    }
}

/// Returns the tagged address of the service, which includes a port.
fn service_tagged<'a>(
    tag: &str,
    service: &'a Service,
) -> Result<Option<&'a TaggedAddress>, KeyError> {
    let at_key = |error| KeyError::new(format!("Service.TaggedAddresses.{tag}"), error);
    let addresses = service.tagged_addresses.value().map_err(at_key)?;
    match addresses.and_then(|addresses| addresses.get(tag)) {
        Some(field) => field.value().map_err(at_key),
        None => Ok(None),
    }
}

/// Returns the address of the service, else the address of its node.
fn default_address<'a>(node: &'a Node, service: &'a Service) -> Result<AddressText<'a>, KeyError> {
    let own = address_text("Service.Address".to_owned(), &service.address)?;
    if let Some(address) = own.filter(|address| !address.text.is_empty()) {
        return Ok(address);
    }
    let key = "Node.Address".to_owned();
    match node.address.required() {
        Ok(text) => Ok(AddressText { key, text }),
        Err(error) => Err(KeyError::new(key, error)),
    }
}

fn address_text(key: String, field: &Field<String>) -> Result<Option<AddressText<'_>>, KeyError> {
    match field.value() {
        Ok(text) => Ok(text.map(|text| AddressText { key, text })),
        Err(error) => Err(KeyError::new(key, error)),
    }
}

impl AddressText<'_> {
    fn parse(self) -> Result<IpAddr, KeyError> {
        let Ok(ip) = self.text.parse::<IpAddr>() else {
            let error = ValueError::NotAnIpAddress(self.text.to_owned());
            return Err(KeyError::new(self.key, error));
        };
        if ip.is_unspecified() || ip.is_multicast() {
            return Err(KeyError::new(self.key, ValueError::UnusableAddress(ip)));
        }
        Ok(ip)
    }
}

impl PortField<'_> {
    fn parse(self) -> Result<u16, KeyError> {
        let number = match self.field.value() {
            Ok(number) => number,
            Err(error) => return Err(KeyError::new(self.key, error)),
        };
        match number.map(|number| u16::try_from(*number)) {
            Some(Ok(port)) if port > 0 => Ok(port),
            _ => Err(KeyError::new(self.key, ValueError::InvalidPort)),
        }
    }
}
