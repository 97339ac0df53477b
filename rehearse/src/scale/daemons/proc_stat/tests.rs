//! Parsing of the process figures under `/proc`.

use super::*;
use std::net::UdpSocket;

#[test]
fn processor_ticks_are_parsed_after_names_with_spaces_and_parentheses() {
    let stat = "7 (a ) b) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 2 0 100 1000 10";
    assert_eq!(processor_ticks(stat), Some(300));
    assert_eq!(processor_ticks("7 (cut"), None);
}

#[test]
fn memory_is_converted_from_kilobytes() {
    assert_eq!(
        memory_bytes("Name:\tx\nVmHWM:\t    20 kB\nVmRSS:\t    10 kB\n", "VmRSS:"),
        Some(10_240)
    );
    assert_eq!(memory_bytes("Name:\tx\n", "VmRSS:"), None);
}

#[test]
fn reads_memory_and_socket_drops_of_this_process() {
    let own = read(std::process::id()).expect("read own process");
    assert!(
        own.resident_bytes > 0 && own.peak_resident_bytes >= own.resident_bytes,
        "{own:?}"
    );
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind socket");
    let address = socket.local_addr().expect("local address");
    assert_eq!(dropped_datagrams(address).expect("find socket in table"), 0);
}
