//! Where the list of boxes and purges come from: the event bus, Consul and the peers.

pub(super) mod bus;
pub(super) mod consul;
mod peers;
