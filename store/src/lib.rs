//! What must outlive the process and the machine's power: spaces of keys and values in one file, on an embedded store
//! (redb), written by a worker thread so that no loop ever waits for a disk.
//!
//! [`Store`] owns the file: its format, its version and what is said of one that can't be read. [`Keeper`] owns the
//! thread: a bounded queue before it, many writes to one sync (group commit), and a word for each write that tells
//! whether it is on the disk. Only that word may be acknowledged to others.

mod fault;
#[doc(hidden)]
pub mod fault_points;
mod file;
mod keeper;
mod medium;
mod unsynced;

pub use fault::{is_lasting, Fault};
pub use file::{Change, Format, Pair, Space, Store, Write};
pub use keeper::{Done, Keeper, Ticket};
