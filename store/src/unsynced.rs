//! The ranges of a file that were written since it was last synced, so that they can be written again after a failed
//! sync.
//!
//! The kernel reports a failed write-back once and then marks the pages clean (fsync(2)): they are read as they were
//! written, another sync succeeds without them, and the next loss of power loses them. So the ranges that a failed sync
//! covered are read and written again before the file is used. A process that opens a file that the process before did
//! not close can't know whether a sync failed there, and writes all of it again.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The first bytes of a redb file.
const MAGIC: &[u8] = b"redb\x1A\x0A\xA9\x0D\x0A";
/// The bit of the byte after them that is set while the file is open.
const RECOVERY_REQUIRED: u8 = 2;
/// Bytes that are rewritten with one call.
const CHUNK_BYTES: u64 = 1 << 20;
/// The most ranges that are kept apart. Beyond that, all from the first to the last becomes one range.
const MAX_RANGES: usize = 4_096;

/// The unsynced ranges of one file. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unsynced(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// The end of each range by its start, in bytes.
    ranges: BTreeMap<u64, u64>,
    /// A sync failed: all ranges have to be written again.
    has_failed_sync: bool,
    /// This process has opened the file before.
    was_opened: bool,
}

impl State {
    fn add(&mut self, start: u64, end: u64) {
        let known = self.ranges.entry(start).or_default();
        *known = end.max(*known);
        if self.ranges.len() > MAX_RANGES {
            let first = self.ranges.first_key_value().map_or(0, |(start, _)| *start);
            let last = self.ranges.values().copied().max().unwrap_or(0);
            self.ranges = BTreeMap::from([(first, last)]);
        }
    }
}

impl Unsynced {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a write.
    pub(crate) fn record_write(&self, offset: u64, length: usize) {
        self.state().add(offset, offset + length as u64);
    }

    /// Records the result of a sync, and returns it.
    pub(crate) fn record_sync<T>(&self, result: io::Result<T>) -> io::Result<T> {
        let mut state = self.state();
        match &result {
            // A sync after a failed one does not write what that one lost.
            Ok(_) if !state.has_failed_sync => state.ranges.clear(),
            Ok(_) => {}
            Err(_) => state.has_failed_sync = true,
        }
        result
    }

    /// Writes the ranges that a failed sync covered again, before the file is used.
    pub(crate) fn restore(&self, backend: &impl StorageBackend) -> io::Result<()> {
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
            rewrite(backend, *start, length.min(*end))?;
        }
        backend.set_len(length)?;
        backend.sync_data()?;
        state.ranges.clear();
        state.has_failed_sync = false;
        Ok(())
    }
}

/// Whether the process that had the file open before did not close it.
fn was_left_open(backend: &impl StorageBackend, length: u64) -> io::Result<bool> {
    let mut head = [0; MAGIC.len() + 1];
    if length < head.len() as u64 {
        return Ok(false);
    }
    backend.read(0, &mut head)?;
    Ok(head.starts_with(MAGIC) && head[MAGIC.len()] & RECOVERY_REQUIRED != 0)
}

/// Reads a range and writes it back unchanged.
fn rewrite(backend: &impl StorageBackend, start: u64, end: u64) -> io::Result<()> {
    let mut offset = start;
    while offset < end {
        let mut bytes = vec![0; CHUNK_BYTES.min(end - offset) as usize];
        backend.read(offset, &mut bytes)?;
        backend.write(offset, &bytes)?;
        offset += bytes.len() as u64;
    }
    Ok(())
}
