//! UDP sockets of the hollow members: each has its own loopback address, and all are polled together.

use linnetknot_daemon::net::{Interest, Poll, ReadyEvent};
use linnetknot_harness::fleet::free_ports;
use rustix::process::{getrlimit, Resource};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use thiserror::Error;

/// Address of the first member; the other members use the following ones.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 77, 0, 1]);

/// Descriptors that this process needs for files, daemon logs and clients.
pub const OTHER_DESCRIPTORS: usize = 128;

/// Number of ports that are tried, because another run may use the same addresses.
const MAX_PORTS: usize = 16;

/// Maximum number of ready sockets returned by one poll.
const MAX_READY: usize = 1_024;

/// The descriptor limit of this process is too low for the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("needs {needed} file descriptors, but the limit of this process is {limit}")]
pub struct TooManySockets {
    /// Number of descriptors needed.
    pub needed: usize,
    /// Descriptor limit of this process.
    pub limit: usize,
}

/// Checks that this process may open the sockets of `members` members.
///
/// # Errors
/// Returns [`TooManySockets`] if the descriptor limit is too low.
pub fn admit(members: usize) -> Result<(), TooManySockets> {
    let limit = getrlimit(Resource::Nofile)
        .current
        .and_then(|limit| usize::try_from(limit).ok());
    let limit = limit.unwrap_or(usize::MAX);
    let needed = members + OTHER_DESCRIPTORS;
    if needed > limit {
        return Err(TooManySockets { needed, limit });
    }
    Ok(())
}

/// Sockets by the index of their member among the hollow members.
pub struct MemberSockets {
    sockets: Vec<UdpSocket>,
    addresses: Vec<SocketAddr>,
    poll: Poll,
    ready: Vec<ReadyEvent>,
    /// Indexes of the daemons by address.
    daemons: HashMap<SocketAddr, usize>,
}

/// Received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedDatagram {
    /// Index of the daemon that sent it.
    pub daemon: usize,
    /// Length in bytes.
    pub length: usize,
}

fn bind_all(members: usize, port: u16) -> io::Result<Vec<UdpSocket>> {
    let bind = |member: usize| {
        let address = Ipv4Addr::from(FIRST_ADDRESS + member as u32);
        let socket = UdpSocket::bind((address, port))?;
        socket.set_nonblocking(true)?;
        Ok(socket)
    };
    (0..members).map(bind).collect()
}

impl MemberSockets {
    /// Binds sockets for `members` members, which accept datagrams only from these daemons.
    ///
    /// # Errors
    /// Returns an error if the sockets cannot be bound.
    pub fn bind(members: usize, daemons: &[SocketAddr]) -> io::Result<Self> {
        let mut sockets = Err(io::Error::other("no free port found"));
        for port in free_ports(MAX_PORTS)? {
            sockets = bind_all(members, port.port());
            if sockets.is_ok() {
                break;
            }
        }
        let sockets = sockets?;
        let poll = Poll::new(MAX_READY)?;
        for (member, socket) in sockets.iter().enumerate() {
            poll.add(socket, member as u64, Interest::READ)?;
        }
        let addresses = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()?;
        let daemons = daemons
            .iter()
            .enumerate()
            .map(|(daemon, address)| (*address, daemon))
            .collect();
        Ok(MemberSockets {
            sockets,
            addresses,
            poll,
            ready: Vec::new(),
            daemons,
        })
    }

    /// Returns the addresses of all members.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a member's datagram; returns `false` if the operating system rejects it.
    pub fn send(&self, member: usize, to: SocketAddr, bytes: &[u8]) -> bool {
        self.sockets[member].send_to(bytes, to).is_ok()
    }

    /// Waits for datagrams for at most `max_us` and returns the members that have some.
    ///
    /// # Errors
    /// Returns an error if polling fails.
    pub fn wait(&mut self, max_us: u64) -> io::Result<Vec<usize>> {
        self.ready.clear();
        self.poll.wait(max_us, &mut self.ready)?;
        Ok(self
            .ready
            .iter()
            .filter(|ready| ready.read)
            .map(|ready| ready.token as usize)
            .collect())
    }

    /// Receives a datagram from a daemon, or `None` if none is queued. Datagrams from other senders are dropped.
    pub fn receive(&self, member: usize, buffer: &mut [u8]) -> Option<ReceivedDatagram> {
        loop {
            let (length, from) = self.sockets[member].recv_from(buffer).ok()?;
            if let Some(daemon) = self.daemons.get(&from) {
                return Some(ReceivedDatagram {
                    daemon: *daemon,
                    length,
                });
            }
        }
    }
}
