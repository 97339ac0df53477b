//! The worker thread before the file: a bounded queue, many writes to one sync, and a word for each.

use crate::{Fault, Store, Write};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use std::io;
use std::thread::{self, JoinHandle};

/// Number of a write, in the order in which they were given.
pub type Ticket = u64;

/// Most writes that go to the disk with one sync.
const GROUP: usize = 1_024;

/// What became of writes that went to the disk together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// The last of them, all that were given before and of which no word came included.
    pub to: Ticket,
    /// Whether they are on the disk. After a fault they may be or not, and are to be given again.
    pub result: Result<(), Fault>,
}

/// The worker.
#[derive(Debug)]
pub struct Keeper {
    jobs: Sender<(Ticket, Write)>,
    done: Receiver<Done>,
    worker: JoinHandle<Store>,
    given: Ticket,
    /// The last ticket of which word came.
    heard: Ticket,
    most: usize,
}

fn commit(store: &mut Store, group: &[Write]) -> Result<(), Fault> {
    // Points at which tests end the process or have the disk fail; nothing at all in a release build.
    fail::fail_point!("store-commits");
    fail::fail_point!("store-fails", |_| Err(Fault::Disk(
        "no space is left".into()
    )));
    store.commit(group)?;
    fail::fail_point!("store-committed");
    Ok(())
}

/// Commits that failed in a row. Said at their begin and at their end: a full disk stays full for long.
#[derive(Default)]
struct Failures {
    commits: u64,
    writes: u64,
}

impl Failures {
    fn take(&mut self, result: &Result<(), Fault>, writes: usize) {
        match result {
            Ok(()) if self.commits > 0 => {
                let Failures { commits, writes } = std::mem::take(self);
                log::info!(failed_commits = commits, failed_writes = writes; "the store is written again");
            }
            Ok(()) => {}
            Err(e) => {
                if self.commits == 0 {
                    log::error!(writes = writes; "the store can't be written: {e}");
                }
                self.commits += 1;
                self.writes += writes as u64;
            }
        }
    }
}

fn work(
    mut store: Store,
    jobs: &Receiver<(Ticket, Write)>,
    done: &Sender<Done>,
    wake: &dyn Fn(),
) -> Store {
    let mut failures = Failures::default();
    while let Ok((mut to, first)) = jobs.recv() {
        // What came while the disk was busy goes with the next sync, all of it.
        let mut group = vec![first];
        while group.len() < GROUP {
            let Ok((ticket, next)) = jobs.try_recv() else {
                break;
            };
            group.push(next);
            to = ticket;
        }
        let result = commit(&mut store, &group);
        failures.take(&result, group.len());
        // Nobody listens any more once the keeper is being closed.
        let _ = done.send(Done { to, result });
        wake();
    }
    store
}

impl Keeper {
    /// Starts the worker under a name, for so many writes that wait or whose word was not taken yet. `wake` is called
    /// on the worker's thread whenever there is word.
    pub fn start(
        name: &str,
        store: Store,
        most: usize,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<Self> {
        let (jobs, given) = bounded(most.max(1));
        // Never longer than what was given and not heard of, which `most` bounds.
        let (tell, done) = unbounded();
        let work = move || work(store, &given, &tell, &wake);
        let worker = thread::Builder::new().name(name.to_owned()).spawn(work)?;
        Ok(Keeper {
            jobs,
            done,
            worker,
            given: 0,
            heard: 0,
            most: most.max(1),
        })
    }

    /// Writes that may be given now.
    pub fn room(&self) -> usize {
        self.most
            - usize::try_from(self.given - self.heard)
                .unwrap_or(usize::MAX)
                .min(self.most)
    }

    /// Hands a write over; none where there is no room, and nothing was taken.
    pub fn give(&mut self, write: Write) -> Option<Ticket> {
        if self.room() == 0 {
            return None;
        }
        self.jobs.try_send((self.given + 1, write)).ok()?;
        self.given += 1;
        Some(self.given)
    }

    /// Word of what became of writes, oldest first, if any has come.
    pub fn done(&mut self) -> Option<Done> {
        let done = self.done.try_recv().ok()?;
        self.heard = done.to;
        Some(done)
    }

    /// Ends the worker once all that was given is written, and hands the file back with the last words. Waits for the
    /// disk.
    pub fn close(self) -> Option<(Store, Vec<Done>)> {
        drop(self.jobs);
        let store = self.worker.join().ok()?;
        Some((store, self.done.try_iter().collect()))
    }
}
