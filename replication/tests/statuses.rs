//! Entries that are of use for a time only: the status of triggers, in pieces, and that a neighbour has done with one.

use linnetknot_replication::*;

const CAPACITY: Capacity = Capacity {
    entries: 3,
    expiring_entries: 6,
    logs: 9,
};
const OWN: LogId = LogId::new(1, 7);

fn append(
    log_store: &mut LogStore,
    log: LogId,
    subject: Subject,
    at: Micros,
) -> Result<Entry, CapacityExceeded> {
    log_store.append(
        log,
        Record {
            subject,
            at,
            revoked: false,
        },
        CAPACITY,
    )
}

fn piece(number: u64, part: u16, text: &str) -> Subject {
    Subject::TriggerStatusPart {
        number,
        part,
        text: text.to_owned(),
    }
}

#[test]
fn a_status_is_told_in_the_order_of_its_pieces_until_one_is_missing_or_it_is_gone() {
    let mut log_store = LogStore::default();
    for (number, part, text) in [(5, 0, "{a"), (6, 0, "{x}"), (5, 1, "b}"), (4, 1, "cut}")] {
        append(&mut log_store, OWN, piece(number, part, text), 10).unwrap();
    }
    let outgoing =
        |log_store: &LogStore| [4, 5, 6].map(|number| log_store.trigger_status(1, number));
    assert_eq!(
        outgoing(&log_store),
        [None, Some("{ab}".into()), Some("{x}".into())]
    );
    assert_eq!(log_store.trigger_status(2, 5), None, "another writer's");
    assert_eq!(
        log_store.triggers().into_iter().collect::<Vec<_>>(),
        [(1, 4), (1, 5), (1, 6)]
    );
    // Another proxy was sent that it is done with.
    append(
        &mut log_store,
        LogId::new(2, 9),
        Subject::TriggerDeleted {
            writer: 1,
            number: 5,
        },
        12,
    )
    .unwrap();
    assert_eq!(outgoing(&log_store), [None, None, Some("{x}".into())]);
}

#[test]
fn what_passes_takes_no_room_of_what_holds_for_good_and_goes_with_its_time() {
    let mut log_store = LogStore::default();
    (0..6).for_each(|part| {
        drop(
            append(
                &mut log_store,
                OWN,
                piece(5, part, "x"),
                10 + u64::from(part),
            )
            .unwrap(),
        );
    });
    assert_eq!(
        append(&mut log_store, OWN, piece(6, 0, "x"), 20),
        Err(CapacityExceeded)
    );
    (0..3).for_each(|group| drop(append(&mut log_store, OWN, Subject::Group(group), 20).unwrap()));
    assert_eq!(
        append(&mut log_store, OWN, Subject::Group(3), 20),
        Err(CapacityExceeded),
        "nor does it give any"
    );
    let (end, sum) = (log_store.last_index(OWN), log_store.checksum());
    let gone: Vec<Index> = log_store.expire(113, 100).iter().map(|e| e.index).collect();
    assert_eq!((gone, log_store.len()), (vec![1, 2, 3, 4], 5));
    assert_eq!(
        (log_store.last_index(OWN), log_store.checksum()),
        (end, sum),
        "who has let go less has the same logs"
    );
    assert!(log_store.expire(113, 100).is_empty());
    // One who was away passes over what has gone.
    let mut away = LogStore::default();
    for entry in log_store.entries_after(OWN, 0) {
        assert_eq!(away.try_insert(&entry, CAPACITY), Insertion::New);
    }
    assert_eq!(
        (away.last_index(OWN), away.checksum(), away.len()),
        (end, sum, 5)
    );
}

#[test]
fn the_last_place_of_a_log_is_kept_and_that_a_status_is_gone_outlives_the_status() {
    let mut log_store = LogStore::default();
    append(&mut log_store, OWN, piece(5, 0, "x"), 10).unwrap();
    append(&mut log_store, OWN, piece(6, 0, "y"), 10).unwrap();
    let gone = Subject::TriggerDeleted {
        writer: 1,
        number: 5,
    };
    append(&mut log_store, LogId::new(2, 3), gone.clone(), 10).unwrap();
    append(&mut log_store, LogId::new(2, 3), piece(1, 0, "z"), 10).unwrap();
    let over: Vec<(LogId, Index)> = log_store
        .expire(110, 100)
        .iter()
        .map(|e| (e.log, e.index))
        .collect();
    assert_eq!(
        over,
        [(OWN, 1)],
        "6 is the last, and 5 may be had elsewhere still"
    );
    assert_eq!(
        (
            log_store.last_index(OWN),
            log_store.latest_entry_time(&gone)
        ),
        (2, Some(10))
    );
    let over: Vec<Index> = log_store.expire(210, 100).iter().map(|e| e.index).collect();
    assert_eq!(over, [1], "by then nobody has what it is about");
    append(&mut log_store, OWN, Subject::Drain, 300).unwrap();
    assert_eq!(
        log_store.expire(300, 100).len(),
        1,
        "it is not the last any more"
    );
}

/// A disk that did not take a status in all of its time need not take it any more.
#[test]
fn what_the_disk_did_not_take_before_its_time_was_over_holds_no_promise_up() {
    let options = Options {
        expiry_us: 100,
        min_acks: 0,
        ..Options::default()
    };
    let mut replica = Replica::new(OWN, LogStore::default(), 1, options);
    let first = replica.append(piece(5, 0, "x"), 10, false).unwrap();
    replica.record_sync_failure(first.log, first.index);
    let second = replica.append(Subject::Group(3), 200, false).unwrap();
    assert_eq!(replica.expire(200).len(), 1);
    assert!(replica.take_failed_syncs().is_empty());
    replica.record_synced(second.log, second.index);
    assert_eq!(
        replica.durable_index(OWN),
        0,
        "what stands before it may have been superseded by something unsynced"
    );
    assert!(
        replica.take_failed_syncs().is_empty(),
        "it is known to be nothing that is in force"
    );
    assert_eq!((replica.durable_index(OWN), replica.is_synced()), (2, true));
}

#[test]
fn a_text_of_any_characters_comes_back_from_pieces_that_each_fit_a_datagram() {
    let odd = "{\"a\": \"50% of\u{7f} \u{1}\t\u{e9}\u{1f600} %zz\"}";
    for text in [
        odd.to_owned(),
        odd.repeat(40),
        "%".repeat(500),
        " ".repeat(113),
        "x".repeat(112),
    ] {
        let cut = split_status(&text).unwrap();
        assert_eq!(
            cut.iter()
                .map(|(_, piece)| piece.as_str())
                .collect::<String>(),
            text
        );
        for (part, text) in cut {
            // All numbers as long as they can be.
            let subject = Subject::TriggerStatusPart {
                number: u64::MAX,
                part: u16::MAX - part,
                text,
            };
            let most = u64::MAX;
            let entry = Entry {
                log: LogId::new(most, most),
                index: most,
                prev: most - 1,
                subject,
                at: most,
                revoked: false,
            };
            let bytes = Datagram::Entry(entry.clone()).encode().expect("it fits");
            assert_eq!(Datagram::decode(&bytes), Ok(Datagram::Entry(entry)));
        }
    }
    assert_eq!(split_status("").unwrap(), [(0, String::new())]);
    for torn in ["%", "%4", "%zz", "%+1", "a%\u{e9}", "%41", "\u{1}", "%2A"] {
        let datagram = format!("copies1 entry 1 1 0 1 1 status 1.0.{torn}");
        assert_eq!(
            Datagram::decode(datagram.as_bytes()),
            Err(DecodeError::Malformed),
            "{torn}"
        );
    }
    assert!(
        split_status(&"x".repeat(112 * 65_536)).is_some()
            && split_status(&"x".repeat(112 * 65_536 + 1)).is_none()
    );
}

/// That a status is gone is known for longer than the status: its number must not be given again meanwhile.
#[test]
fn the_last_trigger_of_a_writer_counts_also_where_only_its_end_is_known() {
    let mut log_store = LogStore::default();
    assert_eq!(log_store.last_trigger_number(1), None);
    append(&mut log_store, OWN, piece(5, 0, "x"), 10).unwrap();
    let gone = Subject::TriggerDeleted {
        writer: 1,
        number: 5,
    };
    append(&mut log_store, OWN, gone, 10).unwrap();
    append(&mut log_store, OWN, Subject::Drain, 10).unwrap();
    assert_eq!(log_store.expire(110, 100).len(), 1, "the status alone");
    assert!(log_store.triggers().is_empty());
    assert_eq!(log_store.last_trigger_number(1), Some(5));
    assert_eq!(log_store.last_trigger_number(2), None);
}

/// What a process finds on its disk counts from its start, whatever its clock says; by the stored time it goes only
/// where no two clocks can be that far apart.
#[test]
fn what_another_process_wrote_counts_from_when_it_was_first_seen() {
    const HOUR: u64 = 3_600_000_000;
    for (start, over) in [
        (HOUR + 1, 2 * HOUR + 1),
        (10, HOUR + 10),
        (4 * HOUR, 4 * HOUR),
    ] {
        let mut log_store = LogStore::default();
        append(&mut log_store, OWN, piece(5, 0, "x"), HOUR).unwrap();
        append(&mut log_store, OWN, Subject::Drain, HOUR).unwrap();
        log_store.restart_expiry(start);
        assert!(log_store.expire(over - 1, HOUR).is_empty(), "{start}");
        assert_eq!(log_store.expire(over, HOUR).len(), 1, "{start}");
    }
}
