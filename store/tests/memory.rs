//! The memory of a process that rewrites a file larger than the page cache. The test reads the resident memory of its
//! process, so this file contains no other test.

use linnetknot_store::{Keyspace, Store, Write};
use std::fs;

const SPACE: Keyspace = Keyspace("test");
/// The number of keys that the test writes. Their values have a total size of about 32 MiB.
const KEYS: u64 = 64 << 10;
const VALUE_BYTES: usize = 512;
const GROUP_WRITES: usize = 4_096;
/// The number of times that all values are written.
const ROUNDS: u64 = 4;
/// The limit is more than the page cache and the memory for committing a group, but less than the file.
const MAX_GROWTH_BYTES: u64 = 20 << 20;

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap();
    line.split_whitespace()
        .next()
        .unwrap()
        .parse::<u64>()
        .unwrap()
        << 10
}

/// Returns the keys in an order that spreads adjacent keys over different groups, so that each group rewrites many
/// pages.
fn keys() -> impl Iterator<Item = u64> {
    (0..KEYS).map(|n| n.wrapping_mul(40_503) % KEYS)
}

fn write(key: u64, round: u64) -> Write {
    Write::put(
        SPACE,
        key.to_be_bytes().to_vec(),
        vec![round as u8; VALUE_BYTES],
    )
}

#[test]
fn memory_is_bounded_by_the_cache_while_a_larger_file_is_rewritten() {
    let path = std::env::temp_dir().join(format!("linnetknot-store-memory-{}", std::process::id()));
    let mut store = Store::open(&path).unwrap();
    let before = resident_bytes();
    for round in 0..ROUNDS {
        let writes: Vec<u64> = keys().collect();
        for group in writes.chunks(GROUP_WRITES) {
            let group: Vec<Write> = group.iter().map(|key| write(*key, round)).collect();
            store.commit(&group).unwrap();
        }
    }
    let growth = resident_bytes().saturating_sub(before);
    let length = fs::metadata(&path).unwrap().len();
    for key in [0, KEYS / 2, KEYS - 1] {
        let value = store.get(SPACE, &key.to_be_bytes()).unwrap();
        assert_eq!(value, Some(vec![(ROUNDS - 1) as u8; VALUE_BYTES]));
    }
    drop(store);
    fs::remove_file(&path).unwrap();
    assert!(
        length > MAX_GROWTH_BYTES,
        "a file of {length} bytes is too small for the test"
    );
    assert!(
        growth < MAX_GROWTH_BYTES,
        "memory grew by {growth} bytes with a file of {length} bytes"
    );
}
