//! A fault-injecting TCP forwarder. Each direction of its connections has its own conditions.

use super::conditions::{Flow, LinkConditions, Pass};
use crate::time::unix_us;
use rustix::net::sockopt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval at which a blocked direction is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const CHUNK_BYTES: usize = 16 << 10;

/// Conditions of both directions.
#[derive(Clone, Copy, Debug, Default)]
struct BothDirections {
    /// From the client to the server.
    forward: LinkConditions,
    /// From the server to the client.
    backward: LinkConditions,
}

/// A fault-injecting forwarder to a server.
pub struct FaultyStream {
    /// Address to connect to in place of the server's.
    pub address: SocketAddr,
    conditions: Arc<Mutex<BothDirections>>,
    stopped: Arc<AtomicBool>,
}

impl FaultyStream {
    /// Starts a forwarder to a server, without faults.
    pub fn to(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let conditions = Arc::new(Mutex::new(BothDirections::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared, ended) = (conditions.clone(), stopped.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (shared, ended) = (shared.clone(), ended.clone());
                thread::spawn(move || serve_connection(client, server, &shared, &ended));
            }
        });
        Ok(FaultyStream {
            address,
            conditions,
            stopped,
        })
    }

    /// Sets the conditions from clients to the server, for all connections.
    pub fn set_forward(&self, conditions: LinkConditions) {
        self.conditions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .forward = conditions;
    }

    /// Sets the conditions from the server to clients, for all connections.
    pub fn set_backward(&self, conditions: LinkConditions) {
        self.conditions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .backward = conditions;
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the listener thread, so that it stops.
        let _ = TcpStream::connect(self.address);
    }
}

/// Connects to the server and forwards both directions of a connection.
fn serve_connection(
    client: TcpStream,
    server: SocketAddr,
    conditions: &Arc<Mutex<BothDirections>>,
    stopped: &Arc<AtomicBool>,
) -> Option<()> {
    let now = || *conditions.lock().unwrap_or_else(PoisonError::into_inner);
    // Over a half-open or cut link the connection to the server is not established.
    while now().forward.half_open || now().forward.cut {
        if stopped.load(Ordering::Relaxed) {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let upstream = TcpStream::connect(server).ok()?;
    let (client_clone, upstream_clone) = (client.try_clone().ok()?, upstream.try_clone().ok()?);
    let (shared, ended) = (conditions.clone(), stopped.clone());
    thread::spawn(move || {
        let now = || {
            shared
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .backward
        };
        pump(upstream_clone, client_clone, now, &ended);
    });
    pump(client, upstream, || now().forward, stopped);
    Some(())
}

/// Closes a connection with a reset.
fn reset(socket: &TcpStream) {
    let _ = sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Sleeps for the delay and half of the jitter of a link.
fn delay(conditions: &LinkConditions) {
    let LinkConditions {
        delay_ms,
        jitter_ms,
        ..
    } = conditions;
    if delay_ms + jitter_ms > 0.0 {
        let delay_us = (delay_ms + jitter_ms / 2.0) * 1e3;
        thread::sleep(Duration::from_micros(delay_us as u64));
    }
}

/// Forwards one direction until one side closes the connection or it is reset.
fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    conditions: impl Fn() -> LinkConditions,
    stopped: &AtomicBool,
) {
    let mut flow = Flow::default();
    let mut bytes = vec![0; CHUNK_BYTES];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    while !stopped.load(Ordering::Relaxed) {
        let now = conditions();
        // Checked before the read, so that blocked bytes fill the sender's window as on a real link.
        let most = match flow.allowed(unix_us(), &now, CHUNK_BYTES) {
            Pass::Bytes(n) => n,
            Pass::Nothing => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            Pass::Reset => {
                reset(&from);
                reset(&to);
                return;
            }
        };
        match from.read(&mut bytes[..most]) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => {
                delay(&now);
                if to.write_all(&bytes[..n]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
                flow.passed(n);
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => {
                reset(&to);
                return;
            }
        }
    }
}
