//! Fail points: named points of the daemon's work at which a process is killed, stops, or meets an error, so that tests can
//! end it in the middle of a commit. Only builds with the feature `points` have them, which no release build does: without
//! it each `fail_point!` is nothing at all.
//!
//! `LINNETKNOT_POINTS=store-committed=die;admin-kept=stall` arms them at the start. System calls fail with
//! `sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31)`, and move few bytes with `sys-read=short(1)` (`net::injection`).
//! `clock=-3600` among them starts the process with a wall clock that is so many seconds off.

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
/// The name under which an offset of the wall clock is given.
const CLOCK: &str = "clock";
/// What the names of system calls begin with.
const SYSTEM_CALL_PREFIX: &str = "sys-";
/// What the name of a point begins with that is armed a while after the start.
const LATE_PREFIX: &str = "late-";
const MICROS_PER_SECOND: i64 = 1_000_000;

/// How far the wall clock of this process is off, in microseconds.
static CLOCK_OFFSET_US: AtomicI64 = AtomicI64::new(0);

/// The points, in the order in which a promise passes them.
pub const POINTS: [&str; 27] = [
    // A purge that a neighbour told: before the peers are told and after; before the store's worker writes and after;
    // and once enough have it, before the answer.
    "peers-tell",
    "peers-told",
    "store-commits",
    "store-committed",
    "promise-kept",
    // The disk takes nothing more (`fail`).
    "store-fails",
    // Calls to the file system, of the store and of files that are put in place as a whole (`ERRNO`).
    "disk-open",
    "disk-read",
    "disk-write",
    "disk-sync",
    "disk-truncate",
    "disk-rename",
    // At a peer that has it on its disk, before it says so.
    "holder-says",
    // At a proxy that is behind what its peers compacted, when a chunk of their snapshot is in force; and one that gets
    // no chunk at all (`fail`).
    "snapshot-chunk",
    "snapshot-lost",
    // Faults that rehearsals plant, so that their rules have something to find (`fail`): a yes before the copy, a
    // catch-up that skips what is missing, a replaced process that goes on promising.
    "plant-credit",
    "plant-skip",
    "plant-no-fence",
    // And entries that leave the disk before the buckets that hold their purges are synced.
    "plant-early-removal",
    // A ban or drain at the admin listener: before its file is put in place, between the two, and after both.
    "admin-keeps",
    "admin-kept-once",
    "admin-kept",
    // An allocator that has decided on leases of what all spend: before their holders learn of them and after.
    "budgets-grant",
    "budgets-granted",
    // Faults that rehearsals plant: a holder that ignores its lease's end, an allocator that does not wait for its
    // forerunner's votes, floors that are not counted.
    "plant-lease",
    "plant-votes",
    "plant-floors",
];

/// How far the wall clock of this process is off, in microseconds.
pub(crate) fn clock_offset_us() -> i64 {
    CLOCK_OFFSET_US.load(Ordering::Relaxed)
}

/// Arms the points that the environment names.
///
/// # Errors
/// Fails on an unknown point or action, and where system calls are armed already.
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
    let (name, is_late) = match name.strip_prefix(LATE_PREFIX) {
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
                .arm(name, is_late)
        }
    }
    .map_err(ArmError::Action)
}

/// A signal to the own process is delivered before the call returns; a stopped process continues from here.
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

/// A system call by its name, and how it is to fail.
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
