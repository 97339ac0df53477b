//! The UDP sockets of all hollow members: each has an address of its own on loopback, and one poll waits for them all.

use linnetknot_daemon::net::{Interest, Poll, ReadyEvent};
use linnetknot_harness::fleet::free_ports;
use rustix::process::{getrlimit, Resource};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use thiserror::Error;

/// The address of the first member; the others follow.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 77, 0, 1]);

/// Descriptors that this process needs besides: files, daemons' logs and clients.
pub const OTHER_DESCRIPTORS: usize = 128;

/// Ports that are tried; the addresses of one may belong to another run.
const MAX_PORTS: usize = 16;

/// Ready sockets that one wait tells of.
const MAX_READY: usize = 1_024;

/// There are too few descriptors for so many sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("needs {needed} descriptors, and this process may hold {limit}")]
pub struct TooManySockets {
    /// Descriptors that would be needed.
    pub needed: usize,
    /// Descriptors that this process may hold.
    pub limit: usize,
}

/// Whether this process may hold the sockets of so many members.
///
/// # Errors
/// Where it may not.
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

/// The sockets, by the place of their member among the hollow ones.
pub struct MemberSockets {
    sockets: Vec<UdpSocket>,
    addresses: Vec<SocketAddr>,
    poll: Poll,
    ready: Vec<ReadyEvent>,
    /// The daemons, by their addresses.
    daemons: HashMap<SocketAddr, usize>,
}

/// A datagram that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedDatagram {
    /// Which daemon sent it.
    pub daemon: usize,
    /// Its length.
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
    /// Sockets for so many members, which hear daemons at these addresses.
    ///
    /// # Errors
    /// Where they can't be bound.
    pub fn bind(members: usize, daemons: &[SocketAddr]) -> io::Result<Self> {
        let mut sockets = Err(io::Error::other("no port was tried"));
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

    /// The addresses of all members.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a member's datagram; false where the system did not take it.
    pub fn send(&self, member: usize, to: SocketAddr, bytes: &[u8]) -> bool {
        self.sockets[member].send_to(bytes, to).is_ok()
    }

    /// Waits until datagrams are there or so much time is over: the members that have some.
    ///
    /// # Errors
    /// Where the system can't wait.
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

    /// Receives a datagram of a daemon; none where no more is there. What does not come from a daemon is dropped.
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
