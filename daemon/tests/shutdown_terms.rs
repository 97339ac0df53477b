//! SIGKILL may come the longest deadline, of 3 s at the most, and 0.7 s after SIGTERM: by then everything that clients
//! sent on open connections has its answer, also where no box answers anything.

mod rig;
mod scripted;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::Behaviour;
use rig::{object, Rig};
use scripted::pass;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// What may pass behind the longest deadline until SIGKILL.
const BEYOND: Duration = Duration::from_millis(700);
const CLIENTS: u64 = 3;
/// From then on after SIGTERM no box answers anything.
const HANGS_FROM: Duration = Duration::from_millis(600);
/// Between two requests of a client.
const EACH: Duration = Duration::from_millis(20);

/// What a client got.
struct Got {
    /// Requests without an answer, by how long after SIGTERM they were sent.
    unanswered: Vec<Duration>,
    /// When the last answer came, after SIGTERM.
    last_answer: Duration,
    /// How many were answered.
    answered: usize,
}

/// Sends on one connection until it ends there, and reads meanwhile.
fn client(mut web: WebServer, number: u64, deadline: Duration, term: Instant) -> Got {
    let mut writer = web.writer().unwrap();
    let (sent, told) = std::sync::mpsc::channel::<(u16, Instant)>();
    let sender = std::thread::spawn(move || {
        let mut asks = 0;
        let mut web = Writer(&mut writer);
        while web.is_open() {
            let at = Instant::now();
            let id = 1 + asks as u16;
            if web.ask(id, number * 100_000 + asks, deadline).is_err() {
                return;
            }
            if sent.send((id, at)).is_err() {
                return;
            }
            asks += 1;
            std::thread::sleep(EACH);
        }
    });
    let (mut answered, mut last_answer) = (HashSet::new(), Instant::now());
    while let Ok((id, Some(_))) = web.end() {
        answered.insert(id);
        last_answer = Instant::now();
    }
    sender.join().unwrap();
    let unanswered = told
        .iter()
        .filter(|(id, _)| !answered.contains(id))
        .map(|(_, at)| at.saturating_duration_since(term));
    Got {
        unanswered: unanswered.collect(),
        last_answer: last_answer.saturating_duration_since(term),
        answered: answered.len(),
    }
}

/// The sending half of a client.
struct Writer<'a>(&'a mut std::net::TcpStream);

impl Writer<'_> {
    /// Whether the daemon has not ended its half: nothing is sent behind that.
    fn is_open(&self) -> bool {
        let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
        let mut byte = [0];
        !matches!(rustix::net::recv(&*self.0, &mut byte, flags), Ok((_, 0)))
    }

    fn ask(&mut self, id: u16, number: u64, deadline: Duration) -> std::io::Result<()> {
        let (name, budget) = (format!("{number:016x}"), deadline.as_millis().to_string());
        let key = object(number);
        let fields = [
            ("HTTP_REQUEST_ID", name.as_str()),
            ("HTTP_RESOURCE_KEY", key.as_str()),
            ("HTTP_BUDGET_MS", budget.as_str()),
        ];
        let bytes = WebServer::request(id, "/invoke/photo", &fields, b"");
        std::io::Write::write_all(self.0, &bytes)
    }
}

fn ends_in_time(deadline: Duration) {
    let mut rig = Rig::with(&["s-0a", "s-0b"], |config| {
        // Whatever is out stays out until its deadline.
        config["settings"]["limits"]["cancel"] = false.into();
        for class in config["settings"]["categories"].as_array_mut().unwrap() {
            class["deadline-us"] = (deadline.as_micros() as u64).into();
            class["aim-us"] = (deadline.as_micros() as u64 / 2).into();
        }
    });
    let webs: Vec<WebServer> = (0..CLIENTS).map(|_| rig.web()).collect();
    // Nothing waits for this moment: the clients send from the same moment on.
    let term = Instant::now();
    rig.control.stop().unwrap();
    let clients: Vec<_> = webs
        .into_iter()
        .zip(1..)
        .map(|(web, number)| std::thread::spawn(move || client(web, number, deadline, term)))
        .collect();
    // Late in the grace, so that nothing is known yet of what hangs.
    pass(HANGS_FROM);
    for stand_in in rig.boxes.iter().chain([&rig.origin]) {
        stand_in.set_behaviour(Behaviour {
            silent: true,
            ..Behaviour::default()
        });
    }
    let killed = deadline + BEYOND;
    for got in clients.into_iter().map(|client| client.join().unwrap()) {
        println!(
            "deadline {deadline:?}: {} answered, the last {:?} after SIGTERM, {} unanswered",
            got.answered,
            got.last_answer,
            got.unanswered.len()
        );
        assert!(got.answered > 10);
        assert!(got.last_answer < killed, "{:?}", got.last_answer);
        // One that crosses the daemon's end on its way has gone nowhere, which its client sees by that end.
        assert!(got.unanswered.len() <= 1, "{:?}", got.unanswered);
    }
    rig.run.join().unwrap().unwrap();
    let ended = term.elapsed();
    assert!(ended < killed, "the process has ended after {ended:?}");
}

#[test]
fn with_a_deadline_of_300_ms_all_is_answered_before_sigkill() {
    ends_in_time(Duration::from_millis(300));
}

#[test]
fn with_a_deadline_of_1_s_all_is_answered_before_sigkill() {
    ends_in_time(Duration::from_secs(1));
}

#[test]
fn with_a_deadline_of_3_s_all_is_answered_before_sigkill() {
    ends_in_time(Duration::from_secs(3));
}
