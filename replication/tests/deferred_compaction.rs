//! A sender does not compact further while a peer reads its snapshot, up to a bound: what stands behind the snapshot
//! comes to the peer as entries, and not by another snapshot.

use linnetknot_replication::*;

const WINDOW: usize = 16;
const SECOND: Micros = 1_000_000;

fn replica(writer: Writer) -> Replica {
    let options = Options {
        max_exact_entries: WINDOW,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(writer, 7), LogStore::default(), writer, options);
    replica.set_peers(writer, vec![writer + 1]);
    replica
}

/// Appends a purge that is on the disk at once.
fn purge(replica: &mut Replica, n: u64) {
    let entry = replica.append(Subject::Group(n), n, false).unwrap();
    replica.record_synced(entry.log, entry.index);
}

/// The sender's chunks for a request from the start.
fn read(sender: &mut Replica) -> usize {
    let request = SnapshotRequest {
        process: 1,
        from: SnapshotCursor::START,
    };
    sender
        .receive(Micros::MAX, 0, Datagram::SnapshotRequest(request))
        .replies
        .len()
}

#[test]
fn compaction_waits_for_a_snapshot_that_is_read_and_not_for_ever() {
    let mut sender = replica(1);
    (0..17).for_each(|n| purge(&mut sender, n));
    assert!(sender.compact(SECOND).is_some(), "nobody reads");
    assert!(read(&mut sender) > 0);
    let exact = sender.log_store().exact_len();
    for n in exact..WINDOW + WINDOW / 2 {
        purge(&mut sender, 100 + n as u64);
        assert_eq!(sender.compact(2 * SECOND), None, "{n} entries");
    }
    purge(&mut sender, 1_000);
    assert!(sender.compact(2 * SECOND).is_some(), "the bound is reached");
    // The image is let go once it was not read for a while; from then on the window's bound counts.
    (2_000..2_009).for_each(|n| purge(&mut sender, n));
    assert_eq!(sender.compact(2 * SECOND), None);
    (0..100).for_each(|n| drop(sender.tick((3 + n) * SECOND)));
    assert!(sender.compact(200 * SECOND).is_some());
}
