//! Entries that come before others of their log: what is asked for, and what follows once that is here.

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

/// A replica that has index 1 of the log, and keeps so many entries that come early.
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

/// The indexes that an entry brings in force in their places, its own among them or not.
fn receive(replica: &mut Replica, entry: Entry) -> Vec<Index> {
    replica
        .receive(Micros::MAX, 0, Datagram::Entry(entry))
        .new
        .into_iter()
        .map(|entry| entry.index)
        .collect()
}

/// What is asked for of the log by now.
fn gaps(replica: &mut Replica, now: Micros) -> Vec<(Index, Index)> {
    let requested = |out: Outgoing| match out.datagram {
        Datagram::GapRequest { log: LOG, gaps } => {
            gaps.iter().map(|gap| (gap.after, gap.through)).collect()
        }
        _ => Vec::new(),
    };
    // The first tick finds what is missing, the second has waited for it.
    let first: Vec<_> = replica.tick(now).into_iter().flat_map(requested).collect();
    if first.is_empty() {
        return replica
            .tick(now + S / 2)
            .into_iter()
            .flat_map(requested)
            .collect();
    }
    first
}

#[test]
fn gaps_are_named_once_and_what_came_early_follows_what_was_missing() {
    let mut replica = replica(9);
    // 1 is had; 2, 3 and 6 are missing, and 4 was superseded.
    for early in [entry(8, 7), entry(5, 3), entry(7, 6), entry(8, 7)] {
        assert_eq!(receive(&mut replica, early), [0; 0]);
    }
    assert_eq!(gaps(&mut replica, S), [(1, 3), (5, 6)]);
    assert_eq!(receive(&mut replica, entry(2, 1)), [2]);
    assert_eq!(receive(&mut replica, entry(3, 2)), [3, 5]);
    assert_eq!(gaps(&mut replica, 2 * S), [(5, 6)]);
    // 7 comes again by another way, with those before it superseded.
    assert_eq!(receive(&mut replica, entry(7, 5)), [7, 8]);
    assert_eq!(gaps(&mut replica, 3 * S), []);
    assert_eq!(replica.log_store().last_index(LOG), 8);
}

#[test]
fn what_comes_beyond_the_bound_is_let_go() {
    let mut replica = replica(1);
    assert_eq!(receive(&mut replica, entry(4, 3)), [0; 0]);
    assert_eq!(receive(&mut replica, entry(9, 8)), [0; 0]);
    assert_eq!(gaps(&mut replica, S), [(1, 3)]);
    assert_eq!(receive(&mut replica, entry(3, 1)), [3, 4], "9 is not kept");
    assert_eq!(gaps(&mut replica, 2 * S), []);
}
