//! System calls that fail in the ways that the manual pages document: what each errno is taken for, and what sockets do
//! then.

use linnetknot_daemon::net::failure_log::{self, FailureLog};
use linnetknot_daemon::net::injection::{arm, disarm_all, errno_named, Plan};
use linnetknot_daemon::net::{
    classify, connect, Call, Failure, FailureKind, Interest, Listener, Poll, Progress,
    TcpConnection,
};
use std::cell::RefCell;
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
fn finish(socket: TcpStream) -> (TcpConnection, Result<(), Failure>) {
    let mut conn = TcpConnection::new(socket, false, 64, 64).unwrap();
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
        let conn = TcpConnection::new(listener.accept().unwrap().0, true, 64, 64).unwrap();
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
                assert_eq!(
                    conn.is_waiting_to_write(),
                    expected == Progress::Blocked,
                    "{name}"
                );
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
    let (mut failure_log, begun) = (FailureLog::default(), Instant::now());
    let after = |ms| begun + Duration::from_millis(ms);
    let begins: Vec<bool> = (0..100)
        .map(|n| failure_log.record(after(n * 30), Accept))
        .collect();
    assert!(begins[0] && !begins[1..].contains(&true));
    assert_eq!(failure_log.take_ended(after(4_000)), [], "it goes on");
    let ended = failure_log.take_ended(after(4_970));
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
        failure_log.record(after(5_000), Accept),
        "the next one is told anew"
    );
}

/// Counts the lines that this thread logs of system calls.
struct LineCounter;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

impl log::Log for LineCounter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target().ends_with("failure_log") {
            LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
        }
    }

    fn flush(&self) {}
}

#[test]
fn a_thousand_failures_are_two_lines_in_the_log() {
    log::set_logger(&LineCounter).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let (_poll, listener, _far) = waiting();
    arm(Accept, Plan::always(&[errno_named("ENOBUFS").unwrap()]));
    for _ in 0..1_000 {
        assert!(listener.accept().is_err());
        failure_log::log_ended();
    }
    disarm_all();
    assert_eq!(LINES.with_borrow(Vec::len), 1, "its begin");
    sleep(Duration::from_millis(2_100));
    failure_log::log_ended();
    failure_log::log_all();
    assert_eq!(LINES.with_borrow(Vec::len), 2, "and its end");
}
