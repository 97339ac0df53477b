//! Points at which tests have calls to the file system fail with an errno. Without the feature of the crate `fail` that
//! no release build has, each of them is nothing at all.

use std::io;

/// The errno of a test's fault by its name; EIO where it names none.
const ERRNOS: [(&str, i32); 4] = [("EIO", 5), ("EACCES", 13), ("ENOSPC", 28), ("EROFS", 30)];

/// The error with an errno of this name.
#[doc(hidden)]
pub fn error(name: Option<String>) -> io::Error {
    let name = name.unwrap_or_default();
    let found = ERRNOS.iter().find(|(known, _)| *known == name);
    io::Error::from_raw_os_error(found.map_or(ERRNOS[0].1, |(_, errno)| *errno))
}

/// A file is opened or created.
#[doc(hidden)]
pub fn open() -> io::Result<()> {
    fail::fail_point!("disk-open", |name| Err(error(name)));
    Ok(())
}

/// A file is read.
#[doc(hidden)]
pub fn read() -> io::Result<()> {
    fail::fail_point!("disk-read", |name| Err(error(name)));
    Ok(())
}

/// A file is written.
#[doc(hidden)]
pub fn write() -> io::Result<()> {
    fail::fail_point!("disk-write", |name| Err(error(name)));
    Ok(())
}

/// A file or a folder is synced.
#[doc(hidden)]
pub fn sync() -> io::Result<()> {
    fail::fail_point!("disk-sync", |name| Err(error(name)));
    Ok(())
}

/// A file's length is changed.
#[doc(hidden)]
pub fn truncate() -> io::Result<()> {
    fail::fail_point!("disk-truncate", |name| Err(error(name)));
    Ok(())
}

/// A file is renamed or removed.
#[doc(hidden)]
pub fn rename() -> io::Result<()> {
    fail::fail_point!("disk-rename", |name| Err(error(name)));
    Ok(())
}
