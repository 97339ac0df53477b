//! Shares the purges that a proxy receives from its peers between the two processes of an upgrade.
//!
//! Both processes receive datagrams at the same address, and the kernel delivers each datagram to one of them. A process
//! therefore appends each purge that it receives to a file, and regularly reads what the other process has appended. The
//! file outlives the processes, so that the next process also knows the purges from before its start.
//!
//! | module | purpose |
//! | --- | --- |
//! | `records` | the records of the file and their text; no I/O |
//! | `file` | appends to the file, reads new records from it, and compacts it |
//! | `worker` | the thread that does so, because the file system may block |

mod file;
mod records;
mod worker;

pub use file::PurgeFile;
pub use records::{decode, Decoded, Record, RecordSet};
pub use worker::SharedPurges;
