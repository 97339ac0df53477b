//! Fail points: named points at which a process is killed, is stopped or gets an error, for tests of failures in the
//! middle of an operation. Only builds with the feature `points` have them, which release builds do not; without it
//! `fail_point!` expands to nothing.
//!
//! `LINNETKNOT_POINTS=store-committed=die;admin-kept=stall` arms points at the start. System calls fail with
//! `sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31)`, and transfer few bytes with `sys-read=short(1)` (`net::injection`).
//! `clock=-3600` offsets the wall clock of the process by this number of seconds.

mod error;
mod transient;

pub use error::ArmError;

use crate::net::injection::{self, Plan};
use crate::net::Call;
use rustix::process::{getpid, kill_process, Signal};
use std::sync::atomic::{AtomicI64, Ordering};
use transient::TransientError;

/// The environment variable that arms the points.
const VARIABLE: &str = "LINNETKNOT_POINTS";
/// The name of the offset of the wall clock.
const CLOCK: &str = "clock";
/// The prefix of the names of system calls.
const SYSTEM_CALL_PREFIX: &str = "sys-";
/// The prefix of the names of points that are armed some time after the start.
const LATE_PREFIX: &str = "late-";
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The offset of the wall clock of this process, in microseconds.
static CLOCK_OFFSET_US: AtomicI64 = AtomicI64::new(0);

/// The points, in the order in which a commit passes them.
pub const POINTS: [&str; 27] = [
    // A purge by a peer CDN: before and after it is sent to the peers, before and after the store's worker commits it,
    // and once enough proxies have it, before the response.
    "peers-tell",
    "peers-told",
    "store-commits",
    "store-committed",
    "promise-kept",
    // The store fails to write (`fail`).
    "store-fails",
    // Calls to the file system, of the store and of files that are replaced atomically (`ERRNO`).
    "disk-open",
    "disk-read",
    "disk-write",
    "disk-sync",
    "disk-truncate",
    "disk-rename",
    // At a peer with the durable purge, before it acknowledges it.
    "holder-says",
    // At a proxy that receives a snapshot: after a chunk of the snapshot is applied, and when no chunk arrives
    // (`fail`).
    "snapshot-chunk",
    "snapshot-lost",
    // Faults that rehearsals inject to test their rules (`fail`): an acknowledgement before the purge is durable, a
    // recovery that skips missing entries, and a replaced process that continues to commit.
    "plant-credit",
    "plant-skip",
    "plant-no-fence",
    // The same: entries that are removed before the buckets with their purges are synced.
    "plant-early-removal",
    // A ban or drain at the admin listener: before its first file is replaced, between the two, and after both.
    "admin-keeps",
    "admin-kept-once",
    "admin-kept",
    // An allocator that has decided on leases: before and after it sends them to their holders.
    "budgets-grant",
    "budgets-granted",
    // Faults that rehearsals inject: a holder that ignores the end of its lease, a candidate that counts a vote of each
    // member that it asks, and reserved minimums that are not counted against the limit.
    "plant-lease",
    "plant-votes",
    "plant-floors",
];

/// Returns the offset of the wall clock of this process, in microseconds.
pub(crate) fn clock_offset_us() -> i64 {
    CLOCK_OFFSET_US.load(Ordering::Relaxed)
}

/// Arms the points that the environment names.
///
/// # Errors
/// Fails on an unknown point or action, and if system calls are already armed.
pub fn arm() -> Result<(), ArmError> {
    let Ok(text) = std::env::var(VARIABLE) else {
        return Ok(());
    };
    let mut plans = Vec::new();
    for part in text.split(';').filter(|part| !part.is_empty()) {
        let (name, action) = part.split_once('=').unwrap_or((part, ""));
        if let Some(call) = name.strip_prefix(SYSTEM_CALL_PREFIX) {
            plans.push(system_call(part, call, action)?);
        } else if name.strip_prefix(LATE_PREFIX).unwrap_or(name) == CLOCK {
            set_clock_offset(action)?;
        } else {
            arm_point(part, name, action)?;
        }
    }
    injection::arm_process(plans).map_err(|e| ArmError::AlreadyArmed(e.to_string()))
}

fn arm_point(part: &str, name: &str, action: &str) -> Result<(), ArmError> {
    let (name, is_delayed) = match name.strip_prefix(LATE_PREFIX) {
        Some(name) => (name, true),
        None => (name, false),
    };
    if !POINTS.contains(&name) {
        return Err(ArmError::UnknownPoint(name.to_owned()));
    }
    match action {
        "die" => fail::cfg_callback(name, || send_to_self(Signal::KILL)),
        "stall" => fail::cfg_callback(name, || send_to_self(Signal::STOP)),
        "fail" => fail::cfg(name, "return"),
        action => {
            return TransientError::parse(action)
                .ok_or_else(|| ArmError::UnknownAction(part.to_owned()))?
                .arm(name, is_delayed)
        }
    }
    .map_err(ArmError::Action)
}

/// A signal to the own process is delivered before the call returns. A stopped process continues from here.
fn send_to_self(signal: Signal) {
    let _ = kill_process(getpid(), signal);
}

fn set_clock_offset(offset: &str) -> Result<(), ArmError> {
    let seconds: i64 = offset.parse().map_err(|source| ArmError::ClockOffset {
        offset: offset.to_owned(),
        source,
    })?;
    CLOCK_OFFSET_US.store(seconds * MICROS_PER_SECOND, Ordering::Relaxed);
    Ok(())
}

/// Parses the name of a system call and its plan.
fn system_call(part: &str, name: &str, plan: &str) -> Result<(Call, Plan), ArmError> {
    let fault = |reason: String| ArmError::SystemCall {
        part: part.to_owned(),
        reason,
    };
    let call = Call::ALL.into_iter().find(|call| call.name() == name);
    let call = call.ok_or_else(|| fault(format!("there is no system call '{name}'")))?;
    let plan = Plan::parse(plan).map_err(|e| fault(e.to_string()))?;
    Ok((call, plan))
}
