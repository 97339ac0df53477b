//! Measures the memory usage of a log store in two cases: many logs with one entry each, and far more purges than the
//! maximum number of entries. Also measures the duration of a compaction step and of creating a snapshot image. Linux
//! only.
//!
//!     cargo run --release -p linnetknot-replication --example memory

use linnetknot_replication::{
    Capacity, Datagram, Entry, LogId, LogStore, Micros, Options, Replica, SnapshotCursor,
    SnapshotRequest, Subject,
};
use std::io;
use std::time::Instant;

const LOGS: u64 = 16_384;
const PURGES_PER_S: u64 = 110;
const DAY_S: u64 = 86_400;
const SECOND_US: Micros = 1_000_000;

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|n| n.parse().ok());
    number.ok_or_else(|| io::Error::other("the resident memory is unknown"))
}

fn object(n: u64) -> Subject {
    Subject::Object(format!("/v/{n:016x}/master.m3u8"))
}

/// Prints the memory per log of logs with one entry each.
fn print_logs() -> io::Result<()> {
    let before = resident_kib()?;
    let mut store = LogStore::default();
    for writer in 0..LOGS {
        let log = LogId::new(writer, 1);
        let entry = Entry {
            log,
            index: 1,
            prev: 0,
            subject: object(writer),
            at: 1,
            revoked: false,
        };
        store.try_insert(&entry, Capacity::UNLIMITED);
    }
    let bytes = (resident_kib()? - before) * 1_024 / LOGS;
    println!(
        "{} logs of one entry: {bytes} bytes each",
        store.log_count()
    );
    Ok(())
}

/// Prints the memory while one log receives the purges of a day.
fn print_purges() -> io::Result<()> {
    let before = resident_kib()?;
    let own = LogId::new(1, 1);
    let mut replica = Replica::new(own, LogStore::default(), 1, Options::default());
    let checkpoints = [0, 20_000, 65_536, 131_072, 1_000_000, PURGES_PER_S * DAY_S];
    let mut purges = 0;
    for checkpoint in checkpoints {
        while purges < checkpoint {
            let at = purges * SECOND_US / PURGES_PER_S;
            let entry = replica
                .append(object(purges), at, false)
                .map_err(io::Error::other)?;
            replica.record_synced(entry.log, entry.index);
            replica.compact(at);
            purges += 1;
        }
        let entries = replica.log_store().len();
        println!(
            "{purges} purges: {entries} entries, {} KiB",
            resident_kib()? - before
        );
    }
    Ok(())
}

/// Prints the durations of a compaction step and of creating and reading an image, at the maximum number of entries.
fn print_times() {
    let mut replica = Replica::new(LogId::new(0, 1), LogStore::default(), 1, Options::default());
    for n in 0..65_537 {
        let log = LogId::new(1 + n % 6_400, 1);
        let index = 1 + n / 6_400;
        let entry = Entry {
            log,
            index,
            prev: index - 1,
            subject: object(n),
            at: n,
            revoked: false,
        };
        replica.receive(Micros::MAX, 0, Datagram::Entry(entry));
        replica.record_synced(log, index);
    }
    let started = Instant::now();
    let moved = replica
        .compact(SECOND_US)
        .map_or(0, |compaction| compaction.entries.len());
    println!(
        "{moved} purges of 6,400 logs compacted in {:.1?}",
        started.elapsed()
    );
    let request = SnapshotRequest {
        process: 1,
        from: SnapshotCursor::START,
    };
    let started = Instant::now();
    let chunks = replica
        .receive(Micros::MAX, 0, Datagram::SnapshotRequest(request))
        .replies
        .len();
    println!(
        "an image, and {chunks} chunks of it, in {:.1?}",
        started.elapsed()
    );
    let started = Instant::now();
    let chunks = replica
        .receive(Micros::MAX, 0, Datagram::SnapshotRequest(request))
        .replies
        .len();
    println!("{chunks} chunks more of it in {:.1?}", started.elapsed());
}

fn main() -> io::Result<()> {
    print_logs()?;
    print_purges()?;
    print_times();
    Ok(())
}
