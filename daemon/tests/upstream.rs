//! Connections to cache servers: what becomes of attempts when connections end, and of ids that were given up.

use linnetknot::{ListMode, Outcome, Server, ServerId, State};
use linnetknot_daemon::core::{server_id, AttemptId, Client, ClientRequest, Command, Core, Entry};
use linnetknot_daemon::limits::Limits;
use linnetknot_daemon::net::{Key, Progress, TcpConnection};
use linnetknot_daemon::upstream::{UpstreamConnection, UpstreamEvent};
use linnetknot_daemon::wire::resp;
use linnetknot_harness::settings;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const NOW: u64 = 1_000_000_000;

struct Rig {
    core: Core,
    connection: UpstreamConnection,
    conn: TcpConnection,
    far: TcpStream,
    limits: Limits,
    server: ServerId,
    events: Vec<UpstreamEvent>,
    now: u64,
    last: Vec<(String, AttemptId)>,
    /// The tag of the copy that the client holds.
    have: Option<String>,
    /// Bytes that a request brings.
    body: usize,
}

impl Rig {
    fn new(up: bool) -> Rig {
        let limits = Limits::for_machine(1024, 192);
        let settings =
            linnetknot_settings::parse_settings(settings().as_object().unwrap()).unwrap();
        let mut core = Core::new(settings, 1, &limits).unwrap();
        let server = Server {
            id: server_id("a"),
            zone: "here".into(),
            cell: 0,
            kind: "box".into(),
            weight: 8.0,
            state: State::Ready,
            started: None,
        };
        let entry = Entry {
            server,
            uid: "a".into(),
            endpoint: ([127, 0, 0, 1], 9).into(),
        };
        core.update_endpoints(NOW, ListMode::Full, vec![entry]);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (far, server) = (listener.accept().unwrap().0, server_id("a"));
        let conn = TcpConnection::new(
            near,
            up,
            limits.input_buffer_bytes,
            limits.output_buffer_bytes,
        )
        .unwrap();
        Rig {
            core,
            connection: UpstreamConnection::new(server, &limits, NOW),
            conn,
            far,
            limits,
            server,
            events: Vec::new(),
            now: NOW,
            last: Vec::new(),
            have: None,
            body: 0,
        }
    }

    fn send(&mut self, id: &str) -> AttemptId {
        let asked = ClientRequest {
            id: id.into(),
            class: "photo".into(),
            object: format!("{id}-object"),
            size_kb: 40.0,
            remaining_us: 2_000_000,
            cached_tag: self.have.clone(),
            body: vec![b'x'; self.body],
            ..ClientRequest::default()
        };
        // The core takes no two of one id: the one before is over by now.
        for (_, attempt) in self.last.iter().filter(|(last, _)| last == id) {
            self.core.client_gone(self.now, attempt.request);
            self.core
                .attempt_finished(self.now, *attempt, Outcome::Cancelled.into());
        }
        self.core.take_commands();
        self.core
            .admit(
                self.now,
                Client {
                    connection: Key::from_u64(0),
                    stream: 0,
                },
                asked,
            )
            .unwrap();
        let sent = |c: Command| {
            if let Command::Send(attempt) = c {
                Some(attempt)
            } else {
                None
            }
        };
        let attempt = self
            .core
            .take_commands()
            .into_iter()
            .find_map(sent)
            .unwrap();
        self.last.push((id.to_owned(), attempt));
        self.connection.enqueue(self.now, attempt);
        self.pump();
        attempt
    }

    fn live_streams_if_available(&self, id: &str) -> Option<usize> {
        self.connection
            .live_streams_if_available(id, &self.core, &self.limits)
    }

    fn pump(&mut self) -> bool {
        self.connection.flush(
            self.now,
            &mut self.conn,
            &self.core,
            &self.limits,
            &mut self.events,
        )
    }

    fn give_up(&mut self, attempt: AttemptId) {
        self.connection.abort(self.now, attempt);
        self.pump();
        self.now += self.limits.abort_transit_us;
        self.pump();
    }

    /// What reached the other side so far, which is `marks` frames of this word.
    fn reached(&mut self, word: &str, marks: usize) -> String {
        let (mut text, mut bytes) = (String::new(), [0; 4096]);
        while text.matches(word).count() < marks {
            let got = self.far.read(&mut bytes).unwrap();
            text += &String::from_utf8_lossy(&bytes[..got]);
        }
        text
    }

    fn ends(&mut self) -> Vec<(AttemptId, Outcome)> {
        let end = |t| match t {
            UpstreamEvent::AttemptFinished(attempt, ended) => Some((attempt, ended.outcome)),
            UpstreamEvent::AttemptStarted(_) | UpstreamEvent::OriginDate(_) => None,
            UpstreamEvent::HealthCheckFinished { .. } => panic!("{t:?}"),
        };
        self.events.drain(..).filter_map(end).collect()
    }
}

#[test]
fn what_never_arrived_whole_has_not_run_and_what_did_may_have() {
    let mut rig = Rig::new(true);
    let (written, given_up) = (rig.send("01"), rig.send("02"));
    rig.give_up(given_up);
    assert_eq!(
        rig.ends(),
        [(given_up, Outcome::Cancelled)],
        "once its abort is written"
    );
    rig.conn.up = false;
    let queued = rig.send("03");
    let mut events = Vec::new();
    rig.connection
        .connection_lost(Outcome::ConnectFailed, rig.conn.written, &mut events);
    let outcome = |t: &UpstreamEvent| {
        if let UpstreamEvent::AttemptFinished(attempt, e) = t {
            Some((*attempt, e.outcome))
        } else {
            None
        }
    };
    let ends: Vec<_> = events.iter().filter_map(outcome).collect();
    assert_eq!(
        ends,
        [(queued, Outcome::ConnectFailed), (written, Outcome::Reset)]
    );
}

#[test]
fn nothing_is_written_of_what_is_given_up_or_withdrawn_before_the_connection_is_up() {
    let mut rig = Rig::new(false);
    let (given_up, kept, withdrawn) = (rig.send("01"), rig.send("02"), rig.send("03"));
    // It is over at once, without a word of its connection, and never ran.
    rig.core.client_gone(NOW, given_up.request);
    assert!(rig.core.dispatch(given_up).is_none());
    rig.give_up(given_up);
    rig.conn.up = true;
    rig.pump();
    let text = rig.reached("fetch", 2);
    assert!(
        !text.contains("01-object") && text.contains("02-object") && text.contains("03-object")
    );
    // The list says that the box drains: what still waits for it comes back unsent.
    rig.conn.up = false;
    let waiting = rig.send("04");
    rig.connection
        .withdraw(rig.server, &rig.core, &mut rig.events);
    assert_eq!(rig.ends(), [(waiting, Outcome::Moot)]);
    assert!(![kept, withdrawn].contains(&waiting) && !rig.connection.is_idle());
}

#[test]
fn what_was_given_up_is_over_only_once_its_abort_has_had_its_way() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    rig.connection.abort(NOW, attempt);
    rig.pump();
    assert_eq!(
        rig.ends(),
        [],
        "written, but a further attempt might overtake it"
    );
    assert_eq!(
        rig.connection.next_report_at(&rig.limits),
        Some(NOW + rig.limits.abort_transit_us)
    );
    assert_eq!(rig.live_streams_if_available("01"), None);
    rig.now += rig.limits.abort_transit_us;
    rig.pump();
    assert_eq!(rig.ends(), [(attempt, Outcome::Cancelled)]);
    // A further attempt here comes behind the abort, on the same connection.
    assert!(rig.connection.has_aborted("01") && rig.live_streams_if_available("01").is_some());
    rig.connection.remove_finished(
        NOW + rig.limits.finished_stream_retention_us + 1,
        &rig.limits,
    );
    assert!(!rig.connection.has_aborted("01"));
}

#[test]
fn a_copy_from_before_a_purge_is_never_passed_on() {
    let mut rig = Rig::new(true);
    rig.core
        .record_purge(NOW, Some("01-object".into()), 0, NOW - 2_000);
    let answered = |rig: &mut Rig, made: u64| {
        let (mut answer, fields) = (Vec::new(), format!("how=local,made={made}"));
        resp::write_array(&mut answer, &[b"01", b"200", fields.as_bytes(), b"x"]);
        rig.far.write_all(&answer).unwrap();
        while rig.conn.read(false) != Progress::Moved {}
        rig.connection
            .read(NOW, &mut rig.conn, &rig.core, &mut rig.events)
            .unwrap();
        rig.ends()
    };
    let (old, new) = (NOW / 1000 - 100, NOW / 1000);
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, old), [(attempt, Outcome::Error)]);
    rig.connection.remove_finished(
        NOW + rig.limits.finished_stream_retention_us + 1,
        &rig.limits,
    );
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, new), [(attempt, Outcome::Ok)]);
    // Behind one that was given up, the answer may be that one's: the further attempt is still out.
    let attempt = rig.send("01");
    rig.give_up(attempt);
    rig.ends();
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, old), []);
    assert_eq!(answered(&mut rig, new), [(attempt, Outcome::Ok)]);
}

#[test]
fn a_connection_that_nothing_comes_back_on_takes_no_further_attempts() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    assert_eq!(rig.live_streams_if_available("02"), Some(1));
    // Heard last before the attempt was sent: a short silence is a pause, a long one may be the end.
    for (silent_us, room) in [
        (rig.limits.suspect_timeout_us, Some(0)),
        (rig.limits.suspect_timeout_us + 1, None),
    ] {
        rig.connection = UpstreamConnection::new(rig.server, &rig.limits, NOW - silent_us);
        rig.connection.enqueue(NOW, attempt);
        rig.pump();
        rig.give_up(attempt);
        assert_eq!(rig.live_streams_if_available("02"), room);
    }
}

#[test]
fn requests_of_one_id_never_share_a_connection() {
    for up in [true, false] {
        let mut rig = Rig::new(up);
        rig.send("01");
        assert_eq!(
            (
                rig.live_streams_if_available("01"),
                rig.live_streams_if_available("02")
            ),
            (None, Some(1)),
            "written: {up}"
        );
    }
}

#[test]
fn an_answer_that_stops_short_ends_its_connection_and_all_on_it_may_have_run() {
    let mut rig = Rig::new(true);
    let attempts = [rig.send("01"), rig.send("02")];
    rig.far
        .write_all(b"*4\r\n$2\r\n01\r\n$3\r\n200\r\n$0\r\n\r\n$9000\r\nbut no mo")
        .unwrap();
    while rig.conn.read(false) != Progress::Moved {}
    rig.connection
        .read(NOW, &mut rig.conn, &rig.core, &mut rig.events)
        .unwrap();
    assert_eq!(
        rig.connection.partial_response_deadline(&rig.limits),
        Some(NOW + rig.limits.response_stall_timeout_us)
    );
    rig.now += rig.limits.response_stall_timeout_us - 1;
    assert!(rig.pump(), "the rest may come yet");
    rig.now += 1;
    assert!(
        !rig.pump(),
        "what comes now would be taken for the rest of it"
    );
    rig.connection
        .connection_lost(Outcome::Moot, rig.conn.written, &mut rig.events);
    assert_eq!(rig.ends(), attempts.map(|a| (a, Outcome::Reset)));
}

#[test]
fn a_connection_reset_when_it_has_just_come_up_is_no_sign_of_a_box_that_is_gone() {
    let mut rig = Rig::new(false);
    let queued = rig.send("01");
    rig.connection
        .connection_lost(Outcome::Moot, rig.conn.written, &mut rig.events);
    assert!(
        matches!(&rig.events[..], [UpstreamEvent::AttemptFinished(a, e)] if *a == queued && e.outcome == Outcome::Moot)
    );
}

/// What reached the other side within the bytes that are there by now.
fn drain(rig: &mut Rig) -> String {
    rig.far.set_nonblocking(true).unwrap();
    let (mut text, mut bytes) = (String::new(), vec![0; 1 << 20]);
    while let Ok(got) = rig.far.read(&mut bytes) {
        text += &String::from_utf8_lossy(&bytes[..got]);
    }
    text
}

/// Answers of a box, taken in whole.
fn answered(rig: &mut Rig, answers: &[(&str, &str, &str)]) {
    let mut out = Vec::new();
    for (id, word, fields) in answers {
        resp::write_array(
            &mut out,
            &[id.as_bytes(), word.as_bytes(), fields.as_bytes(), b"x"],
        );
    }
    rig.far.write_all(&out).unwrap();
    while rig.conn.read(false) != Progress::Moved {}
    rig.connection
        .read(rig.now, &mut rig.conn, &rig.core, &mut rig.events)
        .unwrap();
}

/// A peer that takes no more bytes: what has not begun by then is recalled, and what has is followed by its abort.
#[test]
fn behind_a_stalled_peer_an_attempt_is_recalled_unless_its_first_byte_is_written() {
    let mut rig = Rig::new(true);
    rustix::net::sockopt::set_socket_send_buffer_size(rig.conn.socket(), 4096).unwrap();
    let begun = |rig: &Rig, attempt| {
        rig.events
            .iter()
            .any(|t| matches!(t, UpstreamEvent::AttemptStarted(a) if *a == attempt))
    };
    // Attempts until one can't begin.
    let mut sent = Vec::new();
    let waiting = loop {
        let attempt = rig.send(&format!("{:04}", sent.len()));
        if !begun(&rig, attempt) {
            break attempt;
        }
        sent.push(attempt);
        assert!(sent.len() < 100_000, "the peer takes all of it");
    };
    let id = format!("{:04}", sent.len());
    assert!(
        rig.conn.watch().is_some_and(|w| w.write),
        "the loop is to try again"
    );
    let last = *sent.last().unwrap();
    rig.connection.abort(rig.now, waiting);
    rig.connection.abort(rig.now, last);
    // The peer reads on.
    let (mut text, aborted) = (String::new(), format!("{:04}", sent.len() - 1));
    while !text.contains("abort") {
        text += &drain(&mut rig);
        assert!(rig.pump());
    }
    text += &drain(&mut rig);
    assert!(
        !text.contains(&format!("{id}-object")),
        "recalled without a trace"
    );
    assert!(text.contains(&format!("{aborted}-object")));
    assert_eq!(text.matches("abort").count(), 1);
    assert!(text.find(&format!("{aborted}-object")) < text.find("abort"));
}

#[test]
fn aborts_go_ahead_of_attempts_that_have_not_begun() {
    let mut rig = Rig::new(true);
    let first = rig.send("01");
    rig.reached("fetch", 1);
    rig.conn.up = false;
    rig.send("02");
    rig.connection.abort(rig.now, first);
    rig.conn.up = true;
    rig.pump();
    let text = rig.reached("fetch", 1);
    assert!(text.find("abort") < text.find("fetch"), "{text}");
}

/// A box may say a thing twice. The repeat of an answer would end a further attempt of the request that has just begun.
#[test]
fn a_second_answer_ends_no_further_attempt() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    answered(&mut rig, &[("01", "503", "-")]);
    assert_eq!(rig.ends(), [(attempt, Outcome::Full)]);
    assert_eq!(
        rig.live_streams_if_available("01"),
        None,
        "a further attempt goes by another connection"
    );
    assert!(rig.live_streams_if_available("02").is_some() && rig.connection.is_idle());
    answered(&mut rig, &[("01", "503", "-"), ("unknown", "200", "-")]);
    assert_eq!(rig.ends(), []);
    rig.connection.remove_finished(
        rig.now + rig.limits.finished_stream_retention_us + 1,
        &rig.limits,
    );
    assert!(rig.live_streams_if_available("01").is_some());
}

/// The answer to an attempt may cross its abort. A further attempt on the connection is not over by it: another one
/// would make two at once.
#[test]
fn an_answer_that_may_be_the_one_before_is_followed_by_an_abort_before_anything_ends() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    rig.give_up(attempt);
    rig.ends();
    let further = rig.send("01");
    answered(&mut rig, &[("01", "503", "-")]);
    rig.pump();
    assert_eq!(rig.ends(), [], "it may still be out");
    assert_eq!(rig.reached("abort", 2).matches("fetch").count(), 2);
    rig.now += rig.limits.abort_transit_us;
    rig.pump();
    assert_eq!(rig.ends(), [(further, Outcome::Full)]);
    // Where its own answer comes in that time, that is how it ends.
    let attempt = rig.send("02");
    rig.give_up(attempt);
    rig.ends();
    let further = rig.send("02");
    answered(
        &mut rig,
        &[("02", "503", "-"), ("02", "200", "made=1,etag=t1")],
    );
    assert_eq!(rig.ends(), [(further, Outcome::Ok)]);
}

/// Nobody can have read what is not written whole.
#[test]
fn an_answer_ahead_of_its_attempt_ends_the_connection_and_the_attempt_never_ran() {
    let mut rig = Rig::new(true);
    rustix::net::sockopt::set_socket_send_buffer_size(rig.conn.socket(), 4096).unwrap();
    // Of a frame this long the socket takes a part.
    rig.body = 47_000;
    let mut n = 0;
    while rig.conn.output.is_empty() {
        rig.send(&format!("{n:04}"));
        n += 1;
        assert!(n < 500, "no frame is cut");
        while rig.conn.is_waiting_to_write() && rig.conn.output.is_empty() {
            // It could not begin at all: with some room it does.
            drain(&mut rig);
            rig.pump();
        }
    }
    let (id, attempt) = rig.last.last().cloned().unwrap();
    let mut out = Vec::new();
    resp::write_array(&mut out, &[id.as_bytes(), b"200", b"made=1", b"x"]);
    rig.far.set_nonblocking(false).unwrap();
    rig.far.write_all(&out).unwrap();
    while rig.conn.read(false) != Progress::Moved {}
    assert!(rig
        .connection
        .read(rig.now, &mut rig.conn, &rig.core, &mut rig.events)
        .is_err());
    rig.events.clear();
    rig.connection
        .connection_lost(Outcome::Moot, rig.conn.written, &mut rig.events);
    assert!(rig.ends().contains(&(attempt, Outcome::Moot)));
}

/// A client's copy is current only where the box names that copy.
#[test]
fn an_answer_that_names_no_copy_or_another_one_calls_none_current() {
    for (fields, outcome) in [
        ("etag=4be0c1927d55a6f3,made=1", Outcome::Ok),
        ("etag=0000000000000000,made=1", Outcome::Error),
        ("made=1", Outcome::Error),
        ("-", Outcome::Error),
    ] {
        let mut rig = Rig::new(true);
        rig.have = Some("4be0c1927d55a6f3".into());
        let attempt = rig.send("01");
        answered(&mut rig, &[("01", "304", fields)]);
        assert_eq!(rig.ends(), [(attempt, outcome)], "{fields}");
    }
    // And none where the client holds none.
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    answered(&mut rig, &[("01", "304", "etag=4be0c1927d55a6f3")]);
    assert_eq!(rig.ends(), [(attempt, Outcome::Error)]);
}

/// While an attempt waits for its connection a purge may come: the attempt then asks for a copy from after it.
#[test]
fn an_attempt_that_waited_asks_for_the_age_that_will_do_when_it_begins() {
    let mut rig = Rig::new(false);
    rig.send("01");
    rig.core
        .record_purge(NOW + 1_000, Some("01-object".into()), 0, NOW);
    rig.now = NOW + 200_000;
    rig.conn.up = true;
    rig.pump();
    assert!(rig.reached("fetch", 1).contains("maxage=200"));
}

#[test]
fn a_connection_that_rested_for_nearly_as_long_as_its_box_lets_it_is_not_used_again() {
    let mut rig = Rig::new(true);
    rig.limits.cache_idle_timeout_us = 5_000_000;
    let attempt = rig.send("01");
    assert!(
        !rig.connection.is_stale(NOW + 60_000_000, &rig.limits),
        "it is in use"
    );
    answered(&mut rig, &[("01", "200", "made=1,etag=t1")]);
    assert_eq!(rig.ends(), [(attempt, Outcome::Ok)]);
    assert!(!rig.connection.is_stale(NOW + 4_999_999, &rig.limits));
    assert!(rig.connection.is_stale(NOW + 5_000_000, &rig.limits));
}

/// An answer may trickle for good. Nobody waits longer for one than the longest deadline, and what is sent meanwhile
/// rather takes another connection.
#[test]
fn an_answer_that_never_ends_ends_its_connection_though_something_always_comes() {
    let mut rig = Rig::new(true);
    rig.send("01");
    rig.far
        .write_all(b"*4\r\n$2\r\n01\r\n$3\r\n200\r\n$0\r\n\r\n$400000\r\n")
        .unwrap();
    let step = rig.limits.response_stall_timeout_us - 1;
    let (start, mut steps) = (rig.now, 0);
    loop {
        while rig.conn.read(false) != Progress::Moved {}
        rig.connection
            .read(rig.now, &mut rig.conn, &rig.core, &mut rig.events)
            .unwrap();
        if !rig.pump() {
            break;
        }
        assert_eq!(
            rig.connection.is_blocked_by_response(rig.now, &rig.limits),
            steps > 1,
            "{steps}"
        );
        rig.now += step;
        steps += 1;
        assert!(
            rig.now <= start + rig.limits.response_timeout_us + step,
            "it goes on for good"
        );
        rig.far.write_all(b".").unwrap();
    }
    assert!(rig.now >= start + rig.limits.response_timeout_us && steps > 2);
}

/// One that is whole in time ends nothing, and the next one has its own time.
#[test]
fn answers_that_follow_each_other_without_a_pause_each_have_their_own_time() {
    let mut rig = Rig::new(true);
    for n in 0..40 {
        let id = format!("{n:02}");
        rig.send(&id);
        let mut out = Vec::new();
        resp::write_array(&mut out, &[id.as_bytes(), b"200", b"made=1,etag=t1", b"x"]);
        // The rest of each comes with the beginning of the next.
        let cut = out.len() / 2;
        for part in [&out[..cut], &out[cut..]] {
            rig.far.write_all(part).unwrap();
            while rig.conn.read(false) != Progress::Moved {}
            rig.connection
                .read(rig.now, &mut rig.conn, &rig.core, &mut rig.events)
                .unwrap();
            assert!(rig.pump());
            rig.now += rig.limits.response_stall_timeout_us - 1;
        }
    }
    assert_eq!(
        rig.ends().iter().filter(|end| end.1 == Outcome::Ok).count(),
        40
    );
}

/// What is remembered has an age: one deadline for each connection, whatever was answered or given up on it.
#[test]
fn what_is_over_on_a_connection_is_forgotten_by_a_deadline_of_its_own() {
    let mut rig = Rig::new(true);
    assert_eq!(rig.connection.next_removal_at(NOW, &rig.limits), None);
    rig.send("01");
    answered(&mut rig, &[("01", "503", "-")]);
    let at = rig
        .connection
        .next_removal_at(NOW, &rig.limits)
        .expect("a deadline");
    assert_eq!(at, NOW + rig.limits.finished_stream_retention_us + 1);
    rig.now += 1_000_000;
    rig.send("02");
    answered(&mut rig, &[("02", "503", "-")]);
    assert_eq!(
        rig.connection.next_removal_at(rig.now, &rig.limits),
        None,
        "it is set already"
    );
    rig.connection.remove_finished(at, &rig.limits);
    assert!(
        rig.live_streams_if_available("01").is_some()
            && rig.live_streams_if_available("02").is_none()
    );
    let then = rig
        .connection
        .next_removal_at(at, &rig.limits)
        .expect("the next one's");
    assert_eq!(then, at + 1_000_000);
    rig.connection.remove_finished(then, &rig.limits);
    assert!(rig.live_streams_if_available("02").is_some());
    assert_eq!(rig.connection.next_removal_at(then, &rig.limits), None);
}
