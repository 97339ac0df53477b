//! The stored identity of the process: the epoch of the log that it writes, and its incarnation among the members.

use linnetknot::Micros;
use linnetknot_replication::Epoch;
use linnetknot_store::{Keyspace, Store, StoreError, Write};

/// The keyspace of the identity. Its key names must not change, because released versions use them.
const OWN: Keyspace = Keyspace("own");
/// The key of the epoch of this writer's log.
const EPOCH: &[u8] = b"life";
/// The key that marks a cleanly closed store. Only then may the next process continue the log in the same epoch.
const CLOSED: &[u8] = b"closed";
/// The key of the incarnation among the members, which increases with every start even if the clock was set back.
const INCARNATION: &[u8] = b"member";

/// The identity of this process, derived from the stored identity of the previous process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// Whether the store was created by this process.
    pub(super) is_fresh: bool,
    /// The epoch of the log that this process writes.
    pub(super) epoch: Epoch,
    /// The incarnation of this process among the members.
    pub(super) incarnation: Epoch,
}

impl Identity {
    /// Returns the identity of a process whose store can't be read yet.
    pub(super) fn without_store(now: Micros) -> Self {
        Identity {
            is_fresh: true,
            epoch: now,
            incarnation: now,
        }
    }

    /// Derives the identity of this process from the stored one.
    ///
    /// The log is continued in the stored epoch only if the store was closed cleanly. After a crash, the last entries
    /// may be missing in the store although peers have them, and an index must never be assigned twice. Entries of the
    /// old epoch remain valid. The epoch of an imported file of an earlier version is not continued either, because the
    /// file may be imported again if the store is lost.
    pub(super) fn load(store: &mut Store, now: Micros) -> Result<Self, StoreError> {
        let is_closed = store.get(OWN, CLOSED)?.is_some();
        let known = number(store, EPOCH)?;
        // The epoch must increase even if the clock was set back, because `LogStore::decisions` takes the decision of
        // the greatest epoch as the latest.
        let next_epoch = known.map_or(now, |before| now.max(before + 1));
        let incarnation = number(store, INCARNATION)?.map_or(0, |before| before + 1);
        Ok(Identity {
            is_fresh: known.is_none(),
            epoch: known.filter(|_| is_closed).unwrap_or(next_epoch),
            incarnation: now.max(incarnation),
        })
    }

    /// Returns the writes that store this identity and mark the store as not closed.
    pub(super) fn writes(&self) -> [Write; 3] {
        [
            put(EPOCH, &self.epoch.to_be_bytes()),
            put(INCARNATION, &self.incarnation.to_be_bytes()),
            Write::remove(OWN, CLOSED.to_vec()),
        ]
    }
}

/// Returns the write that stores an incarnation.
pub(super) fn put_incarnation(incarnation: Epoch) -> Write {
    put(INCARNATION, &incarnation.to_be_bytes())
}

/// Returns the write that marks the store as closed cleanly.
pub(super) fn put_closed() -> Write {
    put(CLOSED, b"1")
}

fn put(key: &[u8], value: &[u8]) -> Write {
    Write::put(OWN, key.to_vec(), value.to_vec())
}

fn number(store: &mut Store, key: &[u8]) -> Result<Option<u64>, StoreError> {
    Ok(store
        .get(OWN, key)?
        .and_then(|bytes| bytes.try_into().ok())
        .map(u64::from_be_bytes))
}
