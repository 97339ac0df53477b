//! The last good list on disk, for a start without an agent. Written by a worker, so that the loop waits for no disk.

use crate::daemon::discovery::CONSUL;
use crate::daemon::Daemon;
use crate::disk::{remove_leftovers, Disk, Job};
use crate::net::Due;
use linnetknot::Micros;
use linnetknot_discovery::{cached_snapshot, Entry, SourceId};
use linnetknot_store::is_lasting;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Keeps the lists, one of each data centre.
pub(in crate::daemon) struct Keeper {
    disk: Disk,
    lists: Vec<List>,
    /// The folder, where it could not be made at the start.
    missing: Option<PathBuf>,
}

struct List {
    path: PathBuf,
    scope: String,
    timer: Option<Due>,
    /// When it was last good, and when that was last written down.
    good_at: Micros,
    written_at: Micros,
    /// As it was last written, without its time.
    written: Vec<Entry>,
}

impl Keeper {
    /// Keeps lists in a folder. The scopes say what each is the list of.
    pub(in crate::daemon) fn start(folder: &Path, scopes: Vec<String>) -> Result<Self, String> {
        let whole = |e: io::Error| format!("state.directory: {}: {e}", folder.display());
        let missing = match fs::create_dir_all(folder) {
            Ok(()) => None,
            Err(e) if is_lasting(&e) => return Err(whole(e)),
            Err(e) => {
                log::error!("{}; it is made once that is over", whole(e));
                Some(folder.to_owned())
            }
        };
        let disk = Disk::start("linnetknot-disk").map_err(whole)?;
        let list = |(n, scope)| {
            let path = folder.join(format!("boxes-{n}.list"));
            remove_leftovers(&path);
            List {
                path,
                scope,
                timer: None,
                good_at: 0,
                written_at: 0,
                written: Vec::new(),
            }
        };
        Ok(Keeper {
            missing,
            disk,
            lists: scopes.into_iter().enumerate().map(list).collect(),
        })
    }
}

/// Reads a list, or says why it is not used. Its length is looked at before any of it is held.
fn read(
    list: &List,
    now: Micros,
    most_bytes: usize,
    most_age: Micros,
) -> Result<cached_snapshot::CachedSnapshot, String> {
    let whole = |e: io::Error| e.to_string();
    if fs::metadata(&list.path).map_err(whole)?.len() > most_bytes as u64 {
        return Err(cached_snapshot::SnapshotError::TooLong.to_string());
    }
    let bytes = fs::read(&list.path).map_err(whole)?;
    cached_snapshot::decode(&bytes, &list.scope, now, most_bytes, most_age)
        .map_err(|e| e.to_string())
}

impl Daemon {
    /// Takes up the lists that an earlier run has kept, if they can be trusted.
    pub(in crate::daemon) fn recall_lists(&mut self, now: Micros) {
        for n in 0..self.keeper.as_ref().map_or(0, |k| k.lists.len()) {
            let Some(list) = self.keeper.as_ref().map(|k| &k.lists[n]) else {
                return;
            };
            let shown = list.path.display();
            if !list.path.exists() {
                log::info!("there is no kept list {shown}");
                continue;
            }
            match read(list, now, self.limits.list, self.config.state.most_age_us) {
                Err(e) => log::warn!("the kept list {shown} is not used: {e}"),
                Ok(kept) => {
                    let age_s = now.saturating_sub(kept.at) / 1_000_000;
                    log::info!(boxes = kept.entries.len(), age_s = age_s; "the kept list holds until an agent speaks");
                    if let Some(evidence) = self.remember_list(n, &kept.entries) {
                        self.receive_evidence(now, SourceId(CONSUL.0 + n), evidence);
                    }
                }
            }
        }
    }

    /// A list is good as it stands now: it is written down soon if it has changed, else before its time grows old.
    pub(in crate::daemon) fn keep_list(&mut self, now: Micros, n: usize) {
        let (soon, seldom) = (self.limits.keep_soon_us, self.limits.keep_seldom_us);
        let Some(list) = self.keeper.as_mut().and_then(|k| k.lists.get_mut(n)) else {
            return;
        };
        list.good_at = now;
        let same = self
            .members
            .reported_by(SourceId(CONSUL.0 + n))
            .eq(list.written.iter());
        let at = if same {
            (list.written_at + seldom).max(now)
        } else {
            now + soon
        };
        if list.timer.is_none_or(|t| t.0 > at) {
            if let Some(old) = list.timer.take() {
                self.deadlines.take_back(old);
            }
            self.write_list_at(at, n);
        }
    }

    fn write_list_at(&mut self, at: Micros, n: usize) {
        let timer = self.later(at, move |daemon, now| daemon.write_list(now, n));
        if let Some(list) = self.keeper.as_mut().and_then(|k| k.lists.get_mut(n)) {
            list.timer = Some(timer);
        }
    }

    fn write_list(&mut self, now: Micros, n: usize) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        if keeper
            .missing
            .as_ref()
            .is_some_and(|folder| fs::create_dir_all(folder).is_ok())
        {
            keeper.missing = None;
        }
        let Some(list) = keeper.lists.get_mut(n) else {
            return;
        };
        list.timer = None;
        let entries: Vec<Entry> = self
            .members
            .reported_by(SourceId(CONSUL.0 + n))
            .cloned()
            .collect();
        let bytes = cached_snapshot::encode(&list.scope, list.good_at, entries.iter());
        if keeper.disk.give(Job {
            path: list.path.clone(),
            bytes,
        }) {
            (list.written, list.written_at) = (entries, now);
        } else {
            // The disk has not yet taken the one before. What is written then is the list of then.
            self.write_list_at(now + self.limits.keep_soon_us, n);
        }
    }

    /// At the end: what has changed since it was last written must not be lost to the wait for more changes.
    pub(in crate::daemon) fn write_lists(&mut self, now: Micros) {
        for n in 0..self.keeper.as_ref().map_or(0, |k| k.lists.len()) {
            if self
                .keeper
                .as_ref()
                .is_some_and(|k| k.lists[n].timer.is_some())
            {
                self.write_list(now, n);
            }
        }
    }
}
