//! What a promise costs: purges told to one of three daemons, with yeses that wait for 0, 1 and 2 further machines and
//! with one holder that stands still; one caller after the other for the wait, sixteen at once for the rate. Last, a
//! new machine under an old name that fetches all that was promised. All in one run, to be read as ratios.
//!
//!     cargo build --release && cargo run --release -p linnetknot-rehearse --example promises -- target/release/linnetknot

use linnetknot_rehearse::fleet::{purge_at, Disk, Fleet};
use std::io;
use std::path::Path;
use std::time::Instant;

/// Promises in turn, and at once: fewer than the 1,024 triggers that a proxy remembers for an hour.
const IN_TURN: u64 = 300;
const AT_ONCE: u64 = 16;
const EACH: u64 = 40;

fn main() -> io::Result<()> {
    let daemon = std::env::args().nth(1).unwrap_or_else(|| "target/release/linnetknot".into());
    println!("{:<28} {:>9} {:>9} {:>12}", "a yes waits for", "p50 us", "p99 us", "a second");
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
                    (0..EACH)
                        .try_for_each(|n| yes(purge_at(at, &format!("{:016x}", (caller + 1) << 32 | n))?))
                };
                std::thread::spawn(told)
            })
            .collect();
        for caller in callers {
            caller.join().map_err(|_| io::Error::other("a caller ended"))??;
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
    Ok(())
}

fn yes(status: u16) -> io::Result<()> {
    match status {
        201 => Ok(()),
        status => Err(io::Error::other(format!("a promise was answered {status}"))),
    }
}
