//! The encoding of datagrams. Released datagrams must not change, as older and newer proxies run side by side during an
//! upgrade.

use linnetknot_purges::{Fingerprint, KeyHash};
use linnetknot_replication::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOG: LogId = LogId::new(0x1a, 0x2b);

fn entry(subject: Subject, revoked: bool) -> Datagram {
    Datagram::Entry(Entry {
        log: LOG,
        index: 0x12,
        prev: 0x10,
        subject,
        at: 0xabc,
        revoked,
    })
}

#[test]
fn released_datagrams_are_encoded_byte_for_byte_as_before() {
    let status = Subject::TriggerStatusPart {
        number: 0x4d,
        part: 3,
        text: "{\"a b\": 50%}".into(),
    };
    let position = |log, index| LogPosition { log, index };
    let gap = |after, through| Gap { after, through };
    let positions = || vec![position(LOG, 7), position(LogId::new(3, 4), u64::MAX)];
    let expected: Vec<(Datagram, &str)> = vec![
        (
            entry(Subject::Object("0a".into()), false),
            "copies1 entry 1a 2b 10 12 abc object 0a",
        ),
        (
            entry(Subject::Group(70), false),
            "copies1 entry 1a 2b 10 12 abc group 70",
        ),
        (
            entry(Subject::Ban("pc-1".into()), false),
            "copies1 entry 1a 2b 10 12 abc ban pc-1",
        ),
        (
            entry(Subject::Ban("pc-1".into()), true),
            "copies1 entry 1a 2b 10 12 abc unban pc-1",
        ),
        (
            entry(Subject::Drain, false),
            "copies1 entry 1a 2b 10 12 abc drain on",
        ),
        (
            entry(Subject::Drain, true),
            "copies1 entry 1a 2b 10 12 abc drain over",
        ),
        (
            entry(status, false),
            "copies1 entry 1a 2b 10 12 abc status 4d.3.{\"a%20b\":%2050%25}",
        ),
        (
            entry(
                Subject::TriggerDeleted {
                    writer: 9,
                    number: 0x4d,
                },
                false,
            ),
            "copies1 entry 1a 2b 10 12 abc gone 9.4d",
        ),
        (
            Datagram::Digest {
                positions: positions(),
                log_count: 0x11,
                checksum: 0xff,
            },
            "copies1 have 11 ff 1a 2b 7 3 4 ffffffffffffffff",
        ),
        (
            Datagram::Digest {
                positions: vec![],
                log_count: 0,
                checksum: 0,
            },
            "copies1 have 0 0",
        ),
        (
            Datagram::RangeRequest {
                positions: positions(),
            },
            "copies1 want 1a 2b 7 3 4 ffffffffffffffff",
        ),
        (
            Datagram::GapRequest {
                log: LOG,
                gaps: vec![gap(1, 3), gap(10, 11)],
            },
            "copies1 lack 1a 2b 1 3 a b",
        ),
        (Datagram::DigestRequest, "copies1 ask"),
        (
            Datagram::Ack {
                process: 0x50,
                positions: positions(),
            },
            "copies1 held 50 1a 2b 7 3 4 ffffffffffffffff",
        ),
    ];
    for (datagram, bytes) in expected {
        assert_eq!(
            String::from_utf8(datagram.encode().expect("the datagram fits")).as_deref(),
            Ok(bytes)
        );
        assert_eq!(Datagram::decode(bytes.as_bytes()), Ok(datagram));
    }
}

/// Returns whether versions without snapshots accept a datagram. Those versions accept only text with certain keywords.
fn is_known_to_older(bytes: &[u8]) -> bool {
    let kinds = ["entry", "have", "want", "lack", "ask", "held"];
    let text = std::str::from_utf8(bytes)
        .ok()
        .and_then(|text| text.strip_prefix("copies1 "));
    text.is_some_and(|text| kinds.contains(&text.split(' ').next().unwrap_or_default()))
}

#[test]
fn snapshot_datagrams_are_stable_and_unknown_to_older_versions() {
    let offer = SnapshotOffer {
        process: 0x50,
        compacted_log_count: 9,
        logs: vec![CompactedLog {
            log: LOG,
            through: 0x77,
        }],
    };
    let request = |from| {
        Datagram::SnapshotRequest(SnapshotRequest {
            process: 0x50,
            from,
        })
    };
    let entry_cursor = SnapshotCursor::Entry { log: LOG, index: 5 };
    let expected = [
        (
            Datagram::SnapshotOffer(offer),
            "copies1 offer 50 9 1a 2b 77",
        ),
        (request(SnapshotCursor::START), "copies1 fetch 50 log 0 0"),
        (
            request(SnapshotCursor::Bucket(BucketIndex::from(0x1f))),
            "copies1 fetch 50 bucket 1f",
        ),
        (request(entry_cursor), "copies1 fetch 50 entry 1a 2b 5"),
        (request(SnapshotCursor::End), "copies1 fetch 50 end"),
    ];
    for (datagram, bytes) in expected {
        assert_eq!(
            String::from_utf8(datagram.encode().expect("the datagram fits")).as_deref(),
            Ok(bytes)
        );
        assert_eq!(Datagram::decode(bytes.as_bytes()), Ok(datagram));
        assert!(!is_known_to_older(bytes.as_bytes()));
    }
    let mut bucket = Bucket::default();
    bucket.record(Fingerprint::of(KeyHash::from(5)), 7_000);
    let indexed = snapshot::IndexedBucket {
        index: BucketIndex::from(2),
        bucket,
    };
    let chunk = SnapshotChunk {
        process: 0x50,
        image: 3,
        from: SnapshotCursor::BUCKETS,
        next: SnapshotCursor::ENTRIES,
        ends_window: true,
        content: SnapshotContent::Buckets {
            bucket_bits: BucketBits::MIN,
            buckets: vec![indexed],
        },
    };
    let bytes = Datagram::SnapshotChunk(chunk.clone())
        .encode()
        .expect("the datagram fits");
    let expected = [
        b"copies1 chunk \x81\0\0\0\0\0\0\0\x50\0\0\0\0\0\0\0\x03b\0\0\0\0E\x04".as_slice(),
        b"\0\0\0\x02\x01\0\0\0\0\0\0\0\0\0\0\0\0\x02\0\0\x05",
    ];
    assert_eq!(bytes, expected.concat());
    assert_eq!(Datagram::decode(&bytes), Ok(Datagram::SnapshotChunk(chunk)));
    assert!(!is_known_to_older(&bytes));
}

#[test]
fn three_full_buckets_fit_into_a_datagram() {
    let mut full = Bucket::default();
    for n in 0..20 {
        full.record(Fingerprint::of(KeyHash::from(n)), n << 30);
    }
    assert_eq!(full.len(), 7);
    let indexed = |n| snapshot::IndexedBucket {
        index: BucketIndex::from(n),
        bucket: full,
    };
    let chunk = SnapshotChunk {
        process: u64::MAX,
        image: u64::MAX,
        from: SnapshotCursor::BUCKETS,
        next: SnapshotCursor::Bucket(BucketIndex::from(9)),
        ends_window: false,
        content: SnapshotContent::Buckets {
            bucket_bits: BucketBits::DEFAULT,
            buckets: (0..3).map(indexed).collect(),
        },
    };
    let bytes = Datagram::SnapshotChunk(chunk)
        .encode()
        .expect("the datagram fits");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
}

#[test]
fn chunks_whose_content_is_not_between_their_cursors_are_rejected() {
    let compacted = |n, through| CompactedLog {
        log: LogId::new(n, 1),
        through,
    };
    let log_cursor = |n| SnapshotCursor::Log(LogId::new(n, 0));
    let is_accepted = |from, next, content| {
        let chunk = SnapshotChunk {
            process: 1,
            image: 1,
            from,
            next,
            ends_window: false,
            content,
        };
        Datagram::decode(
            &Datagram::SnapshotChunk(chunk)
                .encode()
                .expect("the datagram fits"),
        )
        .is_ok()
    };
    let logs =
        |numbers: &[u64]| SnapshotContent::Logs(numbers.iter().map(|n| compacted(*n, 5)).collect());
    assert!(is_accepted(log_cursor(1), log_cursor(9), logs(&[1, 3])));
    assert!(is_accepted(
        log_cursor(1),
        SnapshotCursor::BUCKETS,
        logs(&[])
    ));
    assert!(
        !is_accepted(log_cursor(2), log_cursor(9), logs(&[1, 3])),
        "before the start cursor"
    );
    assert!(
        !is_accepted(log_cursor(1), log_cursor(3), logs(&[1, 3])),
        "after the end cursor"
    );
    assert!(
        !is_accepted(log_cursor(1), log_cursor(9), logs(&[3, 1])),
        "out of order"
    );
    assert!(
        !is_accepted(log_cursor(9), log_cursor(9), logs(&[])),
        "an empty range"
    );
    assert!(
        !is_accepted(log_cursor(1), SnapshotCursor::End, logs(&[])),
        "an end cursor of another section"
    );
    assert!(
        !is_accepted(SnapshotCursor::BUCKETS, SnapshotCursor::ENTRIES, logs(&[])),
        "cursors of another section"
    );
}

fn entry_of_kind(n: u64, kind: u8, text: String) -> Entry {
    let subject = match kind % 4 {
        0 => Subject::Ban(format!("pc-{text}")),
        1 => Subject::Drain,
        2 => Subject::TriggerStatusPart {
            number: n,
            part: n as u16,
            text,
        },
        _ => Subject::TriggerDeleted {
            writer: n,
            number: !n,
        },
    };
    let revoked = kind % 4 < 2 && n % 2 == 0;
    Entry {
        log: LogId::new(7, 8),
        index: n,
        prev: 0,
        subject,
        at: !n,
        revoked,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x22b0), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn encoded_chunks_of_entries_are_decoded(n in 1u64..1 << 60, kind: u8, text in "[a-z]{0,56}", process: u64, image: u64) {
        let chunk = SnapshotChunk {
            process,
            image,
            from: SnapshotCursor::Entry { log: LogId::new(7, 8), index: n },
            next: SnapshotCursor::Entry { log: LogId::new(u64::MAX, 0), index: u64::MAX },
            ends_window: n % 3 == 0,
            content: SnapshotContent::Entries(vec![entry_of_kind(n, kind, text)]),
        };
        let datagram = Datagram::SnapshotChunk(chunk);
        let bytes = datagram.encode().expect("the datagram fits");
        prop_assert_eq!(Datagram::decode(&bytes), Ok(datagram));
        for cut in 0..bytes.len() {
            prop_assert_ne!(Datagram::decode(&bytes[..cut]), Datagram::decode(&bytes));
        }
    }

    #[test]
    fn any_bytes_after_the_prefix_of_a_chunk_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..242)) {
        let mut prefixed = b"copies1 chunk ".to_vec();
        prefixed.extend(&bytes);
        if let Ok(datagram) = Datagram::decode(&prefixed) {
            prop_assert_eq!(datagram.encode(), Some(prefixed));
        }
    }
}
