//! The stored identity of the process: the epoch of the log that it writes, and its incarnation among the members.

use linnetknot::Micros;
use linnetknot_replication::Epoch;
use linnetknot_store::{Keyspace, Store, StoreError, Write};

/// The keyspace of the identity. The names of its keys are those of released versions.
const OWN: Keyspace = Keyspace("own");
/// The key of the epoch of this writer's log.
const EPOCH: &[u8] = b"life";
/// The key that is there while the store is closed in order: the log may be continued in its epoch.
const CLOSED: &[u8] = b"closed";
/// The key of the incarnation among the members: it grows with every start, also where the clock does not.
const INCARNATION: &[u8] = b"member";

/// The identity of this process, which follows from that of the process before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// The store was created by this process.
    pub(super) is_fresh: bool,
    /// The epoch of the log that this process writes.
    pub(super) epoch: Epoch,
    /// This process's incarnation among the members.
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

    /// Derives the identity of this process from what the last one stored.
    ///
    /// This writer's log is continued in the stored epoch only where the store was closed in order: after a crash its
    /// last entries may be missing here and known to others, and an index must never be assigned twice. Nothing is lost
    /// with the old epoch. Nor is the epoch of an earlier version's file continued: that file may be imported twice, if
    /// a store is lost.
    pub(super) fn load(store: &mut Store, now: Micros) -> Result<Self, StoreError> {
        let is_closed = store.get(OWN, CLOSED)?.is_some();
        let known = number(store, EPOCH)?;
        // Epochs grow also where the clock was set back in between, as the operators' last decision is the one of the
        // greatest epoch (`LogStore::decisions`).
        let next_epoch = known.map_or(now, |before| now.max(before + 1));
        let incarnation = number(store, INCARNATION)?.map_or(0, |before| before + 1);
        Ok(Identity {
            is_fresh: known.is_none(),
            epoch: known.filter(|_| is_closed).unwrap_or(next_epoch),
            incarnation: now.max(incarnation),
        })
    }

    /// Returns the writes that store this identity: from then on the store is not closed.
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

/// Returns the write that marks the store as closed in order.
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
