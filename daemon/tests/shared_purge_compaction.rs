//! The file of shared purges when one process replaces it by a shorter one while the other one appends to it. A fail point
//! lets the other process act at the worst instant.

use linnetknot_daemon::peers::Purge;
use linnetknot_daemon::shared_log::SharedRecords;
use linnetknot_daemon::shared_purges::{PurgeFile, Record, RecordSet};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number of records that makes the file long enough to be compacted.
const MANY: usize = 100_000;

fn object(number: usize) -> String {
    // Long ids fill the file sooner.
    format!("{number:0200}")
}

fn line(number: usize) -> String {
    format!("purge object {} {}\n", object(number), 1 + number)
}

fn append(path: &Path, text: &str) {
    let mut file = File::options().append(true).open(path).unwrap();
    file.write_all(text.as_bytes()).unwrap();
}

fn one(number: usize) -> RecordSet {
    let mut set = RecordSet::default();
    set.add(Record::Purge(Purge::of_object(
        object(number),
        1 + number as u64,
    )));
    set
}

/// Returns the numbers of the objects that a new process knows to be purged, of those from `first` on.
fn known(folder: &Path, first: usize) -> BTreeSet<usize> {
    let mut known = BTreeSet::new();
    let on_record = &mut |record| {
        if let Record::Purge(Purge { object, .. }) = record {
            known.insert(object.unwrap().parse().unwrap());
        }
    };
    PurgeFile::in_folder(folder).read_new(on_record).unwrap();
    known.split_off(&first)
}

fn new_folder(name: &str) -> PathBuf {
    let name = format!("linnetknot-compaction-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Calls a function when the fail point of writes is passed for the time with this number, counted from 0.
fn at_write(number: usize, act: impl Fn() + Send + Sync + 'static) {
    let passes = AtomicUsize::new(0);
    let callback = move || {
        if passes.fetch_add(1, Ordering::SeqCst) == number {
            act();
        }
    };
    fail::cfg_callback("disk-write", callback).unwrap();
}

/// Guards against purges that are lost because they are appended to the old file after the compaction has read it.
#[test]
fn a_purge_that_is_appended_during_a_compaction_is_kept() {
    let scenario = fail::FailScenario::setup();
    let folder = new_folder("late");
    let file = PurgeFile::in_folder(&folder);
    fs::write(file.path(), (0..MANY).map(line).collect::<String>()).unwrap();
    let path = file.path().to_owned();
    // The first write is that of the appended purge, and the second one that of the new file.
    at_write(1, move || append(&path, &line(MANY + 1)));
    file.append(&one(MANY)).unwrap();
    scenario.teardown();
    assert_eq!(known(&folder, MANY), BTreeSet::from([MANY, MANY + 1]));
    let length = fs::metadata(file.path()).unwrap().len() as usize;
    assert!(
        length < MANY * line(0).len() / 2,
        "compacted: {length} bytes"
    );
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against purges that are lost because they are appended to a file which has just been replaced.
#[test]
fn a_purge_that_is_appended_to_a_replaced_file_is_appended_again() {
    let scenario = fail::FailScenario::setup();
    let folder = new_folder("replaced");
    let file = PurgeFile::in_folder(&folder);
    file.append(&one(0)).unwrap();
    let (path, staged) = (file.path().to_owned(), folder.join("staged"));
    at_write(0, move || {
        fs::write(&staged, line(0)).unwrap();
        fs::rename(&staged, &path).unwrap();
    });
    file.append(&one(1)).unwrap();
    scenario.teardown();
    assert_eq!(known(&folder, 0), BTreeSet::from([0, 1]));
    fs::remove_dir_all(&folder).unwrap();
}

/// Guards against a reader that takes a replaced file for the one that it has read before.
#[test]
fn a_reader_reads_a_replaced_file_from_its_start() {
    let folder = new_folder("reader");
    let (writer, mut reader) = (PurgeFile::in_folder(&folder), PurgeFile::in_folder(&folder));
    let mut count = 0;
    writer.append(&one(0)).unwrap();
    reader.read_new(&mut |_| count += 1).unwrap();
    let staged = folder.join("staged");
    fs::write(&staged, line(0) + &line(1)).unwrap();
    fs::rename(&staged, writer.path()).unwrap();
    reader.read_new(&mut |_| count += 1).unwrap();
    assert_eq!(count, 3);
    fs::remove_dir_all(&folder).unwrap();
}
