//! What the store says of the process that writes it: the epoch of its log, and its incarnation among the members.

use linnetknot::Micros;
use linnetknot_replication::Epoch;
use linnetknot_store::{Keyspace, Store, StoreError, Write};

/// What is said of this writer's log. The keys are those of the released form.
const OWN: Keyspace = Keyspace("own");
/// The epoch of this writer's log.
const EPOCH: &[u8] = b"life";
/// The process ended in order: the log goes on in its epoch.
const CLOSED: &[u8] = b"closed";
/// The process's incarnation among the members: it grows with every start, also where the clock does not.
const INCARNATION: &[u8] = b"member";

/// What the last process left, and what this one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// The store was begun by this process.
    pub(super) is_fresh: bool,
    /// The epoch of the log that this process writes.
    pub(super) epoch: Epoch,
    /// This process's incarnation among the members.
    pub(super) incarnation: Epoch,
}

impl Identity {
    /// Of a process whose store can't be read yet.
    pub(super) fn without_store(now: Micros) -> Self {
        Identity {
            is_fresh: true,
            epoch: now,
            incarnation: now,
        }
    }

    /// Reads what the last process left.
    ///
    /// This writer's log goes on in the epoch of the store only where the store was closed: after a crash its last
    /// entries may be missing here and known to others, and a place in a log must never be given twice. Nothing is lost
    /// with the old epoch. Nor does it go on in the epoch of a file that was put aside: that may be taken over twice, if
    /// a store is lost.
    pub(super) fn of(store: &mut Store, now: Micros) -> Result<Self, StoreError> {
        let is_closed = store.get(OWN, CLOSED)?.is_some();
        let known = number(store, EPOCH)?;
        // A later epoch is a greater one, also where the clock was set back between the two: what its operators decided
        // last counts (`LogStore::decisions`).
        let next_epoch = known.map_or(now, |before| now.max(before + 1));
        let incarnation = number(store, INCARNATION)?.map_or(0, |before| before + 1);
        Ok(Identity {
            is_fresh: known.is_none(),
            epoch: known.filter(|_| is_closed).unwrap_or(next_epoch),
            incarnation: now.max(incarnation),
        })
    }

    /// The writes that begin this process: from then on the store counts as not closed.
    pub(super) fn begin(&self) -> [Write; 3] {
        [
            put(EPOCH, &self.epoch.to_be_bytes()),
            put(INCARNATION, &self.incarnation.to_be_bytes()),
            Write::remove(OWN, CLOSED.to_vec()),
        ]
    }
}

/// The write that keeps a process's incarnation.
pub(super) fn incarnation(incarnation: Epoch) -> Write {
    put(INCARNATION, &incarnation.to_be_bytes())
}

/// The write that ends a process in order.
pub(super) fn closed() -> Write {
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
