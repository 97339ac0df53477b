//! Standard output and the interruption by the user.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};

/// Set at Ctrl-C. The running test run ends, its report is still written, and no other test run starts.
pub(crate) static STOP: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

/// Returns whether the user has interrupted the program.
pub(crate) fn is_stopped() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// Prints a text. Errors, such as a closed standard output, are discarded.
pub(crate) fn print(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}
