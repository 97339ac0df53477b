//! Moments in which something comes between two steps of the daemon: on real connections, with the loop held until all of
//! it is there, so that the bad order happens every time.

mod rig;
mod scripted;

use linnetknot_daemon::wire::fastcgi;
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::entry;
use rig::{object, one, Held, Rig};
use scripted::{abort, full, next_of, pass, request, scripted};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Ids of the objects that a box was asked for.
fn asked(of: &FakeCache) -> Vec<String> {
    let fetched = of.arrivals().into_iter().filter(|a| a.command == "fetch");
    fetched
        .map(|a| a.field("key").unwrap().to_owned())
        .collect()
}

#[test]
fn of_a_client_that_sent_much_and_has_gone_nothing_begins() {
    let mut rig = Rig::start();
    let mut other = rig.web();
    assert_eq!(one(&mut other, "photo", &object(1)).status, 200);
    let mut gone = rig.web();
    assert_eq!(one(&mut gone, "photo", &object(2)).status, 200);
    let held = rig.hold();
    // More than is read at a time, and its end behind it.
    for n in 0..30 {
        gone.send(&request(n + 1, &object(100 + u64::from(n)), 4_000))
            .unwrap();
    }
    drop(gone);
    drop(held);
    assert_eq!(one(&mut other, "photo", &object(3)).status, 200);
    assert_eq!(asked(&rig.boxes[0]), [object(1), object(2), object(3)]);
    rig.stop();
}

#[test]
fn a_request_that_is_taken_back_by_what_lies_behind_it_never_begins() {
    let mut rig = Rig::start();
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    let held = rig.hold();
    let bytes = [
        request(1, &object(2), 12_000),
        request(2, &object(3), 12_000),
        abort(1),
    ]
    .concat();
    web.send(&bytes).unwrap();
    drop(held);
    let mut ends = [web.end().unwrap(), web.end().unwrap()];
    ends.sort_by_key(|end| end.0);
    assert!(ends[0].1.is_none() && ends[1].1.as_ref().is_some_and(|a| a.status == 200));
    assert_eq!(asked(&rig.boxes[0]), [object(1), object(3)]);
    // Its number may be used again, also in the same bytes.
    let bytes = [
        request(1, &object(4), 0),
        abort(1),
        request(1, &object(5), 0),
    ]
    .concat();
    web.send(&bytes).unwrap();
    assert!(web.end().unwrap().1.is_none());
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    assert_eq!(asked(&rig.boxes[0]), [object(1), object(3), object(5)]);
    rig.stop();
}

#[test]
fn no_further_attempt_begins_for_a_client_whose_end_comes_with_the_answer_that_asks_for_one() {
    let (mut rig, mut boxes) = scripted::<2>(|_| {});
    let (mut gone, mut other) = (rig.web(), rig.web());
    // A connection to each is up, so that a further attempt would have to wait for none.
    let mut n = 10;
    while boxes.iter().any(|scripted| scripted.wires.is_empty()) {
        gone.send(&request(1, &object(n), 0)).unwrap();
        let (at, place, fetch) = next_of(&mut boxes);
        boxes[at].wires[place].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
        assert_eq!(gone.end().unwrap().1.unwrap().status, 200);
        n += 1;
    }
    // A client that stays has a further attempt made.
    gone.send(&request(4, &object(2), 0)).unwrap();
    let (at, place, fetch) = next_of(&mut boxes);
    boxes[at].wires[place].answer(&fetch[1], "503", "-", "");
    let (then, place, again) = next_of(&mut boxes);
    assert_eq!(
        (&again[..2], at != then),
        (&fetch[..2], true),
        "at the other box"
    );
    boxes[then].wires[place].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(gone.end().unwrap().1.unwrap().status, 200);
    // One that leaves has none.
    gone.send(&request(2, &object(1), 0)).unwrap();
    let (at, place, fetch) = next_of(&mut boxes);
    let held = rig.hold();
    boxes[at].wires[place].answer(&fetch[1], "503", "-", "");
    drop(gone);
    drop(held);
    other.send(&request(3, &object(1), 0)).unwrap();
    let fetched = loop {
        let (_, _, command) = next_of(&mut boxes);
        if command[0] == "fetch" {
            break command;
        }
    };
    assert_ne!(fetched[1], fetch[1], "it was sent again for nobody");
    rig.stop();
}

#[test]
fn a_request_that_comes_in_the_moment_of_an_idle_end_is_served() {
    let idle = Duration::from_millis(200);
    let bounds = json!({"client_idle_timeout_us": 200_000, "partial_request_timeout_us": 150_000});
    let mut rig = Rig::with(&["s-0a"], |config| config["bounds"] = bounds.clone());
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    // Held behind the wait for events and before the deadlines: by then the connection has been idle for too long.
    let held = rig.hold();
    pass(idle);
    web.send(&request(1, &object(2), 0)).unwrap();
    drop(held);
    assert_eq!(web.end().unwrap().1.expect("an answer").status, 200);
    // With nothing in that moment it ends, and its client reads that as an end and not as a reset.
    assert_eq!(web.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    rig.stop();
}

#[test]
fn a_client_that_never_ends_its_half_does_not_keep_its_place() {
    let bounds = json!({"client_idle_timeout_us": 50_000, "client_linger_timeout_us": 50_000});
    let rig = Rig::with(&["s-0a"], |config| config["bounds"] = bounds.clone());
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    assert_eq!(web.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    // Written to until the other side is no longer there to take it.
    let start = Instant::now();
    while web.send(b"x").is_ok() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "it is kept for good"
        );
        std::thread::yield_now();
    }
    rig.stop();
}

/// A daemon that has heard SIGTERM and whose loop is held at the moment in which its grace is over.
fn at_the_end_of_the_grace(change: impl Fn(&mut Value)) -> (Rig, Held, WebServer) {
    let grace = Duration::from_millis(300);
    let mut rig = Rig::with(&["s-0a"], |config| {
        config["bounds"] = json!({"shutdown_accept_us": 300_000});
        change(config);
    });
    let mut web = rig.web();
    assert_eq!(one(&mut web, "photo", &object(1)).status, 200);
    rig.control.stop().unwrap();
    let mut asks = 0;
    while health(&mut web) == 200 {
        asks += 1;
        assert!(asks < 1_000_000, "SIGTERM is not heard");
    }
    let held = rig.hold();
    pass(grace);
    (rig, held, web)
}

fn health(web: &mut WebServer) -> u16 {
    web.send(&WebServer::request(9, "/_health", &[], b""))
        .unwrap();
    web.end().unwrap().1.unwrap().status
}

#[test]
fn a_request_in_the_kernel_when_the_process_is_about_to_end_is_answered() {
    let (rig, held, mut web) = at_the_end_of_the_grace(|_| {});
    web.send(&request(1, &object(2), 0)).unwrap();
    drop(held);
    let (id, answer) = web.end().expect("an answer, not the end of the process");
    assert_eq!(id, 1);
    assert!([200, 503].contains(&answer.unwrap().status));
    assert_eq!(
        web.end().unwrap_err().kind(),
        ErrorKind::UnexpectedEof,
        "an end, not a reset"
    );
    drop(web);
    rig.run.join().unwrap().unwrap();
}

#[test]
fn a_connection_in_the_accept_queue_when_the_process_is_about_to_end_is_served() {
    let (rig, held, web) = at_the_end_of_the_grace(|_| {});
    let mut late = rig.web();
    late.send(&request(1, &object(2), 0)).unwrap();
    // One whose request is still on its way when it is taken.
    let mut later = rig.web();
    drop(held);
    assert_eq!(late.end().expect("an answer").1.unwrap().status, 200);
    later.send(&request(1, &object(3), 0)).unwrap();
    assert_eq!(later.end().expect("an answer").1.unwrap().status, 200);
    drop((web, late, later));
    rig.run.join().unwrap().unwrap();
}

#[test]
fn a_client_that_rests_until_it_is_ended_reads_an_end_and_what_it_sends_then_goes_nowhere() {
    let (rig, held, mut resting) = at_the_end_of_the_grace(|_| {});
    drop(held);
    assert_eq!(resting.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    // Behind the end: it must not be passed on, as nobody could be answered.
    resting.send(&request(1, &object(2), 0)).unwrap();
    drop(resting);
    rig.run.join().unwrap().unwrap();
    assert_eq!(asked(&rig.boxes[0]), [object(1)]);
}

#[test]
fn signals_that_come_twice_or_while_the_process_ends_cost_no_answer() {
    let (mut rig, mut boxes) =
        scripted::<1>(|config| config["bounds"] = json!({"shutdown_accept_us": 100_000}));
    let mut web = rig.web();
    web.send(&request(1, &object(1), 0)).unwrap();
    let (_, place, fetch) = next_of(&mut boxes);
    rig.control.stop().unwrap();
    rig.control.reload().unwrap();
    rig.control.stop().unwrap();
    // The grace is over, and the answer still out: signals come again.
    let mut fresh = WebServer::connect(rig.front);
    while fresh.is_ok() {
        fresh = WebServer::connect(rig.front);
    }
    rig.control.stop().unwrap();
    rig.control.reload().unwrap();
    boxes[0].wires[place].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "the copy");
    let answer = web.end().unwrap().1.unwrap();
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (200, &b"the copy"[..])
    );
    drop((web, fresh));
    rig.run.join().unwrap().unwrap();
}

#[test]
fn sigterm_before_there_are_boxes_ends_the_process() {
    let mut rig = Rig::with(&[], |config| {
        config["known"] = Value::Null;
        config["bounds"] = json!({"shutdown_accept_us": 50_000});
    });
    let mut web = rig.web();
    assert_eq!(health(&mut web), 503);
    rig.control.stop().unwrap();
    assert_eq!(web.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    drop(web);
    rig.run.join().unwrap().unwrap();
}

/// Connections that are late come up all the same: begun anew for each attempt, they never would.
#[test]
fn late_connections_are_kept_and_no_further_ones_begun_and_what_waited_for_them_never_begins() {
    let (rig, mut boxes) =
        scripted::<1>(|config| config["settings"]["limits"]["connect-timeout-us"] = json!(100_000));
    let filler = full(&boxes[0]);
    let mut web = rig.web();
    for n in 1..=6 {
        web.send(&request(n, &object(u64::from(n)), 0)).unwrap();
        let (_, answer) = web.end().unwrap();
        assert_eq!(
            answer.unwrap().status,
            503,
            "it never began, so trying again is harmless"
        );
    }
    // Clients that leave while theirs wait.
    let mut gone = rig.web();
    gone.send(&request(7, &object(7), 0)).unwrap();
    drop(gone);
    // Room again: the system tries the first segment of a connection again after a second.
    let start = Instant::now();
    while boxes[0].wires.len() < 3 {
        assert_eq!(boxes[0].arrived(), [], "of what waited nothing begins");
        assert!(
            start.elapsed() < Duration::from_secs(8),
            "{} came up",
            boxes[0].wires.len() - 1
        );
        std::thread::yield_now();
    }
    drop(filler);
    web.send(&request(8, &object(8), 0)).unwrap();
    let (_, place, fetch) = next_of(&mut boxes);
    assert!(fetch[2].contains(&object(8)) && place > 0);
    boxes[0].wires[place].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    assert_eq!(
        boxes[0].wires.len(),
        3,
        "two dials for six attempts, and the one that filled the queue"
    );
    rig.stop();
}

/// A bus that does nothing until the test does it.
struct ScriptedBus(TcpListener);

impl ScriptedBus {
    fn start() -> ScriptedBus {
        ScriptedBus(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn address(&self) -> Value {
        self.0.local_addr().unwrap().to_string().into()
    }

    /// Takes the next call: its connection, and the number behind which it reads on.
    fn call(&self) -> (TcpStream, u64) {
        let (mut socket, _) = self.0.accept().unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            socket.read_exact(&mut byte).unwrap();
            head.extend(byte);
        }
        let head = String::from_utf8(head).unwrap();
        let last = head
            .lines()
            .find_map(|line| line.strip_prefix("Last-Event-ID: "))
            .unwrap();
        (socket, last.parse().unwrap())
    }
}

/// The head of a bus's answer.
const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn event(offset: u64, what: Value) -> String {
    let mut event = what;
    event["offset"] = offset.into();
    format!("id: {offset}\ndata: {event}\n\n")
}

fn topology(entries: Vec<Value>) -> Value {
    json!({"topology": {"all": false, "targets": entries}})
}

#[test]
fn a_watch_that_falls_silent_is_called_again_at_the_right_number_and_a_drain_told_in_the_gap_holds()
{
    let bus = ScriptedBus::start();
    let address = bus.address();
    let rig = Rig::with(&["s-0a", "s-0b"], |config| {
        config["bus"] = address.clone();
        config["bounds"] = json!({"bus_read_timeout_us": 150_000});
    });
    // Silent before the first event, with and without a head.
    let (_silent, last) = bus.call();
    assert_eq!(last, 0);
    let (mut headed, last) = bus.call();
    assert_eq!(last, 0);
    headed.write_all(STREAM.as_bytes()).unwrap();
    // After an event, and in the middle of one: that is told again.
    let (mut cut, last) = bus.call();
    assert_eq!(last, 0);
    let purge = |tag: u64| json!({"ban": {"tag": tag, "ts": 1}});
    let begun = event(2, purge(8));
    cut.write_all(
        [STREAM, &event(1, purge(7)), &begun[..begun.len() / 2]]
            .concat()
            .as_bytes(),
    )
    .unwrap();
    let (mut watch, last) = bus.call();
    assert_eq!(last, 1, "behind the last whole event");
    let drains = topology(vec![entry(&rig.boxes[0], "here", "box", "draining")]);
    watch
        .write_all(
            [STREAM, &event(2, purge(8)), &event(3, drains)]
                .concat()
                .as_bytes(),
        )
        .unwrap();
    let (_watch, last) = bus.call();
    assert_eq!(last, 3);
    let mut web = rig.web();
    for n in 0..40 {
        assert_eq!(one(&mut web, "photo", &object(n)).status, 200);
    }
    assert_eq!(
        asked(&rig.boxes[0]),
        [] as [String; 0],
        "it drains since the gap"
    );
    rig.stop();
}

#[test]
fn a_list_that_moves_while_it_is_called_is_heard_at_its_new_place_alone() {
    let (old, new) = (ScriptedBus::start(), ScriptedBus::start());
    let address = old.address();
    let mut rig = Rig::with(&["s-0a"], |config| config["bus"] = address.clone());
    let (mut heard, _) = old.call();
    heard
        .write_all(
            [STREAM, &event(1, json!({"ban": {"tag": 1, "ts": 1}}))]
                .concat()
                .as_bytes(),
        )
        .unwrap();
    // It breaks, and the next call is under way when the configuration moves.
    drop(heard);
    let (mut under_way, last) = old.call();
    assert_eq!(last, 1);
    rig.file.lock().unwrap()["bus"] = new.address();
    rig.control.reload().unwrap();
    let (mut moved, last) = new.call();
    assert_eq!(last, 1);
    // What the old place says now is nobody's: by it, no box would be left.
    let gone = topology(vec![entry(&rig.boxes[0], "here", "box", "gone")]);
    let _ = under_way.write_all([STREAM, &event(9, gone)].concat().as_bytes());
    drop(under_way);
    moved
        .write_all(
            [STREAM, &event(2, json!({"ban": {"tag": 2, "ts": 1}}))]
                .concat()
                .as_bytes(),
        )
        .unwrap();
    drop(moved);
    let (_moved, last) = new.call();
    assert_eq!(last, 2, "numbers go on, and the old place's did not count");
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 200);
    rig.stop();
}

#[test]
fn a_list_that_is_down_is_called_less_and_less_often_but_often_enough() {
    let bus = ScriptedBus::start();
    let address = bus.address();
    let rig = Rig::with(&["s-0a"], |config| config["bus"] = address.clone());
    // Each call is taken and ended at once.
    let calls: Vec<Instant> = (0..7)
        .map(|_| (drop(bus.call()), Instant::now()).1)
        .collect();
    let gaps: Vec<Duration> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let least = [50, 100, 200, 400, 400, 400].map(Duration::from_millis);
    assert!(
        gaps.iter().zip(least).all(|(gap, least)| *gap >= least),
        "{gaps:?}"
    );
    assert!(
        gaps.iter().all(|gap| *gap < Duration::from_secs(3)),
        "{gaps:?}"
    );
    rig.stop();
}

/// Requests that don't become whole are held in memory until they do: a crowd of them may hold no more than a bound.
#[test]
fn half_requests_of_a_crowd_are_bounded_and_others_are_served() {
    let rig = Rig::with(&["s-0a"], |config| {
        config["limits"]["memory_mb"] = json!(16);
        // Not ended for its time.
        config["bounds"] = json!({"partial_request_timeout_us": 60_000_000});
    });
    let whole = WebServer::request(
        1,
        "/invoke/photo",
        &[("HTTP_REQUEST_ID", "0a")],
        &[b'x'; 40_000],
    );
    let mut crowd: Vec<WebServer> = (0..120).map(|_| rig.web()).collect();
    // 120 times 40 KB, where 4 MB may be held.
    crowd
        .iter_mut()
        .for_each(|web| web.send(&whole[..whole.len() - 8]).unwrap_or(()));
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 200);
    let mut ended = 0;
    for web in &mut crowd {
        let socket = web.writer().unwrap();
        socket.set_nonblocking(true).unwrap();
        ended += usize::from(
            socket.peek(&mut [0]).is_ok_and(|n| n == 0) || socket.take_error().unwrap().is_some(),
        );
    }
    assert!((10..60).contains(&ended), "{ended} of them had to leave");
    drop(crowd);
    rig.stop();
}

/// Each answer costs memory until it is taken, also one that only says that there is no place.
#[test]
fn a_client_that_asks_on_and_takes_no_answers_is_ended() {
    let rig = Rig::start();
    let mut web = rig.web();
    let mut begins = Vec::new();
    for id in 1..=60_000 {
        fastcgi::write_record(
            &mut begins,
            fastcgi::kind::BEGIN,
            id,
            &[0, 1, 1, 0, 0, 0, 0, 0],
        );
    }
    let start = Instant::now();
    while web.send(&begins).is_ok() {
        assert!(start.elapsed() < Duration::from_secs(10), "it is let go on");
    }
    assert_eq!(one(&mut rig.web(), "photo", &object(1)).status, 200);
    rig.stop();
}
