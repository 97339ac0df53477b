//! Shares the ids of requests that may have run between the two processes of an upgrade, which are one proxy to clients. A
//! request that must not run twice may come to either of them, so each process appends the ids of those that it sends to
//! a [shared log](crate::shared_log).

use crate::shared_log::{SharedFile, SharedRecords};
use rustix::time::{clock_gettime, ClockId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The end of the line of a request that may have run.
const MAY_HAVE_RUN: &str = "may-have-run";
/// The end of the line of a request that has not run after all.
const HAS_NOT_RUN: &str = "has-not-run";

/// The maximum length of a line with its end: three numbers of 16 digits and the state.
const MAX_LINE_BYTES: usize = 3 * 17 + MAY_HAVE_RUN.len() + 1;
/// The age above which a report has no effect. No client waits as long for an answer.
const MAX_AGE_MS: u64 = 60_000;

/// What a process reports of a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Execution {
    /// A random number that identifies the process.
    pub process: u64,
    /// The id of the request.
    pub id: u64,
    /// The time of the report by the monotonic clock of the machine, in milliseconds.
    pub at_ms: u64,
    /// Whether the request may have run. If not, an earlier report is withdrawn.
    pub may_have_run: bool,
}

impl Execution {
    /// Returns whether the report is from the last `MAX_AGE_MS`. A report from before a restart of the machine, whose
    /// clock began anew, may seem to be in the future.
    pub fn is_recent(&self, now_ms: u64) -> bool {
        now_ms
            .checked_sub(self.at_ms)
            .is_some_and(|age_ms| age_ms <= MAX_AGE_MS)
    }
}

/// Returns the time by the monotonic clock of the machine, which all its processes share, in milliseconds.
pub fn machine_time_ms() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let (seconds, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    seconds * 1_000 + nanos / 1_000_000
}

/// The latest report of each process on each request. Above the capacity, the oldest report is dropped.
#[derive(Clone, Debug, Default)]
pub struct ExecutionSet {
    latest: HashMap<(u64, u64), Execution>,
    by_age: VecDeque<(u64, u64)>,
}

impl ExecutionSet {
    /// The maximum number of reports.
    pub const CAPACITY: usize = 16_384;
}

impl SharedRecords for ExecutionSet {
    type Record = Execution;

    const FILE_NAME: &'static str = "linnetknot-executions.log";
    const THREAD_NAME: &'static str = "linnetknot-executions";
    const MAX_FILE_BYTES: u64 = 2 * (Self::CAPACITY * MAX_LINE_BYTES) as u64;
    // A client that has left may send its request again at once.
    const POLL_INTERVAL: Duration = Duration::from_millis(10);

    /// Adds a report. An older one, as after a failed write, does not replace a newer one.
    fn add(&mut self, record: Execution) {
        let key = (record.process, record.id);
        let known = self.latest.get(&key);
        if known.is_some_and(|known| known.at_ms > record.at_ms) {
            return;
        }
        if self.latest.insert(key, record).is_none() {
            self.by_age.push_back(key);
        }
        if self.by_age.len() > Self::CAPACITY {
            if let Some(oldest) = self.by_age.pop_front() {
                self.latest.remove(&oldest);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    fn into_records(self) -> impl Iterator<Item = Execution> {
        let mut latest = self.latest;
        let by_age = self.by_age.into_iter();
        by_age.filter_map(move |key| latest.remove(&key))
    }

    fn line(record: &Execution) -> Option<String> {
        let state = if record.may_have_run {
            MAY_HAVE_RUN
        } else {
            HAS_NOT_RUN
        };
        let Execution {
            process, id, at_ms, ..
        } = record;
        Some(format!("{process:016x} {id:016x} {at_ms:016x} {state}"))
    }

    fn parse(line: &[u8]) -> Option<Execution> {
        let text = std::str::from_utf8(line).ok()?;
        let mut words = text.split(' ');
        let mut number = || u64::from_str_radix(words.next()?, 16).ok();
        let (process, id, at_ms) = (number()?, number()?, number()?);
        let may_have_run = match words.next()? {
            MAY_HAVE_RUN => true,
            HAS_NOT_RUN => false,
            _ => return None,
        };
        Some(Execution {
            process,
            id,
            at_ms,
            may_have_run,
        })
    }
}

/// The file of shared executions.
pub type ExecutionFile = SharedFile<ExecutionSet>;
