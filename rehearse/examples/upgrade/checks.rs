//! The results of checks.

use std::fmt;

/// Counts checks and prints each.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    passed: usize,
    failed: usize,
}

impl Checks {
    /// Counts a check and prints it with the observation.
    pub(crate) fn check(&mut self, what: &str, holds: bool, observed: impl FnOnce() -> String) {
        let (counter, mark) = if holds {
            (&mut self.passed, "ok  ")
        } else {
            (&mut self.failed, "FAIL")
        };
        *counter += 1;
        println!("  {mark} {what}: {}", observed());
    }

    /// Returns whether any check failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed > 0
    }
}

impl fmt::Display for Checks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} checks passed, {} failed", self.passed, self.failed)
    }
}
