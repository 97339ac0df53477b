//! Purges of peers during an upgrade. Both processes receive the datagrams of the peers at one address, and the kernel
//! delivers each datagram to one of them.

mod upgrade_site;

use linnetknot_daemon::net::{bind_shared_udp, detach_shared_udp};
use linnetknot_harness::clients::{call, WebServer};
use linnetknot_harness::unix_ms;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::process::Child;
use std::time::{Duration, Instant};
use upgrade_site::{send_sigterm, Site};

/// The number of peers. The kernel assigns each to one of the two processes by its address.
const PEERS: u64 = 16;
/// The grace of purges, and the slack of sockets.
const PURGE_DEADLINE: Duration = Duration::from_millis(300 + 50);

/// A time within which three writes fail, each at an interval of 50 ms.
const FAILED_WRITES: Duration = Duration::from_millis(200);

/// The status of a request that had no effect.
const REFUSED: u16 = 503;
/// A time for which refused requests are sent again.
const RETRY_PERIOD: Duration = Duration::from_secs(5);

/// Returns when the copy of an object that a client gets was made, in Unix milliseconds.
fn copy_made(client_address: SocketAddr, number: u64) -> u64 {
    let mut web = WebServer::connect(client_address).unwrap();
    web.ask(1, "photo", &format!("{number:016x}"), 2500)
        .unwrap();
    web.end().unwrap().1.unwrap().made().unwrap()
}

/// Guards against a process that does not know a purge which a peer has sent to the address of both, and which the other
/// process has received.
#[test]
fn a_purge_of_a_peer_during_an_upgrade_applies_to_the_new_process() {
    let peers: Vec<UdpSocket> = (0..PEERS)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let own = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let addresses: Vec<String> = peers
        .iter()
        .map(|peer| peer.local_addr().unwrap().to_string())
        .collect();
    let site = Site::with(
        "purge-in-upgrade",
        &json!({"peers": {"tell": true}}),
        |config| {
            config["peer_listen"] = json!(own.to_string());
            config["peers"] = json!(addresses);
        },
    );
    let (mut old, admin) = site.start();
    // One cache is left, so that no other can have a newer copy.
    let ban = call(admin, "POST", "/control/pop-caches/s-0b/offline", "");
    assert_eq!(ban.unwrap().status, 200);
    let made: Vec<u64> = (0..PEERS)
        .map(|n| copy_made(site.client_address, n))
        .collect();
    let (mut new, _) = site.start();
    let purged_ms = unix_ms().max(made.iter().max().unwrap() + 1);
    for (number, peer) in peers.iter().enumerate() {
        let purge = format!("purge object {number:016x} {}", purged_ms * 1_000);
        peer.send_to(purge.as_bytes(), own).unwrap();
    }
    let sent = Instant::now();
    send_sigterm(&old);
    assert!(old.wait().unwrap().success());
    assert!(sent.elapsed() > PURGE_DEADLINE);
    let stale: Vec<u64> = (0..PEERS)
        .filter(|n| copy_made(site.client_address, *n) < purged_ms)
        .collect();
    assert!(stale.is_empty(), "copies older than the purge: {stale:?}");
    send_sigterm(&new);
    assert!(new.wait().unwrap().success());
}

/// A site whose proxy has peers, and one cache in use, so that no other can have a newer copy.
struct PeerSite {
    site: Site,
    peers: Vec<UdpSocket>,
    /// The address at which the proxy receives datagrams.
    own: SocketAddr,
    /// Holds the port of that address, so that no other socket takes it, but receives nothing.
    _reserved: UdpSocket,
}

impl PeerSite {
    fn new(name: &str) -> PeerSite {
        let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
        let peers: Vec<UdpSocket> = (0..PEERS).map(|_| bind()).collect();
        let reserved = bind_shared_udp("127.0.0.1:0".parse().unwrap()).unwrap();
        detach_shared_udp(&reserved).unwrap();
        let own = reserved.local_addr().unwrap();
        let address = |peer: &UdpSocket| peer.local_addr().unwrap().to_string();
        let addresses: Vec<String> = peers.iter().map(address).collect();
        let site = Site::with(name, &json!({"peers": {"tell": true}}), |config| {
            config["peer_listen"] = json!(own.to_string());
            config["peers"] = json!(addresses);
        });
        PeerSite {
            site,
            peers,
            own,
            _reserved: reserved,
        }
    }

    /// Starts the first process, with fail points, and lets clients get a copy of each object.
    fn start(&self, fail_points: &str) -> (Child, Copies) {
        let (process, admin) = self.site.start_with_fail_points(fail_points);
        let ban = call(admin, "POST", "/control/pop-caches/s-0b/offline", "");
        assert_eq!(ban.unwrap().status, 200);
        let made = (0..PEERS).map(|number| self.copy_made(number)).max();
        let purged_ms = unix_ms().max(made.unwrap() + 1);
        (process, Copies { purged_ms })
    }

    /// Returns when the copy of an object that a client gets was made, in Unix milliseconds. A request that is refused, as
    /// by a process without processor time, is sent again.
    fn copy_made(&self, number: u64) -> u64 {
        let start = Instant::now();
        loop {
            let mut web = WebServer::connect(self.site.client_address).unwrap();
            web.ask(1, "photo", &format!("{number:016x}"), 2500)
                .unwrap();
            let answer = web.end().unwrap().1.expect("an answer");
            if let Some(made) = answer.made() {
                return made;
            }
            let may_retry = answer.status == REFUSED && start.elapsed() < RETRY_PERIOD;
            assert!(may_retry, "no copy: {answer:?}");
        }
    }

    /// Lets each peer send a purge of one object.
    fn send_purges(&self, copies: &Copies) {
        for (number, peer) in self.peers.iter().enumerate() {
            let purge = format!("purge object {number:016x} {}", copies.purged_ms * 1_000);
            peer.send_to(purge.as_bytes(), self.own).unwrap();
        }
    }

    /// Asserts that the copies from before the purge are not served.
    fn assert_purged(&self, copies: &Copies) {
        let stale: Vec<u64> = (0..PEERS)
            .filter(|number| self.copy_made(*number) < copies.purged_ms)
            .collect();
        let bus_reads = self.site.bus.calls();
        assert!(
            stale.is_empty(),
            "copies older than the purge: {stale:?}; requests to the bus: {bus_reads:?}"
        );
    }
}

/// The copies of all objects that are purged at a time.
struct Copies {
    purged_ms: u64,
}

fn end(mut process: Child) {
    send_sigterm(&process);
    assert!(process.wait().unwrap().success());
}

fn wait_for(deadline: Duration, since: Instant) {
    while since.elapsed() < deadline {
        std::thread::yield_now();
    }
}

/// Returns whether a process is stopped by a signal.
fn is_stopped(process: &Child) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let (_, fields) = status.rsplit_once(") ").unwrap();
    fields.starts_with('T')
}

/// Guards against a new process that does not know the purges which the old one has received before it started.
#[test]
fn purges_of_peers_before_an_upgrade_apply_to_the_new_process() {
    let upgrade = PeerSite::new("purge-before-upgrade");
    let (old, copies) = upgrade.start("");
    upgrade.send_purges(&copies);
    wait_for(PURGE_DEADLINE, Instant::now());
    let (new, _) = upgrade.site.start();
    end(old);
    upgrade.assert_purged(&copies);
    end(new);
}

/// Guards against an old process that does not know the purges which the new one has received. The new one ends first,
/// so that the old one alone serves.
#[test]
fn purges_of_peers_during_an_upgrade_apply_to_the_old_process() {
    let upgrade = PeerSite::new("purge-to-old");
    let (old, copies) = upgrade.start("");
    let (new, _) = upgrade.site.start();
    upgrade.send_purges(&copies);
    wait_for(PURGE_DEADLINE, Instant::now());
    end(new);
    upgrade.assert_purged(&copies);
    end(old);
}

/// Sends purges while the old process is stopped at a fail point at its end, and asserts that the new one knows them.
fn assert_purges_apply_that_arrive_at(fail_point: &str) {
    let upgrade = PeerSite::new(fail_point);
    let (mut old, copies) = upgrade.start(&format!("{fail_point}=stall"));
    let (new, _) = upgrade.site.start();
    send_sigterm(&old);
    while !is_stopped(&old) {
        std::thread::yield_now();
    }
    upgrade.send_purges(&copies);
    let pid = rustix::process::Pid::from_child(&old);
    rustix::process::kill_process(pid, rustix::process::Signal::CONT).unwrap();
    let resumed = Instant::now();
    assert!(old.wait().unwrap().success());
    wait_for(PURGE_DEADLINE, resumed);
    upgrade.assert_purged(&copies);
    end(new);
}

/// Guards against purges that are lost in the socket of the old process, because they arrive when it no longer reads.
#[test]
fn purges_of_peers_after_the_last_request_of_the_old_process_apply_to_the_new_one() {
    assert_purges_apply_that_arrive_at("purge-hand-over");
}

/// Guards against the same for purges that arrive after the last read of the socket.
#[test]
fn purges_of_peers_up_to_the_exit_of_the_old_process_apply_to_the_new_one() {
    assert_purges_apply_that_arrive_at("purge-handed-over");
}

/// Guards against purges that are lost because the folder can't be written for a moment.
#[test]
fn purges_of_peers_while_the_folder_fails_apply_once_it_can_be_written() {
    let upgrade = PeerSite::new("purge-failing-folder");
    // The first two writes are those of the operators' call.
    let (old, copies) = upgrade.start("disk-write=EIO+2*3");
    let (new, _) = upgrade.site.start();
    upgrade.send_purges(&copies);
    wait_for(FAILED_WRITES + PURGE_DEADLINE, Instant::now());
    end(old);
    upgrade.assert_purged(&copies);
    end(new);
}

/// Guards against a new process that does not know the purges of the file, because it can't be read at the start: then
/// earlier copies of everything count as purged.
#[test]
fn purges_of_peers_apply_to_a_new_process_that_can_not_read_them() {
    let upgrade = PeerSite::new("purge-unreadable");
    let (old, copies) = upgrade.start("");
    upgrade.send_purges(&copies);
    wait_for(PURGE_DEADLINE, Instant::now());
    let (new, _) = upgrade.site.start_with_fail_points("disk-open=EIO");
    end(old);
    upgrade.assert_purged(&copies);
    end(new);
}

/// Guards against a process of an upgrade that does not read the event bus.
#[test]
fn a_purge_of_the_bus_during_an_upgrade_applies_to_both_processes() {
    let upgrade = PeerSite::new("bus-purge-in-upgrade");
    for ends_new in [false, true] {
        let (old, copies) = upgrade.start("");
        let (new, _) = upgrade.site.start();
        for number in 0..PEERS {
            let object = format!("{number:016x}");
            let purge = json!({"ban": {"url": object, "ts": copies.purged_ms}});
            upgrade.site.bus.push(purge);
        }
        wait_for(PURGE_DEADLINE, Instant::now());
        let (ends, stays) = if ends_new { (new, old) } else { (old, new) };
        end(ends);
        upgrade.assert_purged(&copies);
        end(stays);
    }
}
