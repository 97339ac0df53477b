//! Fronts: each translates between its wire and the core's requests and answers.

pub mod cdni;
pub mod fastcgi;
