//! Compaction and snapshots in fleets on virtual time. An independent record has every purge; every
//! member must hold each of them at its time or later, also as its disk would give it back, and what it holds of one
//! never falls.

mod fleet;

use fleet::{object, purge, Fleet, MS, S};
use linnetknot_replication::*;

/// So many purges in turn at the members of a side, one every so often.
fn tell(fleet: &mut Fleet, side: &[usize], numbers: std::ops::Range<u64>, every: Micros) {
    for n in numbers {
        fleet.tell(side[n as usize % side.len()], purge(n));
        fleet.run(every);
        if n % 500 == 0 {
            fleet.check_not_fallen(16);
        }
    }
}

fn snapshots(fleet: &Fleet, n: usize) -> u64 {
    fleet.replica(n).counters().snapshots_received
}

/// 400 purges a second for a minute at 64 members, sixteen times what each holds as entries.
#[test]
fn no_purge_of_a_busy_fleet_is_refused_and_all_are_in_force_everywhere() {
    let mut fleet = Fleet::new(64, 64, 1_500, 3);
    let all: Vec<usize> = (0..64).collect();
    for second in 0..60 {
        for n in 0..400 {
            let n = second * 400 + n;
            fleet.tell(all[n as usize % 64], purge(n));
            fleet.run(S / 400);
        }
        fleet.check_not_fallen(64);
    }
    fleet.settle(60 * S);
    fleet.run(S);
    assert_eq!((fleet.refused, fleet.purged.len()), (0, 24_000));
    for n in all {
        let counters = fleet.replica(n).counters();
        assert!(
            counters.compacted > 20_000 && counters.rejected == 0,
            "{counters:?}"
        );
        assert!(
            fleet.replica(n).log_store().len() <= 1_500 && fleet.members[n].disk.entries() <= 1_500
        );
    }
    fleet.check();
}

#[test]
fn a_member_that_was_away_for_longer_than_the_window_holds_every_purge_ever_told() {
    for (seed, lost_disk) in [(1, false), (2, true), (3, false), (4, true)] {
        let mut fleet = Fleet::new(4, 4, 200, seed);
        tell(&mut fleet, &[0, 1, 2, 3], 0..300, 5 * MS);
        fleet.run(S);
        fleet.kill(3);
        if lost_disk {
            fleet.lose_disk(3);
        }
        tell(&mut fleet, &[0, 1, 2], 300..2_000, 5 * MS);
        fleet.start(3);
        fleet.run(S);
        assert!(
            fleet.replica(3).is_catching_up() || snapshots(&fleet, 3) > 0,
            "seed {seed}"
        );
        tell(&mut fleet, &[0, 1, 2, 3], 2_000..2_300, 5 * MS);
        fleet.settle(60 * S);
        fleet.run(S);
        assert!(
            snapshots(&fleet, 3) >= 1 && !fleet.replica(3).is_catching_up(),
            "seed {seed}"
        );
        fleet.check();
        // And again from its disk alone.
        fleet.kill(3);
        fleet.start(3);
        assert_eq!(fleet.missing(3, Micros::MAX), 0, "seed {seed}");
    }
}

/// It has every floor before its logs are the same as a peer's, and is not caught up before that.
#[test]
fn a_late_joiner_has_every_floor_before_it_counts_as_recovered() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(3, 2, 100, seed);
        tell(&mut fleet, &[0, 1], 0..3_000, 2 * MS);
        fleet.run(S);
        let purged_at = fleet.links.now;
        fleet.start(2);
        let mut was_catching_up = false;
        while fleet.replica(2).log_store().checksum() != fleet.replica(0).log_store().checksum() {
            fleet.run(5 * MS);
            let is_catching_up = fleet.replica(2).is_catching_up();
            if was_catching_up && !is_catching_up {
                let store = fleet.replica(2).log_store();
                let reached = |n| reached(fleet.replica(n).log_store(), store);
                assert!(
                    reached(0) || reached(1),
                    "seed {seed}: all of the one that offered it"
                );
            }
            was_catching_up |= is_catching_up;
            assert!(fleet.links.now < purged_at + 60 * S, "seed {seed}");
        }
        assert!(was_catching_up, "seed {seed}");
        assert_eq!(
            fleet.missing(2, purged_at),
            0,
            "seed {seed}: equal sums mean that nothing is missing"
        );
        fleet.run(S);
        fleet.check();
    }
}

/// Whether a store has all logs of another as far as they are compacted there.
fn reached(other: &LogStore, store: &LogStore) -> bool {
    let mut compacted = other.compacted_logs(LogId::default());
    compacted.all(|compacted| store.last_index(compacted.log) >= compacted.through)
}

#[test]
fn a_region_returns_after_both_sides_have_compacted() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(6, 6, 150, seed);
        tell(&mut fleet, &[0, 1, 2, 3, 4, 5], 0..100, 5 * MS);
        fleet.run(S);
        fleet.links.partition(6, &[0, 1, 2]);
        for n in (100..2_100).step_by(100) {
            tell(&mut fleet, &[0, 1, 2], n..n + 50, 5 * MS);
            tell(&mut fleet, &[3, 4, 5], n + 50..n + 100, 5 * MS);
        }
        fleet.run(S);
        fleet.links.restore();
        fleet.settle(120 * S);
        fleet.run(S);
        let received: u64 = (0..6).map(|n| snapshots(&fleet, n)).sum();
        assert!(received >= 6, "seed {seed}: {received}");
        fleet.check();
    }
}

#[test]
fn a_snapshot_comes_through_over_links_that_lose_double_and_reorder() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(3, 2, 100, seed);
        tell(&mut fleet, &[0, 1], 0..2_500, MS);
        fleet.run(S);
        (
            fleet.links.loss_percent,
            fleet.links.duplicate_percent,
            fleet.links.delay.jitter_us,
        ) = (30, 20, 150 * MS);
        fleet.start(2);
        tell(&mut fleet, &[0, 1, 2], 2_500..2_700, 20 * MS);
        fleet.settle(120 * S);
        fleet.run(2 * S);
        assert!(snapshots(&fleet, 2) >= 1, "seed {seed}");
        fleet.check();
    }
}

/// The sender is another process in the middle, with its disk or without; or it does not come back.
#[test]
fn a_sender_that_restarts_or_goes_in_the_middle_of_a_snapshot_is_replaced() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(3, 2, 100, seed);
        // A slow snapshot, so that there is a middle.
        fleet.options.snapshot_bytes_per_s = 20_000;
        (0..2).for_each(|n| {
            fleet.kill(n);
            fleet.start(n);
        });
        tell(&mut fleet, &[0, 1], 0..2_500, MS);
        fleet.run(S);
        fleet.start(2);
        while fleet.members[2].received_chunks < 40 + 10 * seed {
            fleet.run(10 * MS);
        }
        assert_eq!(
            (fleet.replica(2).is_catching_up(), snapshots(&fleet, 2)),
            (true, 0),
            "seed {seed}"
        );
        let sent = |fleet: &Fleet, n| fleet.replica(n).counters().snapshot_chunks_sent;
        let sender = if sent(&fleet, 0) > sent(&fleet, 1) {
            0
        } else {
            1
        };
        fleet.kill(sender);
        if seed % 3 == 1 {
            fleet.lose_disk(sender);
        }
        if seed % 3 != 2 {
            fleet.run(50 * MS);
            fleet.start(sender);
        }
        fleet.settle(120 * S);
        // Another snapshot may be on its way still, of the sender's next process.
        let settled = fleet.links.now;
        while fleet.replica(2).is_catching_up() {
            fleet.run(100 * MS);
            assert!(fleet.links.now < settled + 60 * S, "seed {seed}");
        }
        assert!(snapshots(&fleet, 2) >= 1, "seed {seed}");
        fleet.run(S);
        fleet.check();
    }
}

/// What is no purge stays as it is, and comes with the snapshot.
#[test]
fn what_operators_decided_and_statuses_come_with_a_snapshot() {
    let mut fleet = Fleet::new(3, 2, 100, 9);
    let piece = |part, text: &str| Subject::TriggerStatusPart {
        number: 77,
        part,
        text: text.to_owned(),
    };
    let ban = || Subject::Ban("pc-1".into());
    fleet.append(0, ban(), false);
    fleet.append(0, Subject::Drain, false);
    fleet.append(0, piece(0, &"a".repeat(112)), false);
    fleet.append(0, piece(1, "b"), false);
    fleet.append(
        1,
        Subject::TriggerDeleted {
            writer: 5,
            number: 6,
        },
        false,
    );
    tell(&mut fleet, &[0, 1], 0..300, 5 * MS);
    fleet.append(0, Subject::Drain, true);
    tell(&mut fleet, &[0, 1], 300..1_500, 5 * MS);
    fleet.start(2);
    fleet.settle(60 * S);
    fleet.run(S);
    fleet.check();
    let store = fleet.replica(2).log_store();
    let decisions: Vec<_> = store.operator_decisions(1_000).into_iter().collect();
    assert_eq!(decisions, [(ban(), false), (Subject::Drain, true)]);
    assert_eq!(
        store.trigger_status(1_000, 77),
        Some(format!("{}b", "a".repeat(112)))
    );
    assert!(store
        .latest_entry_time(&Subject::TriggerDeleted {
            writer: 5,
            number: 6
        })
        .is_some());
    assert_eq!(snapshots(&fleet, 2), 1);
    assert!(fleet.replica(2).is_synced(), "and it is all on its disk");
}

/// A full table takes its time: no second brings more than the stated rate, and the sender's share is bounded too.
#[test]
fn a_snapshot_keeps_its_pace() {
    let mut fleet = Fleet::new(2, 1, 2_000, 5);
    fleet.bits = BucketBits::new(12).expect("possible");
    fleet.kill(0);
    fleet.start(0);
    for n in 0..60_000 {
        fleet.tell(0, object(n));
        if n % 100 == 0 {
            fleet.run(5 * MS);
        }
    }
    fleet.run(S);
    assert_eq!(fleet.refused, 0);
    fleet.start(1);
    let begin = fleet.links.now;
    while snapshots(&fleet, 1) == 0 {
        let before = fleet.members[1].received_bytes;
        fleet.run(S);
        let bytes = fleet.members[1].received_bytes - before;
        assert!(bytes <= 262_144 + 16_384, "{bytes} bytes in a second");
    }
    let (took, bytes) = (fleet.links.now - begin, fleet.members[1].received_bytes);
    println!("{bytes} bytes of a snapshot in {took} us");
    assert!(took <= 3 * S, "{took}");
}

/// A peer of a version before snapshots hears each purge as it is told, and is named to the operators.
#[test]
fn an_older_peer_hears_what_is_told_and_is_reported_once_it_was_away_too_long() {
    let mut fleet = Fleet::new(2, 2, 100, 4);
    fleet.members[1].is_old = true;
    tell(&mut fleet, &[0], 0..150, 5 * MS);
    fleet.settle(10 * S);
    fleet.check();
    assert_eq!(fleet.replica(0).peers_without_snapshot(), [0usize; 0]);
    fleet.kill(1);
    tell(&mut fleet, &[0], 150..1_000, 5 * MS);
    fleet.start(1);
    let returned = fleet.links.now;
    tell(&mut fleet, &[0], 1_000..1_010, 5 * MS);
    fleet.run(60 * S);
    assert_eq!(
        fleet.replica(0).peers_without_snapshot(),
        [0],
        "it never answers an offer"
    );
    let since = fleet.purged.iter().filter(|(_, at)| **at >= returned);
    let in_force = since.filter(|(subject, at)| fleet.members[1].floors.get(subject) >= Some(at));
    assert_eq!(
        in_force.count(),
        10,
        "what is told from now on it puts in force"
    );
}
