//! Request Routing Redirection (RFC 7975): where a neighbour's clients are sent.

use super::{content_path, footprint, looped, path_of, Identity, Response};
use serde_json::{json, Value};
use std::net::Ipv4Addr;

const PTYPE: &str = "redirection-response";

/// A response that tells why there is no redirection.
pub(super) fn error(code: u16, reason: &str) -> Response {
    // The response itself went well: what went wrong stands in its payload.
    Response::payload(
        200,
        PTYPE,
        &json!({"error": {"error-code": code, "reason": reason}}),
    )
}

/// Where a client is sent.
struct Target<'a> {
    /// The network of the footprint that its address lies in.
    network: footprint::Network,
    /// What the URL begins with.
    base: &'a str,
}

/// Where a client is sent: here if we are ready and reach it, else to the first neighbour not in the path that does.
fn target<'a>(
    id: &'a Identity,
    heard: &[(String, Vec<footprint::Network>)],
    ready: bool,
    cdn_path: &[Value],
    client: Ipv4Addr,
) -> Option<Target<'a>> {
    let within =
        |networks: &[footprint::Network]| networks.iter().find(|n| n.holds(client)).copied();
    if let Some(network) = within(&id.footprint).filter(|_| ready) {
        return Some(Target {
            network,
            base: &id.base,
        });
    }
    let unseen = heard
        .iter()
        .filter(|(provider, _)| !cdn_path.iter().any(|p| p == provider));
    let mut reached = unseen.filter_map(|(provider, networks)| Some((provider, within(networks)?)));
    let (provider, network) = reached.next()?;
    let neighbour = id.neighbours.iter().find(|n| n.provider == *provider)?;
    Some(Target {
        network,
        base: &neighbour.content,
    })
}

/// Answers a redirection request: to our own content where the client lies in our footprint and we can serve,
/// else to a neighbour that said it reaches the client.
pub(super) fn answer(
    id: &Identity,
    heard: &[(String, Vec<footprint::Network>)],
    ready: bool,
    asked: &Value,
) -> Response {
    let Some(cdn_path) = asked["cdn-path"].as_array() else {
        return error(400, "cdn-path is missing");
    };
    if looped(&asked["cdn-path"], &id.provider) {
        return error(502, "a loop");
    }
    if asked["max-hops"]
        .as_u64()
        .is_some_and(|most| cdn_path.len() as u64 > most)
    {
        return error(503, "too many hops");
    }
    if asked["dns"].is_object() {
        return error(506, "redirection by DNS is not supported");
    }
    let http = &asked["http"];
    let (Some(uri), Some(client)) = (http["cs-uri"].as_str(), http["c-ip"].as_str()) else {
        return error(400, "http, cs-uri or c-ip is missing");
    };
    if http["cs-method"].as_str().is_some_and(|m| m != "GET") || !uri.starts_with("http://") {
        return error(505, "content is delivered by GET over http");
    }
    let Some((class, object, part)) =
        content_path(path_of(uri)).filter(|c| id.classes.iter().any(|k| k.0 == c.0))
    else {
        return error(500, "the URI names no content of ours");
    };
    let Ok(client) = client.parse::<Ipv4Addr>() else {
        return error(400, "c-ip is no IPv4 address");
    };
    let Some(target) = target(id, heard, ready, cdn_path, client) else {
        return error(504, "nothing here can serve this client");
    };
    let Target { network, base } = target;
    let query = uri
        .split_once('?')
        .map_or(String::new(), |(_, query)| format!("?{query}"));
    let response = json!({
        "http": {
            "sc-status": 302, "sc-version": "HTTP/1.1", "sc-reason": "Found", "cs-uri": uri,
            "sc-(location)": format!("{base}/content/{class}/{object}/{part}{query}"),
        },
        "scope": {"iprange": network.to_string()},
    });
    Response::payload(200, PTYPE, &response)
}
