//! A worker thread that replaces files atomically. The event loop enqueues jobs without waiting for the disk.

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

/// A file to replace, with its new content.
pub struct WriteJob {
    /// The path of the file.
    pub path: PathBuf,
    /// The bytes that replace the whole content of the file.
    pub bytes: Vec<u8>,
}

/// The handle of the worker thread. Dropping the handle waits until the queued jobs have been tried. A failed job is
/// retried until it succeeds or a later job for the same file replaces it.
pub struct FileWriter {
    jobs: Option<Sender<WriteJob>>,
    worker: Option<JoinHandle<()>>,
}

/// The capacity of the queue of jobs.
const MAX_QUEUED_JOBS: usize = 2;

/// The backoff after the first failed attempt to write a file, in microseconds, before jitter.
const MIN_RETRY_US: Micros = 100_000;
/// The longest backoff between two attempts, before jitter.
const MAX_RETRY_US: Micros = 2_000_000;

/// A temporary file next to the file that it will replace. If the value is dropped before the replacement, the
/// temporary file is removed, so that partial files do not fill the disk.
pub struct StagedFile {
    temporary_path: PathBuf,
    path: PathBuf,
    is_installed: bool,
}

impl StagedFile {
    fn new(path: &Path) -> Self {
        // The name contains the process id, because both processes of an upgrade may replace the same file at the same
        // time.
        let mut temporary_path = path.as_os_str().to_owned();
        temporary_path.push(format!(".{}.new", std::process::id()));
        StagedFile {
            temporary_path: temporary_path.into(),
            path: path.to_owned(),
            is_installed: false,
        }
    }

    /// Writes and syncs a temporary file next to `path`.
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

    /// Renames the temporary file over the target file and syncs the folder.
    pub fn install(self) -> io::Result<()> {
        let renamed = self.rename()?;
        // The rename is durable only once the folder is synced.
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
            // The temporary file may not exist, so a failure is ignored.
            let _ = fs::remove_file(&self.temporary_path);
        }
    }
}

/// Replaces a file atomically and durably. After a power failure, the file has either the new or the old content.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    StagedFile::write(path, bytes)?.install()
}

/// Replaces a file atomically but without syncing it. Used for files of which another copy exists.
pub fn replace_unsynced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let staged = StagedFile::new(path);
    fault_points::write()?;
    fs::write(&staged.temporary_path, bytes)?;
    staged.rename().map(drop)
}

/// Removes the temporary files next to a file that were left by processes that were killed.
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
        // The old process of an upgrade may still be writing, so files of running processes are kept.
        let is_leftover = |p: &str| is_process(p) && !Path::new("/proc").join(p).exists();
        if process.is_some_and(is_leftover) {
            if let Err(e) = fs::remove_file(entry.path()) {
                log::warn!(
                    "the leftover temporary file {} could not be removed: {e}",
                    entry.path().display()
                );
            }
        }
    }
}

/// Counts consecutive failed attempts to write a file, and logs the first failure and the next success.
#[derive(Debug, Default)]
pub struct FailedAttempts(u64);

impl FailedAttempts {
    /// Records the result of an attempt.
    pub fn record(&mut self, path: &Path, result: &io::Result<()>) {
        match result {
            Ok(()) if self.0 > 0 => {
                log::info!(failed_attempts = self.0; "{} can be written again", path.display());
                self.0 = 0;
            }
            Ok(()) => {}
            Err(e) => {
                if self.0 == 0 {
                    log::error!(
                        "{} could not be written and keeps its old content: {e}",
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

/// The state of the worker thread, which retries each file with the content of its latest job.
struct Worker {
    jobs: Receiver<WriteJob>,
    /// The content of the files that could not be replaced yet.
    pending: BTreeMap<PathBuf, Vec<u8>>,
    failed: BTreeMap<PathBuf, FailedAttempts>,
    backoff: Backoff,
}

impl Worker {
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
                // The handle was dropped because the process ends, so pending files are tried once more.
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
    /// Starts a worker thread with this name.
    pub fn start(name: &str) -> io::Result<Self> {
        let (jobs, queue) = bounded::<WriteJob>(MAX_QUEUED_JOBS);
        let worker_state = Worker {
            jobs: queue,
            pending: BTreeMap::new(),
            failed: BTreeMap::new(),
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, u64::from(std::process::id())),
        };
        let worker = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || worker_state.run())?;
        Ok(FileWriter {
            jobs: Some(jobs),
            worker: Some(worker),
        })
    }

    /// Enqueues a job. Returns false if the queue is full.
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
