//! Evaluates the health checks of an instance.

use crate::error::KeyError;
use crate::schema::{Check, Field, Instance};
use linnetknot_discovery::Reason;

const PASSING: &str = "passing";
const WARNING: &str = "warning";
/// Prefixes of the ids of the checks that Consul adds for the maintenance mode of a node and of a service. The notes of
/// these checks contain the operator's reason.
const NODE_MAINTENANCE: &str = "_node_maintenance";
const SERVICE_MAINTENANCE: &str = "_service_maintenance";
/// Id of the node check that Consul's gossip maintains.
const NODE_HEALTH: &str = "serfHealth";

/// The fields of a check that are used.
struct CheckStatus<'a> {
    id: &'a str,
    status: &'a str,
    notes: &'a str,
}

/// The checks of an instance.
pub(crate) struct Checks<'a>(Vec<CheckStatus<'a>>);

impl<'a> Checks<'a> {
    /// Parses the checks of an instance. The status of each check is required; its id and notes are optional, as they
    /// only make the reason more specific.
    pub(crate) fn parse(instance: &'a Instance) -> Result<Self, KeyError> {
        let checks = instance
            .checks
            .value()
            .map_err(|error| KeyError::new("Checks", error))?;
        checks
            .into_iter()
            .flatten()
            .enumerate()
            .map(|(n, check)| check_status(n, check))
            .collect::<Result<_, _>>()
            .map(Checks)
    }

    /// Returns the reason why the instance must not get new work, if a check is critical. The checks of maintenance
    /// modes take precedence, because they give the most specific reason.
    pub(crate) fn failure_reason(&self) -> Option<Reason> {
        let failing: Vec<_> = self
            .0
            .iter()
            .filter(|check| !matches!(check.status, PASSING | WARNING))
            .collect();
        let find = |matches: &dyn Fn(&str) -> bool| failing.iter().find(|c| matches(c.id));
        if let Some(check) = find(&|id| id.starts_with(NODE_MAINTENANCE)) {
            return Some(Reason::NodeMaintenance(check.notes.to_owned()));
        }
        if let Some(check) = find(&|id| id.starts_with(SERVICE_MAINTENANCE)) {
            return Some(Reason::ServiceMaintenance(check.notes.to_owned()));
        }
        if find(&|id| id == NODE_HEALTH).is_some() {
            return Some(Reason::NodeFailed);
        }
        let check = failing.first()?;
        Some(Reason::Check(check.id.to_owned()))
    }

    /// Returns the id of the first check that is in the warning state.
    pub(crate) fn first_warning(&self) -> Option<&'a str> {
        let warning = self.0.iter().find(|check| check.status == WARNING)?;
        Some(warning.id)
    }
}

/// Parses one check. `n` is its position in the list.
fn check_status(n: usize, check: &Field<Check>) -> Result<CheckStatus<'_>, KeyError> {
    let check = check
        .required()
        .map_err(|error| KeyError::new(format!("Checks[{n}]"), error))?;
    let status = check
        .status
        .required()
        .map_err(|error| KeyError::new(format!("Checks[{n}].Status"), error))?;
    Ok(CheckStatus {
        id: check.id.valid().map_or("", String::as_str),
        status,
        notes: check.notes.valid().map_or("", String::as_str),
    })
}
