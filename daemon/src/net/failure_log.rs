//! Spells of failing system calls in the log: one line when the first call fails and one, with the counts, once none has
//! failed for a while.

use super::errno::{Call, Failure};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A spell is over once no call has failed for so long.
const QUIET: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Episode {
    failures: u64,
    begun: Instant,
    last: Instant,
}

/// The spells that go on, by the call that fails.
#[derive(Debug, Default)]
pub struct FailureLog {
    open: BTreeMap<Call, Episode>,
}

/// A spell that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedEpisode {
    /// The call that failed.
    pub call: Call,
    /// How often it failed.
    pub failures: u64,
    /// From the first failure to the last.
    pub lasted: Duration,
}

impl FailureLog {
    /// Counts a failure. True: a spell has begun with it.
    pub fn record(&mut self, now: Instant, call: Call) -> bool {
        let episode = self.open.entry(call).or_insert(Episode {
            failures: 0,
            begun: now,
            last: now,
        });
        episode.failures += 1;
        episode.last = now;
        episode.failures == 1
    }

    /// Takes out the spells that are over.
    pub fn take_ended(&mut self, now: Instant) -> Vec<EndedEpisode> {
        self.take(|episode| now.duration_since(episode.last) >= QUIET)
    }

    fn take(&mut self, is_over: impl Fn(&Episode) -> bool) -> Vec<EndedEpisode> {
        let mut ended = Vec::new();
        self.open.retain(|call, episode| {
            let over = is_over(episode);
            if over {
                ended.push(EndedEpisode {
                    call: *call,
                    failures: episode.failures,
                    lasted: episode.last.duration_since(episode.begun),
                });
            }
            !over
        });
        ended
    }
}

thread_local! {
    /// The event loop is one thread, which makes all of the calls.
    static FAILURE_LOG: RefCell<FailureLog> = RefCell::new(FailureLog::default());
}

/// Counts a failure that lies with this machine or process, or a connection lost before it was accepted; what ends one
/// connection is everyday and not logged.
pub(super) fn record(failure: &Failure) {
    let is_logged = failure.is_local() || failure.call == Call::Accept;
    if is_logged
        && FAILURE_LOG
            .with_borrow_mut(|failure_log| failure_log.record(Instant::now(), failure.call))
    {
        log::warn!(call = failure.call.name(), kind:? = failure.kind; "system calls fail: {failure}");
    }
}

/// Logs the spells that have ended; called in each turn of the loop.
pub fn log_ended() {
    write_all(FAILURE_LOG.with_borrow_mut(|failure_log| {
        if failure_log.open.is_empty() {
            Vec::new()
        } else {
            failure_log.take_ended(Instant::now())
        }
    }));
}

/// Logs all spells, also those that go on: the process ends.
pub fn log_all() {
    write_all(FAILURE_LOG.with_borrow_mut(|failure_log| failure_log.take(|_| true)));
}

fn write_all(ended: Vec<EndedEpisode>) {
    for episode in ended {
        log::warn!(
            call = episode.call.name(),
            failures = episode.failures,
            lasted_ms = episode.lasted.as_millis() as u64;
            "system calls have stopped failing"
        );
    }
}
