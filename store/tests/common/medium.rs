//! A medium that stops at its n-th operation and then loses what was not synced.

use redb::StorageBackend;
use std::sync::{Arc, Mutex};

/// A change that the medium was told of and that is not synced.
#[derive(Clone, Debug)]
enum Change {
    Length(usize),
    Bytes(usize, Vec<u8>),
}

/// What a medium holds.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// What a reader sees while the power is on.
    pub seen: Vec<u8>,
    /// What is there for good.
    pub lasting: Vec<u8>,
    unsynced: Vec<Change>,
    /// Operations until it stops; none: it goes on.
    pub left: Option<u64>,
    /// Operations so far.
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
    fn operate(&mut self) -> Result<(), std::io::Error> {
        if self.left == Some(0) {
            return Err(std::io::Error::other("the medium has stopped"));
        }
        self.left = self.left.map(|left| left - 1);
        self.operations += 1;
        Ok(())
    }

    fn change(&mut self, change: Change) -> Result<(), std::io::Error> {
        self.operate()?;
        apply(&mut self.seen, &change);
        self.unsynced.push(change);
        Ok(())
    }

    /// The power goes: of what was not synced some is there, by the seed, one of them in part.
    pub(crate) fn lose(&mut self, mut seed: u64) {
        for change in std::mem::take(&mut self.unsynced) {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            match (seed >> 60, change) {
                (0..=6, change) => apply(&mut self.lasting, &change),
                (7..=8, Change::Bytes(at, bytes)) => {
                    // Torn at a sector, which a disk writes whole.
                    let part = (bytes.len() / 2) & !511;
                    apply(
                        &mut self.lasting,
                        &Change::Bytes(at, bytes[..part].to_vec()),
                    );
                }
                _ => {}
            }
        }
        self.seen.clone_from(&self.lasting);
        self.left = None;
    }
}

/// A disk in memory, of which all clones are the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Medium(pub Arc<Mutex<Disk>>);

impl StorageBackend for Medium {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().unwrap().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let disk = self.0.lock().unwrap();
        let part = disk.seen.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(
            part.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?,
        );
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.0
            .lock()
            .unwrap()
            .change(Change::Length(length as usize))
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        disk.operate()?;
        disk.lasting = disk.seen.clone();
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0
            .lock()
            .unwrap()
            .change(Change::Bytes(offset as usize, data.to_vec()))
    }
}
