//! Requests of a peer CDN to the CDNI listeners of proxies.

use super::Fleet;
use crate::clients::{call, Answer};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// Sends a purge trigger for a photo to a CDNI listener. Returns the status code of the response.
pub fn purge_at(cdni: SocketAddr, object: &str) -> io::Result<u16> {
    Ok(trigger_at(cdni, &[object])?.status)
}

/// Sends a purge trigger for photos to a CDNI listener. Returns the response.
pub fn trigger_at(cdni: SocketAddr, objects: &[&str]) -> io::Result<Answer> {
    let urls: Vec<String> = objects
        .iter()
        .map(|o| format!("http://cdn.example/content/photo/{o}"))
        .collect();
    let command =
        json!({"trigger": {"type": "purge", "content.urls": urls}, "cdn-path": ["AS64501:0"]});
    call(cdni, "POST", "/cdni/triggers", &command.to_string())
}

/// Returns the path of the trigger status from the `Location` header, if the response is 201.
pub fn status_path(answer: &Answer) -> Option<String> {
    let location = answer.header("location").filter(|_| answer.status == 201)?;
    location
        .strip_prefix("http://cdn.example")
        .map(str::to_owned)
}

impl Fleet {
    /// Sends a purge trigger for a photo to a proxy. Returns the status code of the response.
    pub fn purge(&self, n: usize, object: &str) -> io::Result<u16> {
        purge_at(self.process(n)?.cdni, object)
    }

    /// Sends a purge trigger for photos to a proxy. Returns the response.
    pub fn trigger(&self, n: usize, objects: &[&str]) -> io::Result<Answer> {
        trigger_at(self.process(n)?.cdni, objects)
    }

    /// Sends a request to the CDNI listener of a proxy. Returns the response.
    pub fn cdni_call(&self, n: usize, method: &str, path: &str) -> io::Result<Answer> {
        call(self.process(n)?.cdni, method, path, "")
    }

    /// Returns the paths of the trigger statuses that a proxy lists.
    pub fn triggers(&self, n: usize) -> io::Result<BTreeSet<String>> {
        let answer = self.cdni_call(n, "GET", "/cdni/triggers")?;
        let list: Value = serde_json::from_slice(&answer.body).map_err(io::Error::other)?;
        let urls = list["triggers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str);
        Ok(urls
            .filter_map(|url| Some(url.strip_prefix("http://cdn.example")?.to_owned()))
            .collect())
    }
}
