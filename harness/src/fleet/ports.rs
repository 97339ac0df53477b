//! Free ports of the loopback.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Free ports of the loopback, for daemons that bind them later and again after a restart. They lie below those that the
/// system gives to whoever asks for any, so that no other socket takes one meanwhile; each process begins at another
/// and none is given twice.
pub fn free_ports(n: usize) -> io::Result<Vec<SocketAddr>> {
    const FIRST: u32 = 12_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let begin = std::process::id().wrapping_mul(611) % PORTS;
    let mut found = Vec::new();
    for _ in 0..PORTS {
        if found.len() == n {
            break;
        }
        let port = FIRST + (begin + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    if found.len() < n {
        return Err(io::Error::other(format!(
            "{n} free ports were wanted and {} found",
            found.len()
        )));
    }
    Ok(found)
}
