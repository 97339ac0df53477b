//! Entries that expire: the parts of trigger statuses, and the deletions of triggers.

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

fn status_part(number: u64, part: u16, text: &str) -> Subject {
    Subject::TriggerStatusPart {
        number,
        part,
        text: text.to_owned(),
    }
}

#[test]
fn a_status_is_assembled_from_its_parts_unless_the_first_is_missing_or_it_is_deleted() {
    let mut log_store = LogStore::default();
    for (number, part, text) in [(5, 0, "{a"), (6, 0, "{x}"), (5, 1, "b}"), (4, 1, "cut}")] {
        append(&mut log_store, OWN, status_part(number, part, text), 10).unwrap();
    }
    let statuses =
        |log_store: &LogStore| [4, 5, 6].map(|number| log_store.trigger_status(1, number));
    assert_eq!(
        statuses(&log_store),
        [None, Some("{ab}".into()), Some("{x}".into())]
    );
    assert_eq!(log_store.trigger_status(2, 5), None, "another writer's");
    assert_eq!(
        log_store.triggers().into_iter().collect::<Vec<_>>(),
        [(1, 4), (1, 5), (1, 6)]
    );
    // The trigger is deleted through another proxy.
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
    assert_eq!(statuses(&log_store), [None, None, Some("{x}".into())]);
}

#[test]
fn expiring_entries_have_a_separate_capacity_and_are_removed_after_expiry() {
    let mut log_store = LogStore::default();
    (0..6).for_each(|part| {
        drop(
            append(
                &mut log_store,
                OWN,
                status_part(5, part, "x"),
                10 + u64::from(part),
            )
            .unwrap(),
        );
    });
    assert_eq!(
        append(&mut log_store, OWN, status_part(6, 0, "x"), 20),
        Err(CapacityExceeded)
    );
    (0..3).for_each(|group| drop(append(&mut log_store, OWN, Subject::Group(group), 20).unwrap()));
    assert_eq!(
        append(&mut log_store, OWN, Subject::Group(3), 20),
        Err(CapacityExceeded),
        "the capacity of expiring entries is not available to others"
    );
    let (last_index, checksum) = (log_store.last_index(OWN), log_store.checksum());
    let expired: Vec<Index> = log_store.expire(113, 100).iter().map(|e| e.index).collect();
    assert_eq!((expired, log_store.len()), (vec![1, 2, 3, 4], 5));
    assert_eq!(
        (log_store.last_index(OWN), log_store.checksum()),
        (last_index, checksum),
        "expiry must not change the position in the log"
    );
    assert!(log_store.expire(113, 100).is_empty());
    // Another replica skips the expired entries.
    let mut other_store = LogStore::default();
    for entry in log_store.entries_after(OWN, 0) {
        assert_eq!(other_store.try_insert(&entry, CAPACITY), Insertion::New);
    }
    assert_eq!(
        (
            other_store.last_index(OWN),
            other_store.checksum(),
            other_store.len()
        ),
        (last_index, checksum, 5)
    );
}

#[test]
fn the_last_entry_of_a_log_never_expires_and_deletions_outlive_statuses() {
    let mut log_store = LogStore::default();
    append(&mut log_store, OWN, status_part(5, 0, "x"), 10).unwrap();
    append(&mut log_store, OWN, status_part(6, 0, "y"), 10).unwrap();
    let deletion = Subject::TriggerDeleted {
        writer: 1,
        number: 5,
    };
    append(&mut log_store, LogId::new(2, 3), deletion.clone(), 10).unwrap();
    append(&mut log_store, LogId::new(2, 3), status_part(1, 0, "z"), 10).unwrap();
    let expired: Vec<(LogId, Index)> = log_store
        .expire(110, 100)
        .iter()
        .map(|e| (e.log, e.index))
        .collect();
    assert_eq!(
        expired,
        [(OWN, 1)],
        "status 6 is the last entry, and the deletion is retained for twice as long"
    );
    assert_eq!(
        (
            log_store.last_index(OWN),
            log_store.latest_entry_time(&deletion)
        ),
        (2, Some(10))
    );
    let expired: Vec<Index> = log_store.expire(210, 100).iter().map(|e| e.index).collect();
    assert_eq!(expired, [1], "the deletion has expired");
    append(&mut log_store, OWN, Subject::Drain, 300).unwrap();
    assert_eq!(
        log_store.expire(300, 100).len(),
        1,
        "status 6 is no longer the last entry"
    );
}

#[test]
fn an_expired_entry_that_was_never_written_does_not_block_commits() {
    let options = Options {
        expiry_us: 100,
        min_acks: 0,
        ..Options::default()
    };
    let mut replica = Replica::new(OWN, LogStore::default(), 1, options);
    let first = replica.append(status_part(5, 0, "x"), 10, false).unwrap();
    replica.record_sync_failure(first.log, first.index);
    let second = replica.append(Subject::Group(3), 200, false).unwrap();
    assert_eq!(replica.expire(200).len(), 1);
    assert!(replica.take_failed_syncs().is_empty());
    replica.record_synced(second.log, second.index);
    assert_eq!(
        replica.durable_index(OWN),
        0,
        "the entry before it is still unsynced"
    );
    assert!(
        replica.take_failed_syncs().is_empty(),
        "the expired entry must not be written again"
    );
    assert_eq!((replica.durable_index(OWN), replica.is_synced()), (2, true));
}

#[test]
fn any_text_is_restored_from_parts_that_each_fit_into_a_datagram() {
    let special = "{\"a\": \"50% of\u{7f} \u{1}\t\u{e9}\u{1f600} %zz\"}";
    for text in [
        special.to_owned(),
        special.repeat(40),
        "%".repeat(500),
        " ".repeat(113),
        "x".repeat(112),
    ] {
        let parts = split_status(&text).unwrap();
        assert_eq!(
            parts
                .iter()
                .map(|(_, text)| text.as_str())
                .collect::<String>(),
            text
        );
        for (part, text) in parts {
            // All numbers have the maximum length.
            let subject = Subject::TriggerStatusPart {
                number: u64::MAX,
                part: u16::MAX - part,
                text,
            };
            let max = u64::MAX;
            let entry = Entry {
                log: LogId::new(max, max),
                index: max,
                prev: max - 1,
                subject,
                at: max,
                revoked: false,
            };
            let bytes = Datagram::Entry(entry.clone())
                .encode()
                .expect("the datagram fits");
            assert_eq!(Datagram::decode(&bytes), Ok(Datagram::Entry(entry)));
        }
    }
    assert_eq!(split_status("").unwrap(), [(0, String::new())]);
    for malformed in ["%", "%4", "%zz", "%+1", "a%\u{e9}", "%41", "\u{1}", "%2A"] {
        let datagram = format!("copies1 entry 1 1 0 1 1 status 1.0.{malformed}");
        assert_eq!(
            Datagram::decode(datagram.as_bytes()),
            Err(DecodeError::Malformed),
            "{malformed}"
        );
    }
    assert!(
        split_status(&"x".repeat(112 * 65_536)).is_some()
            && split_status(&"x".repeat(112 * 65_536 + 1)).is_none()
    );
}

/// Guards against the reuse of the number of a deleted trigger, whose status has expired.
#[test]
fn the_last_trigger_number_includes_triggers_of_which_only_the_deletion_is_stored() {
    let mut log_store = LogStore::default();
    assert_eq!(log_store.last_trigger_number(1), None);
    append(&mut log_store, OWN, status_part(5, 0, "x"), 10).unwrap();
    let deletion = Subject::TriggerDeleted {
        writer: 1,
        number: 5,
    };
    append(&mut log_store, OWN, deletion, 10).unwrap();
    append(&mut log_store, OWN, Subject::Drain, 10).unwrap();
    assert_eq!(
        log_store.expire(110, 100).len(),
        1,
        "only the status expires"
    );
    assert!(log_store.triggers().is_empty());
    assert_eq!(log_store.last_trigger_number(1), Some(5));
    assert_eq!(log_store.last_trigger_number(2), None);
}

/// Entries that are restored from the disk expire relative to the start of the process. They expire by their stored
/// time only if it is older than the maximum clock skew allows.
#[test]
fn entries_of_another_process_expire_relative_to_when_they_were_first_seen() {
    const HOUR: u64 = 3_600_000_000;
    for (start, expiry) in [
        (HOUR + 1, 2 * HOUR + 1),
        (10, HOUR + 10),
        (4 * HOUR, 4 * HOUR),
    ] {
        let mut log_store = LogStore::default();
        append(&mut log_store, OWN, status_part(5, 0, "x"), HOUR).unwrap();
        append(&mut log_store, OWN, Subject::Drain, HOUR).unwrap();
        log_store.restart_expiry(start);
        assert!(log_store.expire(expiry - 1, HOUR).is_empty(), "{start}");
        assert_eq!(log_store.expire(expiry, HOUR).len(), 1, "{start}");
    }
}
