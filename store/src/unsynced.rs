//! What of a file was written since it was last synced, so that it can be written again after a sync that failed.
//!
//! The system reports a failed write-back once and then takes the pages for clean (fsync(2)): they are read as they were
//! written, another sync succeeds without them, and the next loss of power takes them away. So what a failed sync covered
//! is written again, from what is read there, before anything relies on it. A process that opens a file that its
//! forerunner did not close can't know whether a sync failed there, and writes all of it again.

use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The first bytes of the embedded store's file.
const MAGIC: &[u8] = b"redb\x1A\x0A\xA9\x0D\x0A";
/// The bit of the byte behind them that is set while the file is open: it was not closed.
const RECOVERY_REQUIRED: u8 = 2;
/// Bytes that are written again at once.
const CHUNK_BYTES: u64 = 1 << 20;
/// Ranges that are told apart. Beyond them all between the first and the last counts as one.
const MAX_RANGES: usize = 4_096;

/// The ranges of one file, by their begin. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unsynced(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    ranges: BTreeMap<u64, u64>,
    /// A sync failed: all ranges are to be written again.
    is_lost: bool,
    /// The file was opened by this process before.
    is_known: bool,
}

impl State {
    fn add(&mut self, begin: u64, end: u64) {
        let known = self.ranges.entry(begin).or_default();
        *known = end.max(*known);
        if self.ranges.len() > MAX_RANGES {
            let first = self.ranges.first_key_value().map_or(0, |(begin, _)| *begin);
            let last = self.ranges.values().copied().max().unwrap_or(0);
            self.ranges = BTreeMap::from([(first, last)]);
        }
    }
}

impl Unsynced {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes were written.
    pub(crate) fn written(&self, offset: u64, length: usize) {
        self.state().add(offset, offset + length as u64);
    }

    /// Takes in what became of a sync.
    pub(crate) fn synced<T>(&self, result: io::Result<T>) -> io::Result<T> {
        let mut state = self.state();
        match &result {
            // A sync after a failed one covers nothing of what that one lost.
            Ok(_) if !state.is_lost => state.ranges.clear(),
            Ok(_) => {}
            Err(_) => state.is_lost = true,
        }
        result
    }

    /// Writes again what a failed sync covered, before the file is used.
    pub(crate) fn restore(&self, medium: &impl StorageBackend) -> io::Result<()> {
        let length = medium.len()?;
        let mut state = self.state();
        if !state.is_known && was_left_open(medium, length)? {
            state.add(0, length);
            state.is_lost = true;
        }
        state.is_known = true;
        if !state.is_lost {
            return Ok(());
        }
        for (begin, end) in &state.ranges {
            rewrite(medium, *begin, length.min(*end))?;
        }
        medium.set_len(length)?;
        medium.sync_data()?;
        state.ranges.clear();
        state.is_lost = false;
        Ok(())
    }
}

fn was_left_open(medium: &impl StorageBackend, length: u64) -> io::Result<bool> {
    let mut head = [0; MAGIC.len() + 1];
    if length < head.len() as u64 {
        return Ok(false);
    }
    medium.read(0, &mut head)?;
    Ok(head.starts_with(MAGIC) && head[MAGIC.len()] & RECOVERY_REQUIRED != 0)
}

/// Reads a range and writes it as it is.
fn rewrite(medium: &impl StorageBackend, begin: u64, end: u64) -> io::Result<()> {
    let mut at = begin;
    while at < end {
        let mut bytes = vec![0; CHUNK_BYTES.min(end - at) as usize];
        medium.read(at, &mut bytes)?;
        medium.write(at, &bytes)?;
        at += bytes.len() as u64;
    }
    Ok(())
}
