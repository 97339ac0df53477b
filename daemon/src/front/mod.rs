//! The fronts, each of which translates between a protocol and the requests and answers of the core.

pub mod cdni;
pub mod fastcgi;
