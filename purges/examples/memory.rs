//! Prints the memory of a process that records a week of purges in a purge table (Linux).
//!
//!     cargo run --release -p linnetknot-purges --example memory

use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, KeyHash, Micros, PurgeTable};
use std::time::Instant;

const EXACT_CAPACITY: usize = 16_384;
const PER_SECOND: u64 = 110;
const DAY_S: u64 = 86_400;
const KEEP_US: Micros = 6_000_000;
/// After how many purges the memory is printed: from none to a week.
const CHECKPOINTS: [u64; 8] = [
    0,
    16_384,
    100_000,
    1_000_000,
    PER_SECOND * DAY_S,
    PER_SECOND * DAY_S * 2,
    PER_SECOND * DAY_S * 4,
    PER_SECOND * DAY_S * 7,
];

/// The line of resident memory in the process's status.
fn resident() -> std::io::Result<String> {
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
            let at = recorded * 1_000_000 / PER_SECOND;
            table.record(KeyHash::from(mix(recorded + 1)), at);
            table.compact(at, KEEP_US);
            recorded += 1;
        }
        let (exact, compact) = (table.exact_len(), table.compact_table().len());
        println!(
            "{recorded} purges: {}, {exact} exact, {compact} slots, {:.1?}",
            resident()?,
            started.elapsed()
        );
    }
    Ok(())
}
