//! Cached snapshots: stores the last confirmed endpoint list of each data centre, for a start while no Consul agent is
//! reachable. A worker thread writes the files, so that the event loop does not wait for the disk.

use crate::daemon::discovery::CONSUL;
use crate::daemon::Daemon;
use crate::disk::{remove_leftovers, FileWriter, WriteJob};
use crate::net::DeadlineId;
use linnetknot::Micros;
use linnetknot_discovery::{cached_snapshot, Entry, SourceId};
use linnetknot_store::is_permanent;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// An error of creating the directory of the cached snapshots or of starting their worker thread.
#[derive(Debug, thiserror::Error)]
#[error("state.directory: {}: {source}", directory.display())]
pub(in crate::daemon) struct DirectoryError {
    directory: PathBuf,
    source: io::Error,
}

/// The reason for ignoring a cached snapshot.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The content of the file is malformed, too old or belongs to another data centre or query.
    #[error(transparent)]
    Decode(#[from] cached_snapshot::SnapshotError),
}

/// Writes the endpoint list of each data centre to a file.
pub(in crate::daemon) struct SnapshotWriter {
    disk: FileWriter,
    snapshots: Vec<Snapshot>,
    /// The directory, if it could not be created at startup and creating it is to be retried.
    missing_directory: Option<PathBuf>,
}

/// The cached endpoint list of one data centre.
struct Snapshot {
    path: PathBuf,
    /// Identifies the data centre and query that the list belongs to.
    scope: String,
    /// The deadline of the next write, if one is scheduled.
    timer: Option<DeadlineId>,
    /// When the list was last confirmed.
    confirmed_at: Micros,
    written_at: Micros,
    /// The entries in the last written file.
    written: Vec<Entry>,
}

impl Snapshot {
    fn new(path: PathBuf, scope: String) -> Self {
        Snapshot {
            path,
            scope,
            timer: None,
            confirmed_at: 0,
            written_at: 0,
            written: Vec::new(),
        }
    }

    /// Loads the snapshot from its file, after checking the length of the file.
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
    /// Creates a writer of snapshots in a directory, with one snapshot for each scope.
    ///
    /// # Errors
    /// The directory can't be created for a permanent reason, or the worker thread can't be started.
    pub(in crate::daemon) fn start(
        directory: &Path,
        scopes: Vec<String>,
    ) -> Result<Self, DirectoryError> {
        let error = |source: io::Error| DirectoryError {
            directory: directory.to_owned(),
            source,
        };
        let missing_directory = match fs::create_dir_all(directory) {
            Ok(()) => None,
            Err(e) if is_permanent(&e) => return Err(error(e)),
            Err(e) => {
                let e = error(e);
                log::error!(
                    "failed to create the directory of cached endpoint lists, retrying later: {e}"
                );
                Some(directory.to_owned())
            }
        };
        let disk = FileWriter::start("linnetknot-disk").map_err(error)?;
        let snapshot = |(index, scope)| {
            let path = directory.join(format!("boxes-{index}.list"));
            remove_leftovers(&path);
            Snapshot::new(path, scope)
        };
        Ok(SnapshotWriter {
            missing_directory,
            disk,
            snapshots: scopes.into_iter().enumerate().map(snapshot).collect(),
        })
    }

    /// Creates the directory if that failed at startup.
    fn create_missing_directory(&mut self) {
        self.missing_directory
            .take_if(|directory| fs::create_dir_all(directory).is_ok());
    }
}

impl Daemon {
    /// Loads the snapshots of an earlier process.
    pub(in crate::daemon) fn load_snapshots(&mut self, now: Micros) {
        for index in 0..self.snapshot_count() {
            self.load_snapshot(now, index);
        }
    }

    fn snapshot_count(&self) -> usize {
        let writer = self.snapshot_writer.as_ref();
        writer.map_or(0, |writer| writer.snapshots.len())
    }

    fn snapshot_mut(&mut self, index: usize) -> Option<&mut Snapshot> {
        self.snapshot_writer.as_mut()?.snapshots.get_mut(index)
    }

    fn load_snapshot(&mut self, now: Micros, index: usize) {
        let max_bytes = self.limits.max_cached_list_bytes;
        let max_age_us = self.config.state.max_age_us;
        let Some(snapshot) = self.snapshot_mut(index) else {
            return;
        };
        let path = snapshot.path.display();
        if !snapshot.path.exists() {
            log::info!("no cached endpoint list at {path}");
            return;
        }
        match snapshot.load(now, max_bytes, max_age_us) {
            Err(e) => log::warn!("ignored the cached endpoint list {path}: {e}"),
            Ok(cached) => {
                let age_s = now.saturating_sub(cached.confirmed_at) / 1_000_000;
                log::info!(caches = cached.entries.len(), age_s = age_s; "using the cached endpoint list until a Consul agent responds");
                if let Some(evidence) = self.restore_watch(index, &cached.entries) {
                    self.receive_evidence(now, SourceId(CONSUL.0 + index), evidence);
                }
            }
        }
    }

    /// Schedules the write of a list that the agent has confirmed: after `list_store_delay_us` if the list has changed,
    /// otherwise `list_store_interval_us` after the last write, to update the timestamp.
    pub(in crate::daemon) fn schedule_snapshot(&mut self, now: Micros, index: usize) {
        let change_delay_us = self.limits.list_store_delay_us;
        let refresh_interval_us = self.limits.list_store_interval_us;
        let writer = self.snapshot_writer.as_mut();
        let Some(snapshot) = writer.and_then(|writer| writer.snapshots.get_mut(index)) else {
            return;
        };
        snapshot.confirmed_at = now;
        let is_unchanged = self
            .endpoint_table
            .reported_by(SourceId(CONSUL.0 + index))
            .eq(snapshot.written.iter());
        let at = if is_unchanged {
            (snapshot.written_at + refresh_interval_us).max(now)
        } else {
            now + change_delay_us
        };
        if snapshot.timer.is_none_or(|timer| timer.at > at) {
            if let Some(old) = snapshot.timer.take() {
                self.deadlines.cancel(old);
            }
            self.write_snapshot_at(at, index);
        }
    }

    fn write_snapshot_at(&mut self, at: Micros, index: usize) {
        let timer = self.schedule(at, move |daemon, now| daemon.write_snapshot(now, index));
        if let Some(snapshot) = self.snapshot_mut(index) {
            snapshot.timer = Some(timer);
        }
    }

    fn write_snapshot(&mut self, now: Micros, index: usize) {
        let Some(writer) = &mut self.snapshot_writer else {
            return;
        };
        writer.create_missing_directory();
        let Some(snapshot) = writer.snapshots.get_mut(index) else {
            return;
        };
        snapshot.timer = None;
        let source = SourceId(CONSUL.0 + index);
        let entries: Vec<Entry> = self.endpoint_table.reported_by(source).cloned().collect();
        let job = WriteJob {
            path: snapshot.path.clone(),
            bytes: cached_snapshot::encode(&snapshot.scope, snapshot.confirmed_at, entries.iter()),
        };
        if writer.disk.try_enqueue(job) {
            snapshot.written = entries;
            snapshot.written_at = now;
        } else {
            // The queue of the worker is full. The write is retried later, with the list as it is then.
            self.write_snapshot_at(now + self.limits.list_store_delay_us, index);
        }
    }

    /// At shutdown, writes the snapshots whose writes are scheduled for later.
    pub(in crate::daemon) fn write_pending_snapshots(&mut self, now: Micros) {
        for index in 0..self.snapshot_count() {
            let snapshot = self.snapshot_mut(index);
            if snapshot.is_some_and(|snapshot| snapshot.timer.is_some()) {
                self.write_snapshot(now, index);
            }
        }
    }
}
