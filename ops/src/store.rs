//! Keeping [`Kept`] under `$TMPDIR` so that bans and drains outlive the process and carry over an upgrade.
//!
//! Two copies are written in turn by the daemon, each put in place whole (a fresh file renamed over its name), so
//! a copy is always whole or absent. A copy that can't be read (torn by a crash of the file system, or by hand) is passed over: the
//! other one, whole, stands. A torn file never lifts a ban. A call is answered yes once both copies have it, so of two whole
//! copies the one with the lower sequence stands: the other tells of a call that was answered no, or not at all.

use crate::state::Kept;
use std::io;
use std::path::{Path, PathBuf};

/// The two copies in a folder, in the order they are written.
pub fn copies(folder: &Path) -> [PathBuf; 2] {
    [
        folder.join("linnetknot-ops.json"),
        folder.join("linnetknot-ops.json.2"),
    ]
}

/// The bytes of one copy.
pub fn encode(kept: &Kept) -> Vec<u8> {
    serde_json::to_vec(kept).expect("a set of strings, a number and a flag are JSON")
}

/// Reads a copy: none where it is absent or not whole.
fn read(path: &Path) -> io::Result<Option<Kept>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes).ok()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// What was kept in a folder; nothing where no copy is whole. An error where a copy that can't be read may be.
pub fn load(folder: &Path) -> io::Result<Kept> {
    choose(copies(folder).iter().map(|path| read(path)))
}

/// Of two whole copies that differ the earlier stands: a call was answered yes only once both had it.
fn choose(copies: impl Iterator<Item = io::Result<Option<Kept>>>) -> io::Result<Kept> {
    let (mut whole, mut unread) = (None::<Kept>, None);
    for copy in copies {
        match copy {
            Ok(Some(kept)) if whole.as_ref().is_none_or(|w| kept.sequence < w.sequence) => {
                whole = Some(kept);
            }
            Ok(_) => {}
            Err(e) => unread = Some(e),
        }
    }
    match (whole, unread) {
        (Some(kept), _) => Ok(kept),
        (None, Some(e)) => Err(e),
        (None, None) => Ok(Kept::default()),
    }
}

#[cfg(test)]
mod tests;
