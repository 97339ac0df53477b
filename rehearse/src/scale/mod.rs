//! A whole fleet in one process, on virtual time: the daemon's sans-IO cores as thousands of hollow members, on links by
//! distance, measured against the figures of a target.

pub mod command;
pub mod daemons;
pub mod delivery;
pub mod fault;
pub mod fit;
pub mod fleet_config;
pub mod hollow;
pub mod layout;
pub mod memory;
pub mod meter;
pub mod network;
mod prefill;
pub mod purge_number;
pub mod report;
pub mod run;
pub mod simulation;
pub mod slopes;
pub mod target;
pub mod verdict;
