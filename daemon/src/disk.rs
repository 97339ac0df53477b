//! A worker thread that puts files in place. The loop hands jobs over by a bounded queue and never waits for a disk.

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

/// A file to be put in place as a whole.
pub struct Job {
    /// Where.
    pub path: PathBuf,
    /// What.
    pub bytes: Vec<u8>,
}

/// The worker. What was given is written before it is dropped, and what could not be is tried again until it is replaced
/// by a later job for its file.
pub struct Disk {
    jobs: Option<Sender<Job>>,
    worker: Option<JoinHandle<()>>,
}

/// Jobs that wait; one more is not taken.
const QUEUE: usize = 2;

/// The first wait before files that could not be put in place are tried again.
const MIN_RETRY_US: Micros = 100_000;
/// About the longest wait between two attempts.
const MAX_RETRY_US: Micros = 2_000_000;

/// A file that is written whole beside its place and not there yet. Dropped before that, it is removed: what a full disk
/// took in part must not fill it further.
pub struct Staged {
    beside: PathBuf,
    path: PathBuf,
    is_placed: bool,
}

impl Staged {
    fn new(path: &Path) -> Self {
        // Named by the process: the old and the new one of an upgrade may put the same file in place at once, and one
        // must not write into the other's half-written file.
        let mut beside = path.as_os_str().to_owned();
        beside.push(format!(".{}.new", std::process::id()));
        Staged {
            beside: beside.into(),
            path: path.to_owned(),
            is_placed: false,
        }
    }

    /// Writes a file beside its place and syncs it.
    pub fn write(path: &Path, bytes: &[u8]) -> io::Result<Self> {
        let staged = Staged::new(path);
        fault_points::open()?;
        let mut file = File::create(&staged.beside)?;
        fault_points::write()?;
        file.write_all(bytes)?;
        fault_points::sync()?;
        file.sync_all()?;
        Ok(staged)
    }

    fn rename(mut self) -> io::Result<Self> {
        fault_points::rename()?;
        fs::rename(&self.beside, &self.path)?;
        self.is_placed = true;
        Ok(self)
    }

    /// Puts it in place, and writes the folder.
    pub fn place(self) -> io::Result<()> {
        let placed = self.rename()?;
        // The new name is only there for good once its folder is written too.
        fault_points::sync()?;
        match placed.path.parent().filter(|p| !p.as_os_str().is_empty()) {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

impl Drop for Staged {
    fn drop(&mut self) {
        if !self.is_placed {
            // It may not have come to be.
            let _ = fs::remove_file(&self.beside);
        }
    }
}

/// Puts a file in place so that it is there whole, or as it was before: also where the power fails half-way.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    Staged::write(path, bytes)?.place()
}

/// Puts a file in place as `replace` does, and does not wait until it is there for good: for one that was there before and
/// of which another copy is.
pub fn replace_unsynced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let staged = Staged::new(path);
    fault_points::write()?;
    fs::write(&staged.beside, bytes)?;
    staged.rename().map(drop)
}

/// Removes what processes that were killed left beside a file before it was in place.
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
        let is_left = |p: &str| is_process(p) && !Path::new("/proc").join(p).exists();
        if process.is_some_and(is_left) {
            if let Err(e) = fs::remove_file(entry.path()) {
                log::warn!("{} is left over and stays: {e}", entry.path().display());
            }
        }
    }
}

/// Attempts to write something that failed in a row. Said at their begin and at their end.
#[derive(Debug, Default)]
pub struct FailedAttempts(u64);

impl FailedAttempts {
    /// Takes in what became of an attempt.
    pub fn take(&mut self, path: &Path, result: &io::Result<()>) {
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

    /// Whether the last one failed.
    pub fn is_failing(&self) -> bool {
        self.0 > 0
    }
}

/// What the worker does: each file as it was last given, until it is in place.
struct Work {
    given: Receiver<Job>,
    /// Files that could not be put in place.
    owed: BTreeMap<PathBuf, Vec<u8>>,
    failed: BTreeMap<PathBuf, FailedAttempts>,
    backoff: Backoff,
}

impl Work {
    fn run(mut self) {
        loop {
            let wait =
                (!self.owed.is_empty()).then(|| Duration::from_micros(self.backoff.next_delay()));
            let next = match wait {
                Some(wait) => self.given.recv_timeout(wait),
                None => self
                    .given
                    .recv()
                    .map_err(|_| RecvTimeoutError::Disconnected),
            };
            match next {
                Ok(Job { path, bytes }) => {
                    self.owed.remove(&path);
                    self.put(path, bytes);
                }
                Err(RecvTimeoutError::Timeout) => self.put_owed(),
                // The process ends: a last attempt.
                Err(RecvTimeoutError::Disconnected) => return self.put_owed(),
            }
        }
    }

    fn put_owed(&mut self) {
        for (path, bytes) in std::mem::take(&mut self.owed) {
            self.put(path, bytes);
        }
    }

    fn put(&mut self, path: PathBuf, bytes: Vec<u8>) {
        let result = replace(&path, &bytes);
        let failed = self.failed.entry(path.clone()).or_default();
        failed.take(&path, &result);
        match result {
            Ok(()) => self.backoff.reset(),
            Err(_) => drop(self.owed.insert(path, bytes)),
        }
    }
}

impl Disk {
    /// Starts the worker.
    pub fn start(name: &str) -> io::Result<Self> {
        let (jobs, given) = bounded::<Job>(QUEUE);
        let work = Work {
            given,
            owed: BTreeMap::new(),
            failed: BTreeMap::new(),
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, u64::from(std::process::id())),
        };
        let worker = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || work.run())?;
        Ok(Disk {
            jobs: Some(jobs),
            worker: Some(worker),
        })
    }

    /// Hands a job over; false where too many wait.
    pub fn give(&self, job: Job) -> bool {
        self.jobs
            .as_ref()
            .is_some_and(|jobs| jobs.try_send(job).is_ok())
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

#[cfg(test)]
mod tests;
