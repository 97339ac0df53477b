//! Logs failing system calls in episodes: one line at the first failure, and one line with the counts when the call has
//! not failed for a while.

use super::errno::{Call, Failure};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The time without failures after which an episode ends.
const EPISODE_END: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Episode {
    failures: u64,
    started: Instant,
    last: Instant,
}

/// The current episodes, one for each failing call.
#[derive(Debug, Default)]
pub struct FailureLog {
    open: BTreeMap<Call, Episode>,
}

/// An episode that has ended, with the counts for its log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedEpisode {
    /// The system call whose failures were counted.
    pub call: Call,
    /// The number of failures in the episode.
    pub failures: u64,
    /// The time from the first failure to the last.
    pub lasted: Duration,
}

impl FailureLog {
    /// Counts a failure. Returns true if it starts an episode.
    pub fn record(&mut self, now: Instant, call: Call) -> bool {
        let episode = self.open.entry(call).or_insert(Episode {
            failures: 0,
            started: now,
            last: now,
        });
        episode.failures += 1;
        episode.last = now;
        episode.failures == 1
    }

    /// Removes and returns the episodes that have ended.
    pub fn take_ended(&mut self, now: Instant) -> Vec<EndedEpisode> {
        self.take(|episode| now.duration_since(episode.last) >= EPISODE_END)
    }

    fn take(&mut self, has_ended: impl Fn(&Episode) -> bool) -> Vec<EndedEpisode> {
        let mut ended = Vec::new();
        self.open.retain(|call, episode| {
            let has_ended = has_ended(episode);
            if has_ended {
                ended.push(EndedEpisode {
                    call: *call,
                    failures: episode.failures,
                    lasted: episode.last.duration_since(episode.started),
                });
            }
            !has_ended
        });
        ended
    }
}

thread_local! {
    /// The log is local to the thread, because the event loop makes all system calls on one thread.
    static FAILURE_LOG: RefCell<FailureLog> = RefCell::new(FailureLog::default());
}

/// Counts a failure that is caused by this process or machine, or a connection that was lost before it was accepted.
/// Other failures of single connections are normal and not logged.
pub(super) fn record(failure: &Failure) {
    let is_logged = failure.is_local() || failure.call == Call::Accept;
    if is_logged
        && FAILURE_LOG
            .with_borrow_mut(|failure_log| failure_log.record(Instant::now(), failure.call))
    {
        log::warn!(call = failure.call.name(), kind:? = failure.kind; "a system call fails: {failure}");
    }
}

/// Logs the episodes that have ended. Called in each turn of the event loop.
pub fn log_ended() {
    write_all(FAILURE_LOG.with_borrow_mut(|failure_log| {
        if failure_log.open.is_empty() {
            Vec::new()
        } else {
            failure_log.take_ended(Instant::now())
        }
    }));
}

/// Logs all episodes, including those that have not ended, when the process ends.
pub fn log_all() {
    write_all(FAILURE_LOG.with_borrow_mut(|failure_log| failure_log.take(|_| true)));
}

fn write_all(ended: Vec<EndedEpisode>) {
    for episode in ended {
        log::warn!(
            call = episode.call.name(),
            failures = episode.failures,
            lasted_ms = episode.lasted.as_millis() as u64;
            "a system call no longer fails"
        );
    }
}
