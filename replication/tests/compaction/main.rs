//! Compaction and snapshots in fleets on virtual time. Every member must have each purge with its time or a later time,
//! both in memory and in the state that its disk would restore, and the time of a purge must never decrease.

mod fleet;

use fleet::{object, purge_subject, Fleet, MS, S};
use linnetknot_replication::*;

/// Appends purges at the members of a side in turn, at an interval.
fn purge_in_turn(
    fleet: &mut Fleet,
    side: &[usize],
    numbers: std::ops::Range<u64>,
    interval: Micros,
) {
    for n in numbers {
        fleet.purge(side[n as usize % side.len()], purge_subject(n));
        fleet.run(interval);
        if n % 500 == 0 {
            fleet.check_times_not_decreased(16);
        }
    }
}

fn snapshots(fleet: &Fleet, n: usize) -> u64 {
    fleet.replica(n).counters().snapshots_received
}

/// 400 purges per second for a minute at 64 members: 16 times as many purges as each member stores as exact entries.
#[test]
fn no_purge_of_a_busy_fleet_is_rejected_and_all_members_have_all_purges() {
    let mut fleet = Fleet::new(64, 64, 1_500, 3);
    let all: Vec<usize> = (0..64).collect();
    for second in 0..60 {
        for n in 0..400 {
            let n = second * 400 + n;
            fleet.purge(all[n as usize % 64], purge_subject(n));
            fleet.run(S / 400);
        }
        fleet.check_times_not_decreased(64);
    }
    fleet.run_until_converged(60 * S);
    fleet.run(S);
    assert_eq!((fleet.rejected_count, fleet.purged.len()), (0, 24_000));
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
fn a_member_that_missed_compacted_purges_recovers_all_of_them() {
    for (seed, loses_disk) in [(1, false), (2, true), (3, false), (4, true)] {
        let mut fleet = Fleet::new(4, 4, 200, seed);
        purge_in_turn(&mut fleet, &[0, 1, 2, 3], 0..300, 5 * MS);
        fleet.run(S);
        fleet.kill(3);
        if loses_disk {
            fleet.lose_disk(3);
        }
        purge_in_turn(&mut fleet, &[0, 1, 2], 300..2_000, 5 * MS);
        fleet.start(3);
        fleet.run(S);
        assert!(
            fleet.replica(3).is_catching_up() || snapshots(&fleet, 3) > 0,
            "seed {seed}"
        );
        purge_in_turn(&mut fleet, &[0, 1, 2, 3], 2_000..2_300, 5 * MS);
        fleet.run_until_converged(60 * S);
        fleet.run(S);
        assert!(
            snapshots(&fleet, 3) >= 1 && !fleet.replica(3).is_catching_up(),
            "seed {seed}"
        );
        fleet.check();
        // The disk of replica 3 also has all purges: none is missing after the replica is killed and restarted.
        fleet.kill(3);
        fleet.start(3);
        assert_eq!(fleet.missing_purges(3, Micros::MAX), 0, "seed {seed}");
    }
}

#[test]
fn a_new_member_has_all_purges_before_it_stops_catching_up() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(3, 2, 100, seed);
        purge_in_turn(&mut fleet, &[0, 1], 0..3_000, 2 * MS);
        fleet.run(S);
        let purged_at = fleet.links.now;
        fleet.start(2);
        let mut was_catching_up = false;
        while fleet.replica(2).log_store().checksum() != fleet.replica(0).log_store().checksum() {
            fleet.run(5 * MS);
            let is_catching_up = fleet.replica(2).is_catching_up();
            if was_catching_up && !is_catching_up {
                let store = fleet.replica(2).log_store();
                let is_caught_up_with = |n| has_compacted_logs(fleet.replica(n).log_store(), store);
                assert!(
                    is_caught_up_with(0) || is_caught_up_with(1),
                    "seed {seed}: not caught up with the sender of the snapshot"
                );
            }
            was_catching_up |= is_catching_up;
            assert!(fleet.links.now < purged_at + 60 * S, "seed {seed}");
        }
        assert!(was_catching_up, "seed {seed}");
        assert_eq!(
            fleet.missing_purges(2, purged_at),
            0,
            "seed {seed}: purges are missing although the checksums are equal"
        );
        fleet.run(S);
        fleet.check();
    }
}

/// Returns whether `store` has all logs of `other` through their compacted indexes.
fn has_compacted_logs(other: &LogStore, store: &LogStore) -> bool {
    let mut compacted = other.compacted_logs(LogId::default());
    compacted.all(|compacted| store.last_index(compacted.log) >= compacted.through)
}

#[test]
fn both_sides_of_a_partition_that_have_compacted_converge() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(6, 6, 150, seed);
        purge_in_turn(&mut fleet, &[0, 1, 2, 3, 4, 5], 0..100, 5 * MS);
        fleet.run(S);
        fleet.links.partition(6, &[0, 1, 2]);
        for n in (100..2_100).step_by(100) {
            purge_in_turn(&mut fleet, &[0, 1, 2], n..n + 50, 5 * MS);
            purge_in_turn(&mut fleet, &[3, 4, 5], n + 50..n + 100, 5 * MS);
        }
        fleet.run(S);
        fleet.links.restore();
        fleet.run_until_converged(120 * S);
        fleet.run(S);
        let received_snapshots: u64 = (0..6).map(|n| snapshots(&fleet, n)).sum();
        assert!(received_snapshots >= 6, "seed {seed}: {received_snapshots}");
        fleet.check();
    }
}

#[test]
fn a_snapshot_is_received_despite_loss_duplication_and_reordering() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(3, 2, 100, seed);
        purge_in_turn(&mut fleet, &[0, 1], 0..2_500, MS);
        fleet.run(S);
        (
            fleet.links.loss_percent,
            fleet.links.duplicate_percent,
            fleet.links.delay.jitter_us,
        ) = (30, 20, 150 * MS);
        fleet.start(2);
        purge_in_turn(&mut fleet, &[0, 1, 2], 2_500..2_700, 20 * MS);
        fleet.run_until_converged(120 * S);
        fleet.run(2 * S);
        assert!(snapshots(&fleet, 2) >= 1, "seed {seed}");
        fleet.check();
    }
}

/// The sender restarts during the transfer, with or without its disk, or fails permanently.
#[test]
fn a_snapshot_is_received_although_its_sender_restarts_or_fails() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(3, 2, 100, seed);
        // A low rate makes the transfer last long enough for the sender to restart or fail during it.
        fleet.options.snapshot_bytes_per_s = 20_000;
        (0..2).for_each(|n| {
            fleet.kill(n);
            fleet.start(n);
        });
        purge_in_turn(&mut fleet, &[0, 1], 0..2_500, MS);
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
        fleet.run_until_converged(120 * S);
        // A transfer of another snapshot, from the restarted sender, may still be in progress.
        let converged_at = fleet.links.now;
        while fleet.replica(2).is_catching_up() {
            fleet.run(100 * MS);
            assert!(fleet.links.now < converged_at + 60 * S, "seed {seed}");
        }
        assert!(snapshots(&fleet, 2) >= 1, "seed {seed}");
        fleet.run(S);
        fleet.check();
    }
}

#[test]
fn a_snapshot_contains_operator_decisions_and_trigger_statuses() {
    let mut fleet = Fleet::new(3, 2, 100, 9);
    let status_part = |part, text: &str| Subject::TriggerStatusPart {
        number: 77,
        part,
        text: text.to_owned(),
    };
    let ban = || Subject::Ban("pc-1".into());
    fleet.append(0, ban(), false);
    fleet.append(0, Subject::Drain, false);
    fleet.append(0, status_part(0, &"a".repeat(112)), false);
    fleet.append(0, status_part(1, "b"), false);
    fleet.append(
        1,
        Subject::TriggerDeleted {
            writer: 5,
            number: 6,
        },
        false,
    );
    purge_in_turn(&mut fleet, &[0, 1], 0..300, 5 * MS);
    fleet.append(0, Subject::Drain, true);
    purge_in_turn(&mut fleet, &[0, 1], 300..1_500, 5 * MS);
    fleet.start(2);
    fleet.run_until_converged(60 * S);
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
    assert!(fleet.replica(2).is_synced(), "all of it is on the disk");
}

#[test]
fn a_snapshot_is_received_at_a_limited_rate() {
    let mut fleet = Fleet::new(2, 1, 2_000, 5);
    fleet.bucket_bits = BucketBits::new(12).expect("a valid size");
    fleet.kill(0);
    fleet.start(0);
    for n in 0..60_000 {
        fleet.purge(0, object(n));
        if n % 100 == 0 {
            fleet.run(5 * MS);
        }
    }
    fleet.run(S);
    assert_eq!(fleet.rejected_count, 0);
    fleet.start(1);
    let start = fleet.links.now;
    while snapshots(&fleet, 1) == 0 {
        let before = fleet.members[1].received_bytes;
        fleet.run(S);
        let bytes = fleet.members[1].received_bytes - before;
        assert!(bytes <= 262_144 + 16_384, "{bytes} bytes in a second");
    }
    let (duration, bytes) = (fleet.links.now - start, fleet.members[1].received_bytes);
    println!("{bytes} bytes of a snapshot in {duration} us");
    assert!(duration <= 3 * S, "{duration}");
}

#[test]
fn a_peer_without_snapshots_receives_new_purges_and_is_reported_if_it_missed_older_ones() {
    let mut fleet = Fleet::new(2, 2, 100, 4);
    fleet.members[1].lacks_snapshots = true;
    purge_in_turn(&mut fleet, &[0], 0..150, 5 * MS);
    fleet.run_until_converged(10 * S);
    fleet.check();
    assert_eq!(fleet.replica(0).peers_without_snapshot(), [0usize; 0]);
    fleet.kill(1);
    purge_in_turn(&mut fleet, &[0], 150..1_000, 5 * MS);
    fleet.start(1);
    let returned = fleet.links.now;
    purge_in_turn(&mut fleet, &[0], 1_000..1_010, 5 * MS);
    fleet.run(60 * S);
    assert_eq!(
        fleet.replica(0).peers_without_snapshot(),
        [0],
        "the peer never answers an offer"
    );
    let since = fleet.purged.iter().filter(|(_, at)| **at >= returned);
    let effective =
        since.filter(|(subject, at)| fleet.members[1].early_times.get(subject) >= Some(at));
    assert_eq!(effective.count(), 10, "new purges are effective");
}
