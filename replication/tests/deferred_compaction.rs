//! Compaction is deferred, up to a limit, while a peer reads a snapshot, so that the peer receives the entries after
//! the snapshot without another snapshot.

use linnetknot_replication::*;

const MAX_EXACT_ENTRIES: usize = 16;
const SECOND: Micros = 1_000_000;

fn replica(writer: Writer) -> Replica {
    let options = Options {
        max_exact_entries: MAX_EXACT_ENTRIES,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(writer, 7), LogStore::default(), writer, options);
    replica.set_peers(writer, vec![writer + 1]);
    replica
}

/// Appends a purge to the replica's own log and records the entry as synced.
fn purge(replica: &mut Replica, n: u64) {
    let entry = replica.append(Subject::Group(n), n, false).unwrap();
    replica.record_synced(entry.log, entry.index);
}

/// Requests a snapshot from its start. Returns the number of chunks in the reply.
fn request_snapshot(sender: &mut Replica) -> usize {
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
fn compaction_is_deferred_up_to_a_limit_while_a_snapshot_is_read() {
    let mut sender = replica(1);
    (0..17).for_each(|n| purge(&mut sender, n));
    assert!(sender.compact(SECOND).is_some(), "no peer reads a snapshot");
    assert!(request_snapshot(&mut sender) > 0);
    let exact = sender.log_store().exact_len();
    for n in exact..MAX_EXACT_ENTRIES + MAX_EXACT_ENTRIES / 2 {
        purge(&mut sender, 100 + n as u64);
        assert_eq!(sender.compact(2 * SECOND), None, "{n} entries");
    }
    purge(&mut sender, 1_000);
    assert!(sender.compact(2 * SECOND).is_some(), "the limit is reached");
    // The sender drops the snapshot image once the peer has not read it for some time. Then compaction is no longer
    // deferred.
    (2_000..2_009).for_each(|n| purge(&mut sender, n));
    assert_eq!(sender.compact(2 * SECOND), None);
    (0..100).for_each(|n| drop(sender.tick((3 + n) * SECOND)));
    assert!(sender.compact(200 * SECOND).is_some());
}
