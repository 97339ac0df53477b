//! Why the file can't be used, and whether that may go away by itself.

use crate::file::Format;
use std::fmt;
use std::io;

/// Why the file can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It can't be opened, read or written for a while: the system's word for it.
    Disk(String),
    /// It can't be used as long as nobody changes its path or its permissions: the system's word for it.
    Unusable(String),
    /// Another process has it open.
    Busy,
    /// What stands in it is damaged, or it is no store at all.
    Damaged(String),
    /// Another version of the program wrote it, in this format.
    Format(String),
}

impl Fault {
    /// What an error of the system says of the file.
    pub fn of(error: &io::Error) -> Self {
        if is_lasting(error) {
            Fault::Unusable(error.to_string())
        } else {
            Fault::Disk(error.to_string())
        }
    }

    /// Whether it may go away by itself, as a full or failing disk does.
    pub fn is_transient(&self) -> bool {
        matches!(self, Fault::Disk(_))
    }
}

/// The errno of a name that is too long.
const ENAMETOOLONG: i32 = 36;

/// Whether an error of a file stays until somebody changes the path or the permissions. All others (EIO, ENOSPC, EDQUOT,
/// EROFS of a file system that was remounted, a lack of descriptors or memory) may go away.
pub fn is_lasting(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidInput, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    matches!(
        error.kind(),
        PermissionDenied | NotFound | NotADirectory | IsADirectory | InvalidInput
    ) || error.raw_os_error() == Some(ENAMETOOLONG)
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Disk(why) | Fault::Unusable(why) => write!(f, "the disk: {why}"),
            Fault::Busy => f.write_str("another process has it open"),
            Fault::Damaged(why) => write!(
                f,
                "it is damaged ({why}); move it away and start again: what was promised comes back from the peers"
            ),
            Fault::Format(found) => {
                let known = Format::KNOWN.map(Format::name).join("' and '");
                write!(f, "its format is '{found}', this program's are '{known}'; start the program that wrote it")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// A fault of the embedded store.
pub(crate) fn fault(e: redb::Error) -> Fault {
    match e {
        redb::Error::Corrupted(why) => Fault::Damaged(why),
        redb::Error::DatabaseAlreadyOpen => Fault::Busy,
        redb::Error::UpgradeRequired(version) => Fault::Format(format!("redb file {version}")),
        redb::Error::RepairAborted => Fault::Damaged("its repair was broken off".into()),
        // What is no store at all comes as invalid data.
        redb::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
            Fault::Damaged(e.to_string())
        }
        redb::Error::Io(e) => Fault::of(&e),
        e => Fault::Disk(e.to_string()),
    }
}

/// The store's own checks failed, which it says by a panic.
pub(crate) fn broken() -> Fault {
    Fault::Damaged("its structure does not hold".into())
}
