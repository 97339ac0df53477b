//! Atomic replacement of files, retries of failed writes, and removal of leftover temporary files.

use linnetknot_daemon::disk::{remove_leftovers, replace, FileWriter, WriteJob};
use std::fs;
use std::thread;
use std::time::Duration;

#[test]
fn a_failed_write_is_retried_until_the_folder_is_back() {
    let folder = std::env::temp_dir().join(format!("linnetknot-disk-away-{}", std::process::id()));
    let path = folder.join("list");
    let writer = FileWriter::start("test").unwrap();
    let job = |byte| WriteJob {
        path: path.clone(),
        bytes: vec![byte],
    };
    assert!(writer.try_enqueue(job(1)));
    thread::sleep(Duration::from_millis(300));
    assert!(
        writer.try_enqueue(job(2)),
        "a later write replaces the pending one"
    );
    thread::sleep(Duration::from_millis(300));
    fs::create_dir_all(&folder).unwrap();
    let start = std::time::Instant::now();
    while fs::read(&path).ok() != Some(vec![2]) {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the write is not retried"
        );
        thread::sleep(Duration::from_millis(20));
    }
    drop(writer);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn leftover_files_of_dead_processes_are_removed_and_others_kept() {
    let folder = std::env::temp_dir().join(format!("linnetknot-disk-left-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("list");
    let own = format!("list.{}.new", std::process::id());
    // A process id above the system's maximum, so that no running process can have it.
    let leftover = "list.4194305.new";
    for name in [
        "list",
        "list.2",
        "other.4194305.new",
        "list.x.new",
        leftover,
        &own,
    ] {
        fs::write(folder.join(name), b"").unwrap();
    }
    remove_leftovers(&path);
    assert!(!folder.join(leftover).exists());
    assert!(folder.join(&own).exists());
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 5);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn files_are_replaced_atomically_and_the_writer_survives_a_missing_folder() {
    let folder = std::env::temp_dir().join(format!("linnetknot-disk-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("list");
    let writer = FileWriter::start("test").unwrap();
    let mut enqueued = 0;
    while enqueued < 20 {
        enqueued += usize::from(writer.try_enqueue(WriteJob {
            path: path.clone(),
            bytes: vec![enqueued as u8; 1000],
        }));
    }
    drop(writer);
    assert_eq!(
        fs::read(&path).unwrap(),
        vec![19; 1000],
        "all queued writes are done when the writer is dropped"
    );
    assert!(!folder
        .join(format!("list.{}.new", std::process::id()))
        .exists());
    assert_eq!(
        fs::read_dir(&folder).unwrap().count(),
        1,
        "no temporary file is left"
    );
    // The writer survives a missing folder, and a later write succeeds once the folder exists again.
    fs::remove_dir_all(&folder).unwrap();
    let writer = FileWriter::start("test").unwrap();
    assert!(writer.try_enqueue(WriteJob {
        path: path.clone(),
        bytes: vec![1]
    }));
    assert!(replace(&path, b"x").is_err());
    drop(writer);
    fs::create_dir_all(&folder).unwrap();
    let writer = FileWriter::start("test").unwrap();
    assert!(writer.try_enqueue(WriteJob {
        path: path.clone(),
        bytes: vec![2]
    }));
    drop(writer);
    assert_eq!(fs::read(&path).unwrap(), [2]);
    fs::remove_dir_all(&folder).unwrap();
}
