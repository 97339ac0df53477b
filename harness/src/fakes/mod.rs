//! Fakes of the systems around the daemon: they answer as those do, and write down what reaches them.

pub mod cache;
pub mod consul;
pub mod event_bus;
