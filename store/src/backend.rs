//! The file as a storage backend of redb.

use crate::fault_points;
use crate::unsynced::Unsynced;
use redb::backends::FileBackend;
use redb::{Database, DatabaseError, StorageBackend};
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

/// Memory for cached pages of the file. redb's default is up to 1 GiB; and as long as its cache is not full, its list
/// of evicted pages grows without a bound.
const CACHE_BYTES: usize = 4 << 20;

/// A backend that syncs a new length of the file before anything is written after it, and tracks which ranges are not
/// synced.
///
/// redb extends its file and writes a header with the new length, and syncs once for both. A power failure before that
/// sync may leave the header without the length, and such a file can't be opened.
#[derive(Debug)]
struct DurableLength<B> {
    file: B,
    unsynced: Unsynced,
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
        // A part may be written also where the write fails.
        self.unsynced.record_write(offset, data.len());
        self.file.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}

/// Opens a database on a backend, or creates it on an empty one.
pub(crate) fn open_on(
    file: impl StorageBackend,
    unsynced: &Unsynced,
) -> Result<Database, DatabaseError> {
    unsynced.restore(&file)?;
    let unsynced = unsynced.clone();
    Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create_with_backend(DurableLength { file, unsynced })
}

/// Creates a database in a file that does not exist yet.
pub(crate) fn create_file(path: &Path) -> Result<Database, DatabaseError> {
    fault_points::open()?;
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create_new(true)
        .open(path)?;
    open_on(FileBackend::new(file)?, &Unsynced::default())
}

/// Opens the database in a file. An empty file is an error: no database is ever created in one that exists.
pub(crate) fn open_file(path: &Path, unsynced: &Unsynced) -> Result<Database, DatabaseError> {
    fault_points::open()?;
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    if file.metadata()?.len() == 0 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the file is empty").into());
    }
    open_on(FileBackend::new(file)?, unsynced)
}
