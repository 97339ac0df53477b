//! The memory of a process that writes for long to a file that is larger than the cache of its pages. Alone in its
//! process, whose resident memory it reads.

use linnetknot_store::{Keyspace, Store, Write};
use std::fs;

const SPACE: Keyspace = Keyspace("test");
/// Some 32 MiB of values.
const KEYS: u64 = 64 << 10;
const VALUE_BYTES: usize = 512;
const GROUP: usize = 4_096;
/// Times that all values are written.
const ROUNDS: u64 = 4;
/// More than the cache and what a commit of a group takes, less than the file.
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

/// The keys in an order in which neighbours are written far apart, so that each group rewrites many pages.
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
fn a_file_that_is_written_for_long_takes_no_more_memory_than_its_cache() {
    let path = std::env::temp_dir().join(format!("linnetknot-store-memory-{}", std::process::id()));
    let mut store = Store::open(&path).unwrap();
    let before = resident_bytes();
    for round in 0..ROUNDS {
        let writes: Vec<u64> = keys().collect();
        for group in writes.chunks(GROUP) {
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
        "{length} bytes fit into what is allowed anyway"
    );
    assert!(
        growth < MAX_GROWTH_BYTES,
        "{growth} bytes more, with a file of {length}"
    );
}
