//! The built-in rehearsal: a purge, a drain and a planned shutdown, with their checks.

mod drain;

use crate::Report;
use linnetknot_harness::clients::{call, Answer, PeerCdn, PeerRequest, WebServer, TIMEOUT};
use linnetknot_harness::fakes::cache::{Arrival, Behaviour, FakeCache};
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::process::Process;
use linnetknot_harness::{settings, unix_ms};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// A defect that the fakes inject, so that tests can check that it is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RehearsalDefect {
    /// The caches ignore the requested age and serve old copies after a purge.
    StaleCopies,
    /// The drain is not announced to the daemon.
    DrainNotSent,
}

/// The grace period after the notice of a purge, with an allowance for the delay of sockets.
const PURGE_GRACE_MS: u64 = 300 + 50;
const OBJECT: &str = "00000000000000a1";

fn failed(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

fn start(daemon: &Path, bus: &Bus, peer: SocketAddr) -> io::Result<Process> {
    // The bus's port makes the name unique among rehearsals in one process.
    let folder = std::env::temp_dir().join(format!(
        "linnetknot-rehearse-{}-{}",
        std::process::id(),
        bus.address.port()
    ));
    let config = json!({
        "name": "rehearsed", "listen": "127.0.0.1:0", "seed": "1f", "bus": bus.address.to_string(),
        "limits": {"memory_mb": 192, "sockets": 1024}, "settings": settings(),
    });
    let own = json!({"cdni": {
        "listen": "127.0.0.1:0", "provider": "AS64500:0", "base": "http://cdn.example",
        "footprint": ["127.0.0.0/8"],
        "neighbours": [{"provider": "AS64501:0", "address": peer.to_string(), "notices": "/notices",
            "triggers": "/triggers", "content": "http://neighbour.example"}],
    }});
    let process = Process::start(daemon, &folder, "rehearsed", &config, &own);
    let _ = std::fs::remove_dir_all(&folder);
    process
}

/// Runs all cases against a daemon and reports each breach. An error means that the test run itself failed.
pub fn rehearse(daemon: &Path, defect: Option<RehearsalDefect>) -> io::Result<Report> {
    let mut report = Report::default();
    let caches = [
        FakeCache::start("s-0000000a")?,
        FakeCache::start("s-0000000b")?,
    ];
    let origin = FakeCache::start("s-0000000f")?;
    let bus = Bus::start()?;
    let mut list: Vec<Value> = caches
        .iter()
        .map(|cache| entry(cache, "here", "box", "ready"))
        .collect();
    list.push(entry(&origin, "hub", "origin", "ready"));
    bus.list(true, list);
    let peer = PeerCdn::start()?;
    let mut running = start(daemon, &bus, peer.address)?;
    let deadline = Instant::now() + TIMEOUT;
    while call(running.cdni, "GET", "/health", "")?.status != 200 {
        if Instant::now() > deadline {
            return Err(failed("the daemon did not become ready"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    if defect == Some(RehearsalDefect::StaleCopies) {
        caches.iter().for_each(|cache| {
            cache.set_behaviour(Behaviour {
                any_age: true,
                ..Behaviour::default()
            });
        });
    }
    purge(&running, &caches, &mut report)?;
    notices(&bus, &peer.requests, &mut report)?;
    caches
        .iter()
        .for_each(|cache| cache.set_behaviour(Behaviour::default()));
    drain::drain(&running, &bus, &caches, defect, &mut report)?;
    attempts(&caches, &origin, &mut report);
    end(&mut running, &caches, &mut report)?;
    Ok(report)
}

fn content(to: SocketAddr, object: &str) -> io::Result<Answer> {
    call(to, "GET", &format!("/content/photo/{object}/0?kb=40"), "")
}

/// Purges an object through the peer CDN and checks that neither listener (FastCGI or CDNI) serves
/// an older copy after the grace period.
fn purge(running: &Process, caches: &[FakeCache], report: &mut Report) -> io::Result<()> {
    let warm = content(running.cdni, OBJECT)?;
    report.check("one answer", warm.status == 200, || {
        format!("the first copy was answered {}", warm.status)
    });
    // The purge must be later than the copy by more than the clock's resolution.
    thread::sleep(Duration::from_millis(5));
    let purged_ms = unix_ms();
    let url = format!("http://cdn.example/content/photo/{OBJECT}");
    let command =
        json!({"trigger": {"type": "purge", "content.urls": [url]}, "cdn-path": ["AS64501:0"]});
    let made = call(running.cdni, "POST", "/cdni/triggers", &command.to_string())?;
    let notified_ms = unix_ms();
    report.check("trigger", made.status == 201, || {
        format!("the purge was answered {}", made.status)
    });
    check_status(running, &made, report)?;
    let (mut server, mut requests) = (WebServer::connect(running.front)?, 0u16);
    while unix_ms() < notified_ms + PURGE_GRACE_MS + 600 {
        let sent = unix_ms();
        requests += 1;
        server.ask(requests, "photo", OBJECT, 2500)?;
        let fronts = [
            ("FastCGI", server.end()?.1),
            ("CDNI", Some(content(running.cdni, OBJECT)?)),
        ];
        for (front, answer) in fronts {
            let Some(answer) = answer else { continue };
            let is_stale = sent > notified_ms + PURGE_GRACE_MS
                && answer.made().is_some_and(|made| made < purged_ms);
            report.check("purge", !is_stale, || {
                format!(
                    "{front} served a copy from before the purge {} ms after its notice",
                    sent - notified_ms
                )
            });
            report.check("one answer", !answer.surplus, || {
                format!("extra bytes after an answer by {front}")
            });
        }
        thread::sleep(Duration::from_millis(20));
    }
    let reached: usize = caches.iter().map(|cache| cache.arrivals().len()).sum();
    report.cases.push(format!(
        "a purge by CDNI, {requests} requests to each front, {reached} at the caches"
    ));
    Ok(())
}

/// Checks that the status resource of a trigger reports the purge as complete.
fn check_status(running: &Process, made: &Answer, report: &mut Report) -> io::Result<()> {
    let path = made
        .header("location")
        .and_then(|l| l.strip_prefix("http://cdn.example"))
        .unwrap_or("/");
    let status = call(running.cdni, "GET", path, "")?;
    let done =
        serde_json::from_slice::<Value>(&status.body).is_ok_and(|v| v["status"] == "complete");
    report.check("trigger", done, || {
        format!("the status resource {path} does not report the purge as complete")
    });
    Ok(())
}

/// Checks that the footprint and a purge from the bus reach the peer CDN.
fn notices(
    bus: &Bus,
    requests: &mpsc::Receiver<PeerRequest>,
    report: &mut Report,
) -> io::Result<()> {
    bus.push(json!({"ban": {"url": "00000000000000ff", "ts": unix_ms()}}));
    let (mut footprint, mut purge) = (false, false);
    while !(footprint && purge) {
        let Ok(PeerRequest { target, body }) = requests.recv_timeout(TIMEOUT) else {
            break;
        };
        let body: Value = serde_json::from_str(&body).map_err(|e| failed(e.to_string()))?;
        footprint |= target == "/notices"
            && body["capabilities"]
                .as_array()
                .is_some_and(|c| !c.is_empty());
        let urls = body["trigger"]["content.urls"].to_string();
        purge |= target == "/triggers"
            && urls.contains("00000000000000ff")
            && body["cdn-path"][0] == "AS64500:0";
    }
    report.check("notice", footprint, || {
        "the footprint did not reach the peer CDN".to_owned()
    });
    report.check("notice", purge, || {
        "a purge of the event bus did not reach the peer CDN".to_owned()
    });
    report
        .cases
        .push("notices to the peer CDN: footprint and purge".to_owned());
    Ok(())
}

/// Checks that no request had more than six attempts.
fn attempts(caches: &[FakeCache], origin: &FakeCache, report: &mut Report) {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let all = caches.iter().chain([origin]).flat_map(FakeCache::arrivals);
    all.filter(|a| a.command == "fetch")
        .for_each(|a| *counts.entry(a.id).or_default() += 1);
    for (id, count) in counts.iter().filter(|c| *c.1 > 6) {
        report.check("attempts", false, || format!("{id} had {count} attempts"));
    }
}

/// Terminates the daemon with a request open, and checks that the request is answered and the exit status is 0.
fn end(running: &mut Process, caches: &[FakeCache], report: &mut Report) -> io::Result<()> {
    let before: usize = caches.iter().map(|cache| cache.arrivals().len()).sum();
    caches.iter().for_each(|cache| {
        cache.set_behaviour(Behaviour {
            answer_delay_ms: 150,
            ..Behaviour::default()
        });
    });
    let mut server = WebServer::connect(running.front)?;
    server.ask(1, "photo", "00000000000000e1", 2500)?;
    let is_last_object = |a: &Arrival| a.field("key") == Some("00000000000000e1");
    let deadline = Instant::now() + TIMEOUT;
    while caches
        .iter()
        .map(|cache| cache.arrivals().len())
        .sum::<usize>()
        == before
        && Instant::now() < deadline
    {
        thread::sleep(Duration::from_millis(2));
    }
    report.check(
        "one answer",
        caches
            .iter()
            .any(|cache| cache.arrivals().iter().any(is_last_object)),
        || "the last request reached no cache".into(),
    );
    // The standard library can't send signals.
    Command::new("sh")
        .arg("-c")
        .arg(format!("kill -TERM {}", running.child.id()))
        .status()?;
    let answer = server.end()?.1;
    report.check("end", answer.is_some(), || {
        "an open request was not answered at shutdown".to_owned()
    });
    let status = running.child.wait()?;
    report.check("end", status.success(), || {
        format!("the daemon ended with {status}")
    });
    report
        .cases
        .push("a planned shutdown with a request open".to_owned());
    Ok(())
}
