//! What operators do to a running edge proxy, without any I/O: the admin listener's wire (`admin`), what its calls decide
//! (`state`: readiness, drains, pop-cache bans) and how that state is kept whole across an upgrade (`store`).
//!
//! Times are microseconds on the caller's clock, handed in with every call.

pub mod admin;
pub mod state;
pub mod store;

pub use admin::{Call, CallError, Parser, Reply};
pub use state::{Drain, Effect, Operations};

/// Microseconds.
pub type Micros = u64;
