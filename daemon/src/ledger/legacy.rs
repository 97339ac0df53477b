//! Import of the text files of earlier versions: a file is renamed to `FILE.old` and imported once.

use super::error::LedgerError;
use crate::peers::{self, Purge};
use linnetknot_replication::{Capacity, Datagram, Entry, LogStore};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The prefixes by which files of earlier versions are recognized.
const MAGICS: [&[u8]; 3] = [b"life ", b"copies1", b"purge "];
/// The length of the longest prefix that identifies a format, in bytes.
const MAX_MAGIC_BYTES: u64 = 8;

/// The content of an earlier version's file.
#[derive(Debug, Default)]
pub(super) struct LegacyFile {
    /// The log entries stored in the file.
    pub(super) entries: Vec<Entry>,
    /// Purges that belong to no log, as stored by the first version.
    pub(super) purges: Vec<Purge>,
}

impl LegacyFile {
    /// Reads a file that an earlier version has written.
    pub(super) fn read(path: &Path) -> Result<Self, LedgerError> {
        let error = |source| LedgerError::Legacy {
            path: path.to_owned(),
            source,
        };
        let text = fs::read(path).map_err(error)?;
        let file = Self::parse(path, &String::from_utf8_lossy(&text));
        log::info!(entries = file.entries.len() + file.purges.len(); "imported {}", path.display());
        Ok(file)
    }

    fn parse(path: &Path, text: &str) -> Self {
        let mut file = LegacyFile::default();
        // The log store drops superseded entries, and those whose predecessors were lost in a crash.
        let mut store = LogStore::default();
        for line in text.split_inclusive('\n') {
            // A crash may have truncated the last line, which is skipped then.
            let line = line.strip_suffix('\n').unwrap_or("");
            match (
                Datagram::decode(line.as_bytes()),
                peers::read(line.as_bytes()),
            ) {
                (Ok(Datagram::Entry(entry)), _) => {
                    store.try_insert(&entry, Capacity::UNLIMITED);
                }
                (_, Some(purge)) => file.purges.push(purge),
                _ if line == "closed" || line.starts_with("life ") => {}
                _ => log::warn!("{}: a malformed line is ignored", path.display()),
            }
        }
        // The store holds one entry per subject, the latest.
        let entries = store
            .entries()
            .map(|entry| ((entry.log, entry.subject.clone()), entry));
        file.entries = entries.collect::<BTreeMap<_, _>>().into_values().collect();
        file
    }
}

/// Renames the file if it was written by an earlier version, and returns the new path; `None` if there is no such file.
pub(super) fn rename_legacy(path: &Path) -> Result<Option<PathBuf>, LedgerError> {
    let error = |source| LedgerError::Legacy {
        path: path.to_owned(),
        source,
    };
    let mut renamed = path.as_os_str().to_owned();
    renamed.push(".old");
    let renamed = PathBuf::from(renamed);
    match first_bytes(path) {
        Ok(first) if is_legacy(&first) => fs::rename(path, &renamed).map_err(error)?,
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(error(e)),
    }
    Ok(renamed.exists().then_some(renamed))
}

/// Whether a file that starts with these bytes was written by an earlier version. An empty file also was, because the
/// store never leaves an empty file.
fn is_legacy(first: &[u8]) -> bool {
    first.is_empty() || MAGICS.iter().any(|magic| first.starts_with(magic))
}

fn first_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    io::Read::read_to_end(
        &mut io::Read::take(fs::File::open(path)?, MAX_MAGIC_BYTES),
        &mut bytes,
    )?;
    Ok(bytes)
}
