//! How a catalogue's instances become boxes: where each property is found, and what it is where nothing is said.
//! A catalogue made by others has its own words, so every name is a setting.

use crate::answer::{Checks, Instance, Skipped};
use linnetknot::{Micros, Server, State};
use linnetknot_membership::{server_id, Entry, Reason, Report};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// What names a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// The id of the service instance. Unique on one agent; elsewhere only if the operators see to it.
    #[default]
    Service,
    /// The name of the node: one box a node.
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
    /// Cell: boxes that share which keys they have seen.
    pub cell: String,
    /// Capacity, in transfers at full pace; without it the service's weights hold.
    pub capacity: String,
    /// Unix millisecond of its start.
    pub started_ms: String,
}

impl Default for MetaKeys {
    fn default() -> Self {
        let [zone, kind, cell, capacity, started_ms] =
            ["az", "model", "pod_group", "capacity_hint", "boot_ms"].map(str::to_owned);
        MetaKeys { zone, kind, cell, capacity, started_ms }
    }
}

/// How instances are read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mapping {
    /// What names a box.
    pub identity: Identity,
    /// The keys of `Meta`.
    pub keys: MetaKeys,
    /// Zone of an instance whose `Meta` names none.
    pub zone: String,
    /// Kind of an instance whose `Meta` names none.
    pub kind: String,
    /// Zones that the deployment has; empty: any will do.
    pub zones: Vec<String>,
    /// The tagged address to use, such as `lan_ipv4` or `wan`; none: the service's address, or its node's.
    pub tagged_address: Option<String>,
}

/// The longest id of a box.
const MOST_ID: usize = 128;

/// Whether an id can stand in the lists of fields that boxes are sent.
fn is_usable(uid: &str) -> bool {
    let sound = |b: u8| b.is_ascii_graphic() && !matches!(b, b',' | b'=' | b'+');
    !uid.is_empty() && uid.len() <= MOST_ID && uid.bytes().all(sound)
}

impl Mapping {
    /// The id of an instance as a box.
    pub(crate) fn uid(&self, node: &str, service: &str) -> String {
        match self.identity {
            Identity::Service => service.to_owned(),
            Identity::Node => node.to_owned(),
            Identity::NodeAndService => format!("{node}/{service}"),
        }
    }

    /// An instance as a word on a box, or the key at fault.
    pub(crate) fn report(&self, i: &Instance) -> Result<Report, Skipped> {
        let (node, service) = (&i.node, &i.service);
        let uid = self.uid(&node.node, &service.id);
        let bad = |key: &str, why: String| Skipped { uid: uid.clone(), key: key.to_owned(), why };
        if !is_usable(&uid) {
            let key = if self.identity == Identity::Node { "Node.Node" } else { "Service.ID" };
            return Err(bad(key, format!("'{}' can't be the id of a box", uid.escape_default())));
        }
        let none = BTreeMap::new();
        let meta = service.meta.as_ref().unwrap_or(&none);
        let number = |key: &str| match meta.get(key).map(|text| (text, text.trim().parse::<f64>())) {
            None => Ok(None),
            Some((_, Ok(n))) if n.is_finite() && n >= 0.0 => Ok(Some(n)),
            Some((text, _)) => {
                Err(bad(&format!("Service.Meta.{key}"), format!("'{}' is no figure", text.escape_default())))
            }
        };
        let word = |key: &str, default: &str| meta.get(key).map_or(default, String::as_str).to_owned();
        let (zone, kind) = (word(&self.keys.zone, &self.zone), word(&self.keys.kind, &self.kind));
        if !self.zones.is_empty() && !self.zones.contains(&zone) {
            let known = self.zones.join(", ");
            let why = format!("'{}' is no zone of this deployment ({known})", zone.escape_default());
            return Err(bad(&format!("Service.Meta.{}", self.keys.zone), why));
        }
        let endpoint = self.endpoint(i).map_err(|(key, why)| bad(key, why))?;
        let checks = i.checks.as_deref().unwrap_or_default();
        let (mut state, mut reason) = match Checks(checks).fault() {
            None => (State::Ready, Reason::Told),
            Some(reason) => (State::Draining, reason),
        };
        let warned = Checks(checks).warning();
        let weights = service.weights.unwrap_or_default();
        let told = number(&self.keys.capacity)?.filter(|n| *n > 0.0);
        let passing = weights.passing.max(0.0);
        let weight = match (told, warned) {
            (None, None) => passing,
            (None, Some(_)) => weights.warning,
            (Some(told), None) => told,
            (Some(told), Some(_)) if passing > 0.0 => told * weights.warning / passing,
            (Some(told), Some(_)) => told,
        };
        if let (Some(check), State::Ready, false) = (warned, state, weight > 0.0) {
            // Weighed with nothing while it warns: it is to be given nothing.
            (state, reason) = (State::Draining, Reason::Check(check.to_owned()));
        }
        let started = number(&self.keys.started_ms)?.map(|ms| (ms * 1000.0) as Micros);
        let cell = number(&self.keys.cell)?.unwrap_or(0.0) as u64;
        let server = Server {
            id: server_id(&uid),
            zone,
            cell,
            kind,
            weight: if weight > 0.0 { weight } else { 1.0 },
            state,
            started: started.filter(|at| *at > 0),
        };
        Ok(Report { entry: Entry { server, uid, endpoint }, reason })
    }

    fn endpoint(&self, i: &Instance) -> Result<SocketAddr, (&'static str, String)> {
        let (node, service) = (&i.node, &i.service);
        let none = BTreeMap::new();
        let tagged = self.tagged_address.as_deref().and_then(|tag| {
            let tagged = service.tagged_addresses.as_ref().unwrap_or(&none).get(tag);
            let own = tagged.map(|t| ("Service.TaggedAddresses", t.address.as_str(), t.port));
            let of_node = node.tagged_addresses.as_ref().and_then(|t| t.get(tag));
            own.or_else(|| of_node.map(|t| ("Node.TaggedAddresses", t.as_str(), service.port)))
        });
        let plain = match service.address.as_deref().filter(|a| !a.is_empty()) {
            Some(address) => ("Service.Address", address, service.port),
            None => ("Node.Address", node.address.as_str(), service.port),
        };
        let (key, address, port) = tagged.unwrap_or(plain);
        let ip: IpAddr = address.parse().map_err(|_| {
            (key, format!("'{}' is no IP address, and names are not looked up", address.escape_default()))
        })?;
        if ip.is_unspecified() || ip.is_multicast() {
            return Err((key, format!("{ip} is no address of a box")));
        }
        let port = u16::try_from(port).ok().filter(|p| *p > 0);
        Ok(SocketAddr::new(ip, port.ok_or(("Service.Port", "it is no port to connect to".to_owned()))?))
    }
}
