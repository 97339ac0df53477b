//! Tests plain purge datagrams between a daemon, a peer that replicates logs, and an older peer that does not.

use linnetknot_daemon::fleet::query_status;
use linnetknot_datagram::MAX_DATAGRAM_BYTES;
use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fleet::purge_at;
use linnetknot_harness::process::Process;
use linnetknot_harness::{settings, unix_ms};
use linnetknot_membership::{Membership, MembershipConfig, Names, Options};
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
const MEMBER_ID: u64 = 77;
const OBJECT: &str = "00000000000000a1";
const OTHER_OBJECT: &str = "00000000000000a2";
/// Number of plain datagrams that are sent for each purge.
const DATAGRAMS_PER_PURGE: usize = 3;

fn now_us() -> u64 {
    unix_ms() * 1_000
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(1)))
        .unwrap();
    socket
}

fn next_datagram(socket: &UdpSocket) -> Option<Vec<u8>> {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    let (length, _) = socket.recv_from(&mut bytes).ok()?;
    Some(bytes[..length].to_vec())
}

/// A peer whose membership announces replication, but which does not replicate itself.
struct ReplicatingPeer {
    socket: UdpSocket,
    membership: Membership,
    /// Received datagrams other than membership messages.
    other_datagrams: Vec<String>,
}

impl ReplicatingPeer {
    fn new() -> Self {
        let config = MembershipConfig {
            id: MEMBER_ID,
            process: 1,
            names: Names {
                name: "member".to_owned(),
                machine: "machine-m".to_owned(),
            },
            peers: 1,
            seed: 1,
            options: Options::default(),
        };
        ReplicatingPeer {
            socket: socket(),
            membership: Membership::new(config, now_us()),
            other_datagrams: Vec::new(),
        }
    }

    /// Handles received datagrams and runs the membership's timers.
    fn handle_datagrams(&mut self, daemon: SocketAddr) {
        while let Some(bytes) = next_datagram(&self.socket) {
            if self.membership.receive(now_us(), 0, &bytes).is_err() {
                self.other_datagrams
                    .push(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        self.membership.tick(now_us());
        for out in self.membership.take_outgoing() {
            self.socket.send_to(&out.datagram, daemon).unwrap();
        }
    }
}

/// A daemon with a peer that replicates logs and a peer that does not.
struct TestFleet {
    daemon: Process,
    address: SocketAddr,
    replicating_peer: ReplicatingPeer,
    older_peer: UdpSocket,
    folder: PathBuf,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl TestFleet {
    fn start(name: &str) -> TestFleet {
        let (replicating_peer, older_peer) = (ReplicatingPeer::new(), socket());
        let address = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let peers: Vec<String> = [&replicating_peer.socket, &older_peer]
            .map(|s| s.local_addr().unwrap().to_string())
            .into_iter()
            .collect();
        let folder = std::env::temp_dir().join(format!("linnetknot-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = json!({
            "name": "p0", "listen": "127.0.0.1:0", "seed": "1f", "settings": settings(),
            "limits": {"memory_mb": 64, "sockets": 128}, "ops": "127.0.0.1:0",
            "peer_listen": address.to_string(), "peers": peers,
        });
        let machines = json!({ peers[0].clone(): "machine-m", peers[1].clone(): "machine-o" });
        let interconnect = json!({
            "cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0", "base": "http://cdn.example",
                "footprint": ["127.0.0.0/8"], "purges": folder.join("purges").display().to_string()},
            "peers": {"copies": true}, "copies": {"wait": 0, "machine": "machine-0", "machines": machines},
        });
        let daemon =
            Process::start(Path::new(DAEMON), &folder, name, &config, &interconnect).unwrap();
        TestFleet {
            daemon,
            address,
            replicating_peer,
            older_peer,
            folder,
        }
    }

    /// Waits until the daemon reports the replicating peer as alive.
    fn wait_until_peer_is_alive(&mut self) {
        let (admin, address, replicating_peer) =
            (self.daemon.admin, self.address, &mut self.replicating_peer);
        let is_alive = poll_until(TIMEOUT, || {
            replicating_peer.handle_datagrams(address);
            query_status(admin)
                .unwrap()
                .peers
                .iter()
                .any(|peer| peer.state == "alive")
        });
        assert!(is_alive, "the daemon did not detect the replicating peer");
    }

    fn send_plain_purge(&self, from: &UdpSocket, object: &str) {
        let text = format!("purge object {object} {}", now_us());
        from.send_to(text.as_bytes(), self.address).unwrap();
    }

    /// Waits until the daemon sends the log entry of an object's purge, and returns the index of the entry.
    fn index_of(&mut self, object: &str) -> u64 {
        let (address, replicating_peer, older_peer) =
            (self.address, &mut self.replicating_peer, &self.older_peer);
        let mut index = None;
        let is_logged = poll_until(TIMEOUT, || {
            replicating_peer.handle_datagrams(address);
            while let Some(bytes) = next_datagram(older_peer) {
                index = index.or(entry_index(&bytes, object));
            }
            index.is_some()
        });
        assert!(is_logged, "the purge was not logged");
        index.unwrap_or_default()
    }
}

/// Returns the index of a replication entry that purges the object, or `None` for other datagrams.
fn entry_index(datagram: &[u8], object: &str) -> Option<u64> {
    let text = std::str::from_utf8(datagram).ok()?;
    let fields: Vec<&str> = text.split(' ').collect();
    match fields[..] {
        ["copies1", "entry", _writer, _epoch, _prev, index, _at, "object", name]
            if name == object =>
        {
            u64::from_str_radix(index, 16).ok()
        }
        _ => None,
    }
}

/// A proxy that missed a log entry receives the plain datagram of the same purge. It must not append that purge to its
/// own log: the entry would get an index that is never sent to any peer, so that later entries of the log would be out
/// of order at all peers.
#[test]
fn only_plain_purges_from_peers_without_replication_are_logged() {
    let mut fleet = TestFleet::start("plain-written");
    fleet.wait_until_peer_is_alive();
    // The peer's own log entry for this purge is lost.
    fleet.send_plain_purge(&fleet.replicating_peer.socket, OBJECT);
    fleet.send_plain_purge(&fleet.older_peer, OTHER_OBJECT);
    assert_eq!(
        fleet.index_of(OTHER_OBJECT),
        1,
        "the purge of the replicating peer must not be in the daemon's log"
    );
}

#[test]
fn an_unknown_peers_plain_purge_is_logged_only_if_the_peer_does_not_answer() {
    let mut fleet = TestFleet::start("plain-unmet");
    fleet.send_plain_purge(&fleet.replicating_peer.socket, OBJECT);
    fleet.send_plain_purge(&fleet.older_peer, OTHER_OBJECT);
    // `index_of` lets the replicating peer answer the daemon's ping.
    assert_eq!(fleet.index_of(OTHER_OBJECT), 1);
}

#[test]
fn a_replicating_peer_is_sent_the_entry_and_other_peers_plain_purges() {
    let mut fleet = TestFleet::start("plain-sent");
    fleet.wait_until_peer_is_alive();
    assert_eq!(purge_at(fleet.daemon.cdni, OBJECT).unwrap(), 201);
    let mut plain_purges = 0;
    let mut has_received_all = || {
        fleet.replicating_peer.handle_datagrams(fleet.address);
        while let Some(bytes) = next_datagram(&fleet.older_peer) {
            plain_purges += usize::from(bytes.starts_with(b"purge object "));
        }
        plain_purges == DATAGRAMS_PER_PURGE
    };
    assert!(
        poll_until(TIMEOUT, &mut has_received_all),
        "received {plain_purges} plain purges"
    );
    fleet.replicating_peer.handle_datagrams(fleet.address);
    let is_entry = |text: &&String| text.starts_with("copies1 entry ") && text.ends_with(OBJECT);
    assert!(
        fleet
            .replicating_peer
            .other_datagrams
            .iter()
            .any(|text| is_entry(&text)),
        "{:?}",
        fleet.replicating_peer.other_datagrams
    );
    assert!(
        !fleet
            .replicating_peer
            .other_datagrams
            .iter()
            .any(|text| text.starts_with("purge ")),
        "{:?}",
        fleet.replicating_peer.other_datagrams
    );
}
