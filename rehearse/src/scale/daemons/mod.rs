//! Real daemons on loopback beside hollow members: what a daemon spends on control in a fleet that is larger than this
//! machine holds of them.
//!
//! The hollow members stand in this process and speak to the daemons by sockets. Processor time and memory are those that
//! the operating system tells of the daemons' processes. Bytes are those of the datagrams between daemons and hollow
//! members, with 28 bytes of headers each; what goes between two daemons is seen by nobody, and is estimated as if each
//! of them were one hollow member more.

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
