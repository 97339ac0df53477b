//! A worker thread that replaces files atomically. The event loop hands jobs over by a bounded queue and never waits for a
//! disk.

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use linnetknot::Micros;
use linnetknot_consul::Backoff;
use linnetknot_store::fault_points;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A file to be replaced.
pub struct WriteJob {
    /// Its path.
    pub path: PathBuf,
    /// Its new content.
    pub bytes: Vec<u8>,
}

/// The worker. Before it is dropped, all its jobs are done. A job that fails is retried until it succeeds or is superseded
/// by a later one for the same file.
pub struct FileWriter {
    jobs: Option<Sender<WriteJob>>,
    worker: Option<JoinHandle<()>>,
}

/// Capacity of the queue of jobs.
const MAX_QUEUED_JOBS: usize = 2;

/// The first backoff of jobs that failed.
const MIN_RETRY_US: Micros = 100_000;
/// About the longest backoff between two attempts.
const MAX_RETRY_US: Micros = 2_000_000;

/// A complete file beside the one that it is to replace. Dropped before that, it is removed: what a full disk took in part
/// must not fill it further.
pub struct StagedFile {
    temporary_path: PathBuf,
    path: PathBuf,
    is_installed: bool,
}

impl StagedFile {
    fn new(path: &Path) -> Self {
        // Named by the process: the old and the new one of an upgrade may put the same file in place at once, and one
        // must not write into the other's half-written file.
        let mut temporary_path = path.as_os_str().to_owned();
        temporary_path.push(format!(".{}.new", std::process::id()));
        StagedFile {
            temporary_path: temporary_path.into(),
            path: path.to_owned(),
            is_installed: false,
        }
    }

    /// Writes a file beside its place and syncs it.
    pub fn write(path: &Path, bytes: &[u8]) -> io::Result<Self> {
        let staged = StagedFile::new(path);
        fault_points::open()?;
        let mut file = File::create(&staged.temporary_path)?;
        fault_points::write()?;
        file.write_all(bytes)?;
        fault_points::sync()?;
        file.sync_all()?;
        Ok(staged)
    }

    fn rename(mut self) -> io::Result<Self> {
        fault_points::rename()?;
        fs::rename(&self.temporary_path, &self.path)?;
        self.is_installed = true;
        Ok(self)
    }

    /// Replaces the file, and syncs the folder.
    pub fn install(self) -> io::Result<()> {
        let renamed = self.rename()?;
        // The new name is durable only once its folder is synced too.
        fault_points::sync()?;
        match renamed.path.parent().filter(|p| !p.as_os_str().is_empty()) {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

impl Drop for StagedFile {
    fn drop(&mut self) {
        if !self.is_installed {
            // It may not exist.
            let _ = fs::remove_file(&self.temporary_path);
        }
    }
}

/// Replaces a file atomically and durably: after a power failure it is complete, or as it was before.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    StagedFile::write(path, bytes)?.install()
}

/// Replaces a file atomically without waiting until it is durable: for one of which there is another copy.
pub fn replace_unsynced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let staged = StagedFile::new(path);
    fault_points::write()?;
    fs::write(&staged.temporary_path, bytes)?;
    staged.rename().map(drop)
}

/// Removes what killed processes left beside a file that they were replacing.
pub fn remove_leftovers(path: &Path) {
    let (Some(folder), Some(name)) = (path.parent(), path.file_name().and_then(|n| n.to_str()))
    else {
        return;
    };
    for entry in fs::read_dir(folder).into_iter().flatten().flatten() {
        let file_name = entry.file_name();
        let process = file_name.to_str().and_then(|n| {
            n.strip_prefix(name)?
                .strip_prefix('.')?
                .strip_suffix(".new")
        });
        let is_process = |p: &str| !p.is_empty() && p.bytes().all(|b| b.is_ascii_digit());
        // The old process of an upgrade may be writing still.
        let is_leftover = |p: &str| is_process(p) && !Path::new("/proc").join(p).exists();
        if process.is_some_and(is_leftover) {
            if let Err(e) = fs::remove_file(entry.path()) {
                log::warn!("{} is left over and stays: {e}", entry.path().display());
            }
        }
    }
}

/// Counts failed attempts in a row to write a file, and logs the first and the success after the last.
#[derive(Debug, Default)]
pub struct FailedAttempts(u64);

impl FailedAttempts {
    /// Records the result of an attempt.
    pub fn record(&mut self, path: &Path, result: &io::Result<()>) {
        match result {
            Ok(()) if self.0 > 0 => {
                log::info!(failed_attempts = self.0; "{} is written again", path.display());
                self.0 = 0;
            }
            Ok(()) => {}
            Err(e) => {
                if self.0 == 0 {
                    log::error!(
                        "{} can't be written, and stays as it was: {e}",
                        path.display()
                    );
                }
                self.0 += 1;
            }
        }
    }

    /// Whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.0 > 0
    }
}

/// The worker's side: each file is written as the last job for it has it, until that succeeds.
struct Work {
    jobs: Receiver<WriteJob>,
    /// The content of files that could not be replaced yet.
    pending: BTreeMap<PathBuf, Vec<u8>>,
    failed: BTreeMap<PathBuf, FailedAttempts>,
    backoff: Backoff,
}

impl Work {
    fn run(mut self) {
        loop {
            let wait = (!self.pending.is_empty())
                .then(|| Duration::from_micros(self.backoff.next_delay()));
            let next = match wait {
                Some(wait) => self.jobs.recv_timeout(wait),
                None => self.jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match next {
                Ok(WriteJob { path, bytes }) => {
                    self.pending.remove(&path);
                    self.write(path, bytes);
                }
                Err(RecvTimeoutError::Timeout) => self.retry_pending(),
                // The process ends: a last attempt.
                Err(RecvTimeoutError::Disconnected) => return self.retry_pending(),
            }
        }
    }

    fn retry_pending(&mut self) {
        for (path, bytes) in std::mem::take(&mut self.pending) {
            self.write(path, bytes);
        }
    }

    fn write(&mut self, path: PathBuf, bytes: Vec<u8>) {
        let result = replace(&path, &bytes);
        let failed = self.failed.entry(path.clone()).or_default();
        failed.record(&path, &result);
        match result {
            Ok(()) => self.backoff.reset(),
            Err(_) => drop(self.pending.insert(path, bytes)),
        }
    }
}

impl FileWriter {
    /// Starts the worker, a thread of this name.
    pub fn start(name: &str) -> io::Result<Self> {
        let (jobs, queue) = bounded::<WriteJob>(MAX_QUEUED_JOBS);
        let work = Work {
            jobs: queue,
            pending: BTreeMap::new(),
            failed: BTreeMap::new(),
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, u64::from(std::process::id())),
        };
        let worker = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || work.run())?;
        Ok(FileWriter {
            jobs: Some(jobs),
            worker: Some(worker),
        })
    }

    /// Enqueues a job; false where the queue is full.
    pub fn try_enqueue(&self, job: WriteJob) -> bool {
        self.jobs
            .as_ref()
            .is_some_and(|jobs| jobs.try_send(job).is_ok())
    }
}

impl Drop for FileWriter {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}
