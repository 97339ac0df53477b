//! Tracks the ranges of a file that were written since its last sync, so that they can be written again after a failed
//! sync.
//!
//! The kernel reports a failed write-back only once, and then marks the affected pages clean (fsync(2)). Reads still
//! return their content, but a later sync succeeds without writing them, and a power failure loses them. The ranges
//! that a failed sync covered are therefore read and written again before the file is used. If the previous process did
//! not close the file, it is unknown whether one of its syncs failed, so the whole file is written again.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The magic number at the start of a redb file.
const MAGIC: &[u8] = b"redb\x1A\x0A\xA9\x0D\x0A";
/// The flag in the byte after the magic number that is set while the file is open.
const RECOVERY_REQUIRED: u8 = 2;
/// The number of bytes that are rewritten with one call.
const CHUNK_BYTES: u64 = 1 << 20;
/// The maximum number of separate ranges. When it is exceeded, all ranges are merged into one.
const MAX_RANGES: usize = 4_096;

/// The unsynced ranges of a file. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsyncedRanges(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// The end of each range by its start, as offsets in bytes.
    ranges: BTreeMap<u64, u64>,
    /// Whether a sync has failed, so that all ranges must be written again.
    has_failed_sync: bool,
    /// Whether this process has opened the file before.
    was_opened: bool,
}

impl State {
    fn add(&mut self, start: u64, end: u64) {
        let range_end = self.ranges.entry(start).or_default();
        *range_end = end.max(*range_end);
        if self.ranges.len() > MAX_RANGES {
            let first = self.ranges.first_key_value().map_or(0, |(start, _)| *start);
            let last = self.ranges.values().copied().max().unwrap_or(0);
            self.ranges = BTreeMap::from([(first, last)]);
        }
    }
}

impl UnsyncedRanges {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that these bytes of the file were written and are not synced yet.
    pub(crate) fn record_write(&self, offset: u64, length: usize) {
        self.state().add(offset, offset + length as u64);
    }

    /// Records the result of a sync, and returns it.
    pub(crate) fn record_sync<T>(&self, result: io::Result<T>) -> io::Result<T> {
        let mut state = self.state();
        match &result {
            // A sync after a failed sync does not write the pages that the failed sync lost.
            Ok(_) if !state.has_failed_sync => state.ranges.clear(),
            Ok(_) => {}
            Err(_) => state.has_failed_sync = true,
        }
        result
    }

    /// Writes the ranges of a failed sync again. Must be called before the file is used.
    pub(crate) fn rewrite_if_needed(&self, backend: &impl StorageBackend) -> io::Result<()> {
        let length = backend.len()?;
        let mut state = self.state();
        if !state.was_opened && was_left_open(backend, length)? {
            state.add(0, length);
            state.has_failed_sync = true;
        }
        state.was_opened = true;
        if !state.has_failed_sync {
            return Ok(());
        }
        for (start, end) in &state.ranges {
            rewrite_range(backend, *start, length.min(*end))?;
        }
        backend.set_len(length)?;
        backend.sync_data()?;
        state.ranges.clear();
        state.has_failed_sync = false;
        Ok(())
    }
}

/// Returns whether the previous process did not close the file.
fn was_left_open(backend: &impl StorageBackend, length: u64) -> io::Result<bool> {
    let mut header = [0; MAGIC.len() + 1];
    if length < header.len() as u64 {
        return Ok(false);
    }
    backend.read(0, &mut header)?;
    Ok(header.starts_with(MAGIC) && header[MAGIC.len()] & RECOVERY_REQUIRED != 0)
}

/// Reads a range and writes it back unchanged.
fn rewrite_range(backend: &impl StorageBackend, start: u64, end: u64) -> io::Result<()> {
    let mut offset = start;
    while offset < end {
        let mut bytes = vec![0; CHUNK_BYTES.min(end - offset) as usize];
        backend.read(offset, &mut bytes)?;
        backend.write(offset, &bytes)?;
        offset += bytes.len() as u64;
    }
    Ok(())
}
