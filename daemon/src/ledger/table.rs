//! The encoding of the compact table of older purges in the store: its header with the size, its buckets, and a marker
//! for each log (the index through which the log is compacted).

use super::error::LedgerError;
use linnetknot_purges::{Bucket, BucketBits, BucketIndex, CompactTable};
use linnetknot_replication::{CompactedLog, LogId};
use linnetknot_store::{Format, KeyValue, Keyspace, Store, StoreError, Write};

/// The keyspace of the non-empty buckets. A key is the index in big endian, a value the encoding of the bucket.
const BUCKETS: Keyspace = Keyspace("buckets");
/// The keyspace of the markers. A key is the writer and the epoch of the log, a value the index through which it is
/// compacted, all in big endian.
const MARKERS: Keyspace = Keyspace("compacted");
/// The keyspace of the table's header.
const TABLE: Keyspace = Keyspace("table");
/// The key of the header: the form of the three keyspaces and the binary logarithm of the number of buckets, one byte
/// each.
const HEADER: &[u8] = b"header";
/// The version of the encoding that this program reads and writes.
const FORM: u8 = 1;

/// The compact table and the markers, as loaded from the store.
#[derive(Debug)]
pub(super) struct StoredTable {
    /// The table, converted to the configured size.
    pub(super) table: CompactTable,
    /// For each log with compacted entries, the index through which it is compacted.
    pub(super) markers: Vec<CompactedLog>,
    /// The writes that resize the stored table. They must be committed as one group, so that a crash leaves the table
    /// either in its old size or in its new size.
    pub(super) resize: Vec<Write>,
    /// Whether the store contains the header. Older versions of the program refuse to open such a store.
    pub(super) has_header: bool,
}

impl StoredTable {
    /// Reads the table and converts it to the configured size.
    pub(super) fn load(store: &mut Store, configured: BucketBits) -> Result<Self, LedgerError> {
        let header = store.get(TABLE, HEADER)?;
        let buckets = store.scan(BUCKETS)?;
        let markers = store.scan(MARKERS)?;
        let Some(header) = header else {
            return match buckets.is_empty() && markers.is_empty() {
                true => Ok(StoredTable::empty(configured)),
                false => Err(damaged("the purge table has no header")),
            };
        };
        if store.format()? < Format::Compacted && !(buckets.is_empty() && markers.is_empty()) {
            return Err(damaged(
                "the store has a purge table, which its format does not include",
            ));
        }
        let bucket_bits = read_header(&header)?;
        let table = read_buckets(bucket_bits, &buckets)?;
        let markers = markers.iter().map(read_marker).collect::<Result<_, _>>()?;
        if bucket_bits == configured {
            return Ok(StoredTable {
                table,
                markers,
                resize: Vec::new(),
                has_header: true,
            });
        }
        let resized = table.resized(configured);
        log::info!(from = table.memory_bytes(), to = resized.memory_bytes(); "purge table resized");
        let resize = resize(&buckets, &resized);
        Ok(StoredTable {
            table: resized,
            markers,
            resize,
            has_header: true,
        })
    }

    fn empty(configured: BucketBits) -> Self {
        StoredTable {
            table: CompactTable::new(configured),
            markers: Vec::new(),
            resize: Vec::new(),
            has_header: false,
        }
    }
}

/// Returns the writes that create a table. Versions of the program without the table refuse to open the store
/// afterwards.
pub(super) fn create(bucket_bits: BucketBits) -> [Write; 2] {
    [Format::Compacted.write(), put_header(bucket_bits)]
}

/// Returns the write that stores a bucket.
pub(super) fn put_bucket(table: &CompactTable, index: BucketIndex) -> Write {
    let mut value = Vec::new();
    table
        .bucket(index)
        .copied()
        .unwrap_or_default()
        .encode(&mut value);
    Write::put(BUCKETS, index.value().to_be_bytes().to_vec(), value)
}

/// Returns the write that stores a log's marker.
pub(super) fn put_marker(marker: CompactedLog) -> Write {
    let key = [
        marker.log.writer.to_be_bytes(),
        marker.log.epoch.to_be_bytes(),
    ]
    .concat();
    Write::put(MARKERS, key, marker.through.to_be_bytes().to_vec())
}

fn put_header(bucket_bits: BucketBits) -> Write {
    Write::put(TABLE, HEADER.to_vec(), vec![FORM, bucket_bits.value()])
}

/// Returns the writes that replace the buckets of the old size.
fn resize(old: &[KeyValue], table: &CompactTable) -> Vec<Write> {
    let mut writes: Vec<Write> = old
        .iter()
        .map(|pair| Write::remove(BUCKETS, pair.key.clone()))
        .collect();
    writes.extend(
        table
            .occupied(BucketIndex::default())
            .map(|(index, _)| put_bucket(table, index)),
    );
    writes.push(put_header(table.bucket_bits()));
    writes
}

fn read_header(header: &[u8]) -> Result<BucketBits, LedgerError> {
    match header {
        [FORM, bits] => BucketBits::new(*bits).map_err(damaged),
        [form, ..] if *form != FORM => Err(LedgerError::TableForm { found: *form }),
        _ => Err(damaged("the purge table's header is malformed")),
    }
}

fn read_buckets(bucket_bits: BucketBits, pairs: &[KeyValue]) -> Result<CompactTable, LedgerError> {
    let mut table = CompactTable::new(bucket_bits);
    for KeyValue { key, value } in pairs {
        let index = key.as_slice().try_into().map(u32::from_be_bytes);
        let index =
            index.map_err(|_| damaged("the index of a bucket of the purge table is malformed"))?;
        let bucket = Bucket::decode(value).map_err(|e| damaged(format!("bucket {index}: {e}")))?;
        table
            .merge_bucket(bucket_bits, index.into(), &bucket)
            .map_err(damaged)?;
    }
    Ok(table)
}

fn read_marker(KeyValue { key, value }: &KeyValue) -> Result<CompactedLog, LedgerError> {
    let number = |bytes: Option<&[u8]>| bytes?.try_into().ok().map(u64::from_be_bytes);
    let log = || Some(LogId::new(number(key.get(..8))?, number(key.get(8..))?));
    let marker = log().zip(number(Some(value)));
    let (log, through) =
        marker.ok_or_else(|| damaged("the marker of a compacted log is malformed"))?;
    Ok(CompactedLog { log, through })
}

fn damaged(reason: impl ToString) -> LedgerError {
    LedgerError::Store(StoreError::Damaged(reason.to_string()))
}
