//! Standard output, and the end by hand.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};

/// Set at Ctrl-C: the play that runs ends, its report is still written, and no other is begun.
pub(crate) static STOP: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

/// Whether the user has ended the plays by hand.
pub(crate) fn is_stopped() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// Prints; whoever reads may have had enough, which is no failure.
pub(crate) fn print(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}
