//! The file as the embedded store's medium.

use crate::fault_points;
use crate::unsynced::Unsynced;
use redb::backends::FileBackend;
use redb::{Database, DatabaseError, StorageBackend};
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

/// Memory for pages of the file. By itself the embedded store keeps up to 1 GiB of them; and of pages that it drops from a
/// cache which is never full it keeps the places, without a bound.
const CACHE_BYTES: usize = 4 << 20;

/// A medium whose new length is on the disk before anything that is written later, and that knows what is not synced.
///
/// The embedded store lengthens its file and writes a header that tells of the new length, with one sync for both. A
/// power failure before that sync may leave the header without the length, and such a file can't be opened.
#[derive(Debug)]
struct Synced<B> {
    medium: B,
    unsynced: Unsynced,
}

impl<B: StorageBackend> StorageBackend for Synced<B> {
    fn len(&self) -> io::Result<u64> {
        self.medium.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        fault_points::read()?;
        self.medium.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        fault_points::truncate()?;
        let grows = len > self.medium.len()?;
        self.medium.set_len(len)?;
        if grows {
            self.sync_data()?;
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let synced = fault_points::sync().and_then(|()| self.medium.sync_data());
        self.unsynced.synced(synced)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        fault_points::write()?;
        // Also of a write that fails a part may have been taken.
        self.unsynced.written(offset, data.len());
        self.medium.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.medium.close()
    }
}

/// Opens a store on a medium, or begins it on an empty one.
pub(crate) fn open_on(
    medium: impl StorageBackend,
    unsynced: &Unsynced,
) -> Result<Database, DatabaseError> {
    unsynced.restore(&medium)?;
    let unsynced = unsynced.clone();
    Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create_with_backend(Synced { medium, unsynced })
}

/// Begins a store in a file that is not there yet.
pub(crate) fn create_file(path: &Path) -> Result<Database, DatabaseError> {
    fault_points::open()?;
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create_new(true)
        .open(path)?;
    open_on(FileBackend::new(file)?, &Unsynced::default())
}

/// Opens the store in a file. An empty one is none: a store is never begun in its place.
pub(crate) fn open_file(path: &Path, unsynced: &Unsynced) -> Result<Database, DatabaseError> {
    fault_points::open()?;
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    if file.metadata()?.len() == 0 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the file is empty").into());
    }
    open_on(FileBackend::new(file)?, unsynced)
}
