//! A reserved address is lost to no other socket before the program under test listens on it.

use linnetknot_harness::reserved_address::ReservedAddress;
use rustix::io::Errno;
use rustix::net::{bind, socket, AddressFamily, SocketType};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

/// Sockets that the kernel assigns ports to in the tests.
const OTHER_SOCKETS: usize = 500;

/// Binds an address as a program that does not share ports does.
fn bind_exclusively(address: SocketAddr) -> Result<(), Errno> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
    bind(&socket, &address)
}

#[test]
fn another_socket_takes_a_port_that_was_given_up_and_none_that_is_reserved() {
    let given_up = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(bind_exclusively(given_up), Ok(()));
    let reserved = ReservedAddress::new().unwrap();
    assert_eq!(bind_exclusively(reserved.address()), Err(Errno::ADDRINUSE));
}

#[test]
fn a_listener_binds_a_reserved_address_while_other_sockets_are_assigned_ports() {
    let reserved = ReservedAddress::new().unwrap();
    let address = reserved.address();
    let refused = TcpStream::connect(address).unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                let others: Vec<_> = (0..OTHER_SOCKETS)
                    .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
                    .collect();
                let takes_it = |other: &TcpListener| other.local_addr().unwrap() == address;
                assert!(!others.iter().any(takes_it));
            }
        });
        for _ in 0..20 {
            let listener = TcpListener::bind(address).unwrap();
            assert!(TcpStream::connect(address).is_ok());
            drop(listener);
        }
        stop.store(true, Ordering::SeqCst);
    });
}
