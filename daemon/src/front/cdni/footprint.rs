//! Footprint & Capabilities advertisement (RFC 8008).

use super::{Identity, Response};
use serde_json::{json, Value};
use std::fmt;
use std::net::Ipv4Addr;

/// The type of the payload of an advertisement. The specification does not define one.
pub const PTYPE: &str = "fci-advertisement";

/// An IPv4 network: an address and the length of its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    address: u32,
    bits: u8,
}

impl Network {
    /// Parses a network of the form `a.b.c.d/n`.
    pub fn read(text: &str) -> Option<Self> {
        let (address, bits) = text.split_once('/')?;
        let bits = bits.parse().ok().filter(|bits| *bits <= 32)?;
        Some(Network {
            address: address.parse::<Ipv4Addr>().ok()?.into(),
            bits,
        })
    }

    /// Whether the network contains an address.
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        let mask = u32::MAX.checked_shl(32 - u32::from(self.bits)).unwrap_or(0);
        (u32::from(address) ^ self.address) & mask == 0
    }
}

impl fmt::Display for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", Ipv4Addr::from(self.address), self.bits)
    }
}

/// Returns the footprint and capabilities of this CDN as a payload. The payload is empty while this CDN can't serve
/// requests.
pub(super) fn advertisement(id: &Identity, ready: bool) -> Value {
    let networks: Vec<_> = id.footprint.iter().map(Network::to_string).collect();
    let footprints = json!([{"footprint-type": "ipv4cidr", "footprint-value": networks}]);
    let capability = |kind: &str, value: Value| json!({"capability-type": kind, "capability-value": value, "footprints": footprints});
    let capabilities = [
        capability(
            "FCI.DeliveryProtocol",
            json!({"delivery-protocols": ["http/1.1"]}),
        ),
        capability(
            "FCI.RedirectionMode",
            json!({"redirection-modes": ["HTTP-I"]}),
        ),
    ];
    json!({"capabilities": if ready { &capabilities[..] } else { &[] }})
}

/// Returns the response that advertises the footprint of this CDN.
pub(super) fn advertise(id: &Identity, ready: bool) -> Response {
    Response::payload(200, PTYPE, &advertisement(id, ready))
}

/// Returns the networks in a payload to which the peer CDN delivers by HTTP. Footprints of unknown types are ignored.
pub(super) fn read(payload: &Value) -> Option<Vec<Network>> {
    let mut networks = Vec::new();
    for capability in payload["capabilities"].as_array()? {
        let delivers = capability["capability-type"].as_str()? == "FCI.DeliveryProtocol"
            && capability["capability-value"]["delivery-protocols"]
                .as_array()?
                .iter()
                .any(|p| p == "http/1.1");
        for footprint in capability["footprints"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|_| delivers)
        {
            if footprint["footprint-type"] == "ipv4cidr" {
                for value in footprint["footprint-value"].as_array()? {
                    networks.push(Network::read(value.as_str()?)?);
                }
            }
        }
    }
    Some(networks)
}
