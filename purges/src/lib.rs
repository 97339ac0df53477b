//! The latest purge of every object and group, in bounded memory for any number of purges. Sans-IO.
//!
//! A cached copy may be served only if it was made after the latest purge of its object and of its group. A proxy
//! therefore asks for copies no older than that purge. The answer given here is never earlier than the true latest
//! purge, whatever was recorded: an answer that is too late costs a cache hit, one that is too early serves a purged
//! copy.
//!
//! [`PurgeTable`] holds recent purges exactly, by the hash of their key ([`KeyHash`]). Older ones move to a
//! [`CompactTable`] of fixed size, which consists of [`Bucket`]s. A bucket is a join semilattice, so that proxies can
//! exchange buckets in any order, any number of times, and end with the same table.
//!
//! ```
//! use linnetknot_purges::{BucketBits, KeyHash, PurgeTable};
//!
//! let mut table = PurgeTable::new(16_384, BucketBits::DEFAULT);
//! let film = KeyHash::of_object("/o/film");
//! table.record(film, 1_000_000);
//! assert_eq!(table.latest(film), Some(1_000_000));
//! assert_eq!(table.latest(KeyHash::of_group(7)), None);
//! ```

pub mod bucket;
pub mod compact;
pub mod hashing;
pub mod table;
pub mod time;

pub use bucket::{Bucket, DecodeError, Fingerprint};
pub use compact::{BucketBits, BucketBitsError, BucketIndex, BucketIndexError, CompactTable};
pub use hashing::KeyHash;
pub use table::PurgeTable;
pub use time::Micros;
