//! Named points of the daemon's work at which a process stops dead or stands still, so that tests can end it in the
//! middle of a promise. Only builds with the feature `points` have them, which no release build does: without it each
//! `fail_point!` is nothing at all.
//!
//! `LINNETKNOT_POINTS=ledger-written=die;door-kept=stall` arms them at the start.

use rustix::process::{getpid, kill_process, Signal};

/// The points, in the order in which a promise passes them.
pub const POINTS: [&str; 6] = [
    // A purge that a neighbour told: before its line is written, after, and once the peers were told.
    "ledger-writes",
    "ledger-written",
    "peers-told",
    // A ban or drain at the operators' door: before its file is put in place, between the two, and after both.
    "door-keeps",
    "door-kept-once",
    "door-kept",
];

/// What happens at a point that is armed.
fn meet(signal: Signal) {
    // A signal of one's own is taken before the call returns; stopped, the process goes on from here when it is let.
    let _ = kill_process(getpid(), signal);
}

/// Arms the points that the environment names.
pub fn arm() -> Result<(), String> {
    let Ok(text) = std::env::var("LINNETKNOT_POINTS") else { return Ok(()) };
    for part in text.split(';').filter(|part| !part.is_empty()) {
        let signal = match part.split_once('=') {
            Some((_, "die")) => Signal::KILL,
            Some((_, "stall")) => Signal::STOP,
            _ => return Err(format!("LINNETKNOT_POINTS: '{part}' is neither NAME=die nor NAME=stall")),
        };
        let name = part.split('=').next().unwrap_or_default();
        if !POINTS.contains(&name) {
            return Err(format!("LINNETKNOT_POINTS: there is no point '{name}'"));
        }
        fail::cfg_callback(name, move || meet(signal)).map_err(|e| format!("LINNETKNOT_POINTS: {e}"))?;
    }
    Ok(())
}
