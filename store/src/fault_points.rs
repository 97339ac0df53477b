//! Fail points with which tests make calls to the file system fail with an errno. Without the `failpoints` feature of
//! the `fail` crate, which release builds do not enable, they compile to nothing.

use std::io;

/// The errnos that tests can inject, by name. The first one is the default.
const ERRNOS: [(&str, i32); 4] = [("EIO", 5), ("EACCES", 13), ("ENOSPC", 28), ("EROFS", 30)];

/// Returns the error with the errno of this name, or EIO if the name is not in `ERRNOS`.
#[doc(hidden)]
pub fn error(name: Option<String>) -> io::Error {
    let name = name.unwrap_or_default();
    let found = ERRNOS.iter().find(|(known, _)| *known == name);
    io::Error::from_raw_os_error(found.map_or(ERRNOS[0].1, |(_, errno)| *errno))
}

/// Fails if a test makes the opening of files fail.
#[doc(hidden)]
pub fn open() -> io::Result<()> {
    fail::fail_point!("disk-open", |name| Err(error(name)));
    Ok(())
}

/// Fails if a test makes reads fail.
#[doc(hidden)]
pub fn read() -> io::Result<()> {
    fail::fail_point!("disk-read", |name| Err(error(name)));
    Ok(())
}

/// Fails if a test makes writes fail.
#[doc(hidden)]
pub fn write() -> io::Result<()> {
    fail::fail_point!("disk-write", |name| Err(error(name)));
    Ok(())
}

/// Fails if a test makes syncs of files or directories fail.
#[doc(hidden)]
pub fn sync() -> io::Result<()> {
    fail::fail_point!("disk-sync", |name| Err(error(name)));
    Ok(())
}

/// Fails if a test makes changes of a file's length fail.
#[doc(hidden)]
pub fn truncate() -> io::Result<()> {
    fail::fail_point!("disk-truncate", |name| Err(error(name)));
    Ok(())
}

/// Fails if a test makes renames or removals of files fail.
#[doc(hidden)]
pub fn rename() -> io::Result<()> {
    fail::fail_point!("disk-rename", |name| Err(error(name)));
    Ok(())
}
