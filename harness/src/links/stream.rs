//! A link for streams: connections to its address go on to another, each direction by its own conditions.

use super::conditions::{Flow, LinkConditions, Pass};
use crate::time::unix_us;
use rustix::net::sockopt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a direction over which nothing may pass is checked again.
const LOOK: Duration = Duration::from_millis(2);
const CHUNK: usize = 16 << 10;

/// LinkConditions there and back.
#[derive(Clone, Copy, Debug, Default)]
struct Both {
    there: LinkConditions,
    back: LinkConditions,
}

/// A link in front of an address.
pub struct FaultyStream {
    /// Where to connect in place of the address behind it.
    pub address: SocketAddr,
    conditions: Arc<Mutex<Both>>,
    over: Arc<AtomicBool>,
}

impl FaultyStream {
    /// A clear link in front of an address.
    pub fn to(behind: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let conditions = Arc::new(Mutex::new(Both::default()));
        let over = Arc::new(AtomicBool::new(false));
        let (shared, ended) = (conditions.clone(), over.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (shared, ended) = (shared.clone(), ended.clone());
                thread::spawn(move || join(near, behind, &shared, &ended));
            }
        });
        Ok(FaultyStream {
            address,
            conditions,
            over,
        })
    }

    /// Sets the conditions from who connects to who is behind, for all connections.
    pub fn set_forward(&self, conditions: LinkConditions) {
        self.conditions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .there = conditions;
    }

    /// Sets the conditions from who is behind to who connects, for all connections.
    pub fn set_backward(&self, conditions: LinkConditions) {
        self.conditions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .back = conditions;
    }
}

impl Drop for FaultyStream {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Wakes the listener, so that it ends too.
        let _ = TcpStream::connect(self.address);
    }
}

/// Joins a connection with one to the address behind.
fn join(
    near: TcpStream,
    behind: SocketAddr,
    conditions: &Arc<Mutex<Both>>,
    over: &Arc<AtomicBool>,
) -> Option<()> {
    let now = || *conditions.lock().unwrap_or_else(PoisonError::into_inner);
    // Whoever is half-open takes connections and does nothing with them; over a cut link they never come up.
    while now().there.half_open || now().there.cut {
        if over.load(Ordering::Relaxed) {
            return None;
        }
        thread::sleep(LOOK);
    }
    let far = TcpStream::connect(behind).ok()?;
    let (near_in, far_in) = (near.try_clone().ok()?, far.try_clone().ok()?);
    let (shared, ended) = (conditions.clone(), over.clone());
    thread::spawn(move || {
        let now = || shared.lock().unwrap_or_else(PoisonError::into_inner).back;
        pump(far_in, near_in, now, &ended);
    });
    pump(near, far, || now().there, over);
    Some(())
}

/// Ends a connection with a reset.
fn reset(socket: &TcpStream) {
    let _ = sockopt::set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Waits as long as bytes take on a link: its delay and half of its jitter.
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

/// Passes what comes on until one side ends it.
fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    conditions: impl Fn() -> LinkConditions,
    over: &AtomicBool,
) {
    let mut flow = Flow::default();
    let mut bytes = vec![0; CHUNK];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    while !over.load(Ordering::Relaxed) {
        let now = conditions();
        // Checked before it is read: what waits here fills the sender's window, as on a real link.
        let most = match flow.allowed(unix_us(), &now, CHUNK) {
            Pass::Bytes(n) => n,
            Pass::Nothing => {
                thread::sleep(LOOK);
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
