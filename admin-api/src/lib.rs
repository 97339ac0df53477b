//! The admin API of an edge proxy: its HTTP protocol ([`admin`]), the state that operators set ([`state`]: readiness,
//! draining and banned pop caches), and the storage of that state across restarts ([`store`]).
//!
//! The package opens no sockets and reads no clock: the caller passes the current time in microseconds.

pub mod admin;
pub mod state;
pub mod store;

pub use admin::{Call, CallError, Parser, Reply};
pub use state::{AdminController, CallOutcome, DrainState, Effect};

/// A time or duration in microseconds.
pub type Micros = u64;
