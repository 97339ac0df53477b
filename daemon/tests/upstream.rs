//! Links to boxes: what becomes of attempts when connections end, and of ids that were given up.

use linnetknot::{ListMode, Outcome, Server, ServerId, State};
use linnetknot_daemon::core::{server_id, Asked, AttemptId, Client, Command, Core, Entry};
use linnetknot_daemon::limits::Limits;
use linnetknot_daemon::net::{Conn, Key, Progress};
use linnetknot_daemon::upstream::{Link, Told};
use linnetknot_daemon::wire::resp;
use linnetknot_rehearse::settings;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const NOW: u64 = 1_000_000_000;

struct Rig {
    core: Core,
    link: Link,
    conn: Conn,
    far: TcpStream,
    limits: Limits,
    server: ServerId,
    told: Vec<Told>,
    now: u64,
    last: Vec<(String, AttemptId)>,
}

impl Rig {
    fn new(up: bool) -> Rig {
        let limits = Limits::for_machine(1024, 192);
        let settings = linnetknot_settings::settings(settings().as_object().unwrap()).unwrap();
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
        let entry = Entry { server, uid: "a".into(), endpoint: ([127, 0, 0, 1], 9).into() };
        core.list(NOW, ListMode::Full, vec![entry]);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (far, server) = (listener.accept().unwrap().0, server_id("a"));
        let conn = Conn::new(near, up, limits.input_ring, limits.output_ring).unwrap();
        Rig {
            core,
            link: Link::new(server, &limits, NOW),
            conn,
            far,
            limits,
            server,
            told: Vec::new(),
            now: NOW,
            last: Vec::new(),
        }
    }

    fn send(&mut self, id: &str) -> AttemptId {
        let asked = Asked {
            id: id.into(),
            class: "photo".into(),
            object: format!("{id}-object"),
            size_kb: 40.0,
            remaining_us: 2_000_000,
            ..Asked::default()
        };
        // The core takes no two of one id: the one before is over by now.
        for (_, attempt) in self.last.iter().filter(|(last, _)| last == id) {
            self.core.leave(self.now, attempt.ticket);
            self.core.ended(self.now, *attempt, Outcome::Cancelled.into());
        }
        self.core.commands();
        self.core.ask(self.now, Client { connection: Key::from_u64(0), stream: 0 }, asked).unwrap();
        let sent = |c: Command| if let Command::Send(attempt) = c { Some(attempt) } else { None };
        let attempt = self.core.commands().into_iter().find_map(sent).unwrap();
        self.last.push((id.to_owned(), attempt));
        self.link.send(self.now, attempt);
        self.pump();
        attempt
    }

    fn room_for(&self, id: &str) -> Option<usize> {
        self.link.room_for(id, &self.core, &self.limits)
    }

    fn pump(&mut self) -> bool {
        self.link.pump(self.now, &mut self.conn, &self.core, &self.limits, &mut self.told)
    }

    fn give_up(&mut self, attempt: AttemptId) {
        self.link.give_up(self.now, attempt);
        self.pump();
        self.now += self.limits.give_up_us;
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
            Told::Ended(attempt, ended) => Some((attempt, ended.outcome)),
            Told::Begun(_) => None,
            Told::Probed(..) => panic!("{t:?}"),
        };
        self.told.drain(..).filter_map(end).collect()
    }
}

#[test]
fn what_never_arrived_whole_has_not_run_and_what_did_may_have() {
    let mut rig = Rig::new(true);
    let (written, given_up) = (rig.send("01"), rig.send("02"));
    rig.give_up(given_up);
    assert_eq!(rig.ends(), [(given_up, Outcome::Cancelled)], "once its abort is written");
    rig.conn.up = false;
    let queued = rig.send("03");
    let mut told = Vec::new();
    rig.link.broken(Outcome::ConnectFailed, rig.conn.written, &mut told);
    let outcome = |t: &Told| if let Told::Ended(attempt, e) = t { Some((*attempt, e.outcome)) } else { None };
    let ends: Vec<_> = told.iter().filter_map(outcome).collect();
    assert_eq!(ends, [(queued, Outcome::ConnectFailed), (written, Outcome::Reset)]);
}

#[test]
fn nothing_is_written_of_what_is_given_up_or_withdrawn_before_the_connection_is_up() {
    let mut rig = Rig::new(false);
    let (given_up, kept, withdrawn) = (rig.send("01"), rig.send("02"), rig.send("03"));
    // It is over at once, without a word of its connection, and never ran.
    rig.core.leave(NOW, given_up.ticket);
    assert!(rig.core.sending(given_up).is_none());
    rig.give_up(given_up);
    rig.conn.up = true;
    rig.pump();
    let text = rig.reached("fetch", 2);
    assert!(!text.contains("01-object") && text.contains("02-object") && text.contains("03-object"));
    // The list says that the box drains: what still waits for it comes back unsent.
    rig.conn.up = false;
    let waiting = rig.send("04");
    rig.link.withdraw(rig.server, &rig.core, &mut rig.told);
    assert_eq!(rig.ends(), [(waiting, Outcome::Moot)]);
    assert!(![kept, withdrawn].contains(&waiting) && !rig.link.is_idle());
}

#[test]
fn what_was_given_up_is_over_only_once_its_abort_has_had_its_way() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    rig.link.give_up(NOW, attempt);
    rig.pump();
    assert_eq!(rig.ends(), [], "written, but a further attempt might overtake it");
    assert_eq!(rig.link.report_at(&rig.limits), Some(NOW + rig.limits.give_up_us));
    assert_eq!(rig.room_for("01"), None);
    rig.now += rig.limits.give_up_us;
    rig.pump();
    assert_eq!(rig.ends(), [(attempt, Outcome::Cancelled)]);
    // A further attempt here comes behind the abort, on the same connection.
    assert!(rig.link.gave_up("01") && rig.room_for("01").is_some());
    rig.link.prune(NOW + rig.limits.forget_us + 1, &rig.limits);
    assert!(!rig.link.gave_up("01"));
}

#[test]
fn a_copy_from_before_a_purge_is_never_passed_on() {
    let mut rig = Rig::new(true);
    rig.core.purged(NOW, Some("01-object".into()), 0, NOW - 2_000);
    let answered = |rig: &mut Rig, made: u64| {
        let (mut answer, fields) = (Vec::new(), format!("how=local,made={made}"));
        resp::write_array(&mut answer, &[b"01", b"200", fields.as_bytes(), b"x"]);
        rig.far.write_all(&answer).unwrap();
        while rig.conn.read(false) != Progress::Moved {}
        rig.link.read(NOW, &mut rig.conn, &rig.core, &mut rig.told).unwrap();
        rig.ends()
    };
    let (old, new) = (NOW / 1000 - 100, NOW / 1000);
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, old), [(attempt, Outcome::Error)]);
    rig.link.prune(NOW + rig.limits.forget_us + 1, &rig.limits);
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
    assert_eq!(rig.room_for("02"), Some(1));
    // Heard last before the attempt was sent: a short silence is a pause, a long one may be the end.
    for (silent_us, room) in [(rig.limits.suspect_us, Some(0)), (rig.limits.suspect_us + 1, None)] {
        rig.link = Link::new(rig.server, &rig.limits, NOW - silent_us);
        rig.link.send(NOW, attempt);
        rig.pump();
        rig.give_up(attempt);
        assert_eq!(rig.room_for("02"), room);
    }
}

#[test]
fn requests_of_one_id_never_share_a_connection() {
    for up in [true, false] {
        let mut rig = Rig::new(up);
        rig.send("01");
        assert_eq!((rig.room_for("01"), rig.room_for("02")), (None, Some(1)), "written: {up}");
    }
}

#[test]
fn an_answer_that_stops_short_ends_its_connection_and_all_on_it_may_have_run() {
    let mut rig = Rig::new(true);
    let attempts = [rig.send("01"), rig.send("02")];
    rig.far.write_all(b"*4\r\n$2\r\n01\r\n$3\r\n200\r\n$0\r\n\r\n$9000\r\nbut no mo").unwrap();
    while rig.conn.read(false) != Progress::Moved {}
    rig.link.read(NOW, &mut rig.conn, &rig.core, &mut rig.told).unwrap();
    assert_eq!(rig.link.half_at(&rig.limits), Some(NOW + rig.limits.half_answer_us));
    rig.now += rig.limits.half_answer_us - 1;
    assert!(rig.pump(), "the rest may come yet");
    rig.now += 1;
    assert!(!rig.pump(), "what comes now would be taken for the rest of it");
    rig.link.broken(Outcome::Moot, rig.conn.written, &mut rig.told);
    assert_eq!(rig.ends(), attempts.map(|a| (a, Outcome::Reset)));
}

#[test]
fn a_connection_reset_when_it_has_just_come_up_is_no_sign_of_a_box_that_is_gone() {
    let mut rig = Rig::new(false);
    let queued = rig.send("01");
    rig.link.broken(Outcome::Moot, rig.conn.written, &mut rig.told);
    assert!(matches!(&rig.told[..], [Told::Ended(a, e)] if *a == queued && e.outcome == Outcome::Moot));
}
