//! The file in which the processes of a proxy share the purges of peers.

use linnetknot_daemon::peers::Purge;
use linnetknot_daemon::shared_log::SharedRecords;
use linnetknot_daemon::shared_purges::{PurgeFile, Record, RecordSet};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;

/// A folder that is removed at the end of a test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let name = format!("linnetknot-shared-purges-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn file(&self) -> PurgeFile {
        PurgeFile::in_folder(&self.0)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn object(number: usize) -> String {
    format!("{number:016x}")
}

fn purge(number: usize, at: u64) -> Record {
    Record::Purge(Purge::of_object(object(number), at))
}

fn set(records: impl IntoIterator<Item = Record>) -> RecordSet {
    let mut set = RecordSet::default();
    records.into_iter().for_each(|record| set.add(record));
    set
}

/// What a process knows that has applied all records it has read.
#[derive(Default)]
struct Reader {
    latest: BTreeMap<String, u64>,
    purge_all: u64,
}

impl Reader {
    fn read(&mut self, file: &mut PurgeFile) {
        let apply = &mut |record| match record {
            Record::Purge(Purge { object, at, .. }) => {
                let latest = self.latest.entry(object.unwrap_or_default()).or_default();
                *latest = at.max(*latest);
            }
            Record::PurgeAll(at) => self.purge_all = at.max(self.purge_all),
        };
        file.read_new(apply).unwrap();
    }

    /// Returns whether copies from before this time are known to be purged.
    fn knows(&self, number: usize, at: u64) -> bool {
        self.purge_all >= at
            || self
                .latest
                .get(&object(number))
                .is_some_and(|known| *known >= at)
    }
}

#[test]
fn records_are_read_as_written_from_where_the_last_read_ended() {
    let folder = Folder::new("records");
    let (writer, mut file, mut reader) = (folder.file(), folder.file(), Reader::default());
    reader.read(&mut file);
    assert!(reader.latest.is_empty(), "there is no file yet");
    let group = Record::Purge(Purge::of_group(17, 7));
    writer
        .append(&set([purge(1, 5), group, Record::PurgeAll(3)]))
        .unwrap();
    reader.read(&mut file);
    assert!(reader.knows(1, 5) && !reader.knows(1, 6) && reader.knows(2, 3));
    assert_eq!(reader.latest.len(), 2);
    writer.append(&set([purge(2, 9)])).unwrap();
    let mut later = Reader::default();
    later.read(&mut file);
    assert!(later.knows(2, 9) && !later.knows(1, 5), "read once");
}

/// Guards against a purge that is lost because a process was killed while it appended a line.
#[test]
fn an_incomplete_line_spoils_no_other_record() {
    let folder = Folder::new("incomplete-line");
    let (writer, mut file, mut reader) = (folder.file(), folder.file(), Reader::default());
    writer.append(&set([purge(1, 5)])).unwrap();
    let mut killed = std::fs::File::options()
        .append(true)
        .open(writer.path())
        .unwrap();
    killed.write_all(b"purge object 00000000000").unwrap();
    reader.read(&mut file);
    writer.append(&set([purge(2, 6)])).unwrap();
    reader.read(&mut file);
    assert!(reader.knows(1, 5) && reader.knows(2, 6));
    assert_eq!(reader.latest.len(), 2);
}

#[test]
fn only_complete_lines_are_consumed() {
    let text = b"\npurge object 1 5\nnonsense\nall 4\npurge group 3 ";
    let decoded = RecordSet::decode(text);
    let expected = [Record::Purge(Purge::of_object("1", 5)), Record::PurgeAll(4)];
    assert_eq!(decoded.records, expected);
    assert_eq!(&text[decoded.consumed..], b"purge group 3 ");
}

/// Guards against purges that are forgotten once there are many: then earlier copies of everything count as purged.
#[test]
fn a_set_above_its_capacity_still_covers_every_purge() {
    let count = 3 * RecordSet::CAPACITY;
    let set = set((0..count).map(|n| purge(n, 1_000 + n as u64)));
    let records: Vec<Record> = set.into_records().collect();
    assert!(records.len() <= RecordSet::CAPACITY + 1);
    let mut reader = Reader::default();
    for record in records {
        match record {
            Record::Purge(Purge { object, at, .. }) => {
                reader.latest.insert(object.unwrap(), at);
            }
            Record::PurgeAll(at) => reader.purge_all = at,
        }
    }
    assert!((0..count).all(|n| reader.knows(n, 1_000 + n as u64)));
    assert!(
        !reader.knows(count, 1_000 + count as u64),
        "a later copy is not purged"
    );
}
