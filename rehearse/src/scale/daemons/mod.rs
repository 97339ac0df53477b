//! Measures the resources that real daemons use for control traffic on loopback. Hollow members simulate the rest of a
//! large fleet.
//!
//! The hollow members run in this process and exchange datagrams with the daemons over sockets. Processor time and
//! memory are read from the operating system for each daemon process. Bytes are counted for datagrams between daemons
//! and hollow members, with 28 bytes of headers each. Traffic between two daemons is not observed; it is estimated by
//! treating each of the other daemons as an additional hollow member.

pub mod acks;
pub mod command;
pub mod host;
pub mod kind;
pub mod proc_stat;
pub mod purge_plan;
pub mod real;
pub mod report;
pub mod run;
pub mod slopes;
pub mod sockets;
mod timers;
pub mod traffic;
