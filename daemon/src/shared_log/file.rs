//! The file of a shared log. All calls may block.
//!
//! Processes append to the file without a lock. A process that compacts the file replaces it, and then appends to the
//! new file what others have meanwhile appended to the old one. A process that has appended to a file which is no
//! longer at the path appends again. Records may be read several times, which changes nothing.

use super::records::SharedRecords;
use crate::disk::{remove_leftovers, replace_unsynced};
use linnetknot_store::fault_points;
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File, Metadata};
use std::io::{self, ErrorKind, Write};
use std::marker::PhantomData;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// The number of bytes that are read at a time. A record is shorter.
const READ_BYTES: usize = 64 << 10;
/// The number of times that records are appended if the file is replaced meanwhile.
const MAX_APPENDS: usize = 5;

/// A file, and how far it has been read.
struct OpenFile {
    file: File,
    inode: u64,
    offset: u64,
}

impl OpenFile {
    fn open(path: &Path) -> io::Result<Self> {
        fault_points::open()?;
        let file = File::open(path)?;
        let inode = file.metadata()?.ino();
        Ok(OpenFile {
            file,
            inode,
            offset: 0,
        })
    }

    /// Returns whether what was read is the start of the file with this status, so that reading can continue.
    fn is_at_start_of(&self, status: FileStatus) -> bool {
        self.inode == status.inode && self.offset <= status.length
    }

    /// Reads the records from the offset on, and advances the offset.
    fn read<S: SharedRecords>(&mut self, on_record: &mut dyn FnMut(S::Record)) -> io::Result<()> {
        let mut bytes = vec![0; READ_BYTES];
        loop {
            fault_points::read()?;
            let length = self.file.read_at(&mut bytes, self.offset)?;
            let decoded = S::decode(&bytes[..length]);
            decoded.records.into_iter().for_each(&mut *on_record);
            // A line that is longer than any record is not one.
            let consumed = if decoded.consumed == 0 && length == READ_BYTES {
                length
            } else {
                decoded.consumed
            };
            self.offset += consumed as u64;
            if consumed == 0 {
                return Ok(());
            }
        }
    }
}

/// What identifies a file and its content, which is only ever appended to.
#[derive(Clone, Copy, Debug)]
struct FileStatus {
    inode: u64,
    length: u64,
}

impl FileStatus {
    fn of(metadata: &Metadata) -> Self {
        FileStatus {
            inode: metadata.ino(),
            length: metadata.len(),
        }
    }
}

/// Returns the status of the file at a path; `None` if there is no file.
fn status_at(path: &Path) -> io::Result<Option<FileStatus>> {
    match fs::metadata(path) {
        Ok(metadata) => Ok(Some(FileStatus::of(&metadata))),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// The file of a shared log, with the records of the set `S`.
pub struct SharedFile<S> {
    path: PathBuf,
    reader: Option<OpenFile>,
    records: PhantomData<S>,
}

impl<S: SharedRecords> SharedFile<S> {
    /// Names the file in a folder. It is created when a record is appended.
    pub fn in_folder(folder: &Path) -> Self {
        let path = folder.join(S::FILE_NAME);
        remove_leftovers(&path);
        SharedFile {
            path,
            reader: None,
            records: PhantomData,
        }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Passes the records that were appended since the last call to `on_record`. After the file was replaced, all of its
    /// records are passed.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read_new(&mut self, on_record: &mut dyn FnMut(S::Record)) -> io::Result<()> {
        let Some(status) = status_at(&self.path)? else {
            return Ok(());
        };
        let reader = match &mut self.reader {
            Some(reader) if reader.is_at_start_of(status) => reader,
            reader => reader.insert(OpenFile::open(&self.path)?),
        };
        if reader.offset == status.length {
            return Ok(());
        }
        reader.read::<S>(on_record)
    }

    /// Appends records, and compacts the file if it has become long.
    ///
    /// # Errors
    /// The file can't be written. Some of the records may have been appended.
    pub fn append(&self, records: &S) -> io::Result<()> {
        let bytes = records.encode();
        for _ in 0..MAX_APPENDS {
            let appended_to = self.append_once(&bytes)?;
            if !self.is_at_path(appended_to.inode)? {
                continue;
            }
            if appended_to.length > S::MAX_FILE_BYTES {
                self.compact()?;
            }
            return Ok(());
        }
        Err(ErrorKind::ResourceBusy.into())
    }

    /// Returns whether the file with this inode is still at the path.
    fn is_at_path(&self, inode: u64) -> io::Result<bool> {
        let status = status_at(&self.path)?;
        Ok(status.is_some_and(|status| status.inode == inode))
    }

    /// Appends bytes, and returns the status of the file to which they were appended.
    fn append_once(&self, bytes: &[u8]) -> io::Result<FileStatus> {
        fault_points::open()?;
        let mut file = File::options().append(true).create(true).open(&self.path)?;
        fault_points::write()?;
        file.write_all(bytes)?;
        Ok(FileStatus::of(&file.metadata()?))
    }

    /// Replaces the file by a shorter one with the same records. Does nothing if another process is doing so.
    fn compact(&self) -> io::Result<()> {
        let mut old = OpenFile::open(&self.path)?;
        let is_locked = flock(&old.file, FlockOperation::NonBlockingLockExclusive).is_ok();
        if !is_locked || !self.is_at_path(old.inode)? {
            return Ok(());
        }
        let mut records = S::default();
        old.read::<S>(&mut |record| records.add(record))?;
        replace_unsynced(&self.path, &records.encode())?;
        let mut late = S::default();
        old.read::<S>(&mut |record| late.add(record))?;
        if late.is_empty() {
            return Ok(());
        }
        self.append_once(&late.encode()).map(drop)
    }
}
