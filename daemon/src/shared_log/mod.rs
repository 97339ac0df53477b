//! A log that the two processes of an upgrade share: each process appends records to a file, and regularly reads what the
//! other process has appended. The file outlives the processes, so that the next process also knows the records from
//! before its start.
//!
//! | module | purpose |
//! | --- | --- |
//! | `records` | bounded sets of records and their text; no I/O |
//! | `file` | appends to the file, reads new records from it, and compacts it |
//! | `worker` | the thread that does so, because the file system may block |

mod file;
mod records;
mod worker;

pub use file::SharedFile;
pub use records::{Decoded, SharedRecords};
pub use worker::SharedLog;
