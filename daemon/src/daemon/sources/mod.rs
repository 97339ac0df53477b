//! The sources of the endpoint list and of purges: the event bus, Consul and the peers.

pub(super) mod bus;
pub(super) mod consul;
mod peers;
