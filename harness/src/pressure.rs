//! Clients that keep one proxy under load: each sends its next request once the last one is answered, and goes to wherever
//! the proxy listens by then.

use crate::clients::WebServer;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Between a refusal and the next request of the same client: as its answer says, more or less.
const AFTER_REFUSAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    over: AtomicBool,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
}

/// Clients of one proxy; they end with this.
pub struct Pressure {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

/// One connection, until it or the play is over.
fn send_request(shared: &Shared, to: SocketAddr) -> io::Result<()> {
    let mut web = WebServer::connect(to)?;
    while !shared.over.load(Ordering::Relaxed) {
        // Each write is about an object of its own, and all of them run at the origin.
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
            thread::sleep(AFTER_REFUSAL);
        }
        if *shared.target.lock().unwrap_or_else(PoisonError::into_inner) != Some(to) {
            return Ok(());
        }
    }
    Ok(())
}

impl Pressure {
    /// So many clients of a proxy, that each send writes.
    pub fn on(front: SocketAddr, clients: usize) -> Self {
        let mut pressure = Pressure {
            shared: Arc::default(),
            clients: Vec::new(),
        };
        pressure.send_to(Some(front));
        let client = |_| {
            let shared = Arc::clone(&pressure.shared);
            thread::spawn(move || {
                while !shared.over.load(Ordering::Relaxed) {
                    let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
                    // A proxy that was killed, or is not there: it is gone to again, wherever it listens by then.
                    if target.is_none_or(|to| send_request(&shared, to).is_err()) {
                        thread::sleep(AFTER_REFUSAL);
                    }
                }
            })
        };
        pressure.clients = (0..clients).map(client).collect();
        pressure
    }

    /// Where the proxy listens from now on; none: it is not there.
    pub fn send_to(&self, front: Option<SocketAddr>) {
        *self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = front;
    }

    /// What became of the requests so far.
    pub fn answers(&self) -> Answers {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Shared {
            served,
            refused,
            failed,
            ..
        } = &*self.shared;
        Answers {
            served: of(served),
            refused: of(refused),
            failed: of(failed),
        }
    }
}

impl Drop for Pressure {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        // A client waits for its answer no longer than its timeout; the proxies may be gone by then.
        self.clients
            .drain(..)
            .for_each(|client| drop(client.join()));
    }
}
