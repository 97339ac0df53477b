//! Fail points: named points in the code at which tests kill the process, stop it or inject an error. They exist only
//! in builds with the feature `points`, which release builds do not enable; without it, `fail_point!` expands to
//! nothing.
//!
//! `LINNETKNOT_POINTS=store-committed=die;admin-kept=stall` sets points at the start.
//! `sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31)` lets system calls fail, and `sys-read=short(1)` limits the bytes that
//! they transfer (`net::injection`). `clock=-3600` offsets the wall clock of the process by this number of seconds.

mod error;
mod transient;

pub use error::ArmError;

use crate::net::injection::{self, Plan};
use crate::net::Call;
use rustix::process::{getpid, kill_process, Signal};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use transient::TransientError;

/// The environment variable that sets fail points.
const VARIABLE: &str = "LINNETKNOT_POINTS";
/// The key of the wall clock offset in the variable.
const CLOCK: &str = "clock";
/// The prefix of the names of system calls.
const SYSTEM_CALL_PREFIX: &str = "sys-";
/// The prefix of names of points that are set some time after the start.
const LATE_PREFIX: &str = "late-";
/// The prefix of the action `stall+3`, which stops the process once, after three passes.
const STALL_AFTER_PREFIX: &str = "stall+";
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The offset of the wall clock of this process, in microseconds.
static CLOCK_OFFSET_US: AtomicI64 = AtomicI64::new(0);

/// The names of all points, grouped by operation and in the order in which an operation passes them.
pub const POINTS: [&str; 30] = [
    // A purge by a peer CDN: before and after it is sent to the peers, before and after the worker of the store commits
    // it, and before the response, once enough proxies have acknowledged it.
    "peers-tell",
    "peers-told",
    "store-commits",
    "store-committed",
    "promise-kept",
    // At this point, a write of the store fails (`fail`).
    "store-fails",
    // Calls to the file system by the store and by atomic replacement of files (`ERRNO`).
    "disk-open",
    "disk-read",
    "disk-write",
    "disk-sync",
    "disk-truncate",
    "disk-rename",
    // At a peer that has synced a purge, before the peer acknowledges it.
    "holder-says",
    // At a proxy that receives a snapshot: after a chunk of the snapshot is applied, and when no chunk arrives
    // (`fail`).
    "snapshot-chunk",
    "snapshot-lost",
    // Faults in the protocol, injected by fleet tests to verify that their checks detect such faults (`fail`): an
    // acknowledgement before the purge is durable, a recovery that skips missing entries, and a replaced process that
    // continues to commit.
    "plant-credit",
    "plant-skip",
    "plant-no-fence",
    // A fault in compaction, for the same purpose: entries are removed before the buckets with their purges are synced.
    "plant-early-removal",
    // A ban or drain at the admin listener: before the first copy of the state is replaced, between the two copies, and
    // after both.
    "admin-keeps",
    "admin-kept-once",
    "admin-kept",
    // The end of a process of an upgrade: before it hands its datagrams of peers over to the next process, and after it
    // has read the last one.
    "purge-hand-over",
    "purge-handed-over",
    // An allocator of budgets: before and after it sends granted leases to their holders.
    "budgets-grant",
    "budgets-granted",
    // An attempt that the decision module has started, before it is queued on a connection.
    "attempt-send",
    // Faults in shared budgets, for the same purpose: a holder that spends an expired lease, a candidate that
    // counts every vote it requests as granted, and an allocator that does not count the reserved minimums against the
    // limit.
    "plant-lease",
    "plant-votes",
    "plant-floors",
];

/// Returns the offset of the wall clock of this process, in microseconds.
pub(crate) fn clock_offset_us() -> i64 {
    CLOCK_OFFSET_US.load(Ordering::Relaxed)
}

/// Sets the fail points that the environment variable names.
///
/// # Errors
/// Fails on an unknown point or action, and if failures of system calls were already set.
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
            if let Some(passes) = action.strip_prefix(STALL_AFTER_PREFIX) {
                let passes = passes.parse();
                let passes = passes.map_err(|_| ArmError::UnknownAction(part.to_owned()))?;
                return stall_once_after(name, passes);
            }
            return TransientError::parse(action)
                .ok_or_else(|| ArmError::UnknownAction(part.to_owned()))?
                .arm(name, is_delayed);
        }
    }
    .map_err(ArmError::Action)
}

/// Sets a point to stop this process once, after it was passed this many times.
fn stall_once_after(name: &str, passes: u64) -> Result<(), ArmError> {
    let passed = AtomicU64::new(0);
    let stall = move || {
        if passed.fetch_add(1, Ordering::Relaxed) == passes {
            send_to_self(Signal::STOP);
        }
    };
    fail::cfg_callback(name, stall).map_err(ArmError::Action)
}

/// Sends a signal to this process, which is delivered before the call returns. A stopped process continues after the
/// call.
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
