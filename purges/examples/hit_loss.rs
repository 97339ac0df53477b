//! Prints the share of cache hits that the purge state loses, by the age of the copy. It simulates a day of 110 purges
//! per second for three table sizes, and compares the result with the prediction and with a plain table of the same
//! memory.
//!
//!     cargo run --release -p linnetknot-purges --example hit_loss

#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use linnetknot_purges::{BucketBits, BucketBitsError, CompactTable, Micros};

const DAY: Stream = Stream {
    seed: 7,
    per_second: 110.0,
    purges: 110 * 86_400,
};
const COPIES: u64 = 400_000;
const AGES_MIN: [u64; 17] = [
    5, 10, 20, 30, 45, 60, 75, 90, 120, 180, 240, 300, 360, 480, 600, 720, 1_080,
];
/// The table sizes: 4, 16 and 32 MiB.
const SIZES: [u8; 3] = [16, 18, 19];

/// Measures one size and prints its rows.
fn measure(bucket_bits: BucketBits) {
    let (mut compact, mut plain) = (
        CompactTable::new(bucket_bits),
        PlainTable::in_memory_of(bucket_bits),
    );
    for number in 0..DAY.purges {
        let (key, at) = (DAY.key(number), DAY.time(number));
        compact.record(key, at);
        plain.record(key, at);
    }
    let ages = AGES_MIN.map(|minutes| minutes * 60 * SECOND_US);
    let by_buckets = lost_shares(&compact, DAY.end(), &ages, COPIES);
    let by_rows = lost_shares(&plain, DAY.end(), &ages, COPIES);
    println!(
        "\n{} MiB, {} occupied slots\n",
        compact.memory_bytes() >> 20,
        compact.len()
    );
    println!(
        "| age, min | buckets | formula | plain table | formula |\n| --- | --- | --- | --- | --- |"
    );
    for (position, age) in ages.into_iter().enumerate() {
        print_row(bucket_bits, age, by_buckets[position], by_rows[position]);
    }
}

fn print_row(bucket_bits: BucketBits, age: Micros, by_buckets: f64, by_rows: f64) {
    let purges = DAY.since(age);
    let buckets = predicted_by_buckets(bucket_bits, purges);
    let rows = predicted_by_plain_rows(bucket_bits, purges);
    let minutes = age / SECOND_US / 60;
    println!("| {minutes} | {by_buckets:.5} | {buckets:.5} | {by_rows:.4} | {rows:.4} |");
}

fn main() -> Result<(), BucketBitsError> {
    println!(
        "{} purges at {} a second, {COPIES} copies",
        DAY.purges, DAY.per_second
    );
    for bits in SIZES {
        measure(BucketBits::new(bits)?);
    }
    Ok(())
}
