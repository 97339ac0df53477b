//! A bounded rehearsal on loopback: stand-in boxes, a stand-in event bus and a stand-in CDNI neighbour play a
//! purge and a drain against a real daemon, and every breach of the rules is reported.

pub mod boxes;
pub mod bus;
pub mod clients;
pub mod fleet;
pub mod latency;
pub mod links;
pub mod load;
pub mod moments;
mod play;
pub mod player;
pub mod pressure;
pub mod process;
pub mod record;
pub mod report;
pub mod rules;
pub mod scale;
pub mod scenario;
pub mod score;
pub mod series;
pub mod shipped;
pub mod stand_ins;
pub mod timetable;

pub use play::{rehearse, settings, Plant};

/// The former names of `links`, which `fleet` and a test of the daemon still use.
pub mod gates {
    pub use crate::links::{FaultyLinks as Gates, LinkConditions as Weather};
}

use linnetknot_daemon::wire::{resp, Parser};
use std::fmt;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// A stand-in's listening socket. It is closed with its last holder: many plays run in one process, and each would
/// leave its sockets and threads behind.
pub(crate) struct Listening {
    pub(crate) address: SocketAddr,
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
pub(crate) fn listen<T>(
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
pub(crate) fn read_commands(
    mut socket: impl Read,
    mut each: impl FnMut(Vec<Vec<u8>>) -> Option<()>,
) -> Option<()> {
    let mut arrays = resp::Arrays::new(1 << 20);
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

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
}

/// What a rehearsal came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was played, a line each.
    pub played: Vec<String>,
    /// All that broke a rule.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Notes a breach where something that must hold does not.
    pub fn hold(&mut self, rule: &'static str, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.breaches.push(Breach { rule, what: what() });
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.played {
            writeln!(f, "played   {line}")?;
        }
        for breach in &self.breaches {
            writeln!(f, "BREACH   {}: {}", breach.rule, breach.what)?;
        }
        writeln!(f, "{} breaches", self.breaches.len())
    }
}
