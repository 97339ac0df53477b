//! Stores the [`OperatorState`] under `$TMPDIR`, so that bans and drains persist across restarts and upgrades.
//!
//! The daemon writes two copies, one after the other, each atomically (a temporary file is renamed over it), so that a
//! copy is either complete or absent. A copy that can't be parsed, for example after a file system failure or a manual
//! edit, is ignored and the other copy is used, so that a corrupt file never lifts a ban. A call succeeds once both
//! copies contain its change. If both copies are complete, the one with the lower sequence is used, because the other
//! may contain the change of a call that was rejected or not answered.

use crate::state::OperatorState;
use std::io;
use std::path::{Path, PathBuf};

/// Returns the paths of the two copies in a folder, in the order in which they are written.
pub fn copy_paths(folder: &Path) -> [PathBuf; 2] {
    [
        folder.join("linnetknot-ops.json"),
        folder.join("linnetknot-ops.json.2"),
    ]
}

/// Returns the path of the file that a process locks while it changes the copies. Both processes of an upgrade may.
pub fn lock_path(folder: &Path) -> PathBuf {
    folder.join("linnetknot-ops.lock")
}

/// Encodes the state for storage.
pub fn encode(state: &OperatorState) -> Vec<u8> {
    serde_json::to_vec(state).expect("strings, a number and a flag can be encoded as JSON")
}

/// Reads a copy. Returns `None` if it is absent or can't be parsed.
fn read_copy(path: &Path) -> io::Result<Option<OperatorState>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes).ok()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Loads the state from a folder, or the default state if no copy is complete. Returns an error if no copy is complete
/// and one could not be read, because the unread copy may be complete.
pub fn load(folder: &Path) -> io::Result<OperatorState> {
    select_copy(copy_paths(folder).iter().map(|path| read_copy(path)))
}

/// Loads the state from a folder, or `None` if no copy is complete. Otherwise like [`load`].
pub fn load_complete(folder: &Path) -> io::Result<Option<OperatorState>> {
    select_complete_copy(copy_paths(folder).iter().map(|path| read_copy(path)))
}

/// Selects the copy to use, or the default state if no copy is complete.
fn select_copy(
    copies: impl Iterator<Item = io::Result<Option<OperatorState>>>,
) -> io::Result<OperatorState> {
    Ok(select_complete_copy(copies)?.unwrap_or_default())
}

/// Selects the complete copy with the lower sequence. A call succeeds only once both copies contain its change, so this
/// copy contains the changes of all successful calls.
fn select_complete_copy(
    copies: impl Iterator<Item = io::Result<Option<OperatorState>>>,
) -> io::Result<Option<OperatorState>> {
    let mut complete = None::<OperatorState>;
    let mut read_error = None;
    for copy in copies {
        match copy {
            Ok(Some(state))
                if complete
                    .as_ref()
                    .is_none_or(|c| state.sequence < c.sequence) =>
            {
                complete = Some(state);
            }
            Ok(_) => {}
            Err(e) => read_error = Some(e),
        }
    }
    match (complete, read_error) {
        (Some(state), _) => Ok(Some(state)),
        (None, Some(e)) => Err(e),
        (None, None) => Ok(None),
    }
}

#[cfg(test)]
mod tests;
