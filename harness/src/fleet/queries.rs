//! Requests of operators and clients to the proxies of a fleet.

use super::Fleet;
use crate::clients::{call, Answer, WebServer, TIMEOUT};
use linnetknot_daemon::budgets;
use linnetknot_daemon::fleet::{query_budgets, query_status, Status};
use std::io;
use std::path::PathBuf;
use std::time::Instant;

impl Fleet {
    /// Returns the status of the shared budgets from a proxy.
    pub fn budgets(&self, n: usize) -> io::Result<budgets::Status> {
        Ok(query_budgets(self.process(n)?.admin)?)
    }

    /// Returns the path of the file in which a proxy stores the purges of peer CDNs.
    pub fn store(&self, n: usize) -> PathBuf {
        self.members[n].disk.join("purges")
    }

    /// Sends a request to the admin listener of a proxy. Returns the status code of the response.
    pub fn admin_call(&self, n: usize, method: &str, path: &str) -> io::Result<u16> {
        Ok(call(self.process(n)?.admin, method, path, "")?.status)
    }

    /// Returns the replication status of a proxy.
    pub fn status(&self, n: usize) -> io::Result<Status> {
        Ok(query_status(self.process(n)?.admin)?)
    }

    /// Returns whether all running proxies have the same entries, all durable and none under-replicated, and no proxy
    /// has received a purge that no log contains yet.
    pub fn is_converged(&self) -> io::Result<bool> {
        let running = (0..self.members.len()).filter(|n| self.members[*n].process.is_some());
        let all = running
            .map(|n| self.status(n))
            .collect::<io::Result<Vec<_>>>()?;
        let is_settled = |s: &Status| {
            s.under_replicated == 0
                && s.pending_commits == 0
                && s.unlogged_purges == 0
                && s.logs.iter().all(|l| l.last_index == l.durable_index)
        };
        Ok(all
            .iter()
            .all(|s| is_settled(s) && s.digest == all[0].digest && s.entries == all[0].entries))
    }

    /// Requests a photo from a proxy.
    pub fn ask(&self, n: usize, object: &str) -> io::Result<Answer> {
        let mut web = WebServer::connect(self.process(n)?.front)?;
        web.ask(1, "photo", object, 2500)?;
        web.end()?
            .1
            .ok_or_else(|| io::Error::other("the request was aborted"))
    }

    /// Returns the status of the answer to a health check of the front.
    pub fn health(&self, n: usize) -> io::Result<u16> {
        let mut web = WebServer::connect(self.process(n)?.front)?;
        web.send(&WebServer::request(1, "/_health", &[], b""))?;
        let (_, answer) = web.end()?;
        answer
            .map(|answer| answer.status)
            .ok_or_else(|| io::Error::other("the health check was aborted"))
    }

    /// Returns whether a purge of a photo is in force at a proxy: whether the proxy's fetch limits the age of the copy.
    /// The response itself does not show this, as the caches are shared: a fetch of another proxy may have refreshed
    /// the copy.
    pub fn holds_floor(&self, n: usize, object: &str) -> io::Result<bool> {
        let before: Vec<usize> = self
            .caches
            .iter()
            .map(|cache| cache.arrivals().len())
            .collect();
        self.ask(n, object)?;
        let mut new = self
            .caches
            .iter()
            .zip(before)
            .flat_map(|(cache, before)| cache.arrivals().split_off(before));
        let fetch = new.rfind(|a| a.field("key") == Some(object));
        let fetch =
            fetch.ok_or_else(|| io::Error::other(format!("p{n} sent no fetch of {object}")))?;
        Ok(fetch.field("maxage").is_some())
    }

    /// Waits until a purge of a photo is in force at a proxy. Returns false after the timeout.
    pub fn wait_for_purge(&self, n: usize, object: &str) -> io::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if self.holds_floor(n, object)? {
                return Ok(true);
            }
        }
        Ok(false)
    }
}
