//! The errors of the store, and whether one may go away by itself.

use crate::file::Format;
use std::io;

/// Why the store's file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// It can't be opened, read or written for a while, with the system's message.
    #[error("the disk: {0}")]
    Disk(String),
    /// It can't be used until somebody changes its path or its permissions, with the system's message.
    #[error("the disk: {0}")]
    Unusable(String),
    /// Another process has it open.
    #[error("another process has it open")]
    Busy,
    /// Its content is damaged, or it is no store at all.
    #[error("it is damaged ({0}); move it away and start again: what was committed comes back from the peers")]
    Damaged(String),
    /// Another version of the program wrote it, in the format of this name.
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

    /// Whether the error may go away by itself, as that of a full or failing disk does.
    pub fn is_transient(&self) -> bool {
        matches!(self, StoreError::Disk(_))
    }
}

/// The names of all known formats, for an error's text.
fn known_formats() -> String {
    Format::KNOWN.map(Format::name).join("' and '")
}

/// The errno of a file name that is too long.
const ENAMETOOLONG: i32 = 36;

/// Whether an I/O error of a file stays until somebody changes the path or the permissions. All others (EIO, ENOSPC,
/// EDQUOT, EROFS after a remount, a lack of descriptors or memory) may go away by themselves.
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
        redb::Error::RepairAborted => StoreError::Damaged("its repair was broken off".into()),
        // redb returns invalid data for a file that is no store at all.
        redb::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
            StoreError::Damaged(e.to_string())
        }
        redb::Error::Io(e) => StoreError::from_io(&e),
        e => StoreError::Disk(e.to_string()),
    }
}

/// The error of a file on which redb panicked: one of its own checks failed.
pub(crate) fn inconsistent() -> StoreError {
    StoreError::Damaged("its structure does not hold".into())
}
