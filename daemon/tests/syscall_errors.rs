//! Tests of the classification of the errnos that the manual pages document, and of sockets whose calls fail with them.

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

/// The documented errnos of each call, with their expected kind.
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
fn each_documented_errno_has_the_expected_kind() {
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
        assert!(is_listed, "{call:?} has no documented errno");
    }
}

/// Names of the documented errnos of a call that have this kind.
fn documented_errnos(call: Call, kind: FailureKind) -> impl Iterator<Item = &'static str> {
    let rows = DOCUMENTED
        .iter()
        .filter(move |(calls, row_kind, _)| calls.contains(&call) && *row_kind == kind);
    rows.flat_map(|(.., names)| names.split_whitespace())
}

fn fail_once(name: &str) -> Plan {
    Plan::once(errno_named(name).unwrap())
}

/// Returns a listener registered with epoll, and a client whose connection is pending there.
fn pending_connection() -> (Poll, Listener, TcpStream) {
    let poll = Poll::new(4).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let listener = Listener::watch(listener, 7, &poll).unwrap();
    (poll, listener, client)
}

#[test]
fn an_accept_error_of_one_connection_does_not_affect_the_next() {
    for kind in [Broken, RetryNow] {
        for name in documented_errnos(Accept, kind) {
            let (_poll, listener, _client) = pending_connection();
            arm(Accept, fail_once(name));
            assert!(matches!(listener.accept(), Ok(Some(_))), "{name}");
            disarm_all();
        }
    }
    for kind in [RetryLater, NoDescriptors, ProgramFault] {
        for name in documented_errnos(Accept, kind) {
            let (_poll, listener, _client) = pending_connection();
            arm(Accept, fail_once(name));
            assert_eq!(
                listener.accept().err().map(|f| f.kind),
                Some(kind),
                "{name}"
            );
            assert!(
                matches!(listener.accept(), Ok(Some(_))),
                "{name}: the next call succeeds"
            );
            disarm_all();
        }
    }
    // If `accept` keeps failing, the event loop must not retry it endlessly.
    let (_poll, listener, _client) = pending_connection();
    arm(Accept, Plan::always(&[errno_named("EPROTO").unwrap()]));
    assert!(matches!(listener.accept(), Ok(None)));
    disarm_all();
}

#[test]
fn a_listener_whose_epoll_change_fails_can_be_resumed_later() {
    let (poll, mut listener, _client) = pending_connection();
    listener.pause(&poll);
    for name in ["ENOMEM", "ENOSPC"] {
        arm(EpollControl, fail_once(name));
        assert!(!listener.resume(&poll), "{name}");
    }
    assert!(listener.resume(&poll));
    disarm_all();
}

/// Waits until a connect has completed, and returns its result.
fn wait_for_connect(socket: TcpStream) -> (TcpConnection, Result<(), Failure>) {
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
fn an_interrupted_connect_continues_in_the_background() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    for name in ["EINTR", "EINPROGRESS"] {
        arm(Connect, fail_once(name));
        let (conn, result) = wait_for_connect(connect(address).expect(name));
        assert_eq!((result, conn.up), (Ok(()), true), "{name}");
    }
    disarm_all();
}

#[test]
fn local_connect_failures_are_distinguished_from_remote_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    for call in [Socket, Connect] {
        for kind in [RetryLater, NoDescriptors, ProgramFault, Refused, Broken] {
            for name in documented_errnos(call, kind) {
                arm(call, fail_once(name));
                let failure = connect(address).expect_err(name);
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
        for name in documented_errnos(ConnectResult, kind) {
            arm(ConnectResult, fail_once(name));
            let (conn, result) = wait_for_connect(connect(address).unwrap());
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
fn reads_and_writes_continue_after_transient_errors_and_stop_after_fatal_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected_pair = || {
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let conn = TcpConnection::new(listener.accept().unwrap().0, true, 64, 64).unwrap();
        (client, conn)
    };
    for kind in [WouldBlock, RetryLater, RetryNow, Broken, ProgramFault] {
        let is_final = matches!(kind, Broken | ProgramFault);
        let expected = match kind {
            RetryNow => Progress::Moved,
            WouldBlock | RetryLater => Progress::Blocked,
            _ => Progress::Broken,
        };
        for name in documented_errnos(Call::Write, kind) {
            let (mut client, mut conn) = connected_pair();
            arm(Call::Write, fail_once(name));
            conn.output.push(b"answer");
            assert_eq!(
                (conn.write(), conn.is_broken()),
                (expected, is_final),
                "write {name}"
            );
            let frame_left = !conn.output.is_empty();
            assert_eq!(frame_left, expected != Progress::Moved, "{name}");
            if !is_final {
                conn.write();
                let mut got = [0; 6];
                client.read_exact(&mut got).unwrap();
                assert_eq!(&got, b"answer", "{name}");
                arm(Call::Write, fail_once(name));
                assert_eq!(conn.begin(b"frame"), expected, "{name}");
                assert_eq!(
                    conn.is_waiting_to_write(),
                    expected == Progress::Blocked,
                    "{name}"
                );
            }
        }
        for name in documented_errnos(Call::Read, kind) {
            let (mut client, mut conn) = connected_pair();
            client.write_all(b"question").unwrap();
            let mut poll = Poll::new(4).unwrap();
            poll.add(conn.socket(), 1, Interest::READ).unwrap();
            let mut ready = Vec::new();
            while ready.is_empty() {
                poll.wait(1_000_000, &mut ready).unwrap();
            }
            arm(Call::Read, fail_once(name));
            assert_eq!(
                (conn.read(false), conn.is_broken()),
                (expected, is_final),
                "read {name}"
            );
            if !is_final {
                conn.read(false);
                assert_eq!(conn.input.front(), b"question", "{name}");
            }
        }
    }
    disarm_all();
}

#[test]
fn an_interrupted_epoll_wait_returns_no_events_and_other_errors_are_returned() {
    let mut poll = Poll::new(4).unwrap();
    let mut ready = Vec::new();
    arm(EpollWait, fail_once("EINTR"));
    assert_eq!(poll.wait(0, &mut ready), Ok(()));
    assert!(ready.is_empty());
    arm(EpollWait, fail_once("EBADF"));
    assert_eq!(
        poll.wait(0, &mut ready).err().map(|f| f.kind),
        Some(ProgramFault)
    );
    disarm_all();
}

#[test]
fn a_failure_episode_is_reported_at_its_start_and_counted_at_its_end() {
    let (mut failure_log, started_at) = (FailureLog::default(), Instant::now());
    let at = |ms| started_at + Duration::from_millis(ms);
    let is_new_episode: Vec<bool> = (0..100)
        .map(|n| failure_log.record(at(n * 30), Accept))
        .collect();
    assert!(is_new_episode[0] && !is_new_episode[1..].contains(&true));
    assert_eq!(
        failure_log.take_ended(at(4_000)),
        [],
        "the episode has not ended"
    );
    let ended = failure_log.take_ended(at(4_970));
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
        failure_log.record(at(5_000), Accept),
        "a new episode is reported again"
    );
}

/// A logger that records the lines that the failure log writes on this thread.
struct LineRecorder;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

impl log::Log for LineRecorder {
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
fn a_thousand_failures_produce_two_log_lines() {
    log::set_logger(&LineRecorder).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let (_poll, listener, _client) = pending_connection();
    arm(Accept, Plan::always(&[errno_named("ENOBUFS").unwrap()]));
    for _ in 0..1_000 {
        assert!(listener.accept().is_err());
        failure_log::log_ended();
    }
    disarm_all();
    assert_eq!(
        LINES.with_borrow(Vec::len),
        1,
        "a line at the start of the episode"
    );
    sleep(Duration::from_millis(2_100));
    failure_log::log_ended();
    failure_log::log_all();
    assert_eq!(LINES.with_borrow(Vec::len), 2, "and a line at its end");
}
