//! The file of the store, which contains keyspaces and is changed by atomic groups of writes.

use crate::backend;
use crate::error::{panicked, store_error, StoreError};
use crate::fault_points;
use crate::unsynced::UnsyncedRanges;
use redb::{
    AccessGuard, Database, DatabaseError, ReadOnlyDatabase, ReadOnlyTable, ReadableDatabase,
    ReadableTable, StorageBackend, StorageError, Table, TableDefinition, TableError,
};
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// A version of the file format, whose name is stored in the file. Files with an unknown format are not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Log entries only. This is the format of new files.
    Entries,
    /// Log entries and the compact table of older purges. This is a separate format so that older versions, which
    /// support only `Entries`, refuse to open the file instead of skipping the table.
    Compacted,
}

impl Format {
    /// All supported formats, the oldest first.
    pub const KNOWN: [Format; 2] = [Format::Entries, Format::Compacted];

    /// Returns the name of the format that is stored in the file.
    pub const fn name(self) -> &'static str {
        match self {
            Format::Entries => "linnetknot state 1",
            Format::Compacted => "linnetknot state 2",
        }
    }

    /// Returns the write that sets this format. A file must never be set to an older format, because programs that
    /// support only that format would skip the rest of the file.
    pub fn write(self) -> Write {
        Write::put(HEADER, FORMAT_KEY.to_vec(), self.name().into())
    }

    fn from_name(name: &[u8]) -> Option<Self> {
        Self::KNOWN
            .into_iter()
            .find(|format| format.name().as_bytes() == name)
    }
}

/// The keyspace that contains the name of the format.
const HEADER: Keyspace = Keyspace("head");
/// The key in `HEADER` under which the name of the format is stored.
const FORMAT_KEY: &[u8] = b"format";

/// A named set of keys in the file, which is separate from all other keyspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keyspace(pub &'static str);

impl Keyspace {
    fn table(self) -> TableDefinition<'static, &'static [u8], &'static [u8]> {
        TableDefinition::new(self.0)
    }
}

/// The operation of a write on its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Stores this value under the key, replacing any previous value.
    Put(Vec<u8>),
    /// Removes the key and its value, if the key exists.
    Remove,
    /// Removes the key if it has this value when the write is applied.
    RemoveIf(Vec<u8>),
}

/// A write to one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The keyspace of the key.
    pub keyspace: Keyspace,
    /// The key within its keyspace, copied out of the store file.
    pub key: Vec<u8>,
    /// The operation on the key.
    pub change: Change,
}

impl Write {
    /// Creates a write that sets the value of a key.
    pub fn put(keyspace: Keyspace, key: Vec<u8>, value: Vec<u8>) -> Self {
        Write {
            keyspace,
            key,
            change: Change::Put(value),
        }
    }

    /// Creates a write that removes a key.
    pub fn remove(keyspace: Keyspace, key: Vec<u8>) -> Self {
        Write {
            keyspace,
            key,
            change: Change::Remove,
        }
    }

    /// Creates a write that removes a key if it has this value.
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

/// A key of a keyspace and its value, as returned by a scan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value stored under the key, copied out of the store file.
    pub value: Vec<u8>,
}

/// Copies a key and its value out of the pages of the file.
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

/// A store in a file, which is opened again after a failed operation.
pub struct Store {
    /// `None` after a failed operation, because redb rejects further operations until the file is opened again.
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
    /// Opens the file at a path, or creates it. If the file is damaged, fails and leaves the file unchanged.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        if !path.exists() {
            Self::create(path)?;
        }
        Self::check_format(path)?;
        let path = path.to_owned();
        let unsynced = UnsyncedRanges::default();
        Self::open_with(Box::new(move || backend::open_file(&path, &unsynced)))
    }

    /// Checks the format of the file before the file is opened for writing, which changes it. All other errors, and
    /// files whose format cannot be read without a repair, are ignored here, because opening the file for writing
    /// detects them.
    fn check_format(path: &Path) -> Result<(), StoreError> {
        let format = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = ReadOnlyDatabase::open(path)?
                .begin_read()?
                .open_table(HEADER.table())?;
            Ok(table.get(FORMAT_KEY)?.map(|found| found.value().to_vec()))
        };
        match catch_unwind(AssertUnwindSafe(format)) {
            Ok(Ok(Some(found))) => Self::known_format(&found).map(drop),
            _ => Ok(()),
        }
    }

    /// Creates the file under a temporary name and renames it once it is complete. Otherwise a file that a crash left
    /// incomplete could not be distinguished from a damaged file.
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

    /// Opens a store on custom backends. `backend` is called each time the file is opened, and creates a backend. Tests
    /// use it to simulate the loss of unsynced writes.
    pub fn open_on<B: StorageBackend>(
        mut backend: impl FnMut() -> B + Send + 'static,
    ) -> Result<Self, StoreError> {
        let unsynced = UnsyncedRanges::default();
        Self::open_with(Box::new(move || backend::open_on(backend(), &unsynced)))
    }

    fn open_with(opener: Opener) -> Result<Self, StoreError> {
        let mut store = Store {
            database: None,
            opener,
        };
        store.database()?;
        match store.get(HEADER, FORMAT_KEY)? {
            None if store.has_no_tables()? => {
                store.commit(&[Format::Entries.write()])?;
            }
            None => return Err(StoreError::Damaged("it contains no format name".into())),
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
        match self.get(HEADER, FORMAT_KEY)? {
            Some(found) => Self::known_format(&found),
            None => Err(StoreError::Damaged("it contains no format name".into())),
        }
    }

    /// Returns the database, and opens it if necessary.
    fn database(&mut self) -> Result<&Database, StoreError> {
        let database = match self.database.take() {
            Some(database) => database,
            // redb may panic on a file that another program has changed.
            None => catch_unwind(AssertUnwindSafe(&mut self.opener))
                .map_err(|_| panicked())?
                .map_err(|e| store_error(e.into()))?,
        };
        Ok(self.database.insert(database))
    }

    /// Returns whether nothing has been written to the file.
    fn has_no_tables(&mut self) -> Result<bool, StoreError> {
        let read = self
            .database()?
            .begin_read()
            .map_err(|e| store_error(e.into()))?;
        let mut tables = read.list_tables().map_err(|e| store_error(e.into()))?;
        Ok(tables.next().is_none())
    }

    /// Returns the value of a key, or `None` if the key does not exist.
    pub fn get(&mut self, keyspace: Keyspace, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.read(keyspace, |table| {
            Ok(table.get(key)?.map(|value| value.value().to_vec()))
        })
        .map(Option::flatten)
    }

    /// Returns all keys and values of a keyspace, ordered by key.
    pub fn scan(&mut self, keyspace: Keyspace) -> Result<Vec<KeyValue>, StoreError> {
        let all = self.read(keyspace, |table| table.iter()?.map(key_value).collect())?;
        Ok(all.unwrap_or_default())
    }

    /// Reads from a keyspace. Returns `None` if nothing has been written to the keyspace.
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
            .map_err(|_| panicked())
            .and_then(|result| result.map_err(store_error));
        if found.is_err() {
            // A failed read also makes redb reject all operations until the file is opened again.
            self.database = None;
        }
        found
    }

    /// Commits a group of writes atomically. If this succeeds, the whole group is on the disk. If it fails, either the
    /// whole group or none of it is on the disk, because the disk may have written data that it did not confirm.
    pub fn commit(&mut self, group: &[Write]) -> Result<(), StoreError> {
        let database = self.database()?;
        let write = || -> Result<(), redb::Error> {
            // By default redb syncs on each commit.
            let transaction = database.begin_write()?;
            // A table is opened once for consecutive writes to it.
            for run in group.chunk_by(|a, b| a.keyspace == b.keyspace) {
                let mut table = transaction.open_table(run[0].keyspace.table())?;
                run.iter().try_for_each(|write| apply(&mut table, write))?;
            }
            Ok(transaction.commit()?)
        };
        let written = catch_unwind(AssertUnwindSafe(write))
            .map_err(|_| panicked())
            .and_then(|result| result.map_err(store_error));
        if written.is_err() {
            // After a failed write redb rejects all operations until the file is opened again. The file then has the
            // state after the last complete group.
            self.database = None;
        }
        written
    }
}
