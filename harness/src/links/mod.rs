//! Fault-injecting links between proxies: all that two of them send each other passes through one, which loses,
//! delays, doubles, holds back, trickles or breaks it by its conditions. `conditions` decides; here are sockets and
//! threads.
//!
//! Proxies take datagrams only from the addresses of their peers. So a link has a socket that faces each of its two
//! proxies: what the one sends to the socket that faces it comes to the other from the socket that faces that one.

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

/// From one proxy to another, by their places.
pub type Direction = (usize, usize);

/// What passed over one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that were sent.
    pub sent: u64,
    /// Datagrams that came, doubles with them.
    pub came: u64,
    /// Datagrams that were lost.
    pub lost: u64,
}

#[derive(Default)]
struct State {
    conditions: BTreeMap<Direction, LinkConditions>,
    counters: BTreeMap<Direction, Counters>,
}

/// A datagram on its way: when it comes, its place in the order, its way and its bytes.
type OnItsWay = (Micros, u64, Direction, Vec<u8>);

/// The links between all proxies of a play.
pub struct FaultyLinks {
    state: Arc<Mutex<State>>,
    /// The address at which the first proxy of a direction reaches the second.
    addresses: BTreeMap<Direction, SocketAddr>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// How long a thread waits for a datagram before it looks whether all is over.
const LOOK: Duration = Duration::from_millis(50);
/// The longest datagram.
const LONGEST: usize = 64 << 10;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyLinks {
    /// FaultyLinks between proxies that listen for datagrams at these addresses.
    pub fn between(proxies: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let over = Arc::new(AtomicBool::new(false));
        let (send, due) = mpsc::channel();
        let mut sockets = BTreeMap::new();
        for a in 0..proxies.len() {
            for b in (0..proxies.len()).filter(|b| *b != a) {
                // It faces `a` and stands for `b`.
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_read_timeout(Some(LOOK))?;
                sockets.insert((a, b), Arc::new(socket));
            }
        }
        let mut addresses = BTreeMap::new();
        let mut threads = Vec::new();
        for (direction, socket) in &sockets {
            addresses.insert(*direction, socket.local_addr()?);
            let (state, over, send) = (state.clone(), over.clone(), send.clone());
            let (socket, direction, from) = (socket.clone(), *direction, proxies[direction.0]);
            threads.push(thread::spawn(move || {
                let faults = DatagramFaults::new(seed, direction.0, direction.1);
                listen(&socket, from, direction, faults, &state, &over, &send);
            }));
        }
        drop(send);
        let proxies = proxies.to_vec();
        let counted = state.clone();
        threads.push(thread::spawn(move || {
            deliver(&due, |direction: Direction, bytes: &[u8]| {
                // It comes from the socket that faces the receiver and stands for the sender.
                let (from, to) = direction;
                if sockets[&(to, from)].send_to(bytes, proxies[to]).is_ok() {
                    lock(&counted).counters.entry(direction).or_default().came += 1;
                }
            });
        }));
        Ok(FaultyLinks {
            state,
            addresses,
            over,
            threads,
        })
    }

    /// Where the first proxy of a direction reaches the second: an entry of its `peers`.
    pub fn address(&self, direction: Direction) -> Option<SocketAddr> {
        self.addresses.get(&direction).copied()
    }

    /// All directions.
    pub fn directions(&self) -> impl Iterator<Item = Direction> + '_ {
        self.addresses.keys().copied()
    }

    /// Sets the conditions of one direction, for what is sent from now on.
    pub fn set(&self, direction: Direction, conditions: LinkConditions) {
        lock(&self.state).conditions.insert(direction, conditions);
    }

    /// The same conditions between all.
    pub fn set_all(&self, conditions: LinkConditions) {
        self.addresses
            .keys()
            .for_each(|direction| self.set(*direction, conditions));
    }

    /// Splits the proxies in two: nothing passes between those of one side and all others, until they are joined.
    pub fn split(&self, side: &[usize], conditions: LinkConditions) {
        for (a, b) in self.addresses.keys() {
            if side.contains(a) != side.contains(b) {
                self.set((*a, *b), conditions);
            }
        }
    }

    /// What passed over a direction so far.
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
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Takes in what one proxy sends to another.
fn listen(
    socket: &UdpSocket,
    proxy: SocketAddr,
    direction: Direction,
    mut faults: DatagramFaults,
    state: &Mutex<State>,
    over: &AtomicBool,
    send: &Sender<OnItsWay>,
) {
    let mut bytes = vec![0; LONGEST];
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        let Ok((length, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        if from != proxy {
            continue;
        }
        let now = unix_us();
        let comes = {
            let mut state = lock(state);
            let conditions = state
                .conditions
                .get(&direction)
                .copied()
                .unwrap_or_default();
            let comes = faults.next_delays(&conditions);
            let counters = state.counters.entry(direction).or_default();
            counters.sent += 1;
            counters.lost += u64::from(comes.is_empty());
            comes
        };
        for after in comes {
            number += 1;
            if send
                .send((now + after, number, direction, bytes[..length].to_vec()))
                .is_err()
            {
                return;
            }
        }
    }
}

/// Delivers what is on its way when its time comes, until nobody sends any more.
fn deliver(due: &Receiver<OnItsWay>, arrive: impl Fn(Direction, &[u8])) {
    let mut waiting: BinaryHeap<Reverse<OnItsWay>> = BinaryHeap::new();
    loop {
        let now = unix_us();
        while waiting.peek().is_some_and(|Reverse(first)| first.0 <= now) {
            if let Some(Reverse((_, _, direction, bytes))) = waiting.pop() {
                arrive(direction, &bytes);
            }
        }
        let wait = waiting.peek().map_or(LOOK, |Reverse(first)| {
            Duration::from_micros(first.0.saturating_sub(unix_us())).min(LOOK)
        });
        match due.recv_timeout(wait) {
            Ok(one) => waiting.push(Reverse(one)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
