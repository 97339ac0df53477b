//! Fakes of a site with its caches, parent caches and origin, on virtual time and on loopback sockets.

pub mod cache_memory;
pub mod shared_link;
pub mod site;
pub mod site_server;
