//! Prints the memory of a process that records a week of purges in a purge table (Linux).
//!
//!     cargo run --release -p linnetknot-purges --example memory

use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, KeyHash, Micros, PurgeTable};
use std::time::Instant;

const EXACT_CAPACITY: usize = 16_384;
const PURGES_PER_S: u64 = 110;
const DAY_S: u64 = 86_400;
const MIN_EXACT_AGE_US: Micros = 6_000_000;
/// The numbers of purges at which the memory is printed, up to those of a week.
const CHECKPOINTS: [u64; 8] = [
    0,
    16_384,
    100_000,
    1_000_000,
    PURGES_PER_S * DAY_S,
    PURGES_PER_S * DAY_S * 2,
    PURGES_PER_S * DAY_S * 4,
    PURGES_PER_S * DAY_S * 7,
];

/// Returns the line of the process status that contains the resident memory.
fn resident_memory_line() -> std::io::Result<String> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    Ok(line.unwrap_or("VmRSS: unknown").to_owned())
}

fn main() -> std::io::Result<()> {
    let started = Instant::now();
    let mut table = PurgeTable::new(EXACT_CAPACITY, BucketBits::DEFAULT);
    let mut recorded = 0;
    for checkpoint in CHECKPOINTS {
        while recorded < checkpoint {
            let at = recorded * 1_000_000 / PURGES_PER_S;
            table.record(KeyHash::from(mix(recorded + 1)), at);
            table.compact(at, MIN_EXACT_AGE_US);
            recorded += 1;
        }
        let (exact, compact) = (table.exact_len(), table.compact_table().len());
        println!(
            "{recorded} purges: {}, {exact} exact, {compact} slots, {:.1?}",
            resident_memory_line()?,
            started.elapsed()
        );
    }
    Ok(())
}
