//! A simulated storage medium. It can stop at its n-th operation, lose unsynced changes in a power failure, and make
//! calls fail during an outage.
#![allow(dead_code, reason = "each test uses a different part")]

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// A set of kinds of calls to the medium, such as those that an outage affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Calls(u8);

impl Calls {
    pub(crate) const READ: Calls = Calls(1);
    pub(crate) const WRITE: Calls = Calls(2);
    pub(crate) const SYNC: Calls = Calls(4);
    pub(crate) const LENGTH: Calls = Calls(8);
    pub(crate) const ALL: Calls = Calls(15);
    /// Each single kind of call, and the set of all kinds that change the medium.
    pub(crate) const EACH: [Calls; 5] = [
        Calls::READ,
        Calls::WRITE,
        Calls::SYNC,
        Calls::LENGTH,
        Calls(14),
    ];
}

/// A period in which calls fail.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    calls: Calls,
    /// The number of successful calls before the outage.
    skipped_calls: u64,
    /// The number of calls that fail during the period.
    failing_calls: u64,
    errno: i32,
    /// Whether a failed sync evicts the written pages, so that later reads return the old content, as on some file
    /// systems. On other file systems reads return the new content.
    evicts_pages: bool,
}

impl Outage {
    pub(crate) fn new(calls: Calls, skipped_calls: u64, failing_calls: u64) -> Self {
        let errno = if skipped_calls % 2 == 0 { EIO } else { ENOSPC };
        Outage {
            calls,
            skipped_calls,
            failing_calls,
            errno,
            evicts_pages: false,
        }
    }

    pub(crate) fn permanent(calls: Calls) -> Self {
        Outage::new(calls, 0, u64::MAX)
    }

    /// A single call fails, after `skipped_calls` successful calls.
    pub(crate) fn single(calls: Calls, skipped_calls: u64) -> Self {
        Outage::new(calls, skipped_calls, 1)
    }

    /// Makes failed syncs evict the written pages.
    pub(crate) fn evicting_pages(self) -> Self {
        Outage {
            evicts_pages: true,
            ..self
        }
    }

    fn check(&mut self, call: Calls) -> io::Result<()> {
        if self.calls.0 & call.0 == 0 {
            return Ok(());
        }
        if self.skipped_calls > 0 {
            self.skipped_calls -= 1;
            return Ok(());
        }
        if self.failing_calls == 0 {
            return Ok(());
        }
        self.failing_calls -= 1;
        Err(io::Error::from_raw_os_error(self.errno))
    }
}

/// A change that has not been synced.
#[derive(Clone, Debug)]
enum Change {
    Length(usize),
    Bytes(usize, Vec<u8>),
}

/// The content of a simulated medium and the faults that it is to have.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// The content that reads return, including unsynced changes.
    pub visible: Vec<u8>,
    /// The content that survives a power failure.
    pub durable: Vec<u8>,
    unsynced: Vec<Change>,
    /// The number of operations until the medium stops, or `None` if it does not stop.
    pub remaining_operations: Option<u64>,
    /// The current outage, or `None` if calls succeed.
    outage: Option<Outage>,
    /// The number of operations called on the medium so far.
    pub operations: u64,
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Length(length) => bytes.resize(*length, 0),
        Change::Bytes(at, new) => {
            bytes.resize(bytes.len().max(at + new.len()), 0);
            bytes[*at..at + new.len()].copy_from_slice(new);
        }
    }
}

impl Disk {
    fn check_outage(&mut self, call: Calls) -> io::Result<()> {
        self.outage
            .as_mut()
            .map_or(Ok(()), |outage| outage.check(call))
    }

    /// Discards the unsynced changes. The kernel marks the pages of a failed sync clean, so later syncs do not write
    /// them.
    fn discard_unsynced(&mut self) {
        self.unsynced.clear();
        if self.outage.is_some_and(|outage| outage.evicts_pages) {
            let length = self.visible.len();
            self.visible.clone_from(&self.durable);
            self.visible.resize(length, 0);
        }
    }

    fn count_operation(&mut self) -> Result<(), std::io::Error> {
        if self.remaining_operations == Some(0) {
            return Err(std::io::Error::other("the medium has stopped"));
        }
        self.remaining_operations = self.remaining_operations.map(|left| left - 1);
        self.operations += 1;
        Ok(())
    }

    fn change(&mut self, change: Change) -> Result<(), std::io::Error> {
        self.count_operation()?;
        apply(&mut self.visible, &change);
        self.unsynced.push(change);
        Ok(())
    }

    /// Simulates a power failure. The seed determines whether each unsynced change is applied, torn or lost.
    pub(crate) fn lose_power(&mut self, mut seed: u64) {
        for change in std::mem::take(&mut self.unsynced) {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            match (seed >> 60, change) {
                (0..=6, change) => apply(&mut self.durable, &change),
                (7..=8, Change::Bytes(at, bytes)) => {
                    // Changes are torn at a sector boundary, because disks write sectors atomically.
                    let part = (bytes.len() / 2) & !511;
                    apply(
                        &mut self.durable,
                        &Change::Bytes(at, bytes[..part].to_vec()),
                    );
                }
                _ => {}
            }
        }
        self.visible.clone_from(&self.durable);
        self.remaining_operations = None;
    }
}

/// An in-memory disk. Clones share the same disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Medium(pub Arc<Mutex<Disk>>);

impl StorageBackend for Medium {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().unwrap().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        disk.check_outage(Calls::READ)?;
        let part = disk
            .visible
            .get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(
            part.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?,
        );
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        disk.check_outage(Calls::LENGTH)?;
        disk.change(Change::Length(length as usize))
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        if let Err(e) = disk.check_outage(Calls::SYNC) {
            disk.discard_unsynced();
            return Err(e);
        }
        disk.count_operation()?;
        for change in std::mem::take(&mut disk.unsynced) {
            apply(&mut disk.durable, &change);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        if let Err(e) = disk.check_outage(Calls::WRITE) {
            // A failed write may have written a part of the data; here it writes the first half.
            let part = data[..data.len() / 2].to_vec();
            disk.change(Change::Bytes(offset as usize, part))?;
            return Err(e);
        }
        disk.change(Change::Bytes(offset as usize, data.to_vec()))
    }
}

impl Medium {
    /// Starts or ends an outage. Returns the previous outage.
    pub(crate) fn set_outage(&self, outage: Option<Outage>) -> Option<Outage> {
        std::mem::replace(&mut self.0.lock().unwrap().outage, outage)
    }
}
