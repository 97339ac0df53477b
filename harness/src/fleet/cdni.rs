//! Calls of a peer CDN at the proxies' CDNI listeners.

use super::Fleet;
use crate::clients::{call, Answer};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

/// A peer CDN asks a proxy, at its CDNI listener, to purge a photo: the status of the answer.
pub fn purge_at(cdni: SocketAddr, object: &str) -> io::Result<u16> {
    Ok(trigger_at(cdni, &[object])?.status)
}

/// A peer CDN asks a proxy, at its CDNI listener, to purge photos: the answer.
pub fn trigger_at(cdni: SocketAddr, objects: &[&str]) -> io::Result<Answer> {
    let urls: Vec<String> = objects
        .iter()
        .map(|o| format!("http://cdn.example/content/photo/{o}"))
        .collect();
    let command =
        json!({"trigger": {"type": "purge", "content.urls": urls}, "cdn-path": ["AS64501:0"]});
    call(cdni, "POST", "/cdni/triggers", &command.to_string())
}

/// The path of the status that an answer to a trigger names; none where it made no trigger.
pub fn status_path(answer: &Answer) -> Option<String> {
    let location = answer.header("location").filter(|_| answer.status == 201)?;
    location
        .strip_prefix("http://cdn.example")
        .map(str::to_owned)
}

impl Fleet {
    /// A peer CDN asks one proxy to purge a photo: the status of the answer.
    pub fn purge(&self, n: usize, object: &str) -> io::Result<u16> {
        purge_at(self.process(n)?.cdni, object)
    }

    /// A peer CDN asks one proxy to purge photos: the answer.
    pub fn trigger(&self, n: usize, objects: &[&str]) -> io::Result<Answer> {
        trigger_at(self.process(n)?.cdni, objects)
    }

    /// A peer CDN's call of a path at a proxy: the answer.
    pub fn cdni_call(&self, n: usize, method: &str, path: &str) -> io::Result<Answer> {
        call(self.process(n)?.cdni, method, path, "")
    }

    /// The triggers that a proxy lists, by the paths of their status.
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
