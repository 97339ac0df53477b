//! The fronts: each translates between a client protocol and the requests and answers of the core.

pub mod cdni;
pub mod fastcgi;
