//! Files of earlier versions, which were lines of text: each is put aside as `FILE.old` and taken over once.

use super::error::LedgerError;
use crate::peers::{self, Purge};
use linnetknot_replication::{Capacity, Datagram, Entry, LogStore};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What the earlier versions began their files with.
const FIRST_WORDS: [&[u8]; 3] = [b"life ", b"copies1", b"purge "];
/// The longest of them.
const FIRST_BYTES: u64 = 8;

/// What a file of an earlier version holds.
#[derive(Debug, Default)]
pub(super) struct LegacyFile {
    /// Entries of logs.
    pub(super) entries: Vec<Entry>,
    /// Purges of the version that had no logs.
    pub(super) purges: Vec<Purge>,
}

impl LegacyFile {
    /// Reads a file, line by line.
    pub(super) fn read(path: &Path) -> Result<Self, LedgerError> {
        let error = |source| LedgerError::Legacy {
            path: path.to_owned(),
            source,
        };
        let text = fs::read(path).map_err(error)?;
        let file = Self::parse(path, &String::from_utf8_lossy(&text));
        log::info!(entries = file.entries.len() + file.purges.len(); "{} is taken over", path.display());
        Ok(file)
    }

    fn parse(path: &Path, text: &str) -> Self {
        let mut file = LegacyFile::default();
        // The log store sorts out what was superseded, and what a crash cut off or left without those before it.
        let mut store = LogStore::default();
        for whole in text.split_inclusive('\n') {
            let line = whole.strip_suffix('\n').unwrap_or("");
            match (
                Datagram::read(line.as_bytes()),
                peers::read(line.as_bytes()),
            ) {
                (Ok(Datagram::Entry(entry)), _) => {
                    store.take(&entry, Capacity::UNLIMITED);
                }
                (_, Some(purge)) => file.purges.push(purge),
                _ if line == "closed" || line.starts_with("life ") => {}
                _ => log::warn!("{}: a line that is no purge is passed over", path.display()),
            }
        }
        // As the store has them: a later purge in place of the one before.
        let entries = store
            .entries()
            .map(|entry| ((entry.log, entry.subject.clone()), entry));
        file.entries = entries.collect::<BTreeMap<_, _>>().into_values().collect();
        file
    }
}

/// Puts a file of an earlier version aside and gives where it is; none where there was none.
pub(super) fn put_aside(path: &Path) -> Result<Option<PathBuf>, LedgerError> {
    let error = |source| LedgerError::Legacy {
        path: path.to_owned(),
        source,
    };
    let mut aside = path.as_os_str().to_owned();
    aside.push(".old");
    let aside = PathBuf::from(aside);
    match first_bytes(path) {
        Ok(first) if is_legacy(&first) => fs::rename(path, &aside).map_err(error)?,
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(error(e)),
    }
    Ok(aside.exists().then_some(aside))
}

/// Whether an earlier version wrote a file that begins so. An empty one is theirs, too: the store writes none.
fn is_legacy(first: &[u8]) -> bool {
    first.is_empty() || FIRST_WORDS.iter().any(|words| first.starts_with(words))
}

fn first_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    io::Read::read_to_end(
        &mut io::Read::take(fs::File::open(path)?, FIRST_BYTES),
        &mut bytes,
    )?;
    Ok(bytes)
}
