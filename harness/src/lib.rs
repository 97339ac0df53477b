//! Test harness that runs real daemons on loopback: processes, clients, fault-injecting links, fakes of the external
//! systems, and fleets of several daemons.

pub mod arrival;
pub mod clients;
pub mod fakes;
pub mod fleet;
pub mod links;
pub mod listener;
pub mod pressure;
pub mod process;
pub mod reserved_address;
mod settings;
pub mod span;
pub mod time;

pub use settings::settings;
pub use time::unix_ms;
