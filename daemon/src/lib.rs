//! The linnetknot daemon: runs the decision module on real sockets, with one thread and one epoll loop.
//!
//! `core` handles requests, attempts and outcomes and drives the decision module. `front` and `upstream` translate
//! between `core` and their protocols. `net` owns sockets, buffers and deadlines. `daemon` connects these parts.

pub mod budgets;
pub mod bus;
pub mod config;
pub mod core;
pub mod daemon;
pub mod disk;
#[cfg(feature = "points")]
pub mod fail_points;
pub mod fleet;
pub mod front;
pub mod interconnect;
pub mod ledger;
pub mod limits;
pub mod logging;
pub mod net;
pub mod origin_clock;
pub mod peers;
pub mod plain_purges;
pub mod shared_executions;
pub mod shared_log;
pub mod shared_purges;
pub mod upstream;
pub mod wire;
