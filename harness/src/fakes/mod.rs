//! Fakes of the systems that the daemon talks to. Each answers like the real system and records what it receives.

pub mod cache;
pub mod consul;
pub mod event_bus;
