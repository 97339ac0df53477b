//! The cached snapshots: the last good endpoint list of each data centre on disk, for a start without an agent. A worker
//! writes them, so that the loop waits for no disk.

use crate::daemon::discovery::CONSUL;
use crate::daemon::Daemon;
use crate::disk::{remove_leftovers, Disk, Job};
use crate::net::Due;
use linnetknot::Micros;
use linnetknot_discovery::{cached_snapshot, Entry, SourceId};
use linnetknot_store::is_lasting;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// The folder of the cached snapshots can't be used.
#[derive(Debug, thiserror::Error)]
#[error("state.directory: {}: {source}", folder.display())]
pub(in crate::daemon) struct FolderError {
    folder: PathBuf,
    source: io::Error,
}

/// Why a cached snapshot is not used.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    /// Its file can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It is not sound.
    #[error(transparent)]
    Decode(#[from] cached_snapshot::SnapshotError),
}

/// Writes the snapshots, one of each data centre.
pub(in crate::daemon) struct SnapshotWriter {
    disk: Disk,
    snapshots: Vec<Snapshot>,
    /// The folder, where it could not be made at the start.
    missing_folder: Option<PathBuf>,
}

/// The snapshot of one data centre.
struct Snapshot {
    path: PathBuf,
    /// What it is the list of.
    scope: String,
    /// When it is written next, if it is to be.
    timer: Option<Due>,
    /// When the list was last confirmed.
    good_at: Micros,
    written_at: Micros,
    /// The list as it was last written, without its time.
    written: Vec<Entry>,
}

impl Snapshot {
    fn new(path: PathBuf, scope: String) -> Self {
        Snapshot {
            path,
            scope,
            timer: None,
            good_at: 0,
            written_at: 0,
            written: Vec::new(),
        }
    }

    /// Reads it from its file, whose length is checked before any of it is read.
    fn load(
        &self,
        now: Micros,
        max_bytes: usize,
        max_age_us: Micros,
    ) -> Result<cached_snapshot::CachedSnapshot, LoadError> {
        if fs::metadata(&self.path)?.len() > max_bytes as u64 {
            return Err(cached_snapshot::SnapshotError::TooLong.into());
        }
        let bytes = fs::read(&self.path)?;
        let snapshot = cached_snapshot::decode(&bytes, &self.scope, now, max_bytes, max_age_us)?;
        Ok(snapshot)
    }
}

impl SnapshotWriter {
    /// Writes snapshots in a folder. The scopes say what each is the list of.
    ///
    /// # Errors
    /// The folder can't be made for a reason that lasts, or there is no thread for the worker.
    pub(in crate::daemon) fn start(
        folder: &Path,
        scopes: Vec<String>,
    ) -> Result<Self, FolderError> {
        let error = |source: io::Error| FolderError {
            folder: folder.to_owned(),
            source,
        };
        let missing_folder = match fs::create_dir_all(folder) {
            Ok(()) => None,
            Err(e) if is_lasting(&e) => return Err(error(e)),
            Err(e) => {
                let e = error(e);
                log::error!("the folder of cached lists is made later: {e}");
                Some(folder.to_owned())
            }
        };
        let disk = Disk::start("linnetknot-disk").map_err(error)?;
        let snapshot = |(number, scope)| {
            let path = folder.join(format!("boxes-{number}.list"));
            remove_leftovers(&path);
            Snapshot::new(path, scope)
        };
        Ok(SnapshotWriter {
            missing_folder,
            disk,
            snapshots: scopes.into_iter().enumerate().map(snapshot).collect(),
        })
    }

    /// Makes the folder, where that could not be done at the start.
    fn make_missing_folder(&mut self) {
        self.missing_folder
            .take_if(|folder| fs::create_dir_all(folder).is_ok());
    }
}

impl Daemon {
    /// Takes up the snapshots of an earlier run, if they can be trusted.
    pub(in crate::daemon) fn load_snapshots(&mut self, now: Micros) {
        for number in 0..self.snapshot_count() {
            self.load_snapshot(now, number);
        }
    }

    fn snapshot_count(&self) -> usize {
        let writer = self.snapshots.as_ref();
        writer.map_or(0, |writer| writer.snapshots.len())
    }

    fn snapshot_mut(&mut self, number: usize) -> Option<&mut Snapshot> {
        self.snapshots.as_mut()?.snapshots.get_mut(number)
    }

    fn load_snapshot(&mut self, now: Micros, number: usize) {
        let max_bytes = self.limits.list;
        let max_age_us = self.config.state.most_age_us;
        let Some(snapshot) = self.snapshot_mut(number) else {
            return;
        };
        let path = snapshot.path.display();
        if !snapshot.path.exists() {
            log::info!("there is no cached list {path}");
            return;
        }
        match snapshot.load(now, max_bytes, max_age_us) {
            Err(e) => log::warn!("the cached list {path} is not used: {e}"),
            Ok(cached) => {
                let age_s = now.saturating_sub(cached.confirmed_at) / 1_000_000;
                log::info!(caches = cached.entries.len(), age_s = age_s; "the cached list holds until an agent speaks");
                if let Some(evidence) = self.seed_watch(number, &cached.entries) {
                    self.receive_evidence(now, SourceId(CONSUL.0 + number), evidence);
                }
            }
        }
    }

    /// The list of a data centre is confirmed as it stands now: its snapshot is written soon if it has changed, else before
    /// its time grows old.
    pub(in crate::daemon) fn schedule_snapshot(&mut self, now: Micros, number: usize) {
        let soon_us = self.limits.keep_soon_us;
        let seldom_us = self.limits.keep_seldom_us;
        let writer = self.snapshots.as_mut();
        let Some(snapshot) = writer.and_then(|writer| writer.snapshots.get_mut(number)) else {
            return;
        };
        snapshot.good_at = now;
        let is_unchanged = self
            .members
            .reported_by(SourceId(CONSUL.0 + number))
            .eq(snapshot.written.iter());
        let at = if is_unchanged {
            (snapshot.written_at + seldom_us).max(now)
        } else {
            now + soon_us
        };
        if snapshot.timer.is_none_or(|timer| timer.at > at) {
            if let Some(old) = snapshot.timer.take() {
                self.deadlines.cancel(old);
            }
            self.write_snapshot_at(at, number);
        }
    }

    fn write_snapshot_at(&mut self, at: Micros, number: usize) {
        let timer = self.later(at, move |daemon, now| daemon.write_snapshot(now, number));
        if let Some(snapshot) = self.snapshot_mut(number) {
            snapshot.timer = Some(timer);
        }
    }

    fn write_snapshot(&mut self, now: Micros, number: usize) {
        let Some(writer) = &mut self.snapshots else {
            return;
        };
        writer.make_missing_folder();
        let Some(snapshot) = writer.snapshots.get_mut(number) else {
            return;
        };
        snapshot.timer = None;
        let source = SourceId(CONSUL.0 + number);
        let entries: Vec<Entry> = self.members.reported_by(source).cloned().collect();
        let job = Job {
            path: snapshot.path.clone(),
            bytes: cached_snapshot::encode(&snapshot.scope, snapshot.good_at, entries.iter()),
        };
        if writer.disk.give(job) {
            snapshot.written = entries;
            snapshot.written_at = now;
        } else {
            // The disk has not yet taken the one before. What is written then is the list of then.
            self.write_snapshot_at(now + self.limits.keep_soon_us, number);
        }
    }

    /// At the end of the process: writes what has changed since it was last written, without waiting for more changes.
    pub(in crate::daemon) fn write_pending_snapshots(&mut self, now: Micros) {
        for number in 0..self.snapshot_count() {
            let snapshot = self.snapshot_mut(number);
            if snapshot.is_some_and(|snapshot| snapshot.timer.is_some()) {
                self.write_snapshot(now, number);
            }
        }
    }
}
