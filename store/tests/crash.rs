//! Crashes at every operation of the medium. Acknowledged groups must survive, and a group that was not acknowledged
//! must be stored completely or not at all.

use linnetknot_store::{
    Completion, Format, KeyValue, Keyspace, Store, StoreError, StoreWorker, Write,
};
use medium::Medium;

#[path = "common/medium.rs"]
mod medium;

const SPACE: Keyspace = Keyspace("test");

fn put(key: u64, value: u64) -> Write {
    Write::put(
        SPACE,
        key.to_be_bytes().to_vec(),
        value.to_be_bytes().to_vec(),
    )
}

fn open(medium: &Medium) -> Result<Store, StoreError> {
    let medium = medium.clone();
    Store::open_on(move || medium.clone())
}

/// Commits groups that each overwrite a key of the previous group and remove another key. Returns the number of
/// acknowledged groups.
fn commit_groups(medium: &Medium) -> u64 {
    let Ok(mut store) = open(medium) else {
        return 0;
    };
    for group in 1..=12u64 {
        let removal = Write::remove(SPACE, (1000 + group - 1).to_be_bytes().to_vec());
        if store
            .commit(&[
                put(1, group),
                put(1000 + group, group),
                put(2, group),
                removal,
            ])
            .is_err()
        {
            return group - 1;
        }
    }
    12
}

#[test]
fn acknowledged_groups_survive_a_crash_at_any_operation_and_no_group_is_partial() {
    let uninterrupted = Medium::default();
    assert_eq!(commit_groups(&uninterrupted), 12);
    let all = uninterrupted.0.lock().unwrap().operations;
    assert!(all > 50, "{all} operations");
    // Operations of the creation of the file are not tested, because an incomplete file is never renamed into place.
    let created = Medium::default();
    drop(open(&created).unwrap());
    let created = created.0.lock().unwrap().operations;
    let mut unacknowledged_commits = 0;
    for n in created..all {
        for seed in 0..4 {
            let medium = Medium::default();
            medium.0.lock().unwrap().remaining_operations = Some(n);
            let acknowledged = commit_groups(&medium);
            medium.0.lock().unwrap().lose_power(n * 4 + seed);
            let mut store =
                open(&medium).unwrap_or_else(|e| panic!("stopped at {n}, seed {seed}: {e}"));
            let stored = store.scan(SPACE).unwrap();
            let number = |key: u64| {
                let found = stored.iter().find(|pair| pair.key == key.to_be_bytes());
                found.map_or(0, |pair| {
                    u64::from_be_bytes(pair.value[..].try_into().unwrap())
                })
            };
            let group = number(1);
            assert!(
                group == acknowledged || group == acknowledged + 1,
                "stopped at {n}: {group}, {acknowledged} acknowledged"
            );
            assert_eq!(
                (number(2), number(1000 + group)),
                (group, group),
                "stopped at {n}: a group is partially stored"
            );
            assert_eq!(
                stored.len(),
                if group == 0 { 0 } else { 3 },
                "stopped at {n}: a removed key is stored again"
            );
            unacknowledged_commits += u64::from(group > acknowledged);
            store.commit(&[put(1, 99)]).unwrap();
        }
    }
    assert!(
        unacknowledged_commits < all,
        "every stop came after the sync of its group"
    );
}

#[test]
fn failed_commits_return_an_error_and_later_ones_succeed_after_recovery() {
    let medium = Medium::default();
    let mut store = open(&medium).unwrap();
    store.commit(&[put(1, 1)]).unwrap();
    medium.0.lock().unwrap().remaining_operations = Some(1);
    assert!(matches!(
        store.commit(&[put(1, 2)]),
        Err(StoreError::Disk(_))
    ));
    assert!(store.commit(&[put(1, 3)]).is_err(), "the disk still fails");
    medium.0.lock().unwrap().remaining_operations = None;
    store.commit(&[put(1, 4)]).unwrap();
    let all = store.scan(SPACE).unwrap();
    assert_eq!(
        all,
        [KeyValue {
            key: 1u64.to_be_bytes().to_vec(),
            value: 4u64.to_be_bytes().to_vec()
        }]
    );
}

#[test]
fn queued_writes_are_committed_together_and_a_full_queue_rejects_writes() {
    let medium = Medium::default();
    let store = open(&medium).unwrap();
    // The disk is blocked, so that writes queue up.
    let blocked = medium.0.lock().unwrap();
    let before = blocked.operations;
    let (wake_sender, wake_receiver) = std::sync::mpsc::channel();
    let mut worker =
        StoreWorker::start("test", store, 100, move || wake_sender.send(()).unwrap()).unwrap();
    let submitted = (1..=100)
        .map(|n| worker.submit(put(n, n)))
        .collect::<Vec<_>>();
    assert_eq!(submitted, (1..=100).map(Some).collect::<Vec<_>>());
    assert_eq!(
        (worker.submit(put(101, 1)), worker.capacity()),
        (None, 0),
        "the queue is bounded"
    );
    assert_eq!(worker.completion(), None);
    drop(blocked);
    let mut completions = Vec::new();
    while completions
        .last()
        .is_none_or(|d: &Completion| d.through < 100)
    {
        wake_receiver
            .recv_timeout(std::time::Duration::from_secs(10))
            .unwrap();
        completions.extend(std::iter::from_fn(|| worker.completion()));
    }
    assert!(completions.iter().all(|d| d.result.is_ok()));
    assert!(
        completions.len() <= 3,
        "{} syncs for 100 writes",
        completions.len()
    );
    assert!(medium.0.lock().unwrap().operations > before && worker.capacity() == 100);
    assert!(
        worker.submit(put(7, 8)).is_some(),
        "the queue has capacity again"
    );
    let (mut store, last) = worker.close().unwrap();
    assert_eq!((store.scan(SPACE).unwrap().len(), last.len()), (100, 1));
}

#[test]
fn foreign_damaged_and_open_files_are_rejected_with_the_reason() {
    let folder = std::env::temp_dir().join(format!("linnetknot-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("state");
    std::fs::write(&path, "purge object 0a 5\n").unwrap();
    let foreign = Store::open(&path).unwrap_err();
    assert!(matches!(foreign, StoreError::Damaged(_)), "{foreign:?}");
    assert_eq!(
        std::fs::read(&path).unwrap(),
        b"purge object 0a 5\n",
        "the file must not be changed"
    );
    std::fs::remove_file(&path).unwrap();
    // A temporary file left behind by a crash must be replaced.
    std::fs::write(folder.join("state.new"), [0x5a; 4096]).unwrap();
    let mut store = Store::open(&path).unwrap();
    assert!(!folder.join("state.new").exists());
    store
        .commit(&(0..200).map(|n| put(n, n)).collect::<Vec<_>>())
        .unwrap();
    assert_eq!(Store::open(&path).unwrap_err(), StoreError::Busy);
    drop(store);
    assert_eq!(
        Store::open(&path).unwrap().scan(SPACE).unwrap().len(),
        200,
        "closed and opened again"
    );
    // Opening a file of an unknown format must fail.
    let mut store = Store::open(&path).unwrap();
    let other = Write::put(
        Keyspace("head"),
        b"format".to_vec(),
        b"linnetknot state 9".to_vec(),
    );
    store.commit(&[other]).unwrap();
    drop(store);
    let error = Store::open(&path).unwrap_err().to_string();
    assert!(error.contains("linnetknot state 9"), "{error}");
    // Opening a truncated file must fail.
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    assert!(Store::open(&path).is_err());
    std::fs::write(&path, vec![0x5a; bytes.len()]).unwrap();
    let error = Store::open(&path).unwrap_err();
    assert!(matches!(error, StoreError::Damaged(_)), "{error:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn remove_if_removes_a_key_only_if_it_has_the_expected_value() {
    let mut store = open(&Medium::default()).unwrap();
    let key = |n: u64| n.to_be_bytes().to_vec();
    store.commit(&[put(1, 5), put(2, 5)]).unwrap();
    let remove_if_5 = |n| Write::remove_if(SPACE, key(n), 5u64.to_be_bytes().to_vec());
    store
        .commit(&[put(1, 9), remove_if_5(1), remove_if_5(2), remove_if_5(3)])
        .unwrap();
    assert_eq!(
        store.scan(SPACE).unwrap(),
        [KeyValue {
            key: key(1),
            value: 9u64.to_be_bytes().to_vec()
        }]
    );
}

#[test]
fn files_are_created_in_the_oldest_format_and_can_be_changed_to_a_newer_one() {
    let medium = Medium::default();
    let mut store = open(&medium).unwrap();
    assert_eq!(store.format().unwrap(), Format::Entries);
    store
        .commit(&[Format::Compacted.write(), put(1, 1)])
        .unwrap();
    drop(store);
    let mut store = open(&medium).unwrap();
    assert_eq!(store.format().unwrap(), Format::Compacted);
    assert_eq!(
        store.get(Keyspace("head"), b"format").unwrap().unwrap(),
        b"linnetknot state 2"
    );
}
