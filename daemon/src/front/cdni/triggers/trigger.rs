//! A trigger and its status.

use serde_json::{json, Value};

pub(super) const COMPLETE: &str = "complete";
pub(super) const FAILED: &str = "failed";
/// The status of a trigger that is over may be removed after so many seconds.
pub const STALE_S: u64 = 3600;
/// How far the wall clock that dated a trigger may be from this process's: each may be an hour off, either way.
const MAX_CLOCK_SKEW_S: u64 = 2 * 3600;

/// A trigger, which is over as soon as it is made.
pub(super) struct Trigger {
    /// What it asks for, as it came.
    pub(super) spec: Value,
    /// When it was made, by the wall clock of the process that made it.
    pub(super) made: u64,
    /// When this process first had it, by this process's clock, which never steps.
    pub(super) known_since: u64,
    pub(super) status: &'static str,
    pub(super) error: Option<Value>,
}

impl Trigger {
    /// Whether it may be removed: this process has had it for long enough, or it was made too long ago for any clock to be
    /// wrong.
    pub(super) fn is_stale(&self, now: u64) -> bool {
        self.known_since + STALE_S < now
            || self.made.saturating_add(STALE_S + MAX_CLOCK_SKEW_S) < now
    }

    /// Its status as a payload.
    pub(super) fn payload(&self) -> Value {
        let mut status = json!({
            "trigger": self.spec, "ctime": self.made, "mtime": self.made, "status": self.status,
        });
        if let Some(error) = &self.error {
            status["errors"] = json!([error]);
        }
        status
    }

    /// Reads a payload; none where it is not complete.
    pub(super) fn read(now: u64, payload: &str) -> Option<Self> {
        let mut value: Value = serde_json::from_str(payload).ok()?;
        let status = [COMPLETE, FAILED]
            .into_iter()
            .find(|s| value["status"] == **s)?;
        let made = value["ctime"].as_u64()?;
        let error = value.get_mut("errors").map(|errors| errors[0].take());
        Some(Trigger {
            spec: value["trigger"].take(),
            made,
            known_since: now,
            status,
            error,
        })
    }
}
