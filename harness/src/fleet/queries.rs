//! What a fleet's proxies tell operators and clients.

use super::Fleet;
use crate::clients::{call, Answer, WebServer, TIMEOUT};
use linnetknot_daemon::budgets;
use linnetknot_daemon::fleet::{query_budgets, query_status, Status};
use std::io;
use std::path::PathBuf;
use std::time::Instant;

impl Fleet {
    /// A proxy's status of the budgets that all share.
    pub fn budgets(&self, n: usize) -> io::Result<budgets::Status> {
        Ok(query_budgets(self.process(n)?.admin)?)
    }

    /// The file in which a proxy stores the purges of peer CDNs.
    pub fn store(&self, n: usize) -> PathBuf {
        self.members[n].disk.join("purges")
    }

    /// An operator's call at a proxy's admin listener: the status of its answer.
    pub fn admin_call(&self, n: usize, method: &str, path: &str) -> io::Result<u16> {
        Ok(call(self.process(n)?.admin, method, path, "")?.status)
    }

    /// A proxy's status of its replication.
    pub fn status(&self, n: usize) -> io::Result<Status> {
        Ok(query_status(self.process(n)?.admin)?)
    }

    /// Whether all proxies that run have the same entries, all of them on their disks and none short of copies.
    pub fn is_converged(&self) -> io::Result<bool> {
        let runs = (0..self.members.len()).filter(|n| self.members[*n].process.is_some());
        let all = runs
            .map(|n| self.status(n))
            .collect::<io::Result<Vec<_>>>()?;
        let settled = |s: &Status| {
            s.under_replicated == 0
                && s.pending_commits == 0
                && s.logs.iter().all(|l| l.last_index == l.durable_index)
        };
        Ok(all
            .iter()
            .all(|s| settled(s) && s.digest == all[0].digest && s.entries == all[0].entries))
    }

    /// Asks a proxy for a photo.
    pub fn ask(&self, n: usize, object: &str) -> io::Result<Answer> {
        let mut web = WebServer::connect(self.process(n)?.front)?;
        web.ask(1, "photo", object, 2500)?;
        web.end()?
            .1
            .ok_or_else(|| io::Error::other("it was aborted"))
    }

    /// Whether a purge of a photo is in force at a proxy: it asks its cache for no copy older than something. What it
    /// serves tells less, as the caches are shared: one proxy with the purge has the cache fetch anew for all.
    pub fn holds_floor(&self, n: usize, object: &str) -> io::Result<bool> {
        let before: Vec<usize> = self.caches.iter().map(|b| b.arrivals().len()).collect();
        self.ask(n, object)?;
        let mut new = self
            .caches
            .iter()
            .zip(before)
            .flat_map(|(b, before)| b.arrivals().split_off(before));
        let asked = new.rfind(|a| a.field("key") == Some(object));
        let asked = asked.ok_or_else(|| io::Error::other(format!("p{n} asked no cache")))?;
        Ok(asked.field("maxage").is_some())
    }

    /// Waits until a purge of a photo is in force at a proxy, or the timeout has passed: whether it is.
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
