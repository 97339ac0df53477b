//! Shares the ids of requests that may have run between the two processes of an upgrade, which are one proxy to clients. A
//! request that must not run twice may come to either of them, so each process appends the ids of those that it sends to
//! a [shared log](crate::shared_log).

use crate::shared_log::{SharedFile, SharedLog, SharedRecords};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The end of the line of a request that may have run.
const MAY_HAVE_RUN: &str = "may-have-run";
/// The end of the line of a request that has not run after all.
const HAS_NOT_RUN: &str = "has-not-run";

/// What a process reports of a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Execution {
    /// A random number that identifies the process.
    pub process: u64,
    /// The id of the request.
    pub id: u64,
    /// Whether the request may have run. If not, an earlier report is withdrawn.
    pub may_have_run: bool,
}

/// The latest report of each process on each request. Above the capacity, the oldest report is dropped.
#[derive(Clone, Debug, Default)]
pub struct ExecutionSet {
    may_have_run: HashMap<(u64, u64), bool>,
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

    fn add(&mut self, record: Execution) {
        let key = (record.process, record.id);
        if self.may_have_run.insert(key, record.may_have_run).is_none() {
            self.by_age.push_back(key);
        }
        if self.by_age.len() > Self::CAPACITY {
            let oldest = self.by_age.pop_front();
            oldest.map(|key| self.may_have_run.remove(&key));
        }
    }

    fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    fn into_records(self) -> impl Iterator<Item = Execution> {
        let may_have_run = self.may_have_run;
        self.by_age.into_iter().map(move |key| Execution {
            process: key.0,
            id: key.1,
            may_have_run: may_have_run.get(&key).copied().unwrap_or_default(),
        })
    }

    fn line(record: &Execution) -> Option<String> {
        let state = if record.may_have_run {
            MAY_HAVE_RUN
        } else {
            HAS_NOT_RUN
        };
        Some(format!(
            "{:016x} {:016x} {state}",
            record.process, record.id
        ))
    }

    fn parse(line: &[u8]) -> Option<Execution> {
        let text = std::str::from_utf8(line).ok()?;
        let mut words = text.split(' ');
        let mut number = || u64::from_str_radix(words.next()?, 16).ok();
        let (process, id) = (number()?, number()?);
        let may_have_run = match words.next()? {
            MAY_HAVE_RUN => true,
            HAS_NOT_RUN => false,
            _ => return None,
        };
        Some(Execution {
            process,
            id,
            may_have_run,
        })
    }
}

/// The maximum length of a line with its end: two numbers of 16 digits and the state.
const MAX_LINE_BYTES: usize = 2 * 17 + MAY_HAVE_RUN.len() + 1;

/// The file of shared executions.
pub type ExecutionFile = SharedFile<ExecutionSet>;
/// The handle of the thread that reads and writes the file.
pub type SharedExecutions = SharedLog<ExecutionSet>;
