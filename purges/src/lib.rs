//! Tracks the latest purge of every object and group, in bounded memory for any number of purges. The package is
//! sans-IO.
//!
//! A cached copy may be served only if it was created after the latest purge of its object and of its group. A proxy
//! therefore requests copies that are newer than these purges. The returned time is never earlier than the actual
//! latest purge. A time that is too late costs a cache hit, whereas a time that is too early would serve a purged copy.
//!
//! [`PurgeTable`] stores recent purges exactly, by the hash of their key ([`KeyHash`]). Older purges are moved to a
//! [`CompactTable`] of fixed size, which consists of [`Bucket`]s. Buckets form a join semilattice, so proxies can
//! exchange them in any order and any number of times, and end with the same table.
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
