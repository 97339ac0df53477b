//! SIGKILL may follow SIGTERM after the longest deadline, at most 3 s, plus 0.7 s. By then all requests on open
//! connections must be answered, even if no cache responds.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::Behaviour;
use scripted_caches::busy_wait;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use test_proxy::{object_id, TestProxy};

/// Time from the end of the longest request deadline to SIGKILL.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const CLIENTS: u64 = 3;
/// Time from SIGTERM until all caches stop responding.
const MUTE_AFTER: Duration = Duration::from_millis(600);
/// Interval between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

struct ClientResult {
    /// Requests without a response, as the times after SIGTERM at which they were sent.
    unanswered: Vec<Duration>,
    /// Time from SIGTERM to the last response.
    last_answer: Duration,
    /// Number of requests that received a response.
    answered: usize,
}

/// Sends requests on a connection and reads the responses until the daemon closes it.
fn run_client(
    mut web: WebServer,
    number: u64,
    deadline: Duration,
    sigterm_at: Instant,
) -> ClientResult {
    let mut writer = web.writer().unwrap();
    let (sent_sender, sent_requests) = std::sync::mpsc::channel::<(u16, Instant)>();
    let sender = std::thread::spawn(move || {
        let mut count = 0;
        let mut web = RequestWriter(&mut writer);
        while web.is_open() {
            let at = Instant::now();
            let id = 1 + count as u16;
            if web
                .send_request(id, number * 100_000 + count, deadline)
                .is_err()
            {
                return;
            }
            if sent_sender.send((id, at)).is_err() {
                return;
            }
            count += 1;
            std::thread::sleep(REQUEST_INTERVAL);
        }
    });
    let (mut answered, mut last_answer) = (HashSet::new(), Instant::now());
    while let Ok((id, Some(_))) = web.end() {
        answered.insert(id);
        last_answer = Instant::now();
    }
    sender.join().unwrap();
    let unanswered = sent_requests
        .iter()
        .filter(|(id, _)| !answered.contains(id))
        .map(|(_, at)| at.saturating_duration_since(sigterm_at));
    ClientResult {
        unanswered: unanswered.collect(),
        last_answer: last_answer.saturating_duration_since(sigterm_at),
        answered: answered.len(),
    }
}

/// The sending half of a client's connection.
struct RequestWriter<'a>(&'a mut std::net::TcpStream);

impl RequestWriter<'_> {
    /// Returns false once the daemon has closed its half, after which no request may be sent.
    fn is_open(&self) -> bool {
        let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
        let mut byte = [0];
        !matches!(rustix::net::recv(&*self.0, &mut byte, flags), Ok((_, 0)))
    }

    fn send_request(&mut self, id: u16, number: u64, deadline: Duration) -> std::io::Result<()> {
        let (name, budget) = (format!("{number:016x}"), deadline.as_millis().to_string());
        let key = object_id(number);
        let fields = [
            ("HTTP_REQUEST_ID", name.as_str()),
            ("HTTP_RESOURCE_KEY", key.as_str()),
            ("HTTP_BUDGET_MS", budget.as_str()),
        ];
        let bytes = WebServer::request(id, "/invoke/photo", &fields, b"");
        std::io::Write::write_all(self.0, &bytes)
    }
}

fn check_shutdown_with_deadline(deadline: Duration) {
    let mut proxy = TestProxy::with(&["s-0a", "s-0b"], |config| {
        // Attempts stay outstanding until their deadline.
        config["settings"]["limits"]["cancel"] = false.into();
        for class in config["settings"]["categories"].as_array_mut().unwrap() {
            class["deadline-us"] = (deadline.as_micros() as u64).into();
            class["aim-us"] = (deadline.as_micros() as u64 / 2).into();
        }
    });
    let webs: Vec<WebServer> = (0..CLIENTS).map(|_| proxy.web()).collect();
    // The clients start to send at the same time as the daemon is signalled.
    let sigterm_at = Instant::now();
    proxy.control.stop().unwrap();
    let clients: Vec<_> = webs
        .into_iter()
        .zip(1..)
        .map(|(web, number)| {
            std::thread::spawn(move || run_client(web, number, deadline, sigterm_at))
        })
        .collect();
    // The caches stop responding late in the period in which the daemon still accepts requests, so that it has not yet
    // detected their failure.
    busy_wait(MUTE_AFTER);
    for cache in proxy.caches.iter().chain([&proxy.origin]) {
        cache.set_behaviour(Behaviour {
            silent: true,
            ..Behaviour::default()
        });
    }
    let kill_at = deadline + KILL_AFTER_DEADLINE;
    for result in clients.into_iter().map(|client| client.join().unwrap()) {
        println!(
            "deadline {deadline:?}: {} answered, the last {:?} after SIGTERM, {} unanswered",
            result.answered,
            result.last_answer,
            result.unanswered.len()
        );
        assert!(result.answered > 10);
        assert!(result.last_answer < kill_at, "{:?}", result.last_answer);
        // A request that was sent while the daemon closed the connection is not forwarded. Its client reads EOF.
        assert!(result.unanswered.len() <= 1, "{:?}", result.unanswered);
    }
    proxy.thread.join().unwrap().unwrap();
    let exited_after = sigterm_at.elapsed();
    assert!(
        exited_after < kill_at,
        "the process exited after {exited_after:?}"
    );
}

#[test]
fn all_requests_are_answered_before_sigkill_with_a_deadline_of_300_ms() {
    check_shutdown_with_deadline(Duration::from_millis(300));
}

#[test]
fn all_requests_are_answered_before_sigkill_with_a_deadline_of_1_s() {
    check_shutdown_with_deadline(Duration::from_secs(1));
}

#[test]
fn all_requests_are_answered_before_sigkill_with_a_deadline_of_3_s() {
    check_shutdown_with_deadline(Duration::from_secs(3));
}
