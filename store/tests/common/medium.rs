//! A medium that stops at its n-th operation and then loses what was not synced, or whose calls fail for a while.
#![allow(dead_code, reason = "each test has its own use of it")]

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// Kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Calls(u8);

impl Calls {
    pub(crate) const READ: Calls = Calls(1);
    pub(crate) const WRITE: Calls = Calls(2);
    pub(crate) const SYNC: Calls = Calls(4);
    pub(crate) const LENGTH: Calls = Calls(8);
    pub(crate) const ALL: Calls = Calls(15);
    /// Each kind, and all that change something.
    pub(crate) const EACH: [Calls; 5] = [
        Calls::READ,
        Calls::WRITE,
        Calls::SYNC,
        Calls::LENGTH,
        Calls(14),
    ];
}

/// Calls that fail.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spell {
    calls: Calls,
    /// Calls of this kind before it begins.
    before: u64,
    /// Calls that fail then.
    times: u64,
    errno: i32,
    /// What a failed sync covered is read as it was before (some file systems), and not as it was written (others).
    evicts: bool,
}

impl Spell {
    pub(crate) fn new(calls: Calls, before: u64, times: u64) -> Self {
        let errno = if before % 2 == 0 { EIO } else { ENOSPC };
        Spell {
            calls,
            before,
            times,
            errno,
            evicts: false,
        }
    }

    pub(crate) fn for_good(calls: Calls) -> Self {
        Spell::new(calls, 0, u64::MAX)
    }

    /// The one call of this kind after so many.
    pub(crate) fn nth(calls: Calls, before: u64) -> Self {
        Spell::new(calls, before, 1)
    }

    /// The pages of a sync that fails are let go, and read as they are on the medium.
    pub(crate) fn evicting(self) -> Self {
        Spell {
            evicts: true,
            ..self
        }
    }

    fn call(&mut self, call: Calls) -> io::Result<()> {
        if self.calls.0 & call.0 == 0 {
            return Ok(());
        }
        if self.before > 0 {
            self.before -= 1;
            return Ok(());
        }
        if self.times == 0 {
            return Ok(());
        }
        self.times -= 1;
        Err(io::Error::from_raw_os_error(self.errno))
    }
}

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
    pub visible: Vec<u8>,
    /// What is there for good.
    pub durable: Vec<u8>,
    unsynced: Vec<Change>,
    /// Operations until it stops; none: it goes on.
    pub remaining_operations: Option<u64>,
    /// Calls that fail.
    spell: Option<Spell>,
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
    fn fails(&mut self, call: Calls) -> io::Result<()> {
        self.spell.as_mut().map_or(Ok(()), |spell| spell.call(call))
    }

    /// What was not synced is clean to the system from now on, and no sync takes it to the medium: only the loss of power
    /// shows it.
    fn lose_unsynced(&mut self) {
        self.unsynced.clear();
        if self.spell.is_some_and(|spell| spell.evicts) {
            let length = self.visible.len();
            self.visible.clone_from(&self.durable);
            self.visible.resize(length, 0);
        }
    }

    fn operate(&mut self) -> Result<(), std::io::Error> {
        if self.remaining_operations == Some(0) {
            return Err(std::io::Error::other("the medium has stopped"));
        }
        self.remaining_operations = self.remaining_operations.map(|left| left - 1);
        self.operations += 1;
        Ok(())
    }

    fn change(&mut self, change: Change) -> Result<(), std::io::Error> {
        self.operate()?;
        apply(&mut self.visible, &change);
        self.unsynced.push(change);
        Ok(())
    }

    /// The power goes: of what was not synced some is there, by the seed, one of them in part.
    pub(crate) fn lose_power(&mut self, mut seed: u64) {
        for change in std::mem::take(&mut self.unsynced) {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            match (seed >> 60, change) {
                (0..=6, change) => apply(&mut self.durable, &change),
                (7..=8, Change::Bytes(at, bytes)) => {
                    // Torn at a sector, which a disk writes whole.
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

/// A disk in memory, of which all clones are the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Medium(pub Arc<Mutex<Disk>>);

impl StorageBackend for Medium {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().unwrap().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        disk.fails(Calls::READ)?;
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
        disk.fails(Calls::LENGTH)?;
        disk.change(Change::Length(length as usize))
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        if let Err(e) = disk.fails(Calls::SYNC) {
            disk.lose_unsynced();
            return Err(e);
        }
        disk.operate()?;
        for change in std::mem::take(&mut disk.unsynced) {
            apply(&mut disk.durable, &change);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().unwrap();
        if let Err(e) = disk.fails(Calls::WRITE) {
            // A part of it was taken.
            let part = data[..data.len() / 2].to_vec();
            disk.change(Change::Bytes(offset as usize, part))?;
            return Err(e);
        }
        disk.change(Change::Bytes(offset as usize, data.to_vec()))
    }
}

impl Medium {
    /// Has calls fail from now on, or none; gives what failed before.
    pub(crate) fn fail(&self, spell: Option<Spell>) -> Option<Spell> {
        std::mem::replace(&mut self.0.lock().unwrap().spell, spell)
    }
}
