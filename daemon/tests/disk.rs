//! Files that are put in place as a whole, and what is left of those that are not.

use linnetknot_daemon::disk::{remove_leftovers, replace, FileWriter, WriteJob};
use std::fs;
use std::thread;
use std::time::Duration;

#[test]
fn a_file_that_could_not_be_written_is_written_once_the_folder_is_back() {
    let folder = std::env::temp_dir().join(format!("linnetknot-disk-away-{}", std::process::id()));
    let path = folder.join("list");
    let disk = FileWriter::start("test").unwrap();
    let job = |byte| WriteJob {
        path: path.clone(),
        bytes: vec![byte],
    };
    assert!(disk.try_enqueue(job(1)));
    thread::sleep(Duration::from_millis(300));
    assert!(disk.try_enqueue(job(2)), "a later one takes its place");
    thread::sleep(Duration::from_millis(300));
    fs::create_dir_all(&folder).unwrap();
    let begun = std::time::Instant::now();
    while fs::read(&path).ok() != Some(vec![2]) {
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "it is not tried again"
        );
        thread::sleep(Duration::from_millis(20));
    }
    drop(disk);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn what_a_killed_process_left_half_written_is_removed_and_what_runs_is_left_alone() {
    let folder = std::env::temp_dir().join(format!("linnetknot-disk-left-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("list");
    let own = format!("list.{}.new", std::process::id());
    // Above the greatest process id that the system gives.
    let left = "list.4194305.new";
    for name in [
        "list",
        "list.2",
        "other.4194305.new",
        "list.x.new",
        left,
        &own,
    ] {
        fs::write(folder.join(name), b"").unwrap();
    }
    remove_leftovers(&path);
    assert!(!folder.join(left).exists());
    assert!(folder.join(&own).exists());
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 5);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn files_are_whole_or_as_before_and_a_lost_disk_ends_nothing() {
    let folder = std::env::temp_dir().join(format!("linnetknot-disk-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("list");
    let disk = FileWriter::start("test").unwrap();
    let mut taken = 0;
    while taken < 20 {
        taken += usize::from(disk.try_enqueue(WriteJob {
            path: path.clone(),
            bytes: vec![taken as u8; 1000],
        }));
    }
    drop(disk);
    assert_eq!(
        fs::read(&path).unwrap(),
        vec![19; 1000],
        "all that was given is written at the end"
    );
    assert!(!folder
        .join(format!("list.{}.new", std::process::id()))
        .exists());
    assert_eq!(
        fs::read_dir(&folder).unwrap().count(),
        1,
        "nothing is left beside it"
    );
    // The folder is gone: the worker goes on, and what it is given later is written once the folder is back.
    fs::remove_dir_all(&folder).unwrap();
    let disk = FileWriter::start("test").unwrap();
    assert!(disk.try_enqueue(WriteJob {
        path: path.clone(),
        bytes: vec![1]
    }));
    assert!(replace(&path, b"x").is_err());
    drop(disk);
    fs::create_dir_all(&folder).unwrap();
    let disk = FileWriter::start("test").unwrap();
    assert!(disk.try_enqueue(WriteJob {
        path: path.clone(),
        bytes: vec![2]
    }));
    drop(disk);
    assert_eq!(fs::read(&path).unwrap(), [2]);
    fs::remove_dir_all(&folder).unwrap();
}
