//! Simulation of a whole fleet in one process on virtual time: thousands of hollow members run the daemon's sans-IO
//! protocol code over simulated links, and the results are compared with a target.

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
