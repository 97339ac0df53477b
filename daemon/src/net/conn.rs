//! A TCP connection with its two rings.

use super::errno::{Failure, FailureKind};
use super::{syscall, Interest, RingBuffer};
use rustix::net::{self, SocketType};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection: a non-blocking socket, what came in and what is to go out.
pub struct TcpConnection {
    socket: TcpStream,
    /// What came in and is not consumed yet.
    pub input: RingBuffer,
    /// What is to go out.
    pub output: RingBuffer,
    /// Bytes written to the socket so far.
    pub written: u64,
    /// False until a connection begun from here is up.
    pub up: bool,
    /// Why a connection begun from here did not come up.
    connect_failure: Option<Failure>,
    /// Reading or writing has shown that it is broken.
    broken: bool,
    /// A frame could not begin because the socket takes nothing: it is to be tried again once it does.
    blocked: bool,
    /// The other side's end has been read: it must not be told of for ever.
    ended: bool,
    watched: Interest,
}

/// What a read or write came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Some bytes moved.
    Moved,
    /// Nothing for now.
    Blocked,
    /// The other side has ended its half.
    Ended,
    /// The connection is broken.
    Broken,
}

/// What a transfer came to; `none` where it moved no bytes.
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

/// A UDP socket bound so that the next process of an upgrade can bind the same address while this one still runs:
/// both set `SO_REUSEPORT`, and the kernel shares the datagrams out between them until the old one ends.
pub fn bind_shared_udp(at: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = syscall::retry_at_startup(|| syscall::socket(at, SocketType::DGRAM))?;
    syscall::share_address(&socket)?;
    net::bind(&socket, &at)?;
    Ok(std::net::UdpSocket::from(socket))
}

/// Begins a connection without waiting for it.
///
/// # Errors
/// It can't be begun; the failure tells whether that says anything of the other side.
pub fn connect(to: SocketAddr) -> Result<TcpStream, Failure> {
    syscall::connect(to)
}

impl TcpConnection {
    /// Takes over a socket. One that `connect` began is not `up` yet.
    pub fn new(socket: TcpStream, up: bool, input: usize, output: usize) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        // Small answers must not wait for the acknowledgement of earlier ones.
        // Where that can't be had, they wait, and nothing is lost.
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

    /// The socket, to watch it.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// How a connection begun from here came out, once it can be written.
    ///
    /// # Errors
    /// Why it did not come up.
    pub fn finish_connect(&mut self) -> Result<(), Failure> {
        let result = syscall::connect_result(&self.socket);
        self.up = result.is_ok();
        self.connect_failure = result.err();
        result
    }

    /// Why a connection begun from here did not come up, if it came out at all.
    pub fn connect_failure(&self) -> Option<&Failure> {
        self.connect_failure.as_ref()
    }

    /// Whether reading or writing has shown that it is broken.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Reads once. A full ring reads nothing, so the other side has to wait.
    pub fn read(&mut self, broken: bool) -> Progress {
        if self.input.free_bytes() == 0 {
            // epoll goes on telling of a broken connection whatever is watched: the loop would spin on it for
            // as long as the ring stays full, and nobody is left to answer.
            return if broken {
                Progress::Broken
            } else {
                Progress::Blocked
            };
        }
        let socket = &self.socket;
        let filled = self.input.fill(|buffer| syscall::read(socket, buffer));
        let got = progress(filled, Progress::Ended);
        self.ended |= got == Progress::Ended;
        self.broken |= got == Progress::Broken;
        got
    }

    /// Writes a frame if its first byte can be written now; what the socket does not take of it waits in the ring.
    /// `Blocked`: nothing of it was written, so it may still be taken back. Only for a connection whose ring is empty,
    /// which is what tells a frame that has begun from one that has not.
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

    /// Nothing waits to begin any more.
    pub fn clear_blocked(&mut self) {
        self.blocked = false;
    }

    /// Whether bytes, or a frame that could not begin, wait for the socket to take them.
    pub fn is_waiting_to_write(&self) -> bool {
        self.up && (self.blocked || !self.output.is_empty())
    }

    /// Writes until nothing is left or the socket takes no more.
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

    /// Ends this side's half: the other side reads all that was written and then the end. Unlike closing, that
    /// sends no reset when more comes in, and a reset would strike from the kernel what is still on its way out.
    pub fn shutdown_write(&self) -> Result<(), Failure> {
        syscall::shutdown_write(&self.socket)
    }

    /// What to watch for from now on, if that has changed.
    pub fn watch(&mut self) -> Option<Interest> {
        let interest = Interest {
            read: !self.ended && self.input.free_bytes() > 0,
            write: !self.up || self.is_waiting_to_write(),
            hang_up: !self.ended,
        };
        (std::mem::replace(&mut self.watched, interest) != interest).then_some(interest)
    }

    /// What is watched for now.
    pub fn watched(&self) -> Interest {
        self.watched
    }
}
