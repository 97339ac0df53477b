//! Addresses for listeners that a program under test opens later.

use rustix::net::{bind, getsockname, socket, sockopt, AddressFamily, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::os::fd::OwnedFd;

/// A loopback address that stays reserved while this value lives. Until a program listens on it, connections to it are
/// refused.
///
/// A bound socket that does not listen holds the port, so that the kernel assigns it to no other socket. A listener that
/// names the address can still bind it, because both sockets set `SO_REUSEADDR`, as daemons do.
#[derive(Debug)]
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedAddress {
    /// Reserves an address with a port that the kernel chooses.
    ///
    /// # Errors
    /// Returns the error of the system call that failed.
    pub fn new() -> io::Result<Self> {
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddr::try_from(getsockname(&socket)?)?;
        Ok(ReservedAddress {
            address,
            _socket: socket,
        })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
