//! Free ports on the loopback interface.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns free loopback ports, for daemons that bind them later and again after a restart. They lie below the
/// ephemeral range, so that the system does not assign them to other sockets. Each process starts its search at a
/// different port, and no port is returned twice within a process.
pub fn free_ports(n: usize) -> io::Result<Vec<SocketAddr>> {
    const FIRST: u32 = 12_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(611) % PORTS;
    let mut found = Vec::new();
    for _ in 0..PORTS {
        if found.len() == n {
            break;
        }
        let port = FIRST + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    if found.len() < n {
        return Err(io::Error::other(format!(
            "found {} of {n} free ports",
            found.len()
        )));
    }
    Ok(found)
}
