//! A cache that drains while redirected requests are under way.

use super::{content, failed, RehearsalDefect};
use crate::Report;
use linnetknot_harness::clients::{call, Answer, TIMEOUT};
use linnetknot_harness::fakes::cache::{Arrival, Behaviour, FakeCache};
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::process::Process;
use linnetknot_harness::unix_ms;
use serde_json::{json, Value};
use std::io;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time from the notice of a drain until nothing new goes there, and what sockets add to every time limit.
const DRAIN_GRACE_MS: u64 = 1000 + 50;
/// Requests that are redirected.
const REDIRECTED: usize = 12;

/// A request that was redirected here and is under way.
struct Redirected {
    number: usize,
    answer: JoinHandle<io::Result<Answer>>,
}

/// Requests that were redirected here while their target cache is draining: one final answer each, and nothing new
/// at the cache from the grace on.
pub(super) fn drain(
    running: &Process,
    bus: &Bus,
    caches: &[FakeCache],
    defect: Option<RehearsalDefect>,
    report: &mut Report,
) -> io::Result<()> {
    caches.iter().for_each(|cache| {
        cache.set_behaviour(Behaviour {
            answer_delay_ms: 150,
            ..Behaviour::default()
        });
    });
    let clients = redirect(running, report)?;
    // The cache that the first of them waits at is draining.
    let target = redirected_to(caches)?;
    if defect != Some(RehearsalDefect::DrainNotSent) {
        bus.list(false, vec![entry(target, "here", "box", "draining")]);
    }
    let draining_ms = unix_ms();
    judge_redirected(clients, report)?;
    caches
        .iter()
        .for_each(|cache| cache.set_behaviour(Behaviour::default()));
    while unix_ms() < draining_ms + DRAIN_GRACE_MS + 10 {
        thread::sleep(Duration::from_millis(5));
    }
    for n in 0..2 * REDIRECTED {
        let answer = content(running.cdni, &format!("{:016x}", 0xc000 + n))?;
        report.check("one answer", !answer.surplus, || {
            format!("bytes behind the answer to request {n} after a drain")
        });
    }
    judge_drained(target, draining_ms, report);
    report.cases.push(format!(
        "a drain under {REDIRECTED} redirected requests, {} after it",
        2 * REDIRECTED
    ));
    Ok(())
}

/// Nothing new reached a cache from the grace on.
fn judge_drained(target: &FakeCache, draining_ms: u64, report: &mut Report) {
    let arrivals = target.arrivals();
    let is_late = |a: &&Arrival| a.command == "fetch" && a.at > draining_ms + DRAIN_GRACE_MS;
    for arrival in arrivals.iter().filter(is_late) {
        report.check("drain", false, || {
            format!(
                "{} reached {} {} ms after the notice that it drains",
                arrival.id,
                target.uid,
                arrival.at - draining_ms
            )
        });
    }
}

/// The object that a redirected request asks for.
fn redirected_object(number: usize) -> String {
    format!("{:016x}", 0xb000 + number)
}

/// Has requests redirected, and sends each where its redirection leads.
fn redirect(running: &Process, report: &mut Report) -> io::Result<Vec<Redirected>> {
    let mut clients = Vec::new();
    for number in 0..REDIRECTED {
        let uri = format!(
            "http://cdn.example/content/photo/{}/0?kb=40",
            redirected_object(number)
        );
        let http = json!({"c-ip": "127.0.0.9", "cs-uri": uri, "cs-method": "GET"});
        let request = json!({"http": http, "cdn-path": ["AS64501:0"]});
        let answer = call(running.cdni, "POST", "/cdni/redirect", &request.to_string())?;
        let value: Value =
            serde_json::from_slice(&answer.body).map_err(|e| failed(e.to_string()))?;
        let location = value["http"]["sc-(location)"]
            .as_str()
            .and_then(|l| l.strip_prefix("http://cdn.example"));
        let Some(target) = location.map(str::to_owned) else {
            report.check("redirection", false, || {
                format!("no redirection but {value}")
            });
            continue;
        };
        let to = running.cdni;
        let answer = thread::spawn(move || call(to, "GET", &target, ""));
        clients.push(Redirected { number, answer });
    }
    Ok(clients)
}

/// The cache that a redirected request has reached first.
fn redirected_to(caches: &[FakeCache]) -> io::Result<&FakeCache> {
    let objects: Vec<_> = (0..REDIRECTED).map(redirected_object).collect();
    let redirected = |a: &Arrival| {
        a.field("key")
            .is_some_and(|key| objects.iter().any(|o| o == key))
    };
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match caches
            .iter()
            .find(|cache| cache.arrivals().iter().any(redirected))
        {
            Some(target) => return Ok(target),
            None if Instant::now() > deadline => {
                return Err(failed("a redirected request reached no cache"))
            }
            None => thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// Each redirected request has one final answer.
fn judge_redirected(clients: Vec<Redirected>, report: &mut Report) -> io::Result<()> {
    for Redirected { number, answer } in clients {
        match answer.join().map_err(|_| failed("a client gave up"))? {
            Err(e) => report.check("one answer", false, || {
                format!("redirected request {number} got none: {e}")
            }),
            Ok(answer) => {
                let known = matches!(answer.status, 200 | 502 | 503 | 504);
                report.check("one answer", known && !answer.surplus, || {
                    let (status, surplus) = (answer.status, answer.surplus);
                    format!(
                        "redirected request {number} got {status} with more behind it: {surplus}"
                    )
                });
            }
        }
    }
    Ok(())
}
