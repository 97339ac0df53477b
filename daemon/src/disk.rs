//! A worker thread that puts files in place. The loop hands jobs over by a bounded queue and never waits for a disk.

use crossbeam_channel::{bounded, Sender};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};

/// A file to be put in place as a whole.
pub struct Job {
    /// Where.
    pub path: PathBuf,
    /// What.
    pub bytes: Vec<u8>,
}

/// The worker. What was given is written before it is dropped.
pub struct Disk {
    jobs: Option<Sender<Job>>,
    worker: Option<JoinHandle<()>>,
}

/// Jobs that wait; one more is not taken.
const QUEUE: usize = 2;

/// Puts a file in place so that it is there whole, or as it was before: also where the power fails half-way.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    // Named by the process: the old and the new one of an upgrade may put the same file in place at once, and one
    // must not write into the other's half-written file.
    let mut beside = path.as_os_str().to_owned();
    beside.push(format!(".{}.new", std::process::id()));
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    // The new name is only there for good once its folder is written too.
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

impl Disk {
    /// Starts the worker.
    pub fn start(name: &str) -> io::Result<Self> {
        let (jobs, given) = bounded::<Job>(QUEUE);
        let work = move || {
            let mut failing = false;
            for job in given {
                match replace(&job.path, &job.bytes) {
                    Ok(()) if std::mem::take(&mut failing) => {
                        log::info!("{} is written again", job.path.display());
                    }
                    Ok(()) => {}
                    // Said once: a full disk stays full for long.
                    Err(e) if !std::mem::replace(&mut failing, true) => {
                        log::error!(
                            "{} can't be written, and stays as it was: {e}",
                            job.path.display()
                        );
                    }
                    Err(_) => {}
                }
            }
        };
        let worker = thread::Builder::new().name(name.to_owned()).spawn(work)?;
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
mod tests {
    use super::*;

    #[test]
    fn files_are_whole_or_as_before_and_a_lost_disk_ends_nothing() {
        let folder = std::env::temp_dir().join(format!("linnetknot-disk-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let path = folder.join("list");
        let disk = Disk::start("test").unwrap();
        let mut taken = 0;
        while taken < 20 {
            taken += usize::from(disk.give(Job {
                path: path.clone(),
                bytes: vec![taken as u8; 1000],
            }));
        }
        drop(disk);
        assert_eq!(
            fs::read(&path).unwrap(),
            vec![19; 1000],
            "all that was given is written at the end"
        );
        assert!(!folder
            .join(format!("list.{}.new", std::process::id()))
            .exists());
        assert_eq!(
            fs::read_dir(&folder).unwrap().count(),
            1,
            "nothing is left beside it"
        );
        // The folder is gone: the worker goes on, and what it is given later is written once the folder is back.
        fs::remove_dir_all(&folder).unwrap();
        let disk = Disk::start("test").unwrap();
        assert!(disk.give(Job {
            path: path.clone(),
            bytes: vec![1]
        }));
        assert!(replace(&path, b"x").is_err());
        drop(disk);
        fs::create_dir_all(&folder).unwrap();
        let disk = Disk::start("test").unwrap();
        assert!(disk.give(Job {
            path: path.clone(),
            bytes: vec![2]
        }));
        drop(disk);
        assert_eq!(fs::read(&path).unwrap(), [2]);
        fs::remove_dir_all(&folder).unwrap();
    }
}
