//! Request Routing Redirection (RFC 7975): where the clients of a peer CDN are sent.

use super::api::PeerFootprint;
use super::content::{path_of, ContentPath};
use super::{footprint, is_loop, Identity, Response};
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

/// Where a client is sent: here if we are ready and reach it, else to the first peer CDN not in the path that does.
fn target<'a>(
    id: &'a Identity,
    footprints: &[PeerFootprint],
    ready: bool,
    cdn_path: &[Value],
    client: Ipv4Addr,
) -> Option<Target<'a>> {
    let within =
        |networks: &[footprint::Network]| networks.iter().find(|n| n.contains(client)).copied();
    if let Some(network) = within(&id.footprint).filter(|_| ready) {
        return Some(Target {
            network,
            base: &id.base,
        });
    }
    let unseen = footprints
        .iter()
        .filter(|known| !cdn_path.iter().any(|provider| *provider == known.provider));
    let mut reached = unseen.filter_map(|known| Some((known, within(&known.networks)?)));
    let (known, network) = reached.next()?;
    let peer = id
        .peers
        .iter()
        .find(|peer| peer.provider == known.provider)?;
    Some(Target {
        network,
        base: &peer.content,
    })
}

/// Answers a redirection request: to our own content where the client lies in our footprint and we can serve,
/// else to a peer CDN that said it reaches the client.
pub(super) fn answer(
    id: &Identity,
    footprints: &[PeerFootprint],
    ready: bool,
    request: &Value,
) -> Response {
    let Some(cdn_path) = request["cdn-path"].as_array() else {
        return error(400, "cdn-path is missing");
    };
    if is_loop(&request["cdn-path"], &id.provider) {
        return error(502, "a loop");
    }
    if request["max-hops"]
        .as_u64()
        .is_some_and(|max_hops| cdn_path.len() as u64 > max_hops)
    {
        return error(503, "too many hops");
    }
    if request["dns"].is_object() {
        return error(506, "redirection by DNS is not supported");
    }
    let http = &request["http"];
    let (Some(uri), Some(client)) = (http["cs-uri"].as_str(), http["c-ip"].as_str()) else {
        return error(400, "http, cs-uri or c-ip is missing");
    };
    if http["cs-method"].as_str().is_some_and(|m| m != "GET") || !uri.starts_with("http://") {
        return error(505, "content is delivered by GET over http");
    }
    let content = ContentPath::read(path_of(uri))
        .filter(|content| id.classes.iter().any(|class| class.0 == content.class));
    let Some(content) = content else {
        return error(500, "the URI names no content of ours");
    };
    let Ok(client) = client.parse::<Ipv4Addr>() else {
        return error(400, "c-ip is no IPv4 address");
    };
    let Some(target) = target(id, footprints, ready, cdn_path, client) else {
        return error(504, "nothing here can serve this client");
    };
    let Target { network, base } = target;
    let ContentPath {
        class,
        object,
        part,
    } = content;
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
