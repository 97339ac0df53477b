//! What a promise costs: purges told to one of three daemons, with yeses that wait for 0, 1 and 2 further machines and
//! with one holder that stands still; one caller after the other for the wait, sixteen at once for the rate. Last, a
//! new machine under an old name that fetches all that was promised. All in one run, to be read as ratios.
//!
//!     cargo build --release && cargo run --release -p linnetknot-rehearse --example promises -- target/release/linnetknot

use linnetknot_harness::fleet::{purge_at, Disk, Fleet};
use std::io;
use std::path::Path;
use std::time::Instant;

/// Promises in turn, and at once: fewer than the 1,024 triggers that a proxy remembers for an hour.
const IN_TURN: u64 = 300;
const AT_ONCE: u64 = 16;
const EACH: u64 = 40;

fn main() -> io::Result<()> {
    let daemon = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "target/release/linnetknot".into());
    println!(
        "{:<28} {:>9} {:>9} {:>12}",
        "a yes waits for", "p50 us", "p99 us", "a second"
    );
    for (name, wait, stalled) in [
        ("this disk alone", Some(0), false),
        ("one further machine", Some(1), false),
        ("two further machines", Some(2), false),
        ("one, and one stands still", Some(1), true),
        ("no copies are made", None, false),
    ] {
        let fleet = Fleet::start(Path::new(&daemon), 3, 7, wait)?;
        if stalled {
            fleet.stall(2)?;
        }
        let at = fleet.process(0)?.cdni;
        let mut waits = Vec::new();
        for n in 0..IN_TURN {
            let begun = Instant::now();
            yes(purge_at(at, &format!("{n:016x}"))?)?;
            waits.push(begun.elapsed().as_micros());
        }
        waits.sort_unstable();
        let begun = Instant::now();
        let callers: Vec<_> = (0..AT_ONCE)
            .map(|caller| {
                let told = move || {
                    (0..EACH).try_for_each(|n| {
                        yes(purge_at(at, &format!("{:016x}", (caller + 1) << 32 | n))?)
                    })
                };
                std::thread::spawn(told)
            })
            .collect();
        for caller in callers {
            caller
                .join()
                .map_err(|_| io::Error::other("a caller ended"))??;
        }
        let rate = (AT_ONCE * EACH) as f64 / begun.elapsed().as_secs_f64();
        println!(
            "{name:<28} {:>9} {:>9} {rate:>12.0}",
            waits[waits.len() / 2],
            waits[waits.len() * 99 / 100]
        );
        if stalled {
            fleet.go_on(2)?;
        }
    }
    let mut fleet = Fleet::start(Path::new(&daemon), 3, 7, Some(1))?;
    let at = fleet.process(0)?.cdni;
    for n in 0..900 {
        yes(purge_at(at, &format!("{n:016x}"))?)?;
    }
    fleet.kill(0)?;
    let begun = Instant::now();
    fleet.restart(0, Disk::Lost)?;
    let up = begun.elapsed();
    while !fleet.agrees()? {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    println!(
        "a new machine listens after {} ms and has its 900 promises after {} ms",
        up.as_millis(),
        begun.elapsed().as_millis()
    );
    // Clients' requests at a proxy that has nothing else to do, and while it sends all it has to a new machine.
    let mut calm = Vec::new();
    (0..1_000).try_for_each(|n| asked(&fleet, n, &mut calm))?;
    let mut storm = Vec::new();
    for _ in 0..5 {
        fleet.kill(2)?;
        fleet.restart(2, Disk::Lost)?;
        for n in 0..200 {
            asked(&fleet, n, &mut storm)?;
        }
        while !fleet.agrees()? {
            asked(&fleet, 0, &mut storm)?;
        }
    }
    for (name, mut waits) in [("at rest", calm), ("beside a copy of all it has", storm)] {
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
fn asked(fleet: &Fleet, n: u64, waits: &mut Vec<u128>) -> io::Result<()> {
    let begun = Instant::now();
    fleet.ask(1, &format!("{:016x}", 1_000_000 + n))?;
    waits.push(begun.elapsed().as_micros());
    Ok(())
}

fn yes(status: u16) -> io::Result<()> {
    match status {
        201 => Ok(()),
        status => Err(io::Error::other(format!("a promise was answered {status}"))),
    }
}
