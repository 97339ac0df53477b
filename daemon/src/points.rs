//! Named points of the daemon's work at which a process stops dead or stands still, so that tests can end it in the
//! middle of a promise. Only builds with the feature `points` have them, which no release build does: without it each
//! `fail_point!` is nothing at all.
//!
//! `LINNETKNOT_POINTS=store-committed=die;admin-kept=stall` arms them at the start. System calls fail with
//! `sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(31)`, and move few bytes with `sys-read=short(1)` (`net::injection`).
//! `clock=-3600` among them starts the process with a wall clock that is so many seconds off.

use crate::net::injection::{self, Plan};
use crate::net::Call;
use rustix::process::{getpid, kill_process, Signal};
use std::sync::atomic::{AtomicI64, Ordering};
use std::thread;
use std::time::Duration;

/// The name under which an offset of the wall clock is given.
const CLOCK: &str = "clock";
const MICROS_PER_SECOND: i64 = 1_000_000;
/// How far the wall clock of this process is off, in microseconds.
static CLOCK_OFFSET_US: AtomicI64 = AtomicI64::new(0);

/// How far the wall clock of this process is off, in microseconds.
pub(crate) fn clock_offset_us() -> i64 {
    CLOCK_OFFSET_US.load(Ordering::Relaxed)
}

fn set_clock_offset(seconds: &str) -> Result<(), String> {
    let seconds: i64 = seconds
        .parse()
        .map_err(|e| format!("LINNETKNOT_POINTS: '{CLOCK}={seconds}': {e}"))?;
    CLOCK_OFFSET_US.store(seconds * MICROS_PER_SECOND, Ordering::Relaxed);
    Ok(())
}

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

/// What happens at a point that is armed.
fn meet(signal: Signal) {
    // A signal of one's own is taken before the call returns; stopped, the process goes on from here when it is let.
    let _ = kill_process(getpid(), signal);
}

/// How long after the start a spell begins that is armed as `late-NAME=ERRNO`: the process has opened its files by then.
const LATE: Duration = Duration::from_millis(500);

/// Calls that fail with an errno: `EIO` for good, `EIO*2` twice, `EIO@1500` for so many milliseconds, `EIO+3` behind three
/// that do not.
struct Spell<'a> {
    errno: &'a str,
    before: usize,
    times: Option<usize>,
    lasts: Option<Duration>,
}

impl<'a> Spell<'a> {
    fn read(act: &'a str) -> Option<Self> {
        let (rest, lasts) = match act.split_once('@') {
            Some((rest, ms)) => (rest, Some(Duration::from_millis(ms.parse().ok()?))),
            None => (act, None),
        };
        let (errno, times) = match rest.split_once('*') {
            Some((errno, times)) => (errno, Some(times.parse().ok()?)),
            None => (rest, None),
        };
        let (errno, before) = match errno.split_once('+') {
            Some((errno, before)) => (errno, before.parse().ok()?),
            None => (errno, 0),
        };
        let is_errno = errno.len() > 1 && errno.bytes().all(|byte| byte.is_ascii_uppercase());
        is_errno.then_some(Spell {
            errno,
            before,
            times,
            lasts,
        })
    }

    fn arm(&self, name: &str, is_late: bool) -> Result<(), String> {
        let times = self
            .times
            .map_or_else(String::new, |times| format!("{times}*"));
        let before = match self.before {
            0 => String::new(),
            before => format!("{before}*off->"),
        };
        let action = format!("{before}{times}return({})", self.errno);
        let (name, lasts) = (name.to_owned(), self.lasts);
        if !is_late {
            fail::cfg(&name, &action)?;
        }
        thread::spawn(move || {
            if is_late {
                thread::sleep(LATE);
                if let Err(e) = fail::cfg(&name, &action) {
                    log::error!("LINNETKNOT_POINTS: {e}");
                }
            }
            if let Some(lasts) = lasts {
                thread::sleep(lasts);
                fail::remove(name);
            }
        });
        Ok(())
    }
}

/// Arms the points that the environment names.
pub fn arm() -> Result<(), String> {
    let Ok(text) = std::env::var("LINNETKNOT_POINTS") else {
        return Ok(());
    };
    let mut plans = Vec::new();
    for part in text.split(';').filter(|part| !part.is_empty()) {
        let (name, act) = part.split_once('=').unwrap_or((part, ""));
        if let Some(call) = name.strip_prefix("sys-") {
            plans.push(
                system_call(call, act).map_err(|e| format!("LINNETKNOT_POINTS: {part}: {e}"))?,
            );
            continue;
        }
        let (name, is_late) = match name.strip_prefix("late-") {
            Some(name) => (name, true),
            None => (name, false),
        };
        if name == CLOCK {
            set_clock_offset(act)?;
            continue;
        }
        if !POINTS.contains(&name) {
            return Err(format!("LINNETKNOT_POINTS: there is no point '{name}'"));
        }
        let armed = match act {
            "die" => fail::cfg_callback(name, || meet(Signal::KILL)),
            "stall" => fail::cfg_callback(name, || meet(Signal::STOP)),
            "fail" => fail::cfg(name, "return"),
            act => Spell::read(act)
                .ok_or(format!(
                    "LINNETKNOT_POINTS: '{part}' is none of NAME=die, NAME=stall, NAME=fail and NAME=ERRNO"
                ))?
                .arm(name, is_late),
        };
        armed.map_err(|e| format!("LINNETKNOT_POINTS: {e}"))?;
    }
    injection::arm_process(plans).map_err(|e| e.to_string())
}

/// A system call by its name, and how it is to fail.
fn system_call(name: &str, plan: &str) -> Result<(Call, Plan), String> {
    let call = Call::ALL.into_iter().find(|call| call.name() == name);
    let call = call.ok_or_else(|| format!("there is no system call '{name}'"))?;
    Ok((call, Plan::parse(plan).map_err(|e| e.to_string())?))
}
