//! Prints the memory of a process whose ledger and module take purges from peers for a day or longer of virtual time: as
//! entry datagrams of so many writers at 110 a second, through the replica, the store and the compact table (Linux).
//!
//!     cargo run --release -p linnetknot-daemon --example purge_soak -- [PURGES] [WRITERS] [FOLDER]
//!
//! Without arguments it takes a day of purges of 6,400 writers, in the folder for temporary files. Its datagrams are read
//! as those of a socket are; the socket itself is left out, as are all other parts of a daemon.

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

const PER_SECOND: u64 = 110;
const DAY: u64 = 86_400 * PER_SECOND;
const WRITERS: u64 = 6_400;
/// The most purges that it takes: two weeks.
const MAX_PURGES: u64 = 14 * DAY;
/// Objects that are purged: some are purged again.
const OBJECTS: u64 = 100_000_000;
/// The process ticks so often, in purges.
const TICK: u64 = PER_SECOND / 2;
/// The disk is waited for so often, in purges: virtual time runs faster than it does.
const SYNC: u64 = 1_024;
/// The disk must answer within this.
const DISK_TIMEOUT: Duration = Duration::from_secs(60);
/// Rows that are printed.
const ROWS: u64 = 24;
/// The start of virtual time.
const START_US: Micros = 1_700_000_000_000_000;
/// The epoch of all writers' logs.
const EPOCH: u64 = 1;

/// The process under test.
struct Process {
    ledger: Ledger,
    core: Core,
    /// What the module wants to be woken for, and when.
    timers: Vec<(Micros, Wake)>,
    woken: Receiver<()>,
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
        let (wake, woken) = channel();
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
            woken,
        })
    }

    /// Takes an entry as a datagram of a peer.
    fn receive(&mut self, now: Micros, entry: Entry) -> Result<(), Box<dyn Error>> {
        let bytes = Datagram::Entry(entry)
            .encode()
            .ok_or("the entry fits no datagram")?;
        let received = self.ledger.receive(now, 0, Datagram::decode(&bytes)?);
        if received.new.len() != 1 {
            return Err("an entry was not taken".into());
        }
        for Purge { object, group, at } in received.new.iter().filter_map(ledger::purge) {
            self.core.record_purge(now, object, group, at);
        }
        Ok(())
    }

    /// Does what is due: the ledger's periods and the module's timers.
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

    /// Waits for the disk.
    fn sync(&mut self, now: Micros) -> Result<(), Box<dyn Error>> {
        // What was told up to here is taken in at once. In a daemon this is a pipe, and not a queue that grows.
        while self.woken.try_recv().is_ok() {}
        self.ledger.take_completions(now);
        while !(self.ledger.replica().is_synced() && self.ledger.is_compaction_synced()) {
            self.woken.recv_timeout(DISK_TIMEOUT)?;
            self.ledger.take_completions(now);
        }
        Ok(())
    }
}

/// Numbers of the process's status that the system shows in kB, in MiB.
fn status_mb(key: &str) -> Result<f64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(key))
        .ok_or("no such line")?;
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
    taken: u64,
    begun: Instant,
) -> Result<(), Box<dyn Error>> {
    let store = process.ledger.replica().log_store();
    let purges = process.core.purges();
    println!(
        "| {taken} | {:.1} | {:.1} | {} | {} | {} | {} | {} | {} | {:.1} | {:.0} |",
        taken as f64 / PER_SECOND as f64 / 3600.0,
        status_mb("VmRSS")?,
        store.len(),
        store.log_count(),
        store.table().memory_bytes() >> 20,
        store.table().len(),
        purges.exact_len(),
        purges.compact_table().memory_bytes() >> 20,
        std::fs::metadata(path)?.len() as f64 / f64::from(1 << 20),
        begun.elapsed().as_secs_f64(),
    );
    Ok(())
}

/// Takes the purges and prints what is held as it goes.
fn soak(path: &Path, purges: u64, writers: u64) -> Result<(), Box<dyn Error>> {
    let limits = Limits::for_machine(1_024, 192);
    let mut process = Process::start(path, &limits)?;
    let begun = Instant::now();
    println!("| purges | hours | RSS, MiB | entries | logs | replica's table, MiB | its slots | module exact | module's table, MiB | file, MiB | took, s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    print_row(&process, path, 0, begun)?;
    for number in 0..purges {
        let now = START_US + number * 1_000_000 / PER_SECOND;
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
        if number % TICK == 0 {
            process.tick(now);
        }
        if number % SYNC == 0 {
            process.sync(now)?;
        }
        if (number + 1) % (purges / ROWS).max(1) == 0 {
            process.sync(now)?;
            print_row(&process, path, number + 1, begun)?;
        }
    }
    let counters = process.ledger.replica().counters();
    println!(
        "\nlearned {}, compacted {}, rejected {}",
        counters.inserted, counters.compacted, counters.rejected
    );
    println!("peak RSS {:.1} MiB", status_mb("VmHWM")?);
    Ok(process.ledger.close()?)
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let purges = arguments
        .next()
        .map_or(Ok(DAY), |text| text.parse())?
        .min(MAX_PURGES);
    let writers = arguments
        .next()
        .map_or(Ok(WRITERS), |text| text.parse())?
        .max(1);
    let folder = arguments
        .next()
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let path = folder.join(format!("purge-soak-{}", std::process::id()));
    println!("{purges} purges of {writers} writers at {PER_SECOND} a second");
    let result = soak(&path, purges, writers);
    std::fs::remove_file(&path)?;
    result
}
