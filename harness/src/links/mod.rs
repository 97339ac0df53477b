//! Fault-injecting links between proxies. All datagrams between two proxies pass through a link, which loses, delays,
//! duplicates or reorders them according to its conditions. The decisions are made in `conditions`; this module has the
//! sockets and threads. `stream` contains the corresponding forwarder for TCP connections.
//!
//! Proxies accept datagrams only from the addresses of their peers. Each link therefore has one socket for each of its
//! two proxies: a datagram that one proxy sends to its socket is delivered to the other from the other's socket.

mod conditions;
mod stream;

pub use conditions::{
    ConditionOutOfRange, DatagramFaults, Flow, LinkConditions, Pass, REORDER_DELAY_US,
};
pub use stream::FaultyStream;

use crate::time::unix_us;
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The indexes of the sending and the receiving proxy.
pub type Direction = (usize, usize);

/// Datagram counters of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent in this direction.
    pub sent: u64,
    /// Datagrams delivered, including duplicates.
    pub came: u64,
    /// Datagrams sent in this direction but dropped.
    pub lost: u64,
}

#[derive(Default)]
struct State {
    conditions: BTreeMap<Direction, LinkConditions>,
    /// The datagrams that start with these bytes are lost, whatever the conditions of the direction are.
    lost_prefixes: BTreeMap<Direction, Vec<u8>>,
    counters: BTreeMap<Direction, Counters>,
}

impl State {
    /// Returns whether a datagram is lost because of its first bytes.
    fn loses(&self, direction: Direction, datagram: &[u8]) -> bool {
        let prefix = self.lost_prefixes.get(&direction);
        prefix.is_some_and(|prefix| datagram.starts_with(prefix))
    }
}

/// A datagram in flight: delivery time, sequence number, direction and bytes.
type InFlight = (Micros, u64, Direction, Vec<u8>);

/// The links between all proxies of a fleet.
pub struct FaultyLinks {
    state: Arc<Mutex<State>>,
    /// The addresses to which the first proxy of a direction sends to reach the second.
    addresses: BTreeMap<Direction, SocketAddr>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Interval at which a waiting thread checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyLinks {
    /// Creates the links between proxies that listen for datagrams at these addresses.
    pub fn between(proxies: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (send, due) = mpsc::channel();
        let mut sockets = BTreeMap::new();
        for a in 0..proxies.len() {
            for b in (0..proxies.len()).filter(|b| *b != a) {
                // Proxy `a` sends to this socket to reach `b`.
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
                sockets.insert((a, b), Arc::new(socket));
            }
        }
        let mut addresses = BTreeMap::new();
        let mut threads = Vec::new();
        for (direction, socket) in &sockets {
            addresses.insert(*direction, socket.local_addr()?);
            let (state, stopped, send) = (state.clone(), stopped.clone(), send.clone());
            let (socket, direction, from) = (socket.clone(), *direction, proxies[direction.0]);
            threads.push(thread::spawn(move || {
                let faults = DatagramFaults::new(seed, direction.0, direction.1);
                listen(&socket, from, direction, faults, &state, &stopped, &send);
            }));
        }
        drop(send);
        let proxies = proxies.to_vec();
        let counted = state.clone();
        threads.push(thread::spawn(move || {
            deliver(&due, |direction: Direction, bytes: &[u8]| {
                // Sent from the socket whose address the receiver uses for the sender.
                let (from, to) = direction;
                if sockets[&(to, from)].send_to(bytes, proxies[to]).is_ok() {
                    lock(&counted).counters.entry(direction).or_default().came += 1;
                }
            });
        }));
        Ok(FaultyLinks {
            state,
            addresses,
            stopped,
            threads,
        })
    }

    /// Returns the address at which the first proxy of a direction reaches the second, for its `peers` list.
    pub fn address(&self, direction: Direction) -> Option<SocketAddr> {
        self.addresses.get(&direction).copied()
    }

    /// Returns all directions.
    pub fn directions(&self) -> impl Iterator<Item = Direction> + '_ {
        self.addresses.keys().copied()
    }

    /// Sets the conditions of one direction for datagrams sent from now on.
    pub fn set(&self, direction: Direction, conditions: LinkConditions) {
        lock(&self.state).conditions.insert(direction, conditions);
    }

    /// Sets the same conditions for all directions.
    pub fn set_all(&self, conditions: LinkConditions) {
        self.addresses
            .keys()
            .for_each(|direction| self.set(*direction, conditions));
    }

    /// Loses all datagrams of one direction that start with these bytes, and no others, so that a test can decide which
    /// protocol's datagrams arrive. Replaces the previous prefix of the direction.
    pub fn lose_prefix(&self, direction: Direction, prefix: &str) {
        lock(&self.state)
            .lost_prefixes
            .insert(direction, prefix.as_bytes().to_vec());
    }

    /// Removes the prefixes of all directions.
    pub fn clear_lost_prefixes(&self) {
        lock(&self.state).lost_prefixes.clear();
    }

    /// Sets the conditions of all directions between the proxies of one side and all others.
    pub fn split(&self, side: &[usize], conditions: LinkConditions) {
        for (a, b) in self.addresses.keys() {
            if side.contains(a) != side.contains(b) {
                self.set((*a, *b), conditions);
            }
        }
    }

    /// Returns the counters of a direction.
    pub fn counters(&self, direction: Direction) -> Counters {
        lock(&self.state)
            .counters
            .get(&direction)
            .copied()
            .unwrap_or_default()
    }
}

impl Drop for FaultyLinks {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Receives the datagrams that one proxy sends to another and schedules their delivery.
fn listen(
    socket: &UdpSocket,
    proxy: SocketAddr,
    direction: Direction,
    mut faults: DatagramFaults,
    state: &Mutex<State>,
    stopped: &AtomicBool,
    send: &Sender<InFlight>,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    let mut sequence = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Ok((length, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if from != proxy {
            continue;
        }
        let now = unix_us();
        let delays = {
            let mut state = lock(state);
            let conditions = state
                .conditions
                .get(&direction)
                .copied()
                .unwrap_or_default();
            let mut delays = faults.next_delays(&conditions);
            if state.loses(direction, &bytes[..length]) {
                delays.clear();
            }
            let counters = state.counters.entry(direction).or_default();
            counters.sent += 1;
            counters.lost += u64::from(delays.is_empty());
            delays
        };
        for delay_us in delays {
            sequence += 1;
            if send
                .send((
                    now + delay_us,
                    sequence,
                    direction,
                    bytes[..length].to_vec(),
                ))
                .is_err()
            {
                return;
            }
        }
    }
}

/// Delivers datagrams at their delivery times until all senders of the channel are dropped.
fn deliver(due: &Receiver<InFlight>, send_on: impl Fn(Direction, &[u8])) {
    let mut waiting: BinaryHeap<Reverse<InFlight>> = BinaryHeap::new();
    loop {
        let now = unix_us();
        while waiting.peek().is_some_and(|Reverse(first)| first.0 <= now) {
            if let Some(Reverse((_, _, direction, bytes))) = waiting.pop() {
                send_on(direction, &bytes);
            }
        }
        let wait = waiting
            .peek()
            .map_or(STOP_CHECK_INTERVAL, |Reverse(first)| {
                Duration::from_micros(first.0.saturating_sub(unix_us())).min(STOP_CHECK_INTERVAL)
            });
        match due.recv_timeout(wait) {
            Ok(datagram) => waiting.push(Reverse(datagram)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
