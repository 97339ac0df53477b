//! Measures how a daemon follows the endpoint list from a fake Consul agent on loopback: the tables of docs/FIGURES.md.
//!
//!     cargo build --release && cargo run --release -p linnetknot-daemon --example figures -- drain
//!
//! `--daemon` selects another program, such as an older build.

use clap::{Parser, ValueEnum};
use hdrhistogram::Histogram;
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::{Arrival, FakeCache};
use linnetknot_harness::fakes::consul::{instance, Agent, Behaviour};
use linnetknot_harness::process::Process;
use linnetknot_harness::{settings, unix_ms};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};

#[derive(Clone, Copy, ValueEnum)]
enum Measurement {
    /// Time from a change at the agent to the last new request and the last fill.
    Drain,
    /// Requests sent to a cache whose check flips every 1.5 s, compared with its steady share.
    Flap,
    /// Time and memory for a list of 5,000 instances, and the cost of 10,000 changes per minute.
    Size,
    /// Time from a start without an agent to the first request served.
    Restart,
}

/// Measures a daemon with a fake Consul agent and fake caches.
#[derive(Parser)]
struct Arguments {
    what: Measurement,
    /// Program of the daemon; by default the one built beside this program.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Number of rounds, or seconds, to measure.
    #[arg(long, default_value_t = 40)]
    rounds: u32,
}

const READY: &str = "passing";
/// Delay between a response and the next request of a client.
const PAUSE: Duration = Duration::from_millis(2);

fn start(daemon: &Path, folder: &Path, consul: Value, has_state: bool) -> io::Result<Process> {
    let mut settings = settings();
    settings["kinds"] = json!(["box", "origin", "hub"]);
    settings["family-info"]["mid-kind"] = 2.into();
    let config = json!({"name": "figures", "listen": "127.0.0.1:0", "seed": "1f", "settings": settings,
        "limits": {"memory_mb": 512, "sockets": 1024}});
    let mut own = json!({"consul": consul});
    if has_state {
        own["state"] = json!({"directory": folder});
    }
    Process::start(daemon, folder, "figures", &config, &own)
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

/// Clients that each send one request at a time until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    requests: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    latencies_us: Arc<Mutex<Histogram<u64>>>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(front: SocketAddr, clients: u64, pause: Duration) -> Load {
        let latencies_us = Arc::new(Mutex::new(
            Histogram::new(3).expect("three digits are allowed"),
        ));
        let (stop, requests, refused) = Default::default();
        let mut load = Load {
            stop,
            requests,
            refused,
            latencies_us,
            clients: Vec::new(),
        };
        for c in 0..clients {
            let (stop, requests, refused) = (
                load.stop.clone(),
                load.requests.clone(),
                load.refused.clone(),
            );
            let latencies_us = load.latencies_us.clone();
            load.clients.push(thread::spawn(move || {
                let Ok(mut web) = WebServer::connect(front) else {
                    return;
                };
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let started = Instant::now();
                    let answer = web
                        .ask(1, "photo", &object(n * 37 + c * 11), 2500)
                        .and_then(|()| web.end());
                    let Ok((_, Some(answer))) = answer else {
                        return;
                    };
                    requests.fetch_add(1, Ordering::Relaxed);
                    refused.fetch_add(u64::from(answer.status != 200), Ordering::Relaxed);
                    let us = started.elapsed().as_micros() as u64;
                    let _ = latencies_us
                        .lock()
                        .map(|mut histogram| histogram.record(us.max(1)));
                    thread::sleep(pause);
                }
            }));
        }
        load
    }

    /// Returns the p50 and p99 of the latency since the last call, in milliseconds.
    fn quantiles(&self) -> (f64, f64) {
        let mut histogram = self
            .latencies_us
            .lock()
            .expect("no client panics while it records");
        let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
        let both = (at(0.5), at(0.99));
        histogram.reset();
        both
    }

    /// Stops the clients. Returns the numbers of requests and of those that were not answered with 200.
    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        (
            self.requests.load(Ordering::Relaxed),
            self.refused.load(Ordering::Relaxed),
        )
    }
}

fn start_caches(uids: &[&'static str]) -> io::Result<Vec<FakeCache>> {
    uids.iter().map(|uid| FakeCache::start(uid)).collect()
}

/// Returns the times of the fetches that a cache has received since a time and that match, in ms since that time.
fn fetch_times_since(cache: &FakeCache, at: u64, matches: impl Fn(&Arrival) -> bool) -> Vec<u64> {
    let arrivals = cache.arrivals();
    arrivals
        .iter()
        .filter(|a| a.command == "fetch" && a.at >= at && matches(a))
        .map(|a| a.at - at)
        .collect()
}

fn fetch_count(cache: &FakeCache) -> usize {
    fetch_times_since(cache, 0, |_| true).len()
}

fn print_row(name: &str, histogram: &Histogram<u64>) {
    let at = |q| histogram.value_at_quantile(q);
    println!(
        "| {name} | {} | {} | {} | {} |",
        histogram.len(),
        at(0.5),
        at(0.99),
        histogram.max()
    );
}

fn drain(daemon: &Path, folder: &Path, rounds: u32) -> io::Result<()> {
    let agent = Agent::start()?;
    let (edge, hubs) = (
        start_caches(&["e-0", "e-1", "e-2", "e-3"])?,
        start_caches(&["h-0", "h-1"])?,
    );
    let status = |drains: bool| if drains { "critical" } else { READY };
    let list = |drained: Option<(usize, usize)>| -> Vec<Value> {
        let one = |(n, cache): (usize, &FakeCache)| {
            instance(
                cache.uid,
                cache.address,
                status(drained.is_some_and(|d| d.0 == n)),
            )
        };
        let hub = |(n, cache): (usize, &FakeCache)| {
            let mut hub = instance(
                cache.uid,
                cache.address,
                status(drained.is_some_and(|d| d.1 == n)),
            );
            hub["Service"]["Meta"] = json!({"az": "hub", "model": "hub", "capacity_hint": "64"});
            hub
        };
        edge.iter()
            .enumerate()
            .map(one)
            .chain(hubs.iter().enumerate().map(hub))
            .collect()
    };
    // Damping is set too short to have an effect, as each round drains a cache again that was drained some rounds
    // before.
    let consul = json!({"address": agent.address.to_string(),
        "damping": {"half_life_s": 0.001, "most_suppressed_s": 1}});
    agent.register(&list(None));
    let running = start(daemon, folder, consul, false)?;
    agent.wait_until_read();
    // The rate is reduced: each round drains a cache, so that all are in slow start and could not serve the full load.
    let load = Load::start(running.front, 8, 10 * PAUSE);
    let mut last_fetches =
        [Histogram::<u64>::new(3), Histogram::new(3)].map(|h| h.expect("three digits are allowed"));
    let mut before = (0, 0);
    for round in 0..rounds as usize {
        thread::sleep(Duration::from_millis(1500));
        let (b, h) = (round % edge.len(), round % hubs.len());
        let from = |a: &Arrival| a.field("src") == Some(hubs[h].uid);
        let at = unix_ms();
        before.0 += fetch_times_since(&edge[b], at - 1000, |_| true).len();
        before.1 += edge
            .iter()
            .map(|e| fetch_times_since(e, at - 1000, from).len())
            .sum::<usize>();
        agent.register(&list(Some((b, h))));
        thread::sleep(Duration::from_millis(1300));
        let fresh = fetch_times_since(&edge[b], at, |_| true).into_iter().max();
        let fills = edge
            .iter()
            .flat_map(|e| fetch_times_since(e, at, from))
            .max();
        last_fetches[0]
            .record(fresh.unwrap_or(0))
            .map_err(io::Error::other)?;
        last_fetches[1]
            .record(fills.unwrap_or(0))
            .map_err(io::Error::other)?;
        agent.register(&list(None));
    }
    let (asked, refused) = load.stop();
    let rounds = rounds.max(1) as usize;
    println!("{asked} requests, {refused} refused; in the second before each drain the cache got {} and the parent was", before.0 / rounds);
    println!(
        "named as a source {} times, on average\n",
        before.1 / rounds
    );
    println!(
        "| ms from the change at the agent | rounds | p50 | p99 | max |\n| --- | --- | --- | --- | --- |"
    );
    print_row("last new request at the cache", &last_fetches[0]);
    print_row("last fill from the parent", &last_fetches[1]);
    Ok(())
}

fn flap(daemon: &Path, folder: &Path, rounds: u32) -> io::Result<()> {
    let agent = Agent::start()?;
    let edge = start_caches(&["e-0", "e-1", "e-2", "e-3"])?;
    let list = |status: &str| -> Vec<Value> {
        let one = |(n, cache): (usize, &FakeCache)| {
            instance(
                cache.uid,
                cache.address,
                if n == 0 { status } else { READY },
            )
        };
        edge.iter().enumerate().map(one).collect()
    };
    agent.register(&list(READY));
    let running = start(
        daemon,
        folder,
        json!({"address": agent.address.to_string()}),
        false,
    )?;
    agent.wait_until_read();
    let load = Load::start(running.front, 8, PAUSE);
    thread::sleep(Duration::from_secs(3));
    let steady = fetch_count(&edge[0]) as f64 / 3.0;
    let started = unix_ms();
    let mut passing = true;
    let before: Vec<usize> = edge.iter().map(fetch_count).collect();
    while unix_ms() < started + u64::from(rounds) * 1000 {
        passing = !passing;
        agent.register(&list(if passing { READY } else { "critical" }));
        thread::sleep(Duration::from_millis(1500));
    }
    let got: Vec<usize> = edge
        .iter()
        .map(fetch_count)
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    let mut seconds = vec![0u64; rounds as usize + 2];
    for at in fetch_times_since(&edge[0], started, |_| true) {
        if let Some(n) = seconds.get_mut((at / 1000) as usize) {
            *n += 1;
        }
    }
    // Measures the time until the cache gets half of its steady share again after the check stays passing.
    agent.register(&list(READY));
    let (steady_at, mut recovered_s, mut seen) = (unix_ms(), None, fetch_count(&edge[0]));
    while recovered_s.is_none() && unix_ms() < steady_at + 60_000 {
        thread::sleep(Duration::from_millis(500));
        let now = fetch_count(&edge[0]);
        if (now - seen) as f64 * 2.0 >= steady / 2.0 {
            recovered_s = Some((unix_ms() - steady_at) as f64 / 1e3);
        }
        seen = now;
    }
    let (asked, refused) = load.stop();
    let max_per_second = seconds.iter().max().copied().unwrap_or(0);
    let share = got[0] as f64 / got.iter().sum::<usize>().max(1) as f64;
    let recovered_s = recovered_s.map_or("not within 60".to_owned(), |s| format!("{s:.1}"));
    println!("{asked} requests, {refused} refused; steady share of the cache: {steady:.0} per second; by second: {seconds:?}\n");
    println!("| flips for s | share of all requests | maximum in a second, relative to steady share | half of steady share again after s |");
    println!("| --- | --- | --- | --- |");
    println!(
        "| {rounds} | {:.1}% | {:.2} | {recovered_s} |",
        share * 100.0,
        max_per_second as f64 / steady.max(1.0)
    );
    Ok(())
}

/// Returns the CPU time in ms, and the current and peak resident memory in kB.
fn resource_usage(pid: u32) -> (u64, u64, u64) {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kb = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    };
    ((ticks(11) + ticks(12)) * 10, kb("VmRSS:"), kb("VmHWM:"))
}

fn size(daemon: &Path, folder: &Path, rounds: u32) -> io::Result<()> {
    const REMOTE_INSTANCES: usize = 5000;
    let agent = Agent::start()?;
    let edge = start_caches(&["e-0", "e-1", "e-2", "e-3"])?;
    let remote = |n: usize, status: &str| {
        let address = ([127, 1, (n / 250) as u8, (n % 250) as u8], 7000).into();
        let mut remote = instance(&format!("far-{n}"), address, status);
        remote["Service"]["Meta"]["az"] = "hub".into();
        remote
    };
    let mut list: Vec<Value> = edge
        .iter()
        .map(|cache| instance(cache.uid, cache.address, READY))
        .collect();
    agent.register(&list);
    let running = start(
        daemon,
        folder,
        json!({"address": agent.address.to_string()}),
        true,
    )?;
    agent.wait_until_read();
    let pid = running.child.id();
    let load = Load::start(running.front, 8, PAUSE);
    thread::sleep(Duration::from_secs(5));
    let calm = load.quantiles();
    let before = resource_usage(pid);
    list.extend((0..REMOTE_INSTANCES).map(|n| remote(n, READY)));
    let bytes = Value::from(list.clone()).to_string().len();
    let started = Instant::now();
    agent.register(&list);
    if !agent.wait_until_read() {
        return Err(io::Error::other("the list was not read"));
    }
    let took = started.elapsed();
    thread::sleep(Duration::from_millis(300));
    let after = resource_usage(pid);
    println!(
        "| {REMOTE_INSTANCES} instances, {:.1} MB of JSON | |\n| --- | --- |",
        bytes as f64 / 1e6
    );
    println!(
        "| from the change to the next query | {} ms |",
        took.as_millis()
    );
    println!(
        "| CPU of the daemon meanwhile, including requests | {} ms |",
        after.0 - before.0
    );
    println!(
        "| resident memory before, after, peak | {}, {}, {} kB |",
        before.1, after.1, after.2
    );
    let _ = load.quantiles();
    let (asked, started, cpu) = (
        agent.requests().len(),
        Instant::now(),
        resource_usage(pid).0,
    );
    let changes = rounds as usize * 10_000 / 60;
    for n in 0..changes {
        let at = n * 7 % REMOTE_INSTANCES;
        agent.update(
            edge.len() + at,
            &remote(at, if n % 2 == 0 { "critical" } else { READY }),
        );
        thread::sleep(Duration::from_millis(6 * n as u64).saturating_sub(started.elapsed()));
    }
    let (busy, s) = (load.quantiles(), started.elapsed().as_secs_f64());
    let queries = (agent.requests().len() - asked) as f64 / s;
    println!(
        "| changes per second, queries per second | {:.0}, {queries:.1} |",
        changes as f64 / s
    );
    println!(
        "| CPU of the daemon meanwhile | {:.0}% of a core |",
        (resource_usage(pid).0 - cpu) as f64 / s / 10.0
    );
    println!(
        "| requests' p50 and p99 with 4 caches and no changes | {:.2}, {:.2} ms |",
        calm.0, calm.1
    );
    println!(
        "| requests' p50 and p99 meanwhile | {:.2}, {:.2} ms |",
        busy.0, busy.1
    );
    println!(
        "| resident memory at the end, peak | {}, {} kB |",
        resource_usage(pid).1,
        resource_usage(pid).2
    );
    let (asked, refused) = load.stop();
    println!("| requests, refused | {asked}, {refused} |");
    Ok(())
}

fn restart(daemon: &Path, folder: &Path, rounds: u32) -> io::Result<()> {
    let agent = Agent::start()?;
    let edge = start_caches(&["e-0", "e-1"])?;
    let list: Vec<Value> = edge
        .iter()
        .map(|cache| instance(cache.uid, cache.address, READY))
        .collect();
    agent.register(&list);
    let consul = json!({"address": agent.address.to_string()});
    let running = start(daemon, folder, consul.clone(), true)?;
    agent.wait_until_read();
    while !folder.join("boxes-0.list").exists() {
        thread::sleep(Duration::from_millis(10));
    }
    drop(running);
    agent.set_behaviour(Behaviour::Unavailable);
    let mut took = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut failed = 0;
    for n in 0..rounds {
        let started = Instant::now();
        let running = start(daemon, folder, consul.clone(), true)?;
        let mut web = WebServer::connect(running.front)?;
        web.ask(1, "photo", &object(u64::from(n)), 2500)?;
        failed += u32::from(web.end()?.1.is_none_or(|a| a.status != 200));
        took.record(started.elapsed().as_millis() as u64)
            .map_err(io::Error::other)?;
    }
    println!("{failed} of {rounds} first requests were not served\n");
    println!("| ms from the start to the first response | starts | p50 | p99 | max |\n| --- | --- | --- | --- | --- |");
    print_row(
        "after kill -9, agent unavailable, from the stored list",
        &took,
    );
    Ok(())
}

fn main() -> io::Result<()> {
    let arguments = Arguments::parse();
    let beside = std::env::current_exe()?
        .parent()
        .and_then(Path::parent)
        .map(|p| p.join("linnetknot"));
    let daemon = arguments.daemon.or(beside).unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("linnetknot-figures-{}", std::process::id()));
    let result = match arguments.what {
        Measurement::Drain => drain(&daemon, &folder, arguments.rounds),
        Measurement::Flap => flap(&daemon, &folder, arguments.rounds),
        Measurement::Size => size(&daemon, &folder, arguments.rounds),
        Measurement::Restart => restart(&daemon, &folder, arguments.rounds),
    };
    let _ = fs::remove_dir_all(&folder);
    result
}
