//! Prints the memory of a process whose ledger and decision module receive purges from peers for a day or longer of
//! virtual time: entry datagrams of many writers, 110 per second, through the replica, the store and the compact table
//! (Linux).
//!
//!     cargo run --release -p linnetknot-daemon --example purge_soak -- [PURGES] [WRITERS] [FOLDER]
//!
//! Without arguments it processes a day of purges of 6,400 writers, in the folder for temporary files. Datagrams are
//! decoded like those from a socket, but no socket and no other part of a daemon runs.

use linnetknot::purges::hashing::mix;
use linnetknot::Micros;
use linnetknot_daemon::core::{Command, Core, Wake};
use linnetknot_daemon::interconnect::Replication;
use linnetknot_daemon::ledger::{self, Bounds, Ledger};
use linnetknot_daemon::limits::Limits;
use linnetknot_daemon::peers::Purge;
use linnetknot_replication::{Datagram, Entry, LogId, Subject};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const PURGES_PER_SECOND: u64 = 110;
const PURGES_PER_DAY: u64 = 86_400 * PURGES_PER_SECOND;
const DEFAULT_WRITERS: u64 = 6_400;
/// Maximum number of purges, two weeks.
const MAX_PURGES: u64 = 14 * PURGES_PER_DAY;
/// Number of distinct objects; some are purged more than once.
const OBJECTS: u64 = 100_000_000;
/// Interval of the ticks, in purges.
const TICK_INTERVAL: u64 = PURGES_PER_SECOND / 2;
/// Interval of the waits for the disk, in purges. The waits are needed because virtual time runs faster than the disk.
const SYNC_INTERVAL: u64 = 1_024;
/// Timeout of a wait for the disk.
const DISK_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of table rows printed, at equal intervals of purges.
const ROWS: u64 = 24;
/// Start of virtual time, as Unix time in microseconds.
const START_US: Micros = 1_700_000_000_000_000;
/// Epoch of the logs of all writers.
const EPOCH: u64 = 1;

/// The ledger and the decision module of a daemon, run without network connections.
struct Process {
    ledger: Ledger,
    core: Core,
    /// Timers requested by the decision module.
    timers: Vec<(Micros, Wake)>,
    completions: Receiver<()>,
}

impl Process {
    fn start(path: &Path, limits: &Limits) -> Result<Self, Box<dyn Error>> {
        let replication = Replication {
            enabled: true,
            ..Replication::default()
        };
        let bounds = Bounds {
            replication: limits.replication(&replication),
            queue: limits.max_store_writes,
            bucket_bits: replication.purge_table.bucket_bits,
        };
        let (wake, completions) = channel();
        let wake = move || {
            let _ = wake.send(());
        };
        let mut ledger = Ledger::open(path, u64::MAX, START_US, bounds, wake)?;
        ledger.set_machines(1, vec![2]);
        let settings = linnetknot_harness::settings();
        let settings =
            linnetknot_settings::parse_settings(settings.as_object().ok_or("no settings")?)?;
        let core = Core::new(settings, 1, limits)?;
        Ok(Process {
            ledger,
            core,
            timers: Vec::new(),
            completions,
        })
    }

    /// Handles an entry as a datagram from a peer.
    fn receive(&mut self, now: Micros, entry: Entry) -> Result<(), Box<dyn Error>> {
        let bytes = Datagram::Entry(entry)
            .encode()
            .ok_or("the entry does not fit in a datagram")?;
        let received = self.ledger.receive(now, 0, Datagram::decode(&bytes)?);
        if received.new.len() != 1 {
            return Err("an entry was not accepted".into());
        }
        for Purge { object, group, at } in received.new.iter().filter_map(ledger::purge) {
            self.core.record_purge(now, object, group, at);
        }
        Ok(())
    }

    /// Runs the ledger's periodic work and the due timers of the decision module.
    fn tick(&mut self, now: Micros) {
        self.ledger.tick(now);
        let wakes = self
            .core
            .take_commands()
            .into_iter()
            .filter_map(|command| match command {
                Command::Wake(at, wake) => Some((at, wake)),
                _ => None,
            });
        self.timers.extend(wakes);
        let (due, later) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(Micros, Wake)> = due;
        due.into_iter()
            .for_each(|(_, wake)| self.core.wake(now, wake));
    }

    /// Waits until all entries are synced to disk.
    fn sync(&mut self, now: Micros) -> Result<(), Box<dyn Error>> {
        // Drops the pending wake-ups: one call handles all completions so far.
        while self.completions.try_recv().is_ok() {}
        self.ledger.take_completions(now);
        while !(self.ledger.replica().is_synced() && self.ledger.is_compaction_synced()) {
            self.completions.recv_timeout(DISK_TIMEOUT)?;
            self.ledger.take_completions(now);
        }
        Ok(())
    }
}

/// Returns a value in kB from `/proc/self/status`, converted to MiB.
fn status_mib(key: &str) -> Result<f64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(key))
        .ok_or("key missing in /proc/self/status")?;
    let kb: f64 = line
        .trim_start_matches(':')
        .trim()
        .trim_end_matches(" kB")
        .parse()?;
    Ok(kb / 1024.0)
}

fn print_row(
    process: &Process,
    path: &Path,
    processed: u64,
    started: Instant,
) -> Result<(), Box<dyn Error>> {
    let store = process.ledger.replica().log_store();
    let purges = process.core.purges();
    println!(
        "| {processed} | {:.1} | {:.1} | {} | {} | {} | {} | {} | {} | {:.1} | {:.0} |",
        processed as f64 / PURGES_PER_SECOND as f64 / 3600.0,
        status_mib("VmRSS")?,
        store.len(),
        store.log_count(),
        store.table().memory_bytes() >> 20,
        store.table().len(),
        purges.exact_len(),
        purges.compact_table().memory_bytes() >> 20,
        std::fs::metadata(path)?.len() as f64 / f64::from(1 << 20),
        started.elapsed().as_secs_f64(),
    );
    Ok(())
}

/// Processes the purges and prints memory and table sizes at regular intervals.
fn soak(path: &Path, purges: u64, writers: u64) -> Result<(), Box<dyn Error>> {
    let limits = Limits::for_machine(1_024, 192);
    let mut process = Process::start(path, &limits)?;
    let started = Instant::now();
    println!("| purges | hours | RSS, MiB | entries | logs | replica's table, MiB | its slots | module exact | module's table, MiB | file, MiB | took, s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    print_row(&process, path, 0, started)?;
    for number in 0..purges {
        let now = START_US + number * 1_000_000 / PURGES_PER_SECOND;
        let index = number / writers + 1;
        let log = LogId::new(number % writers, EPOCH);
        let subject = Subject::Object(format!("{:016x}", mix(mix(number) % OBJECTS)));
        let entry = Entry {
            log,
            index,
            prev: index - 1,
            subject,
            at: now,
            revoked: false,
        };
        process.receive(now, entry)?;
        if number % TICK_INTERVAL == 0 {
            process.tick(now);
        }
        if number % SYNC_INTERVAL == 0 {
            process.sync(now)?;
        }
        if (number + 1) % (purges / ROWS).max(1) == 0 {
            process.sync(now)?;
            print_row(&process, path, number + 1, started)?;
        }
    }
    let counters = process.ledger.replica().counters();
    println!(
        "\nlearned {}, compacted {}, rejected {}",
        counters.inserted, counters.compacted, counters.rejected
    );
    println!("peak RSS {:.1} MiB", status_mib("VmHWM")?);
    Ok(process.ledger.close()?)
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let purges = arguments
        .next()
        .map_or(Ok(PURGES_PER_DAY), |text| text.parse())?
        .min(MAX_PURGES);
    let writers = arguments
        .next()
        .map_or(Ok(DEFAULT_WRITERS), |text| text.parse())?
        .max(1);
    let folder = arguments
        .next()
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let path = folder.join(format!("purge-soak-{}", std::process::id()));
    println!("{purges} purges of {writers} writers at {PURGES_PER_SECOND} a second");
    let result = soak(&path, purges, writers);
    std::fs::remove_file(&path)?;
    result
}
