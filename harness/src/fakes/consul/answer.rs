//! HTTP responses of the fake agent, valid or broken according to its behaviour.

use super::Behaviour;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Number of parts of a response of [`Behaviour::InParts`].
const PARTS: usize = 20;
/// Pause after each of these parts.
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Pause after each byte of [`Behaviour::Dripping`].
const BYTE_PAUSE: Duration = Duration::from_millis(10);

/// An HTTP response and the behaviour by which it is written.
pub(super) struct HttpAnswer {
    pub(super) status: &'static str,
    pub(super) body: String,
    pub(super) index: u64,
    pub(super) behaviour: Behaviour,
}

impl HttpAnswer {
    pub(super) fn write(&self, socket: &mut TcpStream) -> io::Result<()> {
        let HttpAnswer {
            status,
            body,
            index,
            ..
        } = self;
        let mut out = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Consul-Index: {index}\r\n"
        );
        out += "X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\n";
        match self.behaviour {
            Behaviour::Endless => return Self::write_endless(socket, out),
            Behaviour::Dripping => return Self::write_dripping(socket, out),
            Behaviour::Chunked => return self.write_chunked(socket, out),
            Behaviour::Busy => out += "Retry-After: 1\r\n",
            _ => {}
        }
        out += &format!("Content-Length: {}\r\n\r\n", body.len());
        let bytes = out + body;
        if self.behaviour == Behaviour::InParts {
            return Self::write_in_parts(socket, bytes.as_bytes());
        }
        if self.behaviour == Behaviour::Stalled {
            return Self::write_half(socket, bytes.as_bytes());
        }
        let is_truncated = self.behaviour == Behaviour::CutOff;
        let length = if is_truncated {
            bytes.len() - body.len() / 2 - 1
        } else {
            bytes.len()
        };
        socket.write_all(&bytes.as_bytes()[..length])
    }

    /// Writes chunks until the client closes the connection or 1 GiB has been written.
    fn write_endless(socket: &mut TcpStream, mut out: String) -> io::Result<()> {
        out += "Transfer-Encoding: chunked\r\n\r\n";
        socket.write_all(out.as_bytes())?;
        let chunk = format!("10000\r\n{}\r\n", " ".repeat(0x10000));
        (0..0x4000).try_for_each(|_| socket.write_all(chunk.as_bytes()))
    }

    /// Writes a list that does not end, byte by byte, until the client closes the connection.
    fn write_dripping(socket: &mut TcpStream, mut out: String) -> io::Result<()> {
        out += "Transfer-Encoding: chunked\r\n\r\n1\r\n[\r\n";
        socket.write_all(out.as_bytes())?;
        for byte in b"1\r\n \r\n".iter().cycle() {
            socket.write_all(&[*byte])?;
            thread::sleep(BYTE_PAUSE);
        }
        Ok(())
    }

    fn write_in_parts(socket: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        for part in bytes.chunks(bytes.len().div_ceil(PARTS)) {
            socket.write_all(part)?;
            thread::sleep(PART_PAUSE);
        }
        Ok(())
    }

    /// Writes half of the bytes, and waits until the client closes the connection.
    fn write_half(socket: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        socket.write_all(&bytes[..bytes.len() / 2])?;
        socket.read(&mut [0]).map(drop)
    }

    fn write_chunked(&self, socket: &mut TcpStream, mut out: String) -> io::Result<()> {
        out += "Transfer-Encoding: chunked\r\n\r\n";
        for part in self.body.as_bytes().chunks(100) {
            out += &format!("{:x}\r\n{}\r\n", part.len(), String::from_utf8_lossy(part));
        }
        socket.write_all((out + "0\r\n\r\n").as_bytes())
    }
}
