//! The errors of the store, which are either transient or permanent.

use crate::file::Format;
use std::io;

/// The reason why the file of the store cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A transient I/O error on opening, reading or writing, with the system's message.
    #[error("the disk: {0}")]
    Disk(String),
    /// A permanent I/O error, which persists until the path or its permissions are changed, with the system's message.
    #[error("the disk: {0}")]
    Unusable(String),
    /// Another process has the file open.
    #[error("another process has it open")]
    Busy,
    /// The content is damaged, or the file is not a store.
    #[error("it is damaged ({0}); move it away and start again: what was committed comes back from the peers")]
    Damaged(String),
    /// The file has a format that this version of the program does not support. Holds the name of the format.
    #[error("its format is '{0}', this program's are '{known}'; start the program that wrote it", known = known_formats())]
    Format(String),
}

impl StoreError {
    /// Converts an I/O error of the file.
    pub fn from_io(error: &io::Error) -> Self {
        if is_permanent(error) {
            StoreError::Unusable(error.to_string())
        } else {
            StoreError::Disk(error.to_string())
        }
    }

    /// Returns whether the error may disappear without intervention, such as the error of a full or failing disk.
    pub fn is_transient(&self) -> bool {
        matches!(self, StoreError::Disk(_))
    }
}

/// Returns the names of all known formats for an error message.
fn known_formats() -> String {
    Format::KNOWN.map(Format::name).join("' and '")
}

const ENAMETOOLONG: i32 = 36;

/// Returns whether an I/O error of a file persists until the path or its permissions are changed. All other errors
/// (EIO, ENOSPC, EDQUOT, EROFS after a remount, a lack of file descriptors or memory) may be transient.
pub fn is_permanent(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidInput, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    matches!(
        error.kind(),
        PermissionDenied | NotFound | NotADirectory | IsADirectory | InvalidInput
    ) || error.raw_os_error() == Some(ENAMETOOLONG)
}

/// Converts an error of redb.
pub(crate) fn store_error(e: redb::Error) -> StoreError {
    match e {
        redb::Error::Corrupted(why) => StoreError::Damaged(why),
        redb::Error::DatabaseAlreadyOpen => StoreError::Busy,
        redb::Error::UpgradeRequired(version) => StoreError::Format(format!("redb file {version}")),
        redb::Error::RepairAborted => StoreError::Damaged("its repair was aborted".into()),
        // redb reports invalid data for a file that is not a database.
        redb::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
            StoreError::Damaged(e.to_string())
        }
        redb::Error::Io(e) => StoreError::from_io(&e),
        e => StoreError::Disk(e.to_string()),
    }
}

/// Returns the error for a file on which redb panicked because one of its consistency checks failed.
pub(crate) fn panicked() -> StoreError {
    StoreError::Damaged("its structure is inconsistent".into())
}
