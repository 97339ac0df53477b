//! A trigger, its status, and the encoding of the status as a payload.

use serde_json::{json, Value};

pub(super) const COMPLETE: &str = "complete";
pub(super) const FAILED: &str = "failed";
/// The time in seconds after which the status of a completed trigger may be removed.
pub const STALE_S: u64 = 3600;
/// The maximum difference between the clock of the process that created a trigger and the clock of this process. Each
/// clock may be wrong by an hour in either direction.
const MAX_CLOCK_SKEW_S: u64 = 2 * 3600;

/// A trigger. It is executed when it is created, so its status never changes.
pub(super) struct Trigger {
    /// The specification of the trigger, as received.
    pub(super) spec: Value,
    /// The time of its creation, by the wall clock of the process that created it.
    pub(super) made: u64,
    /// The time at which this process received or created the trigger, by its own clock, which never steps back.
    pub(super) known_since: u64,
    pub(super) status: &'static str,
    pub(super) error: Option<Value>,
}

impl Trigger {
    /// Whether the trigger may be removed: this process has had it for `STALE_S`, or the trigger is older than that
    /// even if the clocks differ by the maximum.
    pub(super) fn is_stale(&self, now: u64) -> bool {
        self.known_since + STALE_S < now
            || self.made.saturating_add(STALE_S + MAX_CLOCK_SKEW_S) < now
    }

    /// Returns the status as a payload.
    pub(super) fn payload(&self) -> Value {
        let mut status = json!({
            "trigger": self.spec, "ctime": self.made, "mtime": self.made, "status": self.status,
        });
        if let Some(error) = &self.error {
            status["errors"] = json!([error]);
        }
        status
    }

    /// Parses a payload; `None` if it is incomplete.
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
