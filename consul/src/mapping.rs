//! How a catalogue's instances become boxes: where each property is found, and what it is where nothing is said.
//! A catalogue made by others has its own words, so every name is a setting.

use crate::schema::{Checks, Field, Instance, Node, Service, SkippedInstance, Weights, MISSING};
use linnetknot::{Micros, Server, State};
use linnetknot_discovery::{server_id, Entry, Reason, Report};
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
        MetaKeys {
            zone,
            kind,
            cell,
            capacity,
            started_ms,
        }
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

/// The part of an instance in which a key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    Node,
    Service,
}

/// The longest id of a box.
const MAX_ID: usize = 128;

/// Whether an id can stand in the lists of fields that boxes are sent.
fn is_usable(uid: &str) -> bool {
    let sound = |b: u8| b.is_ascii_graphic() && !matches!(b, b',' | b'=' | b'+');
    !uid.is_empty() && uid.len() <= MAX_ID && uid.bytes().all(sound)
}

/// What a service's `Meta` says of a box.
struct Meta<'a> {
    uid: &'a str,
    values: &'a BTreeMap<String, Field<String>>,
}

impl Meta<'_> {
    fn bad(&self, key: &str, why: String) -> SkippedInstance {
        SkippedInstance {
            uid: self.uid.to_owned(),
            key: format!("Service.Meta.{key}"),
            why,
        }
    }

    fn text(&self, key: &str) -> Result<Option<&str>, SkippedInstance> {
        let text = self.values.get(key).map_or(Ok(None), Field::value);
        text.map(|text| text.map(String::as_str))
            .map_err(|why| self.bad(key, why))
    }

    fn text_or(&self, key: &str, default: &str) -> Result<String, SkippedInstance> {
        Ok(self.text(key)?.unwrap_or(default).to_owned())
    }

    /// A figure: finite and not negative.
    fn number(&self, key: &str) -> Result<Option<f64>, SkippedInstance> {
        let Some(text) = self.text(key)? else {
            return Ok(None);
        };
        let number = text
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|n| n.is_finite() && *n >= 0.0);
        match number {
            Some(number) => Ok(Some(number)),
            None => Err(self.bad(key, format!("'{}' is no figure", text.escape_default()))),
        }
    }
}

/// The weight of a service: its capacity where that is told, else by its weights in Consul.
fn weight(service: &Service, capacity: Option<f64>, warns: bool) -> f64 {
    // Weights that can't be read are as those that are not told: a box with a wrong share is better than none.
    let weigh = |of: fn(&Weights) -> &Field<f64>| {
        service
            .weights
            .if_readable()
            .and_then(|w| of(w).if_readable().copied())
            .unwrap_or(1.0)
    };
    let passing = weigh(|w| &w.passing).max(0.0);
    let warning = weigh(|w| &w.warning);
    match capacity {
        None if warns => warning,
        None => passing,
        Some(capacity) if warns && passing > 0.0 => capacity * warning / passing,
        Some(capacity) => capacity,
    }
}

/// Whether a service of this weight takes work, by its checks, and why.
fn health(checks: &Checks<'_>, weight: f64) -> (State, Reason) {
    if let Some(reason) = checks.fault() {
        return (State::Draining, reason);
    }
    match checks.warning() {
        // Weighed with nothing while it warns: it is to be given nothing.
        Some(check) if weight.is_nan() || weight <= 0.0 => {
            (State::Draining, Reason::Check(check.to_owned()))
        }
        _ => (State::Ready, Reason::Told),
    }
}

impl Mapping {
    /// The id of an instance as a box, or what of it is at fault: the place of `node` or of `service`.
    pub(crate) fn uid(
        &self,
        node: &Field<String>,
        service: &Field<String>,
    ) -> Result<String, (Part, String)> {
        let text = |part, field: &Field<String>| match field.value() {
            Ok(Some(text)) => Ok(text.clone()),
            Ok(None) => Err((part, MISSING.to_owned())),
            Err(why) => Err((part, why)),
        };
        Ok(match self.identity {
            Identity::Service => text(Part::Service, service)?,
            Identity::Node => text(Part::Node, node)?,
            Identity::NodeAndService => {
                format!(
                    "{}/{}",
                    text(Part::Node, node)?,
                    text(Part::Service, service)?
                )
            }
        })
    }

    /// An instance as a report on a box, or the key at fault. Only what this mapping needs can be at fault.
    pub(crate) fn report(&self, i: &Instance) -> Result<Report, SkippedInstance> {
        let (no_node, no_service) = (Node::default(), Service::default());
        let node = i.node.if_readable().unwrap_or(&no_node);
        let service = i.service.if_readable().unwrap_or(&no_service);
        let uid = self.checked_uid(i, node, service)?;
        let bad = |key: &str, why: String| SkippedInstance {
            uid: uid.clone(),
            key: key.to_owned(),
            why,
        };
        let none = BTreeMap::new();
        let values = service
            .meta
            .value()
            .map_err(|why| bad("Service.Meta", why))?
            .unwrap_or(&none);
        let meta = Meta { uid: &uid, values };
        let zone = meta.text_or(&self.keys.zone, &self.zone)?;
        let kind = meta.text_or(&self.keys.kind, &self.kind)?;
        self.check_zone(&meta, &zone)?;
        let endpoint = self
            .endpoint(node, service)
            .map_err(|(key, why)| bad(&key, why))?;
        let checks = i.checks().map_err(|(key, why)| bad(&key, why))?;
        let capacity = meta.number(&self.keys.capacity)?.filter(|n| *n > 0.0);
        let weight = weight(service, capacity, Checks(&checks).warning().is_some());
        let (state, reason) = health(&Checks(&checks), weight);
        let started = meta
            .number(&self.keys.started_ms)?
            .map(|ms| (ms * 1000.0) as Micros);
        let cell = meta.number(&self.keys.cell)?.unwrap_or(0.0) as u64;
        let server = Server {
            id: server_id(&uid),
            zone,
            cell,
            kind,
            weight: if weight > 0.0 { weight } else { 1.0 },
            state,
            started: started.filter(|at| *at > 0),
        };
        Ok(Report {
            entry: Entry {
                server,
                uid,
                endpoint,
            },
            reason,
        })
    }

    /// The id of an instance, if it can be that of a box.
    fn checked_uid(
        &self,
        i: &Instance,
        node: &Node,
        service: &Service,
    ) -> Result<String, SkippedInstance> {
        // A part that can't be read at all is at fault itself, where anything of it is needed.
        let fault = |part: Part, why: String| match (part, i.node.value(), i.service.value()) {
            (Part::Node, Err(why), _) => ("Node", why),
            (Part::Service, _, Err(why)) => ("Service", why),
            (Part::Service, _, Ok(None)) => ("Service", MISSING.to_owned()),
            (Part::Node, ..) => ("Node.Node", why),
            (Part::Service, ..) => ("Service.ID", why),
        };
        let uid = self.uid(&node.node, &service.id).map_err(|(part, why)| {
            let (key, why) = fault(part, why);
            SkippedInstance {
                uid: "?".to_owned(),
                key: key.to_owned(),
                why,
            }
        })?;
        if !is_usable(&uid) {
            let key = if self.identity == Identity::Node {
                "Node.Node"
            } else {
                "Service.ID"
            };
            let why = format!("'{}' can't be the id of a box", uid.escape_default());
            return Err(SkippedInstance {
                uid,
                key: key.to_owned(),
                why,
            });
        }
        Ok(uid)
    }

    /// An error unless the deployment has the zone, where its zones are known.
    fn check_zone(&self, meta: &Meta<'_>, zone: &String) -> Result<(), SkippedInstance> {
        if self.zones.is_empty() || self.zones.contains(zone) {
            return Ok(());
        }
        let known = self.zones.join(", ");
        let why = format!(
            "'{}' is no zone of this deployment ({known})",
            zone.escape_default()
        );
        Err(meta.bad(&self.keys.zone, why))
    }

    fn endpoint(&self, node: &Node, service: &Service) -> Result<SocketAddr, (String, String)> {
        let (mut address, mut key) = (None, String::new());
        let mut port = (&service.port, "Service.Port".to_owned());
        if let Some(tag) = self.tagged_address.as_deref() {
            let at = |part: &str, why| (format!("{part}.TaggedAddresses.{tag}"), why);
            let own = service
                .tagged_addresses
                .value()
                .map_err(|why| at("Service", why))?;
            let own = own
                .and_then(|all| all.get(tag))
                .map_or(Ok(None), Field::value);
            if let Some(tagged) = own.map_err(|why| at("Service", why))? {
                key = format!("Service.TaggedAddresses.{tag}.Address");
                address = tagged.address.value().map_err(|why| (key.clone(), why))?;
                port = (&tagged.port, format!("Service.TaggedAddresses.{tag}.Port"));
            } else {
                let of_node = node
                    .tagged_addresses
                    .value()
                    .map_err(|why| at("Node", why))?;
                let of_node = of_node
                    .and_then(|all| all.get(tag))
                    .map_or(Ok(None), Field::value);
                address = of_node.map_err(|why| at("Node", why))?;
                key = format!("Node.TaggedAddresses.{tag}");
            }
        }
        if address.is_none() {
            let own = service
                .address
                .value()
                .map_err(|why| ("Service.Address".to_owned(), why))?;
            address = own.filter(|a| !a.is_empty());
            key = "Service.Address".to_owned();
        }
        if address.is_none() {
            key = "Node.Address".to_owned();
            address = node.address.value().map_err(|why| (key.clone(), why))?;
        }
        let address = address.ok_or((key.clone(), MISSING.to_owned()))?;
        let ip: IpAddr = address.parse().map_err(|_| {
            (
                key.clone(),
                format!(
                    "'{}' is no IP address, and names are not looked up",
                    address.escape_default()
                ),
            )
        })?;
        if ip.is_unspecified() || ip.is_multicast() {
            return Err((key, format!("{ip} is no address of a box")));
        }
        let (port, key) = port;
        let number = port.value().map_err(|why| (key.clone(), why))?;
        let port = number
            .and_then(|p| u16::try_from(*p).ok())
            .filter(|p| *p > 0);
        Ok(SocketAddr::new(
            ip,
            port.ok_or((key, "it is no port to connect to".to_owned()))?,
        ))
    }
}
