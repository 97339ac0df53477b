//! Entries that arrive out of order: the gaps that are requested, and the insertion once they are filled.

use linnetknot_replication::*;

const LOG: LogId = LogId::new(1, 1);
const S: Micros = 1_000_000;

fn entry(index: Index, prev: Index) -> Entry {
    Entry {
        log: LOG,
        index,
        prev,
        subject: Subject::Group(index),
        at: index,
        revoked: false,
    }
}

/// Returns a replica that has received entry 1 of the log and whose reorder buffer has this capacity.
fn replica(max_reordered_entries: usize) -> Replica {
    let options = Options {
        max_reordered_entries,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(2, 2), LogStore::default(), 1, options);
    replica.set_peers(10, vec![20]);
    assert_eq!(receive(&mut replica, entry(1, 0)), [1]);
    replica
}

/// Receives an entry. Returns the indexes that were inserted.
fn receive(replica: &mut Replica, entry: Entry) -> Vec<Index> {
    replica
        .receive(Micros::MAX, 0, Datagram::Entry(entry))
        .new
        .into_iter()
        .map(|entry| entry.index)
        .collect()
}

/// Returns the gaps of the log that the replica requests.
fn requested_gaps(replica: &mut Replica, now: Micros) -> Vec<(Index, Index)> {
    let gaps_of = |out: Outgoing| match out.datagram {
        Datagram::GapRequest { log: LOG, gaps } => {
            gaps.iter().map(|gap| (gap.after, gap.through)).collect()
        }
        _ => Vec::new(),
    };
    // The first tick may only start the timer for the request. The timer has expired at the second tick.
    let first: Vec<_> = replica.tick(now).into_iter().flat_map(gaps_of).collect();
    if first.is_empty() {
        return replica
            .tick(now + S / 2)
            .into_iter()
            .flat_map(gaps_of)
            .collect();
    }
    first
}

#[test]
fn gaps_are_requested_and_buffered_entries_are_inserted_once_they_are_filled() {
    let mut replica = replica(9);
    // 1 is stored; 2, 3 and 6 are missing; 4 was superseded.
    for out_of_order in [entry(8, 7), entry(5, 3), entry(7, 6), entry(8, 7)] {
        assert_eq!(receive(&mut replica, out_of_order), [0; 0]);
    }
    assert_eq!(requested_gaps(&mut replica, S), [(1, 3), (5, 6)]);
    assert_eq!(receive(&mut replica, entry(2, 1)), [2]);
    assert_eq!(receive(&mut replica, entry(3, 2)), [3, 5]);
    assert_eq!(requested_gaps(&mut replica, 2 * S), [(5, 6)]);
    // Entry 7 arrives again, from a sender at which entry 6 has been superseded.
    assert_eq!(receive(&mut replica, entry(7, 5)), [7, 8]);
    assert_eq!(requested_gaps(&mut replica, 3 * S), []);
    assert_eq!(replica.log_store().last_index(LOG), 8);
}

#[test]
fn entries_beyond_the_capacity_of_the_reorder_buffer_are_dropped() {
    let mut replica = replica(1);
    assert_eq!(receive(&mut replica, entry(4, 3)), [0; 0]);
    assert_eq!(receive(&mut replica, entry(9, 8)), [0; 0]);
    assert_eq!(requested_gaps(&mut replica, S), [(1, 3)]);
    assert_eq!(receive(&mut replica, entry(3, 1)), [3, 4], "9 was dropped");
    assert_eq!(requested_gaps(&mut replica, 2 * S), []);
}
