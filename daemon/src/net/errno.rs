//! Classifies the errnos of system calls by kind. Callers decide by the kind of a failure and not by its errno.
//!
//! The errnos of each call are taken from its manual page in section 2, and from ip(7), tcp(7) and udp(7).

use rustix::io::Errno;
use std::{fmt, io};

/// The system calls of the event loop whose failures are classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Call {
    /// `accept4` on a listener.
    Accept,
    /// `socket`, for an outgoing connection.
    Socket,
    /// `connect`.
    Connect,
    /// `getsockopt` with `SO_ERROR`, for the result of a connection that was being established.
    ConnectResult,
    /// `recv` on a connection.
    Read,
    /// `send` on a connection.
    Write,
    /// `recvfrom` on a datagram socket.
    ReceiveDatagram,
    /// `sendto` on a datagram socket.
    SendDatagram,
    /// `shutdown` of a connection's sending half.
    Shutdown,
    /// `epoll_ctl`.
    EpollControl,
    /// `epoll_wait`.
    EpollWait,
    /// `setsockopt`.
    SetOption,
}

impl Call {
    /// All variants, in the order of their declaration.
    pub const ALL: [Call; 12] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::ConnectResult,
        Call::Read,
        Call::Write,
        Call::ReceiveDatagram,
        Call::SendDatagram,
        Call::Shutdown,
        Call::EpollControl,
        Call::EpollWait,
        Call::SetOption,
    ];

    /// Returns the name of the call in the log.
    pub const fn name(self) -> &'static str {
        match self {
            Call::Accept => "accept",
            Call::Socket => "socket",
            Call::Connect => "connect",
            Call::ConnectResult => "connect-result",
            Call::Read => "read",
            Call::Write => "write",
            Call::ReceiveDatagram => "recvfrom",
            Call::SendDatagram => "sendto",
            Call::Shutdown => "shutdown",
            Call::EpollControl => "epoll-ctl",
            Call::EpollWait => "epoll-wait",
            Call::SetOption => "setsockopt",
        }
    }
}

/// The kind of a failure, which determines how the caller reacts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The call was interrupted by a signal and can be repeated immediately.
    RetryNow,
    /// The call would block; epoll reports when it can proceed.
    WouldBlock,
    /// The machine lacks memory, buffers, ports or routes, and the call may succeed later. The failure says nothing
    /// about the peer.
    RetryLater,
    /// The peer refused the connection, because no process listens at the address.
    Refused,
    /// The connection or datagram of the call is lost.
    Broken,
    /// The process or the machine has no free file descriptor.
    NoDescriptors,
    /// The arguments of the call are invalid, so the call would fail again.
    ProgramFault,
}

/// The failure of a system call, classified by its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The system call that failed.
    pub call: Call,
    /// The errno that the kernel returned.
    pub errno: Errno,
    /// The kind of the failure, derived from call and errno.
    pub kind: FailureKind,
}

impl Failure {
    /// Creates the failure of a call with an errno.
    pub fn new(call: Call, errno: Errno) -> Self {
        Failure {
            call,
            errno,
            kind: classify(call, errno),
        }
    }

    /// Whether the cause is this process or machine, so that the failure says nothing about the peer.
    pub fn is_local(&self) -> bool {
        matches!(
            self.kind,
            FailureKind::RetryLater | FailureKind::NoDescriptors | FailureKind::ProgramFault
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.call.name(), self.errno)
    }
}

impl std::error::Error for Failure {}

impl From<Failure> for io::Error {
    fn from(failure: Failure) -> Self {
        failure.errno.into()
    }
}

/// Classifies the errno of a call.
pub fn classify(call: Call, errno: Errno) -> FailureKind {
    let special = match call {
        Call::Accept => accept(errno),
        Call::Socket => socket(errno),
        Call::Connect => connect(errno),
        Call::ConnectResult => connect_result(errno),
        Call::Read | Call::Write | Call::Shutdown => transfer(errno),
        Call::ReceiveDatagram | Call::SendDatagram => datagram(errno),
        Call::EpollControl => epoll_control(errno),
        Call::EpollWait | Call::SetOption => None,
    };
    special.or_else(|| common(errno)).unwrap_or(match call {
        Call::Socket => FailureKind::RetryLater,
        Call::EpollControl | Call::EpollWait | Call::SetOption => FailureKind::ProgramFault,
        _ => FailureKind::Broken,
    })
}

/// Classifies the errnos that have the same meaning for most calls.
fn common(errno: Errno) -> Option<FailureKind> {
    Some(match errno {
        Errno::INTR => FailureKind::RetryNow,
        Errno::AGAIN => FailureKind::WouldBlock,
        Errno::NOMEM | Errno::NOBUFS => FailureKind::RetryLater,
        Errno::MFILE | Errno::NFILE => FailureKind::NoDescriptors,
        Errno::BADF | Errno::FAULT | Errno::INVAL | Errno::NOTSOCK => FailureKind::ProgramFault,
        _ => return None,
    })
}

/// accept(2) may return errors that are already pending on the new connection. They concern only that connection.
fn accept(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::NOSR => Some(FailureKind::RetryLater),
        _ => None,
    }
}

/// socket(2): an address family or protocol that the machine does not support will not become available later.
fn socket(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::ACCESS | Errno::AFNOSUPPORT | Errno::PROTONOSUPPORT => {
            Some(FailureKind::ProgramFault)
        }
        _ => None,
    }
}

/// connect(2): after an interruption, the connection continues to be established in the background, as after
/// `EINPROGRESS`. A failure because of a missing local port or route, or a firewall, says nothing about the peer.
fn connect(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::INPROGRESS | Errno::INTR | Errno::ALREADY | Errno::ISCONN => {
            Some(FailureKind::WouldBlock)
        }
        Errno::AFNOSUPPORT | Errno::PROTOTYPE => Some(FailureKind::ProgramFault),
        _ => connect_result(errno),
    }
}

/// Classifies the errnos of establishing a connection.
fn connect_result(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::CONNREFUSED => Some(FailureKind::Refused),
        Errno::AGAIN
        | Errno::ADDRNOTAVAIL
        | Errno::ADDRINUSE
        | Errno::NETUNREACH
        | Errno::NETDOWN
        | Errno::ACCESS
        | Errno::PERM => Some(FailureKind::RetryLater),
        _ => None,
    }
}

/// recv(2), send(2), shutdown(2): errnos that are listed neither in this function nor in `common` mean that the
/// connection is broken.
fn transfer(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::DESTADDRREQ | Errno::ISDIR | Errno::OPNOTSUPP | Errno::MSGSIZE => {
            Some(FailureKind::ProgramFault)
        }
        _ => None,
    }
}

/// recvfrom(2) and sendto(2) may return the error of a datagram that was sent earlier. Such an error does not affect
/// other datagrams.
fn datagram(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::AFNOSUPPORT | Errno::DESTADDRREQ | Errno::ISCONN | Errno::MSGSIZE => {
            Some(FailureKind::ProgramFault)
        }
        Errno::OPNOTSUPP => Some(FailureKind::ProgramFault),
        _ => None,
    }
}

/// epoll_ctl(2): ENOSPC means that the user has reached the limit of watches. Other processes of the same user may
/// release some.
fn epoll_control(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::NOSPC => Some(FailureKind::RetryLater),
        Errno::AGAIN | Errno::INTR => Some(FailureKind::RetryLater),
        _ => None,
    }
}
