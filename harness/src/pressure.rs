//! Closed-loop clients that keep one proxy under load: each sends its next request after the response to the last one,
//! and reconnects when the proxy's address changes.

use crate::clients::WebServer;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Delay between a response other than 200 or a failed connection and the next request of the same client.
const RETRY_DELAY: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    stopped: AtomicBool,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Number of requests answered with 200.
    pub served: u64,
    /// Number of requests answered with 503.
    pub refused: u64,
    /// Number of requests answered with any other status.
    pub failed: u64,
}

/// Clients of one proxy; they stop on drop.
pub struct Pressure {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

/// Sends requests on one connection until it ends, the target changes or the clients are stopped.
fn send_requests(shared: &Shared, to: SocketAddr) -> io::Result<()> {
    let mut web = WebServer::connect(to)?;
    while !shared.stopped.load(Ordering::Relaxed) {
        // Writes always run at the origin.
        web.ask(1, "post", "00000000000000e1", 900)?;
        let Some(answer) = web.end()?.1 else {
            return Ok(());
        };
        match answer.status {
            200 => shared.served.fetch_add(1, Ordering::Relaxed),
            503 => shared.refused.fetch_add(1, Ordering::Relaxed),
            _ => shared.failed.fetch_add(1, Ordering::Relaxed),
        };
        if answer.status != 200 {
            thread::sleep(RETRY_DELAY);
        }
        if *shared.target.lock().unwrap_or_else(PoisonError::into_inner) != Some(to) {
            return Ok(());
        }
    }
    Ok(())
}

impl Pressure {
    /// Starts clients that send writes to a proxy.
    pub fn on(front: SocketAddr, clients: usize) -> Self {
        let mut pressure = Pressure {
            shared: Arc::default(),
            clients: Vec::new(),
        };
        pressure.send_to(Some(front));
        let client = |_| {
            let shared = Arc::clone(&pressure.shared);
            thread::spawn(move || {
                while !shared.stopped.load(Ordering::Relaxed) {
                    let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
                    // The proxy is down. The next attempt uses its address at that time.
                    if target.is_none_or(|to| send_requests(&shared, to).is_err()) {
                        thread::sleep(RETRY_DELAY);
                    }
                }
            })
        };
        pressure.clients = (0..clients).map(client).collect();
        pressure
    }

    /// Sets the address of the proxy; `None` while it is down.
    pub fn send_to(&self, front: Option<SocketAddr>) {
        *self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = front;
    }

    /// Returns the numbers of requests so far, by result.
    pub fn answers(&self) -> Answers {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Shared {
            served,
            refused,
            failed,
            ..
        } = &*self.shared;
        Answers {
            served: load(served),
            refused: load(refused),
            failed: load(failed),
        }
    }
}

impl Drop for Pressure {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // Each client stops after its response or its timeout at the latest.
        self.clients
            .drain(..)
            .for_each(|client| drop(client.join()));
    }
}
