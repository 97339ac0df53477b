//! Standard output and the interruption by the user.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};

/// Set at Ctrl-C. The running play ends, its report is still written, and no other play starts.
pub(crate) static STOP: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

/// Returns whether the user has interrupted the program.
pub(crate) fn is_stopped() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// Prints a text and ignores a closed standard output.
pub(crate) fn print(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}
