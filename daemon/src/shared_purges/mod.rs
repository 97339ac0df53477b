//! Shares the purges that a proxy receives from its peers between the two processes of an upgrade.
//!
//! Both processes receive datagrams at the same address, and the kernel delivers each datagram to one of them. A process
//! therefore appends each purge that it receives to a [shared log](crate::shared_log).

mod records;

use crate::shared_log::SharedFile;

pub use records::{Record, RecordSet};

/// The file of shared purges.
pub type PurgeFile = SharedFile<RecordSet>;
