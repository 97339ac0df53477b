//! What operators do to a running edge proxy, without I/O: the admin API's HTTP (`admin`), what its calls decide
//! (`state`: readiness, draining, banned pop caches), and how that state is stored across restarts (`store`).
//!
//! Times are microseconds on the caller's clock, passed with each call.

pub mod admin;
pub mod state;
pub mod store;

pub use admin::{Call, CallError, Parser, Reply};
pub use state::{AdminController, CallOutcome, DrainState, Effect};

/// Microseconds.
pub type Micros = u64;
