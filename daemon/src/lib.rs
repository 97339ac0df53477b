//! The linnetknot daemon: the decision module on real sockets. One thread, one epoll loop.
//!
//! `core` deals in requests, attempts and outcomes and drives the module; fronts and upstreams translate between
//! it and their wires; `net` owns sockets, buffers and deadlines; `daemon` ties them together.

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
pub mod upstream;
pub mod wire;
