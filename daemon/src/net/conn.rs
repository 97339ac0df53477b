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

/// A UDP socket bound so that the next process of an upgrade can bind the same address while this one still runs:
/// both set `SO_REUSEPORT`, and the kernel shares the datagrams out between them until the old one ends.
pub fn bind_shared_udp(at: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket =
        net::socket_with(family, SocketType::DGRAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    net::bind(&socket, &at)?;
    Ok(std::net::UdpSocket::from(socket))
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
    pub fn read(&mut self, broken: bool) -> Progress {
        if self.input.room() == 0 {
            // epoll goes on telling of a broken connection whatever is watched: the loop would spin on it for
            // as long as the ring stays full, and nobody is left to answer.
            return if broken { Progress::Broken } else { Progress::Blocked };
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

    /// Ends this side's half: the other side reads all that was written and then the end. Unlike closing, that
    /// sends no reset when more comes in, and a reset would strike from the kernel what is still on its way out.
    pub fn end_output(&self) -> io::Result<()> {
        self.socket.shutdown(std::net::Shutdown::Write)
    }

    /// What to watch for from now on, if that has changed.
    pub fn watch(&mut self) -> Option<(bool, bool)> {
        let wanted = (self.input.room() > 0, !self.up || !self.output.is_empty());
        (std::mem::replace(&mut self.watched, wanted) != wanted).then_some(wanted)
    }
}

#[cfg(test)]
mod tests {
    use super::super::Poll;
    use super::*;
    use std::io::Write;
    use std::net::TcpListener;

    #[test]
    fn an_ended_half_delivers_all_though_more_comes_in_where_a_close_would_not() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let whole = vec![7; 1 << 20];
        let read = |ends: fn(Conn) -> Option<Conn>| {
            let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            sockopt::set_socket_recv_buffer_size(&far, 64 << 10).unwrap();
            let mut conn = Conn::new(listener.accept().unwrap().0, true, 4096, 2 << 20).unwrap();
            conn.output.push(&whole);
            conn.write();
            let written = conn.written;
            let kept = ends(conn);
            // A further request crosses the end, while most of the answer is not read.
            far.write_all(b"crossing").unwrap();
            let mut got = Vec::new();
            let end = std::io::Read::read_to_end(&mut far, &mut got).map_err(|e| e.kind());
            drop(kept);
            (got.len() as u64, written, end.is_ok())
        };
        let (got, written, ended) = read(|conn| {
            conn.end_output().unwrap();
            Some(conn)
        });
        assert!(written > 100_000 && got == written && ended, "{got} of {written}");
        let (got, written, ended) = read(|_| None);
        assert!(got < written && !ended, "else this test proves nothing: {got} of {written}");
    }

    #[test]
    fn a_full_ring_makes_the_other_side_wait_but_not_where_that_is_gone() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let mut conn = Conn::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
        far.write_all(b"123456").unwrap();
        while conn.read(false) != Progress::Blocked || conn.input.room() > 0 {}
        let mut poll = Poll::new(4).unwrap();
        poll.add(conn.socket(), 7, false, false).unwrap();
        sockopt::set_socket_linger(&far, Some(std::time::Duration::ZERO)).unwrap();
        drop(far);
        let mut ready = Vec::new();
        while ready.is_empty() {
            poll.wait(1_000_000, &mut ready).unwrap();
        }
        assert!(ready[0].broken && ready[0].read, "told of although nothing is watched");
        assert_eq!((conn.read(false), conn.read(ready[0].broken)), (Progress::Blocked, Progress::Broken));
    }
}
