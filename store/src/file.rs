//! The store's file: keyspaces of keys and values, changed by atomic groups of writes.

use crate::backend;
use crate::error::{inconsistent, store_error, StoreError};
use crate::fault_points;
use crate::unsynced::Unsynced;
use redb::{
    AccessGuard, Database, DatabaseError, ReadOnlyDatabase, ReadOnlyTable, ReadableDatabase,
    ReadableTable, StorageBackend, StorageError, Table, TableDefinition, TableError,
};
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// A version of the file's format, which the file names. A program does not open a file whose format it doesn't know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Log entries alone: the format of new files.
    Entries,
    /// Log entries and the compact table of older purges, which a program that knows only entries must not ignore.
    Compacted,
}

impl Format {
    /// All formats that this program knows, the oldest first.
    pub const KNOWN: [Format; 2] = [Format::Entries, Format::Compacted];

    /// Returns the format's name in the file.
    pub const fn name(self) -> &'static str {
        match self {
            Format::Entries => "linnetknot state 1",
            Format::Compacted => "linnetknot state 2",
        }
    }

    /// Returns the write that gives a file this format. A file must never be given an older format than it has:
    /// programs of that format would ignore what only the newer one holds.
    pub fn write(self) -> Write {
        Write::put(HEAD, FORMAT_KEY.to_vec(), self.name().into())
    }

    fn from_name(name: &[u8]) -> Option<Self> {
        Self::KNOWN
            .into_iter()
            .find(|format| format.name().as_bytes() == name)
    }
}

/// The keyspace of the format.
const HEAD: Keyspace = Keyspace("head");
/// The key of the format's name.
const FORMAT_KEY: &[u8] = b"format";

/// A named set of keys in the file, apart from those of all other keyspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keyspace(pub &'static str);

impl Keyspace {
    fn table(self) -> TableDefinition<'static, &'static [u8], &'static [u8]> {
        TableDefinition::new(self.0)
    }
}

/// What a write does with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Sets its value.
    Put(Vec<u8>),
    /// Removes it.
    Remove,
    /// Removes it if this is its value when the write is applied; another value stays.
    RemoveIf(Vec<u8>),
}

/// The change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key's keyspace.
    pub keyspace: Keyspace,
    /// The key.
    pub key: Vec<u8>,
    /// What is done with it.
    pub change: Change,
}

impl Write {
    /// Sets the value of a key.
    pub fn put(keyspace: Keyspace, key: Vec<u8>, value: Vec<u8>) -> Self {
        Write {
            keyspace,
            key,
            change: Change::Put(value),
        }
    }

    /// Removes a key.
    pub fn remove(keyspace: Keyspace, key: Vec<u8>) -> Self {
        Write {
            keyspace,
            key,
            change: Change::Remove,
        }
    }

    /// Removes a key if it has this value.
    pub fn remove_if(keyspace: Keyspace, key: Vec<u8>, value: Vec<u8>) -> Self {
        Write {
            keyspace,
            key,
            change: Change::RemoveIf(value),
        }
    }
}

/// Applies a write to the table of its keyspace.
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Vec<u8>,
}

/// Copies a key and its value out of the file's pages.
fn key_value(pair: Result<(Guard<'_>, Guard<'_>), StorageError>) -> Result<KeyValue, StorageError> {
    let (key, value) = pair?;
    Ok(KeyValue {
        key: key.value().to_vec(),
        value: value.value().to_vec(),
    })
}

type WritableTable<'a> = Table<'a, &'static [u8], &'static [u8]>;
type Guard<'a> = AccessGuard<'a, &'static [u8]>;
type Opener = Box<dyn FnMut() -> Result<Database, DatabaseError> + Send>;

/// The open file.
pub struct Store {
    /// None after an operation failed, until the file is opened again: redb takes no further operation after a failed
    /// one.
    database: Option<Database>,
    opener: Opener,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("is_open", &self.database.is_some())
            .finish()
    }
}

impl Store {
    /// Opens the file at a path, or creates it. A damaged one is an error, and is left as it is.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        if !path.exists() {
            Self::create(path)?;
        }
        Self::check_format(path)?;
        let path = path.to_owned();
        let unsynced = Unsynced::default();
        Self::open_with(Box::new(move || backend::open_file(&path, &unsynced)))
    }

    /// Checks the file's format before it is opened for writing, which changes its bytes. All other faults of a file,
    /// and a file whose format can't be read without a repair, are left to the opening.
    fn check_format(path: &Path) -> Result<(), StoreError> {
        let format = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = ReadOnlyDatabase::open(path)?
                .begin_read()?
                .open_table(HEAD.table())?;
            Ok(table.get(FORMAT_KEY)?.map(|found| found.value().to_vec()))
        };
        match catch_unwind(AssertUnwindSafe(format)) {
            Ok(Ok(Some(found))) => Self::known_format(&found).map(drop),
            _ => Ok(()),
        }
    }

    /// Creates the file under another name and renames it once it is complete: a file whose first pages were cut off by
    /// a crash could not be told from a damaged one.
    fn create(path: &Path) -> Result<(), StoreError> {
        let io_error = |e: io::Error| StoreError::from_io(&e);
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(".new");
        let temporary = PathBuf::from(temporary);
        match std::fs::remove_file(&temporary) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(io_error(e)),
            _ => {}
        }
        let created = temporary.clone();
        drop(Self::open_with(Box::new(move || {
            backend::create_file(&created)
        }))?);
        fault_points::rename()
            .and_then(|()| std::fs::rename(&temporary, path))
            .map_err(io_error)?;
        match path.parent().filter(|p| !p.as_os_str().is_empty()) {
            Some(folder) => fault_points::sync()
                .and_then(|()| std::fs::File::open(folder))
                .and_then(|f| f.sync_all())
                .map_err(io_error),
            None => Ok(()),
        }
    }

    /// Opens a store on backends that the caller supplies, one for each time the file is opened: for tests that lose
    /// what was not synced.
    pub fn open_on<B: StorageBackend>(
        mut backend: impl FnMut() -> B + Send + 'static,
    ) -> Result<Self, StoreError> {
        let unsynced = Unsynced::default();
        Self::open_with(Box::new(move || backend::open_on(backend(), &unsynced)))
    }

    fn open_with(opener: Opener) -> Result<Self, StoreError> {
        let mut store = Store {
            database: None,
            opener,
        };
        store.database()?;
        match store.get(HEAD, FORMAT_KEY)? {
            None if store.is_new()? => {
                store.commit(&[Format::Entries.write()])?;
            }
            None => return Err(StoreError::Damaged("it names no format".into())),
            Some(found) => drop(Self::known_format(&found)?),
        }
        Ok(store)
    }

    fn known_format(found: &[u8]) -> Result<Format, StoreError> {
        Format::from_name(found)
            .ok_or_else(|| StoreError::Format(String::from_utf8_lossy(found).into_owned()))
    }

    /// Returns the file's format.
    pub fn format(&mut self) -> Result<Format, StoreError> {
        match self.get(HEAD, FORMAT_KEY)? {
            Some(found) => Self::known_format(&found),
            None => Err(StoreError::Damaged("it names no format".into())),
        }
    }

    /// Returns the open database, and opens it first where it is not open.
    fn database(&mut self) -> Result<&Database, StoreError> {
        let database = match self.database.take() {
            Some(database) => database,
            // redb may panic on a file that was changed by another program, as it trusts what it wrote.
            None => catch_unwind(AssertUnwindSafe(&mut self.opener))
                .map_err(|_| inconsistent())?
                .map_err(|e| store_error(e.into()))?,
        };
        Ok(self.database.insert(database))
    }

    /// Whether nothing was ever written to the file.
    fn is_new(&mut self) -> Result<bool, StoreError> {
        let read = self
            .database()?
            .begin_read()
            .map_err(|e| store_error(e.into()))?;
        let mut tables = read.list_tables().map_err(|e| store_error(e.into()))?;
        Ok(tables.next().is_none())
    }

    /// Returns the value of a key; none where it has none.
    pub fn get(&mut self, keyspace: Keyspace, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.read(keyspace, |table| {
            Ok(table.get(key)?.map(|value| value.value().to_vec()))
        })
        .map(Option::flatten)
    }

    /// Returns all keys of a keyspace with their values, in the order of the keys.
    pub fn scan(&mut self, keyspace: Keyspace) -> Result<Vec<KeyValue>, StoreError> {
        let all = self.read(keyspace, |table| table.iter()?.map(key_value).collect())?;
        Ok(all.unwrap_or_default())
    }

    /// Reads a keyspace; none where nothing was ever written to it.
    fn read<T>(
        &mut self,
        keyspace: Keyspace,
        take: impl FnOnce(&ReadOnlyTable<&'static [u8], &'static [u8]>) -> Result<T, StorageError>,
    ) -> Result<Option<T>, StoreError> {
        let database = self.database()?;
        let read = || -> Result<Option<T>, redb::Error> {
            match database.begin_read()?.open_table(keyspace.table()) {
                Ok(table) => Ok(Some(take(&table)?)),
                Err(TableError::TableDoesNotExist(_)) => Ok(None),
                Err(e) => Err(e.into()),
            }
        };
        let found = catch_unwind(AssertUnwindSafe(read))
            .map_err(|_| inconsistent())
            .and_then(|result| result.map_err(store_error));
        if found.is_err() {
            // After a failed read, too, redb refuses all others until the file is opened again.
            self.database = None;
        }
        found
    }

    /// Commits a group atomically: once this returns without an error all of it is on the disk. After an error all of
    /// it may be there or none, as the disk may have taken what it did not confirm.
    pub fn commit(&mut self, group: &[Write]) -> Result<(), StoreError> {
        let database = self.database()?;
        let write = || -> Result<(), redb::Error> {
            // redb syncs with each commit by default.
            let transaction = database.begin_write()?;
            // A table is opened once for all writes that follow each other in it.
            for run in group.chunk_by(|a, b| a.keyspace == b.keyspace) {
                let mut table = transaction.open_table(run[0].keyspace.table())?;
                run.iter().try_for_each(|write| apply(&mut table, write))?;
            }
            Ok(transaction.commit()?)
        };
        let written = catch_unwind(AssertUnwindSafe(write))
            .map_err(|_| inconsistent())
            .and_then(|result| result.map_err(store_error));
        if written.is_err() {
            // After a failed write redb refuses all others; opened again the file is as of its last complete group.
            self.database = None;
        }
        written
    }
}
