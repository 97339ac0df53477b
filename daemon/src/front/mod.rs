//! Fronts are the client-facing protocols: each translates between its protocol and the requests and answers of the
//! core.

pub mod cdni;
pub mod fastcgi;
