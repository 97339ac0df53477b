//! The system calls of the event loop. Sockets and epoll are used only through this module, which classifies failures
//! (`errno`) and injects them in tests (`injection`).

use super::errno::{Call, Failure, FailureKind};
use super::{failure_log, injection};
use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use rustix::net::{self, sockopt, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// The maximum number of immediate repeats of an interrupted call.
const MAX_INTERRUPTIONS: usize = 16;
/// The interval and the number of attempts with which calls are retried at startup.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(10);
const MAX_STARTUP_ATTEMPTS: usize = 200;

/// Makes a call, and repeats it if it is interrupted.
fn make<T>(call: Call, system_call: impl FnMut() -> Result<T, Errno>) -> Result<T, Failure> {
    make_unless(call, || injection::failure(call), system_call)
}

/// Makes a call on a connection, and repeats it if it is interrupted.
fn make_on<T>(
    call: Call,
    socket: &TcpStream,
    system_call: impl FnMut() -> Result<T, Errno>,
) -> Result<T, Failure> {
    make_unless(call, || injection::failure_on(call, socket), system_call)
}

/// Makes a call, unless `injected` returns an errno, which is then returned instead. Repeats the call if it is
/// interrupted.
fn make_unless<T>(
    call: Call,
    injected: impl Fn() -> Option<Errno>,
    mut system_call: impl FnMut() -> Result<T, Errno>,
) -> Result<T, Failure> {
    let mut interruptions = 0;
    loop {
        let result = injected().map_or_else(&mut system_call, Err);
        let failure = match result {
            Ok(done) => return Ok(done),
            Err(errno) => Failure::new(call, errno),
        };
        interruptions += 1;
        if failure.kind != FailureKind::RetryNow || interruptions >= MAX_INTERRUPTIONS {
            failure_log::record(&failure);
            return Err(failure);
        }
    }
}

/// Retries a call that may succeed later, and blocks meanwhile. Used only at startup, when no other work is delayed by
/// this.
pub(super) fn retry_at_startup<T>(
    mut make: impl FnMut() -> Result<T, Failure>,
) -> Result<T, Failure> {
    for _ in 1..MAX_STARTUP_ATTEMPTS {
        match make() {
            Err(failure) if failure.kind == FailureKind::RetryLater => {
                std::thread::sleep(STARTUP_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
    make()
}

/// Accepts a pending connection, as a non-blocking socket.
pub(super) fn accept(listener: &TcpListener) -> Result<TcpStream, Failure> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    make(Call::Accept, || net::accept_with(listener, flags)).map(TcpStream::from)
}

fn family(of: SocketAddr) -> AddressFamily {
    if of.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    }
}

/// Creates a non-blocking socket.
pub(super) fn socket(of: SocketAddr, kind: SocketType) -> Result<OwnedFd, Failure> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    make(Call::Socket, || {
        net::socket_with(family(of), kind, flags, None)
    })
}

/// Starts to establish a connection, which continues in the background.
pub(super) fn connect(to: SocketAddr) -> Result<TcpStream, Failure> {
    let socket = socket(to, SocketType::STREAM)?;
    let result = match injection::failure(Call::Connect) {
        // The injected errno means that the connection is being established, so connecting must be started.
        Some(errno @ (Errno::INTR | Errno::INPROGRESS)) => {
            let _ = net::connect(&socket, &to);
            Err(errno)
        }
        Some(errno) => Err(errno),
        None => net::connect(&socket, &to),
    };
    match result.map_err(|errno| Failure::new(Call::Connect, errno)) {
        Err(failure) if failure.kind != FailureKind::WouldBlock => {
            failure_log::record(&failure);
            Err(failure)
        }
        _ => Ok(TcpStream::from(socket)),
    }
}

/// Returns the result of establishing a connection, once the socket is writable.
pub(super) fn connect_result(socket: &TcpStream) -> Result<(), Failure> {
    make_on(Call::ConnectResult, socket, || {
        sockopt::socket_error(socket)?
    })
}

/// Reads from a connection. Returns 0 at the end of the stream.
pub(super) fn read(socket: &TcpStream, buffer: &mut [u8]) -> Result<usize, Failure> {
    let max = injection::limit(Call::Read, buffer.len());
    make_on(Call::Read, socket, || {
        net::recv(socket, &mut buffer[..max], RecvFlags::empty()).map(|(_, length)| length)
    })
}

/// Writes to a connection as much as it accepts.
pub(super) fn write(socket: &TcpStream, bytes: &[u8]) -> Result<usize, Failure> {
    let max = injection::limit(Call::Write, bytes.len());
    make_on(Call::Write, socket, || {
        net::send(socket, &bytes[..max], SendFlags::NOSIGNAL)
    })
}

/// Receives a datagram into `buffer`. Returns its length and its sender.
pub fn receive_from(socket: &UdpSocket, buffer: &mut [u8]) -> Result<(usize, SocketAddr), Failure> {
    make(Call::ReceiveDatagram, || {
        socket.recv_from(buffer).map_err(|e| errno_of(&e))
    })
}

/// Sends a datagram to the address `to`. Returns the number of bytes sent.
pub fn send_to(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) -> Result<usize, Failure> {
    make(Call::SendDatagram, || {
        net::sendto(socket, datagram, SendFlags::NOSIGNAL, &to)
    })
}

fn errno_of(error: &std::io::Error) -> Errno {
    Errno::from_io_error(error).unwrap_or(Errno::IO)
}

/// Ends the sending half of a connection.
pub(super) fn shutdown_write(socket: &TcpStream) -> Result<(), Failure> {
    make(Call::Shutdown, || {
        net::shutdown(socket, net::Shutdown::Write)
    })
}

/// Disables Nagle's algorithm on a connection.
pub(super) fn set_nodelay(socket: &TcpStream) -> Result<(), Failure> {
    make(Call::SetOption, || sockopt::set_tcp_nodelay(socket, true))
}

/// Allows the next process to bind the same address while this process runs.
pub(super) fn share_address(socket: &OwnedFd) -> Result<(), Failure> {
    make(Call::SetOption, || {
        sockopt::set_socket_reuseaddr(socket, true)?;
        sockopt::set_socket_reuseport(socket, true)
    })
}

/// Creates an epoll set.
pub(super) fn epoll_create() -> Result<OwnedFd, Failure> {
    make(Call::EpollControl, || {
        epoll::create(epoll::CreateFlags::CLOEXEC)
    })
}

/// Adds a socket to an epoll set.
pub(super) fn epoll_add(
    set: &OwnedFd,
    socket: impl AsFd,
    token: u64,
    flags: epoll::EventFlags,
) -> Result<(), Failure> {
    let data = epoll::EventData::new_u64(token);
    make(Call::EpollControl, || epoll::add(set, &socket, data, flags))
}

/// Changes the events that a socket is watched for.
pub(super) fn epoll_modify(
    set: &OwnedFd,
    socket: impl AsFd,
    token: u64,
    flags: epoll::EventFlags,
) -> Result<(), Failure> {
    let data = epoll::EventData::new_u64(token);
    make(Call::EpollControl, || {
        epoll::modify(set, &socket, data, flags)
    })
}

/// Removes a socket from an epoll set.
pub(super) fn epoll_delete(set: &OwnedFd, socket: impl AsFd) -> Result<(), Failure> {
    make(Call::EpollControl, || epoll::delete(set, &socket))
}

/// Waits for events. An interrupted wait returns none.
pub(super) fn epoll_wait(
    set: &OwnedFd,
    max_wait: Timespec,
    events: &mut Vec<epoll::Event>,
) -> Result<(), Failure> {
    let waited = match injection::failure(Call::EpollWait) {
        Some(errno) => Err(errno),
        None => epoll::wait(set, rustix::buffer::spare_capacity(events), Some(&max_wait)).map(drop),
    };
    match waited.map_err(|errno| Failure::new(Call::EpollWait, errno)) {
        Err(failure) if failure.kind != FailureKind::RetryNow => {
            failure_log::record(&failure);
            Err(failure)
        }
        _ => Ok(()),
    }
}
