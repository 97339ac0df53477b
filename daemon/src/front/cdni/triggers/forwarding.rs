//! Forwards purges as commands to peer CDNs.

use crate::front::cdni::{Identity, PeerCdn, Post};
use serde_json::{json, Value};

const COMMAND: &str = "ci-trigger-command";

/// Returns a purge command for every peer CDN that the command has not passed yet.
pub(super) fn commands_to_peers(id: &Identity, spec: &Value, cdn_path: &[Value]) -> Vec<Post> {
    let mut path = cdn_path.to_vec();
    path.push(json!(id.provider));
    let body = json!({"trigger": spec, "cdn-path": path}).to_string();
    let unseen = id
        .peers
        .iter()
        .filter(|peer| !cdn_path.iter().any(|provider| *provider == peer.provider));
    let command = |peer: &PeerCdn| Post {
        address: peer.address,
        path: peer.triggers.clone(),
        ptype: COMMAND,
        body: body.clone(),
    };
    unseen.map(command).collect()
}

/// Returns the commands that forward a purge to all peer CDNs. The purge must not have come from one of them.
pub(in crate::front::cdni) fn purge_commands(
    id: &Identity,
    object: Option<&str>,
    group: u64,
) -> Vec<Post> {
    let url = |object: &str, class: &str| format!("{}/content/{class}/{object}", id.base);
    let spec = match object {
        Some(object) => {
            let urls: Vec<_> = id
                .classes
                .iter()
                .take(1)
                .map(|(class, _)| url(object, class))
                .collect();
            json!({"type": "purge", "content.urls": urls})
        }
        None => json!({"type": "purge", "content.ccid": [group.to_string()]}),
    };
    commands_to_peers(id, &spec, &[])
}
