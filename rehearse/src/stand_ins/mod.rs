//! Stand-ins for outside systems, from their published specifications.

pub mod link;
pub mod memory;
pub mod served;
pub mod world;
