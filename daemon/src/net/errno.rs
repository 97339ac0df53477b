//! What the errno of a system call says, classified in this one place: callers decide by the kind of a failure alone.
//!
//! The errnos are those of the manual pages of section 2 (and ip(7), tcp(7) and udp(7)) for each call.

use rustix::io::Errno;
use std::{fmt, io};

/// The system calls that the event loop makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Call {
    /// `accept4` on a listener.
    Accept,
    /// `socket`, for a connection begun from here.
    Socket,
    /// `connect`.
    Connect,
    /// `SO_ERROR` of a connection that was in progress: how it came out.
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
    /// All of them.
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

    /// Its name in the log.
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

/// What a failure asks of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// A signal came first: the same call can be made again at once.
    RetryNow,
    /// Nothing to do yet: epoll tells when there is.
    WouldBlock,
    /// The machine is short of memory, buffers, ports or routes: the call may succeed a moment later. Nothing is
    /// known of the other side.
    RetryLater,
    /// The other side refused the connection: nobody listens there.
    Refused,
    /// The one connection (or datagram) that the call was about is lost.
    Broken,
    /// The process or the machine has no descriptor left.
    NoDescriptors,
    /// The call itself is wrong, and would fail in the same way again.
    ProgramFault,
}

/// A system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The call.
    pub call: Call,
    /// What the kernel answered.
    pub errno: Errno,
    /// What that asks of the caller.
    pub kind: FailureKind,
}

impl Failure {
    /// The failure of a call with an errno.
    pub fn new(call: Call, errno: Errno) -> Self {
        Failure {
            call,
            errno,
            kind: classify(call, errno),
        }
    }

    /// Whether the fault lies with this process or machine, and says nothing of the other side.
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

/// What an errno of a call asks of the caller.
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

/// What most calls mean by an errno.
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

/// accept(2): pending errors of the new connection are passed on by `accept`, and concern that connection alone.
fn accept(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::NOSR => Some(FailureKind::RetryLater),
        _ => None,
    }
}

/// socket(2): a family or protocol that this machine does not have is wrong for good.
fn socket(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::ACCESS | Errno::AFNOSUPPORT | Errno::PROTONOSUPPORT => {
            Some(FailureKind::ProgramFault)
        }
        _ => None,
    }
}

/// connect(2): an interrupted call goes on in the background as one that is in progress does. Without a local port, a
/// route or a firewall's leave nothing has been heard of the other side.
fn connect(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::INPROGRESS | Errno::INTR | Errno::ALREADY | Errno::ISCONN => {
            Some(FailureKind::WouldBlock)
        }
        Errno::AFNOSUPPORT | Errno::PROTOTYPE => Some(FailureKind::ProgramFault),
        _ => connect_result(errno),
    }
}

/// What a connection attempt comes to.
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

/// recv(2), send(2), shutdown(2) on a connection: what is not listed here or in `common` ends that connection.
fn transfer(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::DESTADDRREQ | Errno::ISDIR | Errno::OPNOTSUPP | Errno::MSGSIZE => {
            Some(FailureKind::ProgramFault)
        }
        _ => None,
    }
}

/// recvfrom(2) and sendto(2): what an earlier datagram met is told by a later call, and costs no other datagram.
fn datagram(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::AFNOSUPPORT | Errno::DESTADDRREQ | Errno::ISCONN | Errno::MSGSIZE => {
            Some(FailureKind::ProgramFault)
        }
        Errno::OPNOTSUPP => Some(FailureKind::ProgramFault),
        _ => None,
    }
}

/// epoll_ctl(2): ENOSPC is the limit of watches of all processes of a user, which others may give back.
fn epoll_control(errno: Errno) -> Option<FailureKind> {
    match errno {
        Errno::NOSPC => Some(FailureKind::RetryLater),
        Errno::AGAIN | Errno::INTR => Some(FailureKind::RetryLater),
        _ => None,
    }
}
