//! The file as the embedded store's medium.

use redb::backends::FileBackend;
use redb::{Database, DatabaseError, StorageBackend};
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

/// Memory for pages of the file. By itself the embedded store keeps up to 1 GiB of them; and of pages that it drops from a
/// cache which is never full it keeps the places, without a bound.
const CACHE_BYTES: usize = 4 << 20;

/// A medium whose new length is on the disk before anything that is written later.
///
/// The embedded store lengthens its file and writes a header that tells of the new length, with one sync for both. A
/// power failure before that sync may leave the header without the length, and such a file can't be opened.
#[derive(Debug)]
pub(crate) struct SyncedGrowth<B>(pub(crate) B);

impl<B: StorageBackend> StorageBackend for SyncedGrowth<B> {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let grows = len > self.0.len()?;
        self.0.set_len(len)?;
        if grows {
            self.0.sync_data()?;
        }
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.0.close()
    }
}

/// Opens a store on a medium, or begins it on an empty one.
pub(crate) fn open_on(medium: impl StorageBackend) -> Result<Database, DatabaseError> {
    Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create_with_backend(SyncedGrowth(medium))
}

/// Begins a store in a file that is not there yet.
pub(crate) fn create_file(path: &Path) -> Result<Database, DatabaseError> {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create_new(true)
        .open(path)?;
    open_on(FileBackend::new(file)?)
}

/// Opens the store in a file. An empty one is none: a store is never begun in its place.
pub(crate) fn open_file(path: &Path) -> Result<Database, DatabaseError> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    if file.metadata()?.len() == 0 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the file is empty").into());
    }
    open_on(FileBackend::new(file)?)
}
