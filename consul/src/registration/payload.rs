//! JSON bodies of the register and check update calls of the agent API.

use super::Registrant;
use serde::Serialize;
use std::collections::BTreeMap;

/// Texts that Consul displays with the check. They are part of the registered data and must not change.
const CHECK_NAME: &str = "can serve";
const OUTPUT_READY: &str = "serving";
const OUTPUT_NOT_READY: &str = "no boxes to send to, or about to end";

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Register<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    tags: &'a [String],
    meta: &'a BTreeMap<String, String>,
    check: TtlCheck,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct TtlCheck {
    #[serde(rename = "CheckID")]
    check_id: String,
    name: &'static str,
    #[serde(rename = "TTL")]
    ttl: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    deregister_critical_service_after: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct CheckUpdate {
    status: &'static str,
    output: &'static str,
}

/// Encodes the body of `PUT /v1/agent/service/register`.
pub(super) fn register(registrant: &Registrant, ready: bool) -> Vec<u8> {
    let check = TtlCheck {
        check_id: registrant.check_id(),
        name: CHECK_NAME,
        ttl: milliseconds(registrant.ttl_us),
        status: status(ready),
        deregister_critical_service_after: registrant.deregister_after_us.map(milliseconds),
    };
    let body = Register {
        id: &registrant.id,
        name: &registrant.name,
        address: registrant.address.ip().to_string(),
        port: registrant.address.port(),
        tags: &registrant.tags,
        meta: &registrant.meta,
        check,
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Encodes the body of `PUT /v1/agent/check/update/ID`.
pub(super) fn check_update(ready: bool) -> Vec<u8> {
    let output = if ready {
        OUTPUT_READY
    } else {
        OUTPUT_NOT_READY
    };
    let body = CheckUpdate {
        status: status(ready),
        output,
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

fn status(ready: bool) -> &'static str {
    if ready {
        "passing"
    } else {
        "critical"
    }
}

/// Formats a duration in Consul's notation.
fn milliseconds(us: u64) -> String {
    format!("{}ms", us / 1000)
}
