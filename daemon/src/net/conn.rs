//! A TCP connection with its send and receive buffers.

use super::errno::{Failure, FailureKind};
use super::{syscall, Interest, RingBuffer};
use rustix::net::{self, SocketType};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection: a non-blocking socket, its received bytes and its bytes to send.
pub struct TcpConnection {
    socket: TcpStream,
    /// The received bytes that have not been consumed yet.
    pub input: RingBuffer,
    /// The bytes that have not been written to the socket yet.
    pub output: RingBuffer,
    /// The number of bytes written to the socket.
    pub written: u64,
    /// Whether the connection is established.
    pub up: bool,
    /// Why the connection could not be established, if it failed.
    connect_failure: Option<Failure>,
    /// Whether a read or write has failed.
    broken: bool,
    /// Whether a frame could not be started because the socket accepted no bytes. The frame is tried again when the
    /// socket is writable.
    blocked: bool,
    /// Whether the end of the peer's stream has been read. The connection is then no longer watched for input.
    ended: bool,
    watched: Interest,
}

/// The result of a read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Some bytes were transferred.
    Moved,
    /// No bytes can be transferred now.
    Blocked,
    /// The peer has ended its stream.
    Ended,
    /// The connection is broken and must be closed.
    Broken,
}

/// Converts the result of a read or write to a `Progress`; `none` is returned if no bytes were transferred.
fn progress(result: Result<usize, Failure>, none: Progress) -> Progress {
    match result.map_err(|failure| failure.kind) {
        Ok(0) => none,
        Ok(_) => Progress::Moved,
        Err(FailureKind::WouldBlock | FailureKind::RetryNow | FailureKind::RetryLater) => {
            Progress::Blocked
        }
        Err(
            FailureKind::Refused
            | FailureKind::Broken
            | FailureKind::NoDescriptors
            | FailureKind::ProgramFault,
        ) => Progress::Broken,
    }
}

/// Binds a UDP socket so that the next process of an upgrade can bind the same address while this process runs. Both
/// processes set `SO_REUSEPORT`, and the kernel distributes the datagrams between them until the old process ends.
pub fn bind_shared_udp(at: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = syscall::retry_at_startup(|| syscall::socket(at, SocketType::DGRAM))?;
    syscall::share_address(&socket)?;
    net::bind(&socket, &at)?;
    Ok(std::net::UdpSocket::from(socket))
}

/// Ends the delivery of further datagrams to a socket whose address another process shares, which receives them instead.
/// Datagrams that were already delivered can still be received.
pub fn detach_shared_udp(socket: &std::net::UdpSocket) -> io::Result<()> {
    // A connected socket receives only the datagrams of one sender. Nobody sends from the shared address itself to it.
    socket.connect(socket.local_addr()?)
}

/// Starts to establish a connection without waiting for it.
///
/// # Errors
/// Fails if connecting can't be started. The kind of the failure shows whether the cause is the peer or this machine.
pub fn connect(to: SocketAddr) -> Result<TcpStream, Failure> {
    syscall::connect(to)
}

impl TcpConnection {
    /// Takes over a socket. A socket from `connect` is not `up` yet.
    pub fn new(socket: TcpStream, up: bool, input: usize, output: usize) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        // Disables Nagle's algorithm, so that small responses do not wait for earlier acknowledgements. A failure only
        // delays them and is ignored.
        let _ = syscall::set_nodelay(&socket);
        let (input, output) = (RingBuffer::new(input), RingBuffer::new(output));
        let watched = Interest {
            read: true,
            write: !up,
            hang_up: true,
        };
        Ok(TcpConnection {
            socket,
            input,
            output,
            written: 0,
            up,
            connect_failure: None,
            broken: false,
            blocked: false,
            ended: false,
            watched,
        })
    }

    /// Returns the socket, for registration with epoll.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Returns the result of establishing the connection, once the socket is writable.
    ///
    /// # Errors
    /// Fails if the connection was not established.
    pub fn finish_connect(&mut self) -> Result<(), Failure> {
        let result = syscall::connect_result(&self.socket);
        self.up = result.is_ok();
        self.connect_failure = result.err();
        result
    }

    /// Returns the failure of establishing the connection, if it failed.
    pub fn connect_failure(&self) -> Option<&Failure> {
        self.connect_failure.as_ref()
    }

    /// Whether a read or write has failed.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Reads once. Reads nothing if the receive buffer is full, so that the peer has to wait.
    pub fn read(&mut self, broken: bool) -> Progress {
        if self.input.free_bytes() == 0 {
            // epoll reports a broken connection regardless of the interest. If `Blocked` were returned, the event loop
            // would spin while the buffer is full.
            return if broken {
                Progress::Broken
            } else {
                Progress::Blocked
            };
        }
        let socket = &self.socket;
        let filled = self.input.fill(|buffer| syscall::read(socket, buffer));
        let progress_made = progress(filled, Progress::Ended);
        self.ended |= progress_made == Progress::Ended;
        self.broken |= progress_made == Progress::Broken;
        progress_made
    }

    /// Writes a frame if the socket accepts its first byte now, and buffers the bytes that the socket does not accept.
    /// If `Blocked` is returned, nothing was written and the frame may still be withdrawn. The send buffer must be
    /// empty: otherwise it would be unknown whether bytes of this frame have been written.
    pub fn begin(&mut self, frame: &[u8]) -> Progress {
        debug_assert!(self.output.is_empty());
        if !self.up {
            return Progress::Blocked;
        }
        let result = syscall::write(&self.socket, frame);
        let taken = result.unwrap_or(0);
        self.written += taken as u64;
        let progress = progress(result, Progress::Blocked);
        self.blocked = progress == Progress::Blocked;
        self.broken |= progress == Progress::Broken;
        if progress == Progress::Moved {
            self.output.push(&frame[taken..]);
        }
        progress
    }

    /// Clears the mark that a frame could not be started. Called before frames are tried again.
    pub fn clear_blocked(&mut self) {
        self.blocked = false;
    }

    /// Whether buffered bytes, or a frame that could not be started, wait for the socket to become writable.
    pub fn is_waiting_to_write(&self) -> bool {
        self.up && (self.blocked || !self.output.is_empty())
    }

    /// Writes until the send buffer is empty or the socket accepts no more.
    pub fn write(&mut self) -> Progress {
        let mut moved = Progress::Blocked;
        while self.up && !self.output.is_empty() {
            let socket = &self.socket;
            let result = self.output.drain(|bytes| syscall::write(socket, bytes));
            self.written += result.unwrap_or(0) as u64;
            match progress(result, Progress::Blocked) {
                Progress::Moved => moved = Progress::Moved,
                Progress::Broken => {
                    self.broken = true;
                    return Progress::Broken;
                }
                _ => break,
            }
        }
        moved
    }

    /// Ends the stream to the peer, which can still read all written bytes. If the socket were closed instead and
    /// further bytes arrived, the kernel would reset the connection and discard bytes that are not sent yet.
    pub fn shutdown_write(&self) -> Result<(), Failure> {
        syscall::shutdown_write(&self.socket)
    }

    /// Computes the events to watch the socket for. Returns them if they have changed since the last call.
    pub fn watch(&mut self) -> Option<Interest> {
        let interest = Interest {
            read: !self.ended && self.input.free_bytes() > 0,
            write: !self.up || self.is_waiting_to_write(),
            hang_up: !self.ended,
        };
        (std::mem::replace(&mut self.watched, interest) != interest).then_some(interest)
    }

    /// Returns the events for which the socket is watched.
    pub fn watched(&self) -> Interest {
        self.watched
    }
}
