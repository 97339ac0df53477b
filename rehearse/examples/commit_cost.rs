//! What a commit costs: purges sent to one of three daemons, with commits that wait for 0, 1 and 2 further machines and
//! with one replica that is stopped; one caller after the other for the wait, sixteen at once for the rate. Last, a new
//! machine under an old name that fetches all that was committed. All in one run, to be read as ratios.
//!
//!     cargo build --release && cargo run --release -p linnetknot-rehearse --example commit_cost -- target/release/linnetknot

use linnetknot_harness::fleet::{purge_at, Disk, Fleet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Commits one after the other, and at once: fewer than the 1,024 triggers that a proxy remembers for an hour.
const IN_TURN: u64 = 300;
const CALLERS: u64 = 16;
const OF_EACH_CALLER: u64 = 40;
/// Commits that a new machine fetches.
const FETCHED: u64 = 900;

/// What a commit waits for, and whether a replica is stopped.
struct Case {
    name: &'static str,
    /// Further machines; none: nothing is replicated.
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

/// Prints what commits take in one case.
fn play(daemon: &Path, case: &Case) -> io::Result<()> {
    let fleet = Fleet::start(daemon, 3, 7, case.wait)?;
    if case.is_stopped {
        fleet.stall(2)?;
    }
    let at = fleet.process(0)?.cdni;
    let mut waits = Vec::new();
    for n in 0..IN_TURN {
        let begun = Instant::now();
        commit(at, n)?;
        waits.push(begun.elapsed().as_micros());
    }
    waits.sort_unstable();
    let rate = rate_at_once(at)?;
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

/// Commits a second of several callers at once.
fn rate_at_once(at: SocketAddr) -> io::Result<f64> {
    let begun = Instant::now();
    let call = |caller: u64| {
        std::thread::spawn(move || {
            (0..OF_EACH_CALLER).try_for_each(|n| commit(at, (caller + 1) << 32 | n))
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(call).collect();
    for caller in callers {
        caller
            .join()
            .map_err(|_| io::Error::other("a caller ended"))??;
    }
    Ok((CALLERS * OF_EACH_CALLER) as f64 / begun.elapsed().as_secs_f64())
}

/// A new machine under an old name fetches all that was committed.
fn replace_machine(fleet: &mut Fleet) -> io::Result<()> {
    let at = fleet.process(0)?.cdni;
    (0..FETCHED).try_for_each(|n| commit(at, n))?;
    fleet.kill(0)?;
    let begun = Instant::now();
    fleet.restart(0, Disk::Lost)?;
    let up = begun.elapsed();
    while !fleet.is_converged()? {
        std::thread::sleep(Duration::from_millis(20));
    }
    println!(
        "a new machine listens after {} ms and has its {FETCHED} commits after {} ms",
        up.as_millis(),
        begun.elapsed().as_millis()
    );
    Ok(())
}

/// Clients' requests at a proxy that has nothing else to do, and while it sends all it has to a new machine.
fn time_clients(fleet: &mut Fleet) -> io::Result<()> {
    let mut calm = Vec::new();
    (0..1_000).try_for_each(|n| request(fleet, n, &mut calm))?;
    let mut busy = Vec::new();
    for _ in 0..5 {
        fleet.kill(2)?;
        fleet.restart(2, Disk::Lost)?;
        (0..200).try_for_each(|n| request(fleet, n, &mut busy))?;
        while !fleet.is_converged()? {
            request(fleet, 0, &mut busy)?;
        }
    }
    for (name, mut waits) in [("at rest", calm), ("beside a copy of all it has", busy)] {
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

/// One request of a client at the second proxy.
fn request(fleet: &Fleet, n: u64, waits: &mut Vec<u128>) -> io::Result<()> {
    let begun = Instant::now();
    fleet.ask(1, &format!("{:016x}", 1_000_000 + n))?;
    waits.push(begun.elapsed().as_micros());
    Ok(())
}

/// Purges an object, and is answered that it is committed.
fn commit(at: SocketAddr, object: u64) -> io::Result<()> {
    match purge_at(at, &format!("{object:016x}"))? {
        201 => Ok(()),
        status => Err(io::Error::other(format!("a purge was answered {status}"))),
    }
}
