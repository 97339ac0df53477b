//! A daemon between a peer that replicates logs and one that does not: who is sent plain purges, and whose are written.

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
/// Plain datagrams of one purge.
const PLAIN_DATAGRAMS: usize = 3;

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

/// A peer that replicates logs, as far as membership shows it. It takes part in no replication itself.
struct MemberPeer {
    socket: UdpSocket,
    membership: Membership,
    /// What came that was no message of membership.
    received: Vec<String>,
}

impl MemberPeer {
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
        MemberPeer {
            socket: socket(),
            membership: Membership::new(config, now_us()),
            received: Vec::new(),
        }
    }

    /// Answers what has come, and lets time pass for its membership.
    fn take_turn(&mut self, daemon: SocketAddr) {
        while let Some(bytes) = next_datagram(&self.socket) {
            if self.membership.receive(now_us(), 0, &bytes).is_err() {
                self.received
                    .push(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        self.membership.tick(now_us());
        for out in self.membership.take_outgoing() {
            self.socket.send_to(&out.datagram, daemon).unwrap();
        }
    }
}

/// The daemon, a peer that replicates logs and one that does not.
struct Rig {
    daemon: Process,
    address: SocketAddr,
    member: MemberPeer,
    older: UdpSocket,
    folder: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    fn start(name: &str) -> Rig {
        let (member, older) = (MemberPeer::new(), socket());
        let address = UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let peers: Vec<String> = [&member.socket, &older]
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
        let own = json!({
            "cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0", "base": "http://cdn.example",
                "footprint": ["127.0.0.0/8"], "purges": folder.join("purges").display().to_string()},
            "peers": {"copies": true}, "copies": {"wait": 0, "machine": "machine-0", "machines": machines},
        });
        let daemon = Process::start(Path::new(DAEMON), &folder, name, &config, &own).unwrap();
        Rig {
            daemon,
            address,
            member,
            older,
            folder,
        }
    }

    /// Waits until the daemon believes that the member runs.
    fn meet(&mut self) {
        let (admin, address, member) = (self.daemon.admin, self.address, &mut self.member);
        let met = poll_until(TIMEOUT, || {
            member.take_turn(address);
            query_status(admin)
                .unwrap()
                .peers
                .iter()
                .any(|peer| peer.state == "alive")
        });
        assert!(met, "the daemon never met the member");
    }

    fn send_plain_purge(&self, from: &UdpSocket, object: &str) {
        let text = format!("purge object {object} {}", now_us());
        from.send_to(text.as_bytes(), self.address).unwrap();
    }

    /// Waits until the daemon sends the entry of an object's purge from its own log, and gives the entry's index.
    fn index_of(&mut self, object: &str) -> u64 {
        let (address, member, older) = (self.address, &mut self.member, &self.older);
        let mut index = None;
        let sent = poll_until(TIMEOUT, || {
            member.take_turn(address);
            while let Some(bytes) = next_datagram(older) {
                index = index.or(entry_index(&bytes, object));
            }
            index.is_some()
        });
        assert!(sent, "the purge was not written");
        index.unwrap_or_default()
    }
}

/// The index of a replication entry that purges an object; none where the datagram is none.
fn entry_index(datagram: &[u8], object: &str) -> Option<u64> {
    let text = std::str::from_utf8(datagram).ok()?;
    let words: Vec<&str> = text.split(' ').collect();
    match words[..] {
        ["copies1", "entry", _writer, _epoch, _prev, index, _at, "object", name]
            if name == object =>
        {
            u64::from_str_radix(index, 16).ok()
        }
        _ => None,
    }
}

/// Each proxy that misses an entry and writes the plain datagram behind it into its own log has an index there that
/// nobody else was sent: all its later entries are out of order at all others, which then do the same.
#[test]
fn a_plain_purge_of_a_peer_that_replicates_is_not_written_and_that_of_another_is() {
    let mut rig = Rig::start("plain-written");
    rig.meet();
    // The entry of this one is lost.
    rig.send_plain_purge(&rig.member.socket, OBJECT);
    rig.send_plain_purge(&rig.older, OTHER_OBJECT);
    assert_eq!(
        rig.index_of(OTHER_OBJECT),
        1,
        "the first stands in its writer's log alone"
    );
}

#[test]
fn a_plain_purge_of_a_peer_that_was_not_met_yet_is_written_only_if_it_does_not_answer() {
    let mut rig = Rig::start("plain-unmet");
    rig.send_plain_purge(&rig.member.socket, OBJECT);
    rig.send_plain_purge(&rig.older, OTHER_OBJECT);
    // `index_of` lets the member answer the daemon's ping.
    assert_eq!(rig.index_of(OTHER_OBJECT), 1);
}

#[test]
fn a_peer_that_replicates_is_sent_the_entry_alone_and_another_plain_purges() {
    let mut rig = Rig::start("plain-sent");
    rig.meet();
    assert_eq!(purge_at(rig.daemon.cdni, OBJECT).unwrap(), 201);
    let mut plain = 0;
    let mut was_sent_all = || {
        rig.member.take_turn(rig.address);
        while let Some(bytes) = next_datagram(&rig.older) {
            plain += usize::from(bytes.starts_with(b"purge object "));
        }
        plain == PLAIN_DATAGRAMS
    };
    assert!(poll_until(TIMEOUT, &mut was_sent_all), "{plain} came");
    rig.member.take_turn(rig.address);
    let is_entry = |text: &&String| text.starts_with("copies1 entry ") && text.ends_with(OBJECT);
    assert!(
        rig.member.received.iter().any(|text| is_entry(&text)),
        "{:?}",
        rig.member.received
    );
    assert!(
        !rig.member
            .received
            .iter()
            .any(|text| text.starts_with("purge ")),
        "{:?}",
        rig.member.received
    );
}
