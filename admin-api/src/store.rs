//! Stores the [`OperatorState`] under `$TMPDIR`, so that bans and draining outlive the process and an upgrade.
//!
//! The daemon writes two copies in turn, each atomically (a new file renamed over its name), so a copy is complete or
//! absent. A copy that can't be parsed (after a crash of the file system, or an edit by hand) is ignored, and the other
//! one counts: a broken file never lifts a ban. A call succeeds once both copies have it. So of two complete copies the
//! one with the lower sequence counts: the other holds a call that was rejected or never answered.

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

/// Encodes a copy.
pub fn encode(state: &OperatorState) -> Vec<u8> {
    serde_json::to_vec(state).expect("a set of strings, a number and a flag are JSON")
}

/// Reads a copy; none where it is absent or can't be parsed.
fn read_copy(path: &Path) -> io::Result<Option<OperatorState>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(serde_json::from_slice(&bytes).ok()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Loads the state from a folder; the default where no copy is complete. It is an error if no copy is complete and one
/// can't be read, as that one may be.
pub fn load(folder: &Path) -> io::Result<OperatorState> {
    select_copy(copy_paths(folder).iter().map(|path| read_copy(path)))
}

/// Chooses the complete copy with the lower sequence, as a call succeeds only once both copies have it.
fn select_copy(
    copies: impl Iterator<Item = io::Result<Option<OperatorState>>>,
) -> io::Result<OperatorState> {
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
        (Some(state), _) => Ok(state),
        (None, Some(e)) => Err(e),
        (None, None) => Ok(OperatorState::default()),
    }
}

#[cfg(test)]
mod tests;
