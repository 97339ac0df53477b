//! Maps an instance of a health response to a report on a cache.

use super::{IdError, IdPart, Identity, Mapping};
use crate::checks::Checks;
use crate::error::{KeyError, SkippedInstance, ValueError};
use crate::schema::{Field, Instance, Node, Service, Weights, UNKNOWN_ID};
use linnetknot::{Micros, Server, State};
use linnetknot_discovery::{server_id, Entry, Reason, Report};
use std::collections::BTreeMap;

const MAX_ID_BYTES: usize = 128;
/// Weight of a service without a weight in Consul.
const DEFAULT_WEIGHT: f64 = 1.0;

impl Mapping {
    /// Maps an instance to a report. Invalid values of keys that the mapping does not use are ignored.
    pub(crate) fn report(&self, instance: &Instance) -> Result<Report, SkippedInstance> {
        let (no_node, no_service) = (Node::default(), Service::default());
        let node = instance.node.valid().unwrap_or(&no_node);
        let service = instance.service.valid().unwrap_or(&no_service);
        let uid = self.instance_uid(instance, node, service)?;
        match self.identified_report(instance, node, service, &uid) {
            Ok(report) => Ok(report),
            Err(fault) => Err(SkippedInstance { uid, fault }),
        }
    }

    /// Maps an instance whose id is known to a report.
    fn identified_report(
        &self,
        instance: &Instance,
        node: &Node,
        service: &Service,
        uid: &str,
    ) -> Result<Report, KeyError> {
        let meta = Meta::parse(service)?;
        let zone = meta.text(&self.keys.zone)?.unwrap_or(&self.zone);
        let kind = meta.text(&self.keys.kind)?.unwrap_or(&self.kind);
        self.check_zone(zone)?;
        let endpoint = self.endpoint(node, service)?;
        let checks = Checks::parse(instance)?;
        let capacity = meta.number(&self.keys.capacity)?;
        let capacity = capacity.filter(|capacity| *capacity > 0.0);
        let weight = weight(service, capacity, checks.first_warning().is_some());
        let (state, reason) = health(&checks, weight);
        let started_ms = meta.number(&self.keys.started_ms)?;
        let started = started_ms.map(|ms| (ms * 1000.0) as Micros);
        let cell = meta.number(&self.keys.cell)?.unwrap_or(0.0) as u64;
        let server = Server {
            id: server_id(uid),
            zone: zone.to_owned(),
            cell,
            kind: kind.to_owned(),
            weight: if weight > 0.0 { weight } else { DEFAULT_WEIGHT },
            state,
            started: started.filter(|at| *at > 0),
        };
        let entry = Entry {
            server,
            uid: uid.to_owned(),
            endpoint,
        };
        Ok(Report { entry, reason })
    }

    /// Returns the id of the cache of an instance, or an error if it is missing or invalid.
    fn instance_uid(
        &self,
        instance: &Instance,
        node: &Node,
        service: &Service,
    ) -> Result<String, SkippedInstance> {
        let uid = self
            .uid(&node.node, &service.id)
            .map_err(|error| SkippedInstance {
                uid: UNKNOWN_ID.to_owned(),
                fault: id_fault(instance, error),
            })?;
        if is_valid_id(&uid) {
            return Ok(uid);
        }
        let key = match self.identity {
            Identity::Node => "Node.Node",
            Identity::Service | Identity::NodeAndService => "Service.ID",
        };
        let fault = KeyError::new(key, ValueError::InvalidId(uid.clone()));
        Err(SkippedInstance { uid, fault })
    }

    /// Returns an error if the zones of the deployment are configured and do not include the zone.
    fn check_zone(&self, zone: &str) -> Result<(), KeyError> {
        if self.zones.is_empty() || self.zones.iter().any(|known| known == zone) {
            return Ok(());
        }
        let error = ValueError::UnknownZone {
            zone: zone.to_owned(),
            known: self.zones.clone(),
        };
        Err(meta_error(&self.keys.zone, error))
    }
}

/// Returns the error for an identity that can't be read. Its key is `Node` or `Service` if the object with that key is
/// itself malformed.
fn id_fault(instance: &Instance, IdError { part, error }: IdError) -> KeyError {
    match (part, instance.node.value(), instance.service.required()) {
        (IdPart::Node, Err(error), _) => KeyError::new("Node", error),
        (IdPart::Service, _, Err(error)) => KeyError::new("Service", error),
        (IdPart::Node, ..) => KeyError::new("Node.Node", error),
        (IdPart::Service, ..) => KeyError::new("Service.ID", error),
    }
}

/// Returns whether an id is valid in the list fields that are sent to caches, where `,`, `=` and `+` are separators.
fn is_valid_id(uid: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'=' | b'+');
    !uid.is_empty() && uid.len() <= MAX_ID_BYTES && uid.bytes().all(is_valid)
}

/// The `Meta` of a service.
struct Meta<'a>(Option<&'a BTreeMap<String, Field<String>>>);

impl<'a> Meta<'a> {
    fn parse(service: &'a Service) -> Result<Self, KeyError> {
        match service.meta.value() {
            Ok(values) => Ok(Meta(values)),
            Err(error) => Err(KeyError::new("Service.Meta", error)),
        }
    }

    fn text(&self, key: &str) -> Result<Option<&'a str>, KeyError> {
        let Some(field) = self.0.and_then(|values| values.get(key)) else {
            return Ok(None);
        };
        match field.value() {
            Ok(text) => Ok(text.map(String::as_str)),
            Err(error) => Err(meta_error(key, error)),
        }
    }

    /// Returns the value of a key as a finite, non-negative number.
    fn number(&self, key: &str) -> Result<Option<f64>, KeyError> {
        let Some(text) = self.text(key)? else {
            return Ok(None);
        };
        match text.trim().parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            _ => Err(meta_error(key, ValueError::NotANumber(text.to_owned()))),
        }
    }
}

fn meta_error(key: &str, error: ValueError) -> KeyError {
    KeyError::new(format!("Service.Meta.{key}"), error)
}

/// Returns the weight of a service: its capacity, or its weight in Consul if it has no capacity. In the warning state
/// the capacity is scaled by the ratio of the warning weight to the passing weight.
fn weight(service: &Service, capacity: Option<f64>, in_warning: bool) -> f64 {
    // Malformed weights count as absent, because a cache with an inaccurate weight is better than a missing cache.
    let weight_field = |select: fn(&Weights) -> &Field<f64>| {
        let weights = service.weights.valid()?;
        select(weights).valid().copied()
    };
    let passing = weight_field(|weights| &weights.passing).unwrap_or(DEFAULT_WEIGHT);
    let passing = passing.max(0.0);
    let warning = weight_field(|weights| &weights.warning).unwrap_or(DEFAULT_WEIGHT);
    match capacity {
        None if in_warning => warning,
        None => passing,
        Some(capacity) if in_warning && passing > 0.0 => capacity * warning / passing,
        Some(capacity) => capacity,
    }
}

/// Returns the state of an instance according to its checks and its weight, and the reason for it.
fn health(checks: &Checks<'_>, weight: f64) -> (State, Reason) {
    if let Some(reason) = checks.failure_reason() {
        return (State::Draining, reason);
    }
    match checks.first_warning() {
        // With a warning weight of 0 the instance gets no new requests in the warning state.
        Some(check) if weight.is_nan() || weight <= 0.0 => {
            (State::Draining, Reason::Check(check.to_owned()))
        }
        _ => (State::Ready, Reason::Reported),
    }
}
