//! A drain of a cache while redirected requests are in flight.

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

/// The grace period after the notice of a drain, with an allowance for the delay of sockets.
const DRAIN_GRACE_MS: u64 = 1000 + 50;
/// The number of redirected requests.
const REDIRECTED: usize = 12;

/// A redirected request in flight.
struct Redirected {
    number: usize,
    answer: JoinHandle<io::Result<Answer>>,
}

/// Drains a cache under redirected requests. Checks that each gets one final answer and that no new request reaches the
/// cache after the grace period.
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
    // Drains the cache at which the first of them waits.
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
            format!("extra bytes after the answer to request {n} after a drain")
        });
    }
    judge_drained(target, draining_ms, report);
    report.cases.push(format!(
        "a drain under {REDIRECTED} redirected requests, {} after it",
        2 * REDIRECTED
    ));
    Ok(())
}

/// Checks that no new request reached the cache after the grace period.
fn judge_drained(target: &FakeCache, draining_ms: u64, report: &mut Report) {
    let arrivals = target.arrivals();
    let is_late = |a: &&Arrival| a.command == "fetch" && a.at > draining_ms + DRAIN_GRACE_MS;
    for arrival in arrivals.iter().filter(is_late) {
        report.check("drain", false, || {
            format!(
                "{} reached {} {} ms after the notice of its drain",
                arrival.id,
                target.uid,
                arrival.at - draining_ms
            )
        });
    }
}

/// Returns the object of a redirected request.
fn redirected_object(number: usize) -> String {
    format!("{:016x}", 0xb000 + number)
}

/// Requests redirections and follows each.
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
                format!("no redirection in the answer {value}")
            });
            continue;
        };
        let to = running.cdni;
        let answer = thread::spawn(move || call(to, "GET", &target, ""));
        clients.push(Redirected { number, answer });
    }
    Ok(clients)
}

/// Waits for a redirected request to reach a cache and returns that cache.
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

/// Checks that each redirected request has one final answer.
fn judge_redirected(clients: Vec<Redirected>, report: &mut Report) -> io::Result<()> {
    for Redirected { number, answer } in clients {
        match answer
            .join()
            .map_err(|_| failed("a client thread panicked"))?
        {
            Err(e) => report.check("one answer", false, || {
                format!("redirected request {number} got no answer: {e}")
            }),
            Ok(answer) => {
                let known = matches!(answer.status, 200 | 502 | 503 | 504);
                report.check("one answer", known && !answer.surplus, || {
                    let (status, surplus) = (answer.status, answer.surplus);
                    format!(
                        "redirected request {number} got {status}, extra bytes after it: {surplus}"
                    )
                });
            }
        }
    }
    Ok(())
}
