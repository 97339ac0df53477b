//! Request Routing Redirection (RFC 7975).

use super::api::PeerFootprint;
use super::content::{path_of, ContentPath};
use super::{footprint, is_loop, Identity, Response};
use serde_json::{json, Value};
use std::net::Ipv4Addr;

const PTYPE: &str = "redirection-response";

/// Returns the response to a redirection request that failed with this error.
pub(super) fn error(code: u16, reason: &str) -> Response {
    // The HTTP status is 200, because the payload contains the error.
    Response::payload(
        200,
        PTYPE,
        &json!({"error": {"error-code": code, "reason": reason}}),
    )
}

/// The CDN to which a client is redirected.
struct Target<'a> {
    /// The network of the footprint that contains the client.
    network: footprint::Network,
    /// The base of the URL to which the client is redirected.
    base: &'a str,
}

/// Returns the target for a client: this CDN if it is ready and its footprint contains the client, otherwise the first
/// peer CDN whose footprint contains the client and that the request has not passed yet.
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

/// The error of a redirection, with a code of the specification.
struct Rejection {
    code: u16,
    reason: &'static str,
}

impl Rejection {
    const fn new(code: u16, reason: &'static str) -> Self {
        Rejection { code, reason }
    }
}

/// A parsed redirection request of a peer CDN.
struct RedirectRequest<'a> {
    /// The CDNs that the request has passed.
    cdn_path: &'a [Value],
    uri: &'a str,
    content: ContentPath<'a>,
    client: Ipv4Addr,
}

impl<'a> RedirectRequest<'a> {
    /// Parses the JSON payload of a redirection request.
    fn read(id: &Identity, request: &'a Value) -> Result<Self, Rejection> {
        let cdn_path = read_cdn_path(id, request)?;
        if request["dns"].is_object() {
            return Err(Rejection::new(506, "redirection by DNS is not supported"));
        }
        let http = &request["http"];
        let (Some(uri), Some(client)) = (http["cs-uri"].as_str(), http["c-ip"].as_str()) else {
            return Err(Rejection::new(400, "http, cs-uri or c-ip is missing"));
        };
        if http["cs-method"].as_str().is_some_and(|m| m != "GET") || !uri.starts_with("http://") {
            return Err(Rejection::new(505, "content is delivered by GET over http"));
        }
        let content = ContentPath::read(path_of(uri))
            .filter(|content| id.classes.iter().any(|class| class.0 == content.class))
            .ok_or(Rejection::new(500, "the URI names no content of ours"))?;
        let client = client
            .parse()
            .map_err(|_| Rejection::new(400, "c-ip is no IPv4 address"))?;
        Ok(RedirectRequest {
            cdn_path,
            uri,
            content,
            client,
        })
    }
}

/// Returns the CDNs that a request has passed, unless they form a loop or are too many.
fn read_cdn_path<'a>(id: &Identity, request: &'a Value) -> Result<&'a [Value], Rejection> {
    let Some(cdn_path) = request["cdn-path"].as_array() else {
        return Err(Rejection::new(400, "cdn-path is missing"));
    };
    if is_loop(&request["cdn-path"], &id.provider) {
        return Err(Rejection::new(502, "a loop"));
    }
    let max_hops = request["max-hops"].as_u64();
    if max_hops.is_some_and(|max_hops| cdn_path.len() as u64 > max_hops) {
        return Err(Rejection::new(503, "too many hops"));
    }
    Ok(cdn_path)
}

/// Responds to a redirection request: redirects to this CDN if it is ready and its footprint contains the client,
/// otherwise to a peer CDN that advertises the network of the client.
pub(super) fn answer(
    id: &Identity,
    footprints: &[PeerFootprint],
    ready: bool,
    request: &Value,
) -> Response {
    match redirection(id, footprints, ready, request) {
        Ok(payload) => Response::payload(200, PTYPE, &payload),
        Err(rejection) => error(rejection.code, rejection.reason),
    }
}

/// Returns the payload of a redirection.
fn redirection(
    id: &Identity,
    footprints: &[PeerFootprint],
    ready: bool,
    request: &Value,
) -> Result<Value, Rejection> {
    let request = RedirectRequest::read(id, request)?;
    let target = target(id, footprints, ready, request.cdn_path, request.client)
        .ok_or(Rejection::new(504, "nothing here can serve this client"))?;
    let Target { network, base } = target;
    let uri = request.uri;
    let ContentPath {
        class,
        object,
        part,
    } = request.content;
    let query = uri
        .split_once('?')
        .map_or(String::new(), |(_, query)| format!("?{query}"));
    Ok(json!({
        "http": {
            "sc-status": 302, "sc-version": "HTTP/1.1", "sc-reason": "Found", "cs-uri": uri,
            "sc-(location)": format!("{base}/content/{class}/{object}/{part}{query}"),
        },
        "scope": {"iprange": network.to_string()},
    }))
}
