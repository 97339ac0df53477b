//! Listening sockets of the fakes, and a reader of RESP commands.

use crate::arrival::{Arrival, Received};
use linnetknot_daemon::wire::{resp, Parser};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// The listening socket of a fake. Dropping it shuts the socket down, so that sockets and threads do not accumulate
/// when many scenarios run in one process.
pub struct Listening {
    /// Address of the socket.
    pub address: SocketAddr,
    socket: TcpListener,
}

impl Drop for Listening {
    fn drop(&mut self) {
        // Wakes the thread that accepts connections, which holds a clone of the socket.
        let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Both);
    }
}

/// Listens on an address and serves each connection on its own thread. The result of `serve` is dropped.
pub fn listen<T>(
    address: &str,
    serve: impl Fn(TcpStream) -> T + Clone + Send + 'static,
) -> io::Result<Listening> {
    let listener = TcpListener::bind(address)?;
    let listening = Listening {
        address: listener.local_addr()?,
        socket: listener.try_clone()?,
    };
    thread::spawn(move || {
        loop {
            match listener.accept() {
                Ok((socket, _)) => {
                    let serve = serve.clone();
                    thread::spawn(move || {
                        serve(socket);
                    });
                }
                // A client closed its connection before it was accepted.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.raw_os_error() == Some(EMFILE) => {
                    thread::sleep(std::time::Duration::from_millis(10));
                }
                Err(_) => return,
            }
        }
    });
    Ok(listening)
}

/// Error number for too many open files: the listener retries, as descriptors become free again.
const EMFILE: i32 = 24;

/// Reads RESP commands with `read` and passes each to `each`, with the time of its last byte, until the connection ends,
/// the input is malformed or `each` returns `None`.
pub fn read_commands(
    mut read: impl FnMut(&mut [u8]) -> io::Result<Received>,
    mut each: impl FnMut(Vec<Vec<u8>>, Arrival) -> Option<()>,
) -> Option<()> {
    let mut arrays = resp::ArrayParser::new(1 << 20);
    let mut bytes = [0; 4096];
    loop {
        let received = read(&mut bytes).ok()?;
        let mut input = &bytes[..received.bytes];
        if input.is_empty() {
            return None;
        }
        while !input.is_empty() {
            let (taken, array) = arrays.parse(input).ok()?;
            input = &input[taken..];
            let arrival = received.arrival(input.is_empty());
            array.map_or(Some(()), |array| each(array, arrival))?;
        }
    }
}
