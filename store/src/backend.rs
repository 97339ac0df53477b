//! The storage backend of redb on the store's file.

use crate::fault_points;
use crate::unsynced::UnsyncedRanges;
use redb::backends::FileBackend;
use redb::{Database, DatabaseError, StorageBackend};
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

/// The size of redb's page cache. With redb's default, up to 1 GiB, its list of evicted pages grows without limit until
/// the cache is full.
const CACHE_BYTES: usize = 4 << 20;

/// A backend that syncs each extension of the file before later writes, and tracks the unsynced ranges.
///
/// redb extends its file, writes a header with the new length, and syncs once for both. A power failure before that
/// sync may leave the new header in a file of the old length, and redb cannot open such a file.
#[derive(Debug)]
struct DurableLength<B> {
    file: B,
    unsynced: UnsyncedRanges,
}

impl<B: StorageBackend> StorageBackend for DurableLength<B> {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        fault_points::read()?;
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        fault_points::truncate()?;
        let grows = len > self.file.len()?;
        self.file.set_len(len)?;
        if grows {
            self.sync_data()?;
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let synced = fault_points::sync().and_then(|()| self.file.sync_data());
        self.unsynced.record_sync(synced)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        fault_points::write()?;
        // A failed write may have written a part of the range.
        self.unsynced.record_write(offset, data.len());
        self.file.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}

/// Opens the database on a backend, or creates it if the backend is empty.
pub(crate) fn open_on(
    file: impl StorageBackend,
    unsynced: &UnsyncedRanges,
) -> Result<Database, DatabaseError> {
    unsynced.rewrite_if_needed(&file)?;
    let unsynced = unsynced.clone();
    Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create_with_backend(DurableLength { file, unsynced })
}

/// Creates a database in a new file.
pub(crate) fn create_file(path: &Path) -> Result<Database, DatabaseError> {
    fault_points::open()?;
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create_new(true)
        .open(path)?;
    open_on(FileBackend::new(file)?, &UnsyncedRanges::default())
}

/// Opens the database in a file. Fails if the file is empty: databases are only created by [`create_file`].
pub(crate) fn open_file(path: &Path, unsynced: &UnsyncedRanges) -> Result<Database, DatabaseError> {
    fault_points::open()?;
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    if file.metadata()?.len() == 0 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the file is empty").into());
    }
    open_on(FileBackend::new(file)?, unsynced)
}
