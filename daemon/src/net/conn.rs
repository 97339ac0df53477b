//! A TCP connection with its two rings.

use super::{Interest, Ring};
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection: a non-blocking socket, what came in and what is to go out.
pub struct Conn {
    socket: TcpStream,
    /// What came in and is not consumed yet.
    pub input: Ring,
    /// What is to go out.
    pub output: Ring,
    /// Bytes written to the socket so far.
    pub written: u64,
    /// False until a connection begun from here is up.
    pub up: bool,
    /// The other side has refused it: nobody listens there.
    pub refused: bool,
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

fn progress(result: io::Result<usize>, none: Progress) -> Progress {
    match result {
        Ok(0) => none,
        Ok(_) => Progress::Moved,
        Err(e)
            if matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ) =>
        {
            Progress::Blocked
        }
        Err(_) => Progress::Broken,
    }
}

/// A UDP socket bound so that the next process of an upgrade can bind the same address while this one still runs:
/// both set `SO_REUSEPORT`, and the kernel shares the datagrams out between them until the old one ends.
pub fn bind_shared_udp(at: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let family = if at.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = net::socket_with(
        family,
        SocketType::DGRAM,
        SocketFlags::NONBLOCK | SocketFlags::CLOEXEC,
        None,
    )?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    net::bind(&socket, &at)?;
    Ok(std::net::UdpSocket::from(socket))
}

/// Begins a connection without waiting for it.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    match net::connect(&socket, &to) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => Ok(TcpStream::from(socket)),
        Err(e) => Err(e.into()),
    }
}

impl Conn {
    /// Takes over a socket. One that `connect` began is not `up` yet.
    pub fn new(socket: TcpStream, up: bool, input: usize, output: usize) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        // Small answers must not wait for the acknowledgement of earlier ones.
        socket.set_nodelay(true)?;
        let (input, output) = (Ring::new(input), Ring::new(output));
        let watched = Interest {
            read: true,
            write: !up,
            hang_up: true,
        };
        Ok(Conn {
            socket,
            input,
            output,
            written: 0,
            up,
            refused: false,
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
    pub fn finish_connect(&mut self) -> io::Result<()> {
        let result = sockopt::socket_error(&self.socket)?;
        self.up = result.is_ok();
        self.refused = result == Err(rustix::io::Errno::CONNREFUSED);
        Ok(result?)
    }

    /// Reads once. A full ring reads nothing, so the other side has to wait.
    pub fn read(&mut self, broken: bool) -> Progress {
        if self.input.room() == 0 {
            // epoll goes on telling of a broken connection whatever is watched: the loop would spin on it for
            // as long as the ring stays full, and nobody is left to answer.
            return if broken {
                Progress::Broken
            } else {
                Progress::Blocked
            };
        }
        let got = progress(self.input.read_from(&mut self.socket), Progress::Ended);
        self.ended |= got == Progress::Ended;
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
        let result = self.socket.write(frame);
        let taken = *result.as_ref().unwrap_or(&0);
        self.written += taken as u64;
        let progress = progress(result, Progress::Blocked);
        self.blocked = progress == Progress::Blocked;
        if progress == Progress::Moved {
            self.output.push(&frame[taken..]);
        }
        progress
    }

    /// Nothing waits to begin any more.
    pub fn unblock(&mut self) {
        self.blocked = false;
    }

    /// Whether bytes, or a frame that could not begin, wait for the socket to take them.
    pub fn is_stuck(&self) -> bool {
        self.up && (self.blocked || !self.output.is_empty())
    }

    /// Writes until nothing is left or the socket takes no more.
    pub fn write(&mut self) -> Progress {
        let mut moved = Progress::Blocked;
        while self.up && !self.output.is_empty() {
            let result = self.output.write_to(&mut self.socket);
            self.written += *result.as_ref().unwrap_or(&0) as u64;
            match progress(result, Progress::Blocked) {
                Progress::Moved => moved = Progress::Moved,
                Progress::Broken => return Progress::Broken,
                _ => break,
            }
        }
        moved
    }

    /// Ends this side's half: the other side reads all that was written and then the end. Unlike closing, that
    /// sends no reset when more comes in, and a reset would strike from the kernel what is still on its way out.
    pub fn end_output(&self) -> io::Result<()> {
        self.socket.shutdown(std::net::Shutdown::Write)
    }

    /// What to watch for from now on, if that has changed.
    pub fn watch(&mut self) -> Option<Interest> {
        let wanted = Interest {
            read: !self.ended && self.input.room() > 0,
            write: !self.up || self.is_stuck(),
            hang_up: !self.ended,
        };
        (std::mem::replace(&mut self.watched, wanted) != wanted).then_some(wanted)
    }

    /// What is watched for now.
    pub fn watched(&self) -> Interest {
        self.watched
    }
}
