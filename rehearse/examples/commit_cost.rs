//! Measures the cost of a commit. Sends purges to one of three daemons, with commits that wait for 0, 1 and 2 further machines
//! and with a stopped replica: sequentially for the latency, and by sixteen callers for the rate. Then measures the recovery
//! of all commits by a new machine with an old name. Compare the figures of one run only.
//!
//!     cargo build --release && cargo run --release -p linnetknot-rehearse --example commit_cost -- target/release/linnetknot

use linnetknot_harness::fleet::{purge_at, Disk, Fleet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The sequential commits, fewer together with the concurrent ones than the 1,024 triggers that a proxy stores.
const SEQUENTIAL_COMMITS: u64 = 300;
const CALLERS: u64 = 16;
const COMMITS_PER_CALLER: u64 = 40;
/// The number of commits that a new machine recovers.
const RECOVERED_COMMITS: u64 = 900;

/// The replicas that a commit waits for, and whether one is stopped.
struct Case {
    name: &'static str,
    /// The number of further machines, or none without replication.
    wait: Option<usize>,
    is_stopped: bool,
}

const fn case(name: &'static str, wait: Option<usize>, is_stopped: bool) -> Case {
    Case {
        name,
        wait,
        is_stopped,
    }
}

const CASES: [Case; 5] = [
    case("this disk alone", Some(0), false),
    case("one further machine", Some(1), false),
    case("two further machines", Some(2), false),
    case("one, and one is stopped", Some(1), true),
    case("nothing is replicated", None, false),
];

fn main() -> io::Result<()> {
    let daemon = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release/linnetknot".into());
    let daemon = Path::new(&daemon);
    println!(
        "{:<28} {:>9} {:>9} {:>12}",
        "a commit waits for", "p50 us", "p99 us", "a second"
    );
    CASES.iter().try_for_each(|case| play(daemon, case))?;
    let mut fleet = Fleet::start(daemon, 3, 7, Some(1))?;
    replace_machine(&mut fleet)?;
    time_clients(&mut fleet)
}

/// Prints the latency and the rate of commits in one case.
fn play(daemon: &Path, case: &Case) -> io::Result<()> {
    let fleet = Fleet::start(daemon, 3, 7, case.wait)?;
    if case.is_stopped {
        fleet.stall(2)?;
    }
    let at = fleet.process(0)?.cdni;
    let mut waits = Vec::new();
    for n in 0..SEQUENTIAL_COMMITS {
        let started_at = Instant::now();
        commit(at, n)?;
        waits.push(started_at.elapsed().as_micros());
    }
    waits.sort_unstable();
    let rate = concurrent_rate(at)?;
    println!(
        "{:<28} {:>9} {:>9} {rate:>12.0}",
        case.name,
        waits[waits.len() / 2],
        waits[waits.len() * 99 / 100]
    );
    if case.is_stopped {
        fleet.resume(2)?;
    }
    Ok(())
}

/// Returns the commits per second of concurrent callers.
fn concurrent_rate(at: SocketAddr) -> io::Result<f64> {
    let started_at = Instant::now();
    let call = |caller: u64| {
        std::thread::spawn(move || {
            (0..COMMITS_PER_CALLER).try_for_each(|n| commit(at, (caller + 1) << 32 | n))
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(call).collect();
    for caller in callers {
        caller
            .join()
            .map_err(|_| io::Error::other("a caller thread panicked"))??;
    }
    Ok((CALLERS * COMMITS_PER_CALLER) as f64 / started_at.elapsed().as_secs_f64())
}

/// Prints the time until a new machine with an old name has recovered all commits.
fn replace_machine(fleet: &mut Fleet) -> io::Result<()> {
    let at = fleet.process(0)?.cdni;
    (0..RECOVERED_COMMITS).try_for_each(|n| commit(at, n))?;
    fleet.kill(0)?;
    let started_at = Instant::now();
    fleet.restart(0, Disk::Lost)?;
    let listening_after = started_at.elapsed();
    while !fleet.is_converged()? {
        std::thread::sleep(Duration::from_millis(20));
    }
    println!(
        "a new machine listens after {} ms and has its {RECOVERED_COMMITS} commits after {} ms",
        listening_after.as_millis(),
        started_at.elapsed().as_millis()
    );
    Ok(())
}

/// Prints the latency of clients' requests at an idle proxy, and at one that sends all its commits to a new machine.
fn time_clients(fleet: &mut Fleet) -> io::Result<()> {
    let mut idle = Vec::new();
    (0..1_000).try_for_each(|n| request(fleet, n, &mut idle))?;
    let mut busy = Vec::new();
    for _ in 0..5 {
        fleet.kill(2)?;
        fleet.restart(2, Disk::Lost)?;
        (0..200).try_for_each(|n| request(fleet, n, &mut busy))?;
        while !fleet.is_converged()? {
            request(fleet, 0, &mut busy)?;
        }
    }
    for (name, mut waits) in [
        ("at rest", idle),
        ("while sending all commits to a new machine", busy),
    ] {
        waits.sort_unstable();
        let at = |share: usize| waits[waits.len() * share / 100];
        println!(
            "a client's request {name}: p50 {} us, p99 {} us of {}",
            at(50),
            at(99),
            waits.len()
        );
    }
    Ok(())
}

/// Sends one client's request to the second proxy.
fn request(fleet: &Fleet, n: u64, waits: &mut Vec<u128>) -> io::Result<()> {
    let started_at = Instant::now();
    fleet.ask(1, &format!("{:016x}", 1_000_000 + n))?;
    waits.push(started_at.elapsed().as_micros());
    Ok(())
}

/// Purges an object and checks that the purge is committed.
fn commit(at: SocketAddr, object: u64) -> io::Result<()> {
    match purge_at(at, &format!("{object:016x}"))? {
        201 => Ok(()),
        status => Err(io::Error::other(format!("a purge was answered {status}"))),
    }
}
