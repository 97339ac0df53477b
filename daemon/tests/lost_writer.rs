//! Purges that no log contains after their writer was lost with its disk, although they are in force at a peer. Links lose
//! chosen datagrams, so that the order of events is the same in every run.

use linnetknot_discovery::server_id;
use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fleet::{Disk, Fleet, Setup};
use linnetknot_harness::links::LinkConditions;
use std::path::Path;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// The proxy that receives the purge and is lost.
const WRITER: usize = 1;
/// The other proxies.
const PEERS: [usize; 2] = [0, 2];
/// The first bytes of each membership datagram.
const MEMBERSHIP_PREFIX: &str = "fleet1";
/// The first bytes of each datagram that carries a log entry.
const ENTRY_PREFIX: &str = "copies1 entry";
/// The first bytes of each datagram of replication.
const REPLICATION_PREFIX: &str = "copies1";
/// The first bytes of each plain purge datagram.
const PLAIN_PREFIX: &str = "purge ";
/// The object of the purge that reaches no proxy but its writer.
const EARLIER_OBJECT: &str = "00000000000000b1";
/// The object of the purge that nobody was promised.
const OBJECT: &str = "00000000000000b2";

/// Waits until a condition holds, and fails the test after a timeout.
fn until(what: &str, condition: impl FnMut() -> bool) {
    assert!(poll_until(TIMEOUT, condition), "never: {what}");
}

/// Returns the state of a peer in the membership of a proxy.
fn peer_state(fleet: &Fleet, at: usize, of: usize) -> String {
    let address = fleet.links.address((at, of));
    let status = fleet.status(at).unwrap();
    let peer = status
        .peers
        .into_iter()
        .find(|peer| Some(peer.address) == address);
    peer.map(|peer| peer.state).unwrap_or_default()
}

/// Waits until all proxies know from membership that the others replicate.
fn await_acquaintance(fleet: &Fleet) {
    until("all proxies know each other", || {
        let is_known = |at| (0..3).all(|of| at == of || peer_state(fleet, at, of) == "alive");
        (0..3).all(is_known)
    });
}

/// Starts a fleet in which all proxies know each other, and restarts the writer with a fail point. Until the prefixes of
/// the links are cleared, the writer does not learn that its peers replicate, and none of its entries arrive.
fn fleet_with_unaware_writer(seed: u64, fail_point: &str) -> Fleet {
    let mut fleet = Fleet::with(Setup::replicating(Path::new(DAEMON), 3, seed)).unwrap();
    await_acquaintance(&fleet);
    fleet.kill(WRITER).unwrap();
    for peer in PEERS {
        fleet.links.lose_prefix((peer, WRITER), MEMBERSHIP_PREFIX);
        fleet.links.lose_prefix((WRITER, peer), ENTRY_PREFIX);
    }
    fleet
        .restart_with_fail_points(WRITER, Disk::Kept, fail_point)
        .unwrap();
    for peer in PEERS {
        assert_eq!(peer_state(&fleet, WRITER, peer), "unknown");
        let remembered = peer_state(&fleet, peer, WRITER);
        assert!(["alive", "suspect"].contains(&&*remembered), "{remembered}");
    }
    fleet
}

/// Returns the first bytes of the datagram with the first entry of the log that the writer has begun.
fn first_entry_prefix(fleet: &Fleet) -> String {
    let writer = server_id(&format!("p{WRITER}"));
    let epoch = fleet.status(WRITER).unwrap().epoch;
    format!("{ENTRY_PREFIX} {writer:x} {epoch} 0 1 ")
}

/// Returns the proxies at which the purge is in force.
fn holders(fleet: &Fleet) -> Vec<usize> {
    (0..3)
        .filter(|proxy| fleet.holds_floor(*proxy, OBJECT).unwrap())
        .collect()
}

/// Replaces the writer by a process without its disk, and clears the faults of all links.
fn lose_writer(fleet: &mut Fleet) {
    fleet.kill(WRITER).unwrap();
    fleet.links.clear_lost_prefixes();
    fleet.links.set_all(LinkConditions::default());
    fleet.restart(WRITER, Disk::Lost).unwrap();
}

/// Waits until the fleet has converged, and checks that the purge is then in force at all proxies or at none.
fn check_agreement(fleet: &Fleet) {
    until("the logs are equal", || {
        fleet.is_converged().unwrap_or(false)
    });
    let holders = holders(fleet);
    assert!(
        holders.is_empty() || holders.len() == 3,
        "the logs are equal and the purge is in force only at {holders:?}"
    );
}

/// The writer sends the purge as a plain datagram too, as it does not know that its peers replicate, and ends before any
/// log entry of the purge arrives. It comes back without its disk, so that no log contains the purge.
fn check_plain_purge_of_lost_writer(seed: u64, reached: &[usize]) {
    let mut fleet = fleet_with_unaware_writer(seed, "peers-told=die");
    for peer in PEERS.into_iter().filter(|peer| !reached.contains(peer)) {
        fleet.links.set((WRITER, peer), LinkConditions::CUT);
    }
    let result = fleet.purge(WRITER, OBJECT);
    assert!(result.is_err(), "answered {result:?} although it must end");
    for peer in reached {
        assert!(fleet.wait_for_purge(*peer, OBJECT).unwrap(), "p{peer}");
    }
    lose_writer(&mut fleet);
    check_agreement(&fleet);
}

#[test]
fn a_plain_purge_that_reached_one_peer_is_in_force_at_all_proxies_or_at_none() {
    check_plain_purge_of_lost_writer(71, &PEERS[..1]);
}

#[test]
fn a_plain_purge_that_reached_both_peers_is_in_force_at_all_proxies_or_at_none() {
    check_plain_purge_of_lost_writer(72, &PEERS);
}

/// The writer's first purge reaches nobody. Its second reaches one peer, out of order, and is in force there at once. Then
/// the writer is lost with its disk, so that no proxy has the entries before it any more.
#[test]
fn a_purge_that_arrived_out_of_order_is_in_force_at_all_proxies_or_at_none() {
    let mut fleet = Fleet::with(Setup::replicating(Path::new(DAEMON), 3, 73)).unwrap();
    await_acquaintance(&fleet);
    let [reached, unreached] = PEERS;
    fleet.links.set((WRITER, unreached), LinkConditions::CUT);
    fleet.links.lose_prefix((WRITER, reached), ENTRY_PREFIX);
    // The requests of the reached peer for the missing entries do not arrive.
    fleet
        .links
        .lose_prefix((reached, WRITER), REPLICATION_PREFIX);
    assert_eq!(fleet.purge(WRITER, EARLIER_OBJECT).unwrap(), 503);
    fleet.links.lose_prefix((WRITER, reached), PLAIN_PREFIX);
    assert_eq!(fleet.purge(WRITER, OBJECT).unwrap(), 503);
    assert!(fleet.wait_for_purge(reached, OBJECT).unwrap());
    lose_writer(&mut fleet);
    check_agreement(&fleet);
}

/// Only the entry of the purge is lost. The entries of the trigger's status after it arrive, and wait in the reorder buffer
/// while the purge is in force as a plain purge.
#[test]
fn a_purge_whose_entry_alone_is_lost_is_in_force_at_all_proxies_or_at_none() {
    let mut fleet = fleet_with_unaware_writer(74, "");
    let [reached, unreached] = PEERS;
    fleet.links.set((WRITER, unreached), LinkConditions::CUT);
    let lost_entry = first_entry_prefix(&fleet);
    fleet.links.lose_prefix((WRITER, reached), &lost_entry);
    assert_eq!(fleet.purge(WRITER, OBJECT).unwrap(), 503);
    until("the entries after the lost one arrived", || {
        fleet.status(reached).unwrap().reordered_entries > 0
    });
    assert!(fleet.wait_for_purge(reached, OBJECT).unwrap());
    lose_writer(&mut fleet);
    check_agreement(&fleet);
}
