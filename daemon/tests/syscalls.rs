//! System calls that fail in the ways that the manual pages document: what each errno is taken for, and what becomes of
//! requests meanwhile.

mod armed;

use armed::{ask, Armed};
use linnetknot_daemon::net::injection::{arm, disarm_all, errno_named, Plan};
use linnetknot_daemon::net::spells::Spells;
use linnetknot_daemon::net::{
    classify, connect, Call, Conn, Failure, FailureKind, Interest, Listener, Poll, Progress,
};
use linnetknot_rehearse::clients::WebServer;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use Call::{
    Accept, Connect, ConnectResult, EpollControl, EpollWait, ReceiveDatagram, SendDatagram,
    SetOption, Shutdown, Socket,
};
use FailureKind::{Broken, NoDescriptors, ProgramFault, Refused, RetryLater, RetryNow, WouldBlock};

/// The errnos of the manual pages, by call and by what they are to be taken for.
const DOCUMENTED: &[(&[Call], FailureKind, &str)] = &[
    (&[Accept], WouldBlock, "EAGAIN"),
    (&[Accept], RetryNow, "EINTR"),
    (&[Accept], NoDescriptors, "EMFILE ENFILE"),
    (&[Accept], RetryLater, "ENOBUFS ENOMEM ENOSR"),
    (&[Accept], ProgramFault, "EBADF EFAULT EINVAL ENOTSOCK"),
    (
        &[Accept],
        Broken,
        "ECONNABORTED EPROTO EPERM ENETDOWN ENOPROTOOPT EHOSTDOWN ENONET EHOSTUNREACH EOPNOTSUPP \
         ENETUNREACH ESOCKTNOSUPPORT EPROTONOSUPPORT ETIMEDOUT",
    ),
    (&[Socket], NoDescriptors, "EMFILE ENFILE"),
    (&[Socket], RetryLater, "ENOBUFS ENOMEM"),
    (&[Socket], ProgramFault, "EACCES EAFNOSUPPORT EINVAL EPROTONOSUPPORT"),
    (&[Connect], WouldBlock, "EINPROGRESS EINTR EALREADY EISCONN"),
    (&[Connect, ConnectResult], Refused, "ECONNREFUSED"),
    (
        &[Connect, ConnectResult],
        RetryLater,
        "EADDRNOTAVAIL EADDRINUSE EAGAIN ENETUNREACH ENETDOWN ENOBUFS ENOMEM EACCES EPERM",
    ),
    (&[Connect, ConnectResult], Broken, "ETIMEDOUT EHOSTUNREACH ECONNRESET"),
    (
        &[Connect],
        ProgramFault,
        "EAFNOSUPPORT EBADF EFAULT EINVAL ENOTSOCK EPROTOTYPE",
    ),
    (&[Call::Read, Call::Write], WouldBlock, "EAGAIN"),
    (&[Call::Read, Call::Write], RetryNow, "EINTR"),
    (&[Call::Read, Call::Write], RetryLater, "ENOBUFS ENOMEM"),
    (
        &[Call::Read, Call::Write],
        Broken,
        "ECONNRESET ECONNREFUSED ENOTCONN EPIPE ETIMEDOUT EHOSTUNREACH ENETUNREACH ENETDOWN EIO",
    ),
    (
        &[Call::Read, Call::Write],
        ProgramFault,
        "EBADF EFAULT EINVAL ENOTSOCK EISDIR EDESTADDRREQ EOPNOTSUPP EMSGSIZE",
    ),
    (&[ReceiveDatagram, SendDatagram], WouldBlock, "EAGAIN"),
    (&[ReceiveDatagram, SendDatagram], RetryNow, "EINTR"),
    (&[ReceiveDatagram, SendDatagram], RetryLater, "ENOBUFS ENOMEM"),
    (
        &[ReceiveDatagram, SendDatagram],
        Broken,
        "ECONNREFUSED ECONNRESET EHOSTUNREACH ENETUNREACH ENETDOWN EACCES EPERM ENOTCONN EPIPE ETIMEDOUT",
    ),
    (
        &[ReceiveDatagram, SendDatagram],
        ProgramFault,
        "EBADF EFAULT EINVAL ENOTSOCK EMSGSIZE EDESTADDRREQ EISCONN EOPNOTSUPP EAFNOSUPPORT",
    ),
    (&[Shutdown], Broken, "ENOTCONN"),
    (&[Shutdown], ProgramFault, "EBADF EINVAL ENOTSOCK"),
    (&[EpollControl], RetryLater, "ENOMEM ENOSPC"),
    (
        &[EpollControl],
        ProgramFault,
        "EBADF EEXIST EINVAL ELOOP ENOENT EPERM",
    ),
    (&[EpollControl], NoDescriptors, "EMFILE ENFILE"),
    (&[EpollWait], RetryNow, "EINTR"),
    (&[EpollWait], ProgramFault, "EBADF EFAULT EINVAL"),
    (&[SetOption], RetryLater, "ENOMEM ENOBUFS"),
    (
        &[SetOption],
        ProgramFault,
        "EBADF EFAULT EINVAL ENOPROTOOPT ENOTSOCK EDOM EISCONN",
    ),
];

#[test]
fn each_documented_errno_is_taken_for_what_it_is() {
    for (calls, kind, names) in DOCUMENTED {
        for (call, name) in calls
            .iter()
            .flat_map(|call| names.split_whitespace().map(move |name| (call, name)))
        {
            let errno = errno_named(name).unwrap();
            assert_eq!(classify(*call, errno), *kind, "{call:?} {name}");
        }
    }
    for call in Call::ALL {
        let is_listed = DOCUMENTED.iter().any(|(calls, ..)| calls.contains(&call));
        assert!(is_listed, "{call:?} has no row");
    }
}

/// The names of the errnos of a call of one kind.
fn documented(call: Call, kind: FailureKind) -> impl Iterator<Item = &'static str> {
    let rows = DOCUMENTED
        .iter()
        .filter(move |(calls, of, _)| calls.contains(&call) && *of == kind);
    rows.flat_map(|(.., names)| names.split_whitespace())
}

fn once(name: &str) -> Plan {
    Plan::once(errno_named(name).unwrap())
}

/// A listener in an epoll set, and a connection that waits at it.
fn waiting() -> (Poll, Listener, TcpStream) {
    let poll = Poll::new(4).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let listener = Listener::watch(listener, 7, &poll).unwrap();
    (poll, listener, far)
}

#[test]
fn an_error_of_a_connection_that_was_to_come_costs_no_other() {
    for kind in [Broken, RetryNow] {
        for name in documented(Accept, kind) {
            let (_poll, listener, _far) = waiting();
            arm(Accept, once(name));
            assert!(matches!(listener.accept(), Ok(Some(_))), "{name}");
            disarm_all();
        }
    }
    for kind in [RetryLater, NoDescriptors, ProgramFault] {
        for name in documented(Accept, kind) {
            let (_poll, listener, _far) = waiting();
            arm(Accept, once(name));
            assert_eq!(
                listener.accept().err().map(|f| f.kind),
                Some(kind),
                "{name}"
            );
            assert!(matches!(listener.accept(), Ok(Some(_))), "{name} is over");
            disarm_all();
        }
    }
    // One that goes on for ever lets the others of the loop have their turn.
    let (_poll, listener, _far) = waiting();
    arm(Accept, Plan::always(&[errno_named("EPROTO").unwrap()]));
    assert!(matches!(listener.accept(), Ok(None)));
    disarm_all();
}

#[test]
fn a_listener_that_cannot_be_watched_again_is_resumed_later() {
    let (poll, mut listener, _far) = waiting();
    listener.pause(&poll);
    for name in ["ENOMEM", "ENOSPC"] {
        arm(EpollControl, once(name));
        assert!(!listener.resume(&poll), "{name}");
    }
    assert!(listener.resume(&poll));
    disarm_all();
}

/// Waits until a connection that was begun has come out.
fn finish(socket: TcpStream) -> (Conn, Result<(), Failure>) {
    let mut conn = Conn::new(socket, false, 64, 64).unwrap();
    let mut poll = Poll::new(4).unwrap();
    poll.add(conn.socket(), 1, conn.watched()).unwrap();
    let mut ready = Vec::new();
    while ready.is_empty() {
        poll.wait(1_000_000, &mut ready).unwrap();
    }
    let result = conn.finish_connect();
    (conn, result)
}

#[test]
fn an_interrupted_connect_goes_on_in_the_background() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    for name in ["EINTR", "EINPROGRESS"] {
        arm(Connect, once(name));
        let (conn, result) = finish(connect(to).expect(name));
        assert_eq!((result, conn.up), (Ok(()), true), "{name}");
    }
    disarm_all();
}

#[test]
fn a_failure_of_this_machine_is_told_from_one_of_the_other_side() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    for call in [Socket, Connect] {
        for kind in [RetryLater, NoDescriptors, ProgramFault, Refused, Broken] {
            for name in documented(call, kind) {
                arm(call, once(name));
                let failure = connect(to).expect_err(name);
                let is_local = !matches!(kind, Refused | Broken);
                assert_eq!(
                    (failure.kind, failure.is_local()),
                    (kind, is_local),
                    "{call:?} {name}"
                );
            }
        }
    }
    for kind in [RetryLater, Refused, Broken] {
        for name in documented(ConnectResult, kind) {
            arm(ConnectResult, once(name));
            let (conn, result) = finish(connect(to).unwrap());
            assert_eq!(result.map_err(|f| f.kind), Err(kind), "{name}");
            assert_eq!(
                (conn.up, conn.connect_failure().map(|f| f.kind)),
                (false, Some(kind))
            );
        }
    }
    disarm_all();
}

#[test]
fn reads_and_writes_go_on_after_what_passes_and_end_with_what_breaks() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pair = || {
        let far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let conn = Conn::new(listener.accept().unwrap().0, true, 64, 64).unwrap();
        (far, conn)
    };
    for kind in [WouldBlock, RetryLater, RetryNow, Broken, ProgramFault] {
        let ends = matches!(kind, Broken | ProgramFault);
        let expected = match kind {
            RetryNow => Progress::Moved,
            WouldBlock | RetryLater => Progress::Blocked,
            _ => Progress::Broken,
        };
        for name in documented(Call::Write, kind) {
            let (mut far, mut conn) = pair();
            arm(Call::Write, once(name));
            conn.output.push(b"answer");
            assert_eq!(
                (conn.write(), conn.is_broken()),
                (expected, ends),
                "write {name}"
            );
            let frame_left = !conn.output.is_empty();
            assert_eq!(frame_left, expected != Progress::Moved, "{name}");
            if !ends {
                conn.write();
                let mut got = [0; 6];
                far.read_exact(&mut got).unwrap();
                assert_eq!(&got, b"answer", "{name}");
                arm(Call::Write, once(name));
                assert_eq!(conn.begin(b"frame"), expected, "{name}");
                assert_eq!(conn.is_stuck(), expected == Progress::Blocked, "{name}");
            }
        }
        for name in documented(Call::Read, kind) {
            let (mut far, mut conn) = pair();
            far.write_all(b"question").unwrap();
            let mut poll = Poll::new(4).unwrap();
            poll.add(conn.socket(), 1, Interest::READ).unwrap();
            let mut ready = Vec::new();
            while ready.is_empty() {
                poll.wait(1_000_000, &mut ready).unwrap();
            }
            arm(Call::Read, once(name));
            assert_eq!(
                (conn.read(false), conn.is_broken()),
                (expected, ends),
                "read {name}"
            );
            if !ends {
                conn.read(false);
                assert_eq!(conn.input.front(), b"question", "{name}");
            }
        }
    }
    disarm_all();
}

#[test]
fn an_interrupted_wait_has_seen_nothing_and_a_faulty_set_is_told() {
    let mut poll = Poll::new(4).unwrap();
    let mut ready = Vec::new();
    arm(EpollWait, once("EINTR"));
    assert_eq!(poll.wait(0, &mut ready), Ok(()));
    assert!(ready.is_empty());
    arm(EpollWait, once("EBADF"));
    assert_eq!(
        poll.wait(0, &mut ready).err().map(|f| f.kind),
        Some(ProgramFault)
    );
    disarm_all();
}

#[test]
fn a_spell_is_told_at_its_begin_and_counted_at_its_end() {
    let (mut spells, begun) = (Spells::default(), Instant::now());
    let after = |ms| begun + Duration::from_millis(ms);
    let begins: Vec<bool> = (0..100)
        .map(|n| spells.note(after(n * 30), Accept))
        .collect();
    assert!(begins[0] && !begins[1..].contains(&true));
    assert_eq!(spells.end_quiet(after(4_000)), [], "it goes on");
    let ended = spells.end_quiet(after(4_970));
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (
            ended[0].call,
            ended[0].failures,
            ended[0].lasted.as_millis()
        ),
        (Accept, 100, 2_970)
    );
    assert!(
        spells.note(after(5_000), Accept),
        "the next one is told anew"
    );
}

/// Clients that ask on new connections, one after the other: each is to be answered.
fn serves_new_clients(armed: &Armed, clients: u64) {
    for number in 0..clients {
        let answer = ask(&mut armed.web(), number);
        assert_eq!(answer.map(|a| a.status), Some(200), "client {number}");
    }
}

#[test]
fn a_client_that_cannot_be_watched_at_once_is_answered() {
    serves_new_clients(
        &Armed::start("sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(2)"),
        40,
    );
}

#[test]
fn clients_are_served_while_no_connection_can_be_watched_at_all() {
    let armed = Armed::start("sys-epoll-ctl=errno(ENOSPC|ENOMEM):after(40)");
    serves_new_clients(&armed, 40);
    // One that has gone is noticed too, and what it asked is not answered by an attempt that begins later.
    let mut web = armed.web();
    assert_eq!(ask(&mut web, 1).map(|a| a.status), Some(200));
    assert_eq!(ask(&mut web, 2).map(|a| a.status), Some(200));
}

/// Clients that rest, and one that comes while `accept` fails.
fn resting_clients_stay(errnos: &str) {
    let points = format!("sys-accept=errno({errnos}):after(40):every(2):times(12)");
    let armed = Armed::start(&points);
    let mut resting: Vec<WebServer> = (0..4).map(|_| armed.web()).collect();
    for (number, web) in (0..).zip(&mut resting) {
        assert_eq!(ask(web, number).map(|a| a.status), Some(200));
    }
    // Those that came a moment ago are let be in any case.
    sleep(Duration::from_millis(400));
    serves_new_clients(&armed, 40);
    for (number, web) in (0..).zip(&mut resting) {
        let answer = ask(web, number);
        assert_eq!(
            answer.map(|a| a.status),
            Some(200),
            "{errnos}: client {number} was closed"
        );
    }
}

#[test]
fn no_resting_client_is_closed_for_errors_of_connections_to_come() {
    resting_clients_stay("EPROTO|ENETDOWN|EHOSTUNREACH|ENETUNREACH|EOPNOTSUPP|ETIMEDOUT|EPERM");
}

#[test]
fn no_resting_client_is_closed_for_memory() {
    resting_clients_stay("ENOBUFS|ENOMEM");
}

/// A cache to which no connection can be begun for a while, by a fault of this machine, is tried again in time.
fn waits_for_this_machine(points: &str) {
    let armed = Armed::start(points);
    let begun = Instant::now();
    let mut web = armed.web();
    let answer = ask(&mut web, 1);
    assert_eq!(answer.map(|a| a.status), Some(200), "{points}");
    assert!(
        begun.elapsed() >= Duration::from_millis(100),
        "{points}: nothing failed"
    );
    let fetched = armed.cache.arrivals();
    assert_eq!(
        fetched.len(),
        1,
        "{points}: the cache itself, and once: {fetched:?}"
    );
}

#[test]
fn a_failure_of_this_machine_to_connect_spends_no_attempt_and_ejects_no_cache() {
    // The first connection is the bus's.
    for points in [
        "sys-connect=errno(EADDRNOTAVAIL|ENETUNREACH|ENOBUFS|ENETDOWN|EAGAIN|EPERM):after(1):times(12)",
        "sys-socket=errno(ENFILE|EMFILE|ENOBUFS|ENOMEM):after(1):times(12)",
        "sys-connect-result=errno(ENETUNREACH|EADDRNOTAVAIL|ENOBUFS):after(1):times(12)",
    ] {
        waits_for_this_machine(points);
    }
}

#[test]
fn transfers_that_fail_for_a_moment_lose_no_answer() {
    let points = "sys-read=errno(ENOMEM|ENOBUFS|EINTR|EAGAIN):every(3);\
                  sys-write=errno(ENOBUFS|ENOMEM|EINTR|EAGAIN):every(3);\
                  sys-setsockopt=errno(ENOBUFS|ENOMEM|ENOPROTOOPT):every(2)";
    let armed = Armed::start(points);
    serves_new_clients(&armed, 30);
    let mut web = armed.web();
    for number in 0..30 {
        assert_eq!(ask(&mut web, number).map(|a| a.status), Some(200));
    }
}
