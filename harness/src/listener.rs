//! The listening sockets of fakes, and the commands that come on their connections.

use linnetknot_daemon::wire::{resp, Parser};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A fake's listening socket. It is closed with its last owner: many plays run in one process, and each would
/// leave its sockets and threads behind.
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
    socket: TcpListener,
}

impl Drop for Listening {
    fn drop(&mut self) {
        // The thread that accepts holds the socket too: this ends its wait.
        let _ = rustix::net::shutdown(&self.socket, rustix::net::Shutdown::Both);
    }
}

/// Serves each connection on a thread of its own, on a port of its own unless the address names one. What a
/// connection ends with is its client's to see.
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
                // What a client broke off before it was taken costs itself only; a socket that was shut ends this.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.raw_os_error() == Some(NO_DESCRIPTOR) => {
                    thread::sleep(std::time::Duration::from_millis(10));
                }
                Err(_) => return,
            }
        }
    });
    Ok(listening)
}

/// `EMFILE`: it passes, and the listener must outlive it.
const NO_DESCRIPTOR: i32 = 24;

/// Reads a proxy's commands until its connection ends, and gives each.
pub fn read_commands(
    mut socket: impl Read,
    mut each: impl FnMut(Vec<Vec<u8>>) -> Option<()>,
) -> Option<()> {
    let mut arrays = resp::ArrayParser::new(1 << 20);
    let mut bytes = [0; 4096];
    loop {
        let got = socket.read(&mut bytes).ok().filter(|n| *n > 0)?;
        let mut input = &bytes[..got];
        while !input.is_empty() {
            let (taken, array) = arrays.parse(input).ok()?;
            input = &input[taken..];
            array.map_or(Some(()), &mut each)?;
        }
    }
}
