//! The store on a medium that stops at its n-th operation and then loses what was not synced: what was acknowledged is
//! there, and of a group that was not acknowledged all is there or nothing.

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

/// Groups of three keys, each overwriting one of an earlier group and taking one out; gives the groups that were
/// acknowledged.
fn run(medium: &Medium) -> u64 {
    let Ok(mut store) = open(medium) else {
        return 0;
    };
    for group in 1..=12u64 {
        let gone = Write::remove(SPACE, (1000 + group - 1).to_be_bytes().to_vec());
        if store
            .commit(&[put(1, group), put(1000 + group, group), put(2, group), gone])
            .is_err()
        {
            return group - 1;
        }
    }
    12
}

#[test]
fn stopped_at_every_operation_the_acknowledged_is_present_and_no_group_is_half() {
    let calm = Medium::default();
    assert_eq!(run(&calm), 12);
    let all = calm.0.lock().unwrap().operations;
    assert!(all > 50, "{all} operations");
    // A crash while a file is begun leaves none in its place (`a_file_of_another_kind..`).
    let begun = Medium::default();
    drop(open(&begun).unwrap());
    let begun = begun.0.lock().unwrap().operations;
    let mut kept_on = 0;
    for n in begun..all {
        for seed in 0..4 {
            let medium = Medium::default();
            medium.0.lock().unwrap().remaining_operations = Some(n);
            let acknowledged = run(&medium);
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
                "stopped at {n}: a group is there in part"
            );
            assert_eq!(
                stored.len(),
                if group == 0 { 0 } else { 3 },
                "stopped at {n}: what was taken out is back"
            );
            kept_on += u64::from(group > acknowledged);
            store.commit(&[put(1, 99)]).unwrap();
        }
    }
    assert!(kept_on < all, "else each stop came after its sync");
}

#[test]
fn a_failed_write_is_told_and_the_next_is_taken_once_the_disk_is_back() {
    let medium = Medium::default();
    let mut store = open(&medium).unwrap();
    store.commit(&[put(1, 1)]).unwrap();
    medium.0.lock().unwrap().remaining_operations = Some(1);
    assert!(matches!(
        store.commit(&[put(1, 2)]),
        Err(StoreError::Disk(_))
    ));
    assert!(
        store.commit(&[put(1, 3)]).is_err(),
        "the disk is still away"
    );
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
fn many_writes_share_a_sync_and_a_full_queue_takes_nothing() {
    let medium = Medium::default();
    let store = open(&medium).unwrap();
    // The disk is blocked, so that the writes pile up behind it.
    let blocked = medium.0.lock().unwrap();
    let before = blocked.operations;
    let (wake, woken) = std::sync::mpsc::channel();
    let mut worker =
        StoreWorker::start("test", store, 100, move || wake.send(()).unwrap()).unwrap();
    let given = (1..=100)
        .map(|n| worker.submit(put(n, n)))
        .collect::<Vec<_>>();
    assert_eq!(given, (1..=100).map(Some).collect::<Vec<_>>());
    assert_eq!(
        (worker.submit(put(101, 1)), worker.capacity()),
        (None, 0),
        "bounded"
    );
    assert_eq!(worker.completion(), None);
    drop(blocked);
    let mut words = Vec::new();
    while words.last().is_none_or(|d: &Completion| d.through < 100) {
        woken
            .recv_timeout(std::time::Duration::from_secs(10))
            .unwrap();
        words.extend(std::iter::from_fn(|| worker.completion()));
    }
    assert!(words.iter().all(|d| d.result.is_ok()));
    assert!(words.len() <= 3, "{} syncs for 100 writes", words.len());
    assert!(medium.0.lock().unwrap().operations > before && worker.capacity() == 100);
    assert!(
        worker.submit(put(7, 8)).is_some(),
        "there is capacity again"
    );
    let (mut store, last) = worker.close().unwrap();
    assert_eq!((store.scan(SPACE).unwrap().len(), last.len()), (100, 1));
}

#[test]
fn a_file_of_another_kind_a_damaged_one_and_one_in_use_are_refused_by_name() {
    let folder = std::env::temp_dir().join(format!("linnetknot-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("state");
    std::fs::write(&path, "purge object 0a 5\n").unwrap();
    let foreign = Store::open(&path).unwrap_err();
    assert!(matches!(foreign, StoreError::Damaged(_)), "{foreign:?}");
    assert_eq!(
        std::fs::read(&path).unwrap(),
        b"purge object 0a 5\n",
        "left as it was"
    );
    std::fs::remove_file(&path).unwrap();
    // What a crash left of a file that was begun is no file.
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
        "closed and opened"
    );
    // Another format.
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
    // Cut off: nothing is read from half a file.
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    assert!(Store::open(&path).is_err());
    std::fs::write(&path, vec![0x5a; bytes.len()]).unwrap();
    let error = Store::open(&path).unwrap_err();
    assert!(matches!(error, StoreError::Damaged(_)), "{error:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_key_is_taken_out_only_where_it_has_the_value_that_was_meant() {
    let mut store = open(&Medium::default()).unwrap();
    let key = |n: u64| n.to_be_bytes().to_vec();
    store.commit(&[put(1, 5), put(2, 5)]).unwrap();
    let stale = |n| Write::remove_if(SPACE, key(n), 5u64.to_be_bytes().to_vec());
    store
        .commit(&[put(1, 9), stale(1), stale(2), stale(3)])
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
fn a_file_is_begun_in_the_oldest_format_and_has_a_newer_one_from_its_write_on() {
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
