//! The file: spaces of keys and values, written in groups that are there whole or not at all.

use crate::fault::{broken, fault, Fault};
use crate::fault_points;
use crate::medium;
use crate::unsynced::Unsynced;
use redb::{
    AccessGuard, Database, DatabaseError, ReadOnlyDatabase, ReadOnlyTable, ReadableDatabase,
    ReadableTable, StorageBackend, StorageError, Table, TableDefinition, TableError,
};
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// A version of the file's format. The file says which it is, and a program refuses one that it does not know by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Entries alone. New files have it.
    Entries,
    /// Entries and the compact table of older purges, which a program that knows only entries must not pass over.
    Compacted,
}

impl Format {
    /// All that this program knows, the oldest first.
    pub const KNOWN: [Format; 2] = [Format::Entries, Format::Compacted];

    /// The format's name in the file.
    pub const fn name(self) -> &'static str {
        match self {
            Format::Entries => "linnetknot state 1",
            Format::Compacted => "linnetknot state 2",
        }
    }

    /// The write that gives a file this format. Whoever gives a file an older one than it has loses what only the newer
    /// one tells of.
    pub fn write(self) -> Write {
        Write::put(HEAD, VERSION.to_vec(), self.name().into())
    }

    fn of(name: &[u8]) -> Option<Self> {
        Self::KNOWN
            .into_iter()
            .find(|format| format.name().as_bytes() == name)
    }
}

/// Where the version stands.
const HEAD: Space = Space("head");
const VERSION: &[u8] = b"format";

/// A space of keys of its own in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Space(pub &'static str);

impl Space {
    fn table(self) -> TableDefinition<'static, &'static [u8], &'static [u8]> {
        TableDefinition::new(self.0)
    }
}

/// What a write does to its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Gives it a value.
    Put(Vec<u8>),
    /// Takes it out.
    Remove,
    /// Takes it out if this is its value when the write is carried out; another value stays.
    RemoveIf(Vec<u8>),
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The space.
    pub space: Space,
    /// The key.
    pub key: Vec<u8>,
    /// What is done to it.
    pub change: Change,
}

impl Write {
    /// Gives a key a value.
    pub fn put(space: Space, key: Vec<u8>, value: Vec<u8>) -> Self {
        Write {
            space,
            key,
            change: Change::Put(value),
        }
    }

    /// Takes a key out.
    pub fn remove(space: Space, key: Vec<u8>) -> Self {
        Write {
            space,
            key,
            change: Change::Remove,
        }
    }

    /// Takes a key out if it has a value.
    pub fn remove_if(space: Space, key: Vec<u8>, value: Vec<u8>) -> Self {
        Write {
            space,
            key,
            change: Change::RemoveIf(value),
        }
    }
}

/// Carries out a write in its space.
fn apply(table: &mut WritableTable<'_>, write: &Write) -> Result<(), StorageError> {
    let key = write.key.as_slice();
    match &write.change {
        Change::Put(value) => drop(table.insert(key, value.as_slice())?),
        Change::Remove => drop(table.remove(key)?),
        Change::RemoveIf(value) => {
            let is_same = table
                .get(key)?
                .is_some_and(|found| found.value() == value.as_slice());
            if is_same {
                drop(table.remove(key)?);
            }
        }
    }
    Ok(())
}

/// A key and its value.
pub type Pair = (Vec<u8>, Vec<u8>);

type WritableTable<'a> = Table<'a, &'static [u8], &'static [u8]>;
type Guard<'a> = AccessGuard<'a, &'static [u8]>;
type Opener = Box<dyn FnMut() -> Result<Database, DatabaseError> + Send>;

/// The file.
pub struct Store {
    /// None after a write failed, until it is opened again: the store takes no more once one did.
    db: Option<Database>,
    opener: Opener,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("sound", &self.db.is_some())
            .finish()
    }
}

impl Store {
    /// Opens the file at a path, or begins it. A damaged one is refused and left as it is.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        if !path.exists() {
            Self::begin(path)?;
        }
        Self::refuse_unknown(path)?;
        let path = path.to_owned();
        let unsynced = Unsynced::default();
        Self::by(Box::new(move || medium::open_file(&path, &unsynced)))
    }

    /// Refuses a file of an unknown format before it is opened for writing, which changes its bytes. What else is wrong
    /// with a file, or what only a repair can tell of it, is left to the opening.
    fn refuse_unknown(path: &Path) -> Result<(), Fault> {
        let format = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = ReadOnlyDatabase::open(path)?
                .begin_read()?
                .open_table(HEAD.table())?;
            Ok(table.get(VERSION)?.map(|found| found.value().to_vec()))
        };
        match catch_unwind(AssertUnwindSafe(format)) {
            Ok(Ok(Some(found))) => Self::known(&found).map(drop),
            _ => Ok(()),
        }
    }

    /// Begins a file beside its place and puts it there once it is whole: a file whose first words were cut off by a
    /// crash could not be told from a damaged one.
    fn begin(path: &Path) -> Result<(), Fault> {
        let disk = |e: io::Error| Fault::of(&e);
        let mut beside = path.as_os_str().to_owned();
        beside.push(".new");
        match std::fs::remove_file(&beside) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(disk(e)),
            _ => {}
        }
        let made = std::path::PathBuf::from(&beside);
        drop(Self::by(Box::new(move || medium::create_file(&made)))?);
        fault_points::rename()
            .and_then(|()| std::fs::rename(&beside, path))
            .map_err(disk)?;
        match path.parent().filter(|p| !p.as_os_str().is_empty()) {
            Some(folder) => fault_points::sync()
                .and_then(|()| std::fs::File::open(folder))
                .and_then(|f| f.sync_all())
                .map_err(disk),
            None => Ok(()),
        }
    }

    /// Opens a store on a medium of the caller's, as tests do that lose what was not synced.
    pub fn on<B: StorageBackend>(
        mut medium: impl FnMut() -> B + Send + 'static,
    ) -> Result<Self, Fault> {
        let unsynced = Unsynced::default();
        Self::by(Box::new(move || medium::open_on(medium(), &unsynced)))
    }

    fn by(opener: Opener) -> Result<Self, Fault> {
        let mut store = Store { db: None, opener };
        store.reopen()?;
        match store.get(HEAD, VERSION)? {
            None if store.is_new()? => {
                store.commit(&[Format::Entries.write()])?;
            }
            None => return Err(Fault::Damaged("it names no format".into())),
            Some(found) => drop(Self::known(&found)?),
        }
        Ok(store)
    }

    fn known(found: &[u8]) -> Result<Format, Fault> {
        Format::of(found).ok_or_else(|| Fault::Format(String::from_utf8_lossy(found).into_owned()))
    }

    /// The file's format.
    pub fn format(&mut self) -> Result<Format, Fault> {
        match self.get(HEAD, VERSION)? {
            Some(found) => Self::known(&found),
            None => Err(Fault::Damaged("it names no format".into())),
        }
    }

    /// Opens the file anew where it is not open.
    fn reopen(&mut self) -> Result<&Database, Fault> {
        let db = match self.db.take() {
            Some(db) => db,
            // A file that was changed from outside may have the store panic where it trusts what it wrote.
            None => catch_unwind(AssertUnwindSafe(&mut self.opener))
                .map_err(|_| broken())?
                .map_err(|e| fault(e.into()))?,
        };
        Ok(self.db.insert(db))
    }

    fn is_new(&mut self) -> Result<bool, Fault> {
        let read = self.reopen()?.begin_read().map_err(|e| fault(e.into()))?;
        let mut tables = read.list_tables().map_err(|e| fault(e.into()))?;
        Ok(tables.next().is_none())
    }

    /// The value of a key.
    pub fn get(&mut self, space: Space, key: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        self.read(space, |table| {
            Ok(table.get(key)?.map(|value| value.value().to_vec()))
        })
        .map(Option::flatten)
    }

    /// All keys of a space with their values, in the keys' order.
    pub fn all(&mut self, space: Space) -> Result<Vec<Pair>, Fault> {
        let all = self.read(space, |table| {
            let pair = |pair: Result<(Guard<'_>, Guard<'_>), StorageError>| {
                pair.map(|(key, value)| (key.value().to_vec(), value.value().to_vec()))
            };
            table.iter()?.map(pair).collect()
        })?;
        Ok(all.unwrap_or_default())
    }

    /// Reads a space; none where nothing was ever written to it.
    fn read<T>(
        &mut self,
        space: Space,
        take: impl FnOnce(&ReadOnlyTable<&'static [u8], &'static [u8]>) -> Result<T, StorageError>,
    ) -> Result<Option<T>, Fault> {
        let db = self.reopen()?;
        let read = || -> Result<Option<T>, redb::Error> {
            match db.begin_read()?.open_table(space.table()) {
                Ok(table) => Ok(Some(take(&table)?)),
                Err(TableError::TableDoesNotExist(_)) => Ok(None),
                Err(e) => Err(e.into()),
            }
        };
        let found = catch_unwind(AssertUnwindSafe(read))
            .map_err(|_| broken())
            .and_then(|result| result.map_err(fault));
        if found.is_err() {
            // After a failed read, too, the store refuses all others until it is opened again.
            self.db = None;
        }
        found
    }

    /// Writes a group: all of it is on the disk when this returns, or none of it ever is. After an error it may be
    /// either, as the disk may have taken what it would not confirm.
    pub fn commit(&mut self, group: &[Write]) -> Result<(), Fault> {
        let db = self.reopen()?;
        let write = || -> Result<(), redb::Error> {
            // The store's default is to sync with each commit.
            let transaction = db.begin_write()?;
            // A table of a transaction is opened once for all that follow each other in it.
            for run in group.chunk_by(|a, b| a.space == b.space) {
                let mut table = transaction.open_table(run[0].space.table())?;
                run.iter().try_for_each(|write| apply(&mut table, write))?;
            }
            Ok(transaction.commit()?)
        };
        let written = catch_unwind(AssertUnwindSafe(write))
            .map_err(|_| broken())
            .and_then(|result| result.map_err(fault));
        if written.is_err() {
            // After a failed write the store refuses all others; opened again it stands as of its last whole group.
            self.db = None;
        }
        written
    }
}
