//! A TCP connection with its two rings.

use super::ring::Ring;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
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
    watched: (bool, bool),
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
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
            Progress::Blocked
        }
        Err(_) => Progress::Broken,
    }
}

/// Begins a connection without waiting for it.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
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
        Ok(Conn { socket, input, output, written: 0, up, watched: (true, !up) })
    }

    /// The socket, to watch it.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// How a connection begun from here came out, once it can be written.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        sockopt::socket_error(&self.socket)??;
        self.up = true;
        Ok(())
    }

    /// Reads once. A full ring reads nothing, so the other side has to wait.
    pub fn read(&mut self) -> Progress {
        if self.input.room() == 0 {
            return Progress::Blocked;
        }
        progress(self.input.read_from(&mut self.socket), Progress::Ended)
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

    /// What to watch for from now on, if that has changed.
    pub fn watch(&mut self) -> Option<(bool, bool)> {
        let wanted = (self.input.room() > 0, !self.up || !self.output.is_empty());
        (std::mem::replace(&mut self.watched, wanted) != wanted).then_some(wanted)
    }
}
