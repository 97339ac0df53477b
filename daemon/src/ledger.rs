//! The purges that neighbours told this proxy and its peers alone: the boxes hear nothing of them, so a proxy that
//! starts again must know them, and so must one that was away. A file has them as logs (`linnetknot_copies`), its own
//! and those of others.

use crate::peers::{self, Purge};
use linnetknot::Micros;
use linnetknot_copies::{Book, Copies, Datagram, Entry, Heard, Life, Options, Taken, Tally, What, Writer};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file, and what stands in it.
pub struct Ledger {
    path: PathBuf,
    file: File,
    lines: usize,
    copies: Copies,
}

/// The last line of a file whose process ended in order.
const CLOSED: &str = "closed\n";
/// Lines beyond two a purge that the file may have before it is written anew.
const SLACK: usize = 1024;

fn what(object: Option<&str>, group: u64) -> What {
    object.map_or(What::Group(group), |object| What::Object(object.to_owned()))
}

/// An entry as the module takes a purge.
pub fn purge(entry: &Entry) -> Purge {
    match &entry.what {
        What::Object(object) => (Some(object.clone()), 0, entry.at),
        What::Group(group) => (None, *group, entry.at),
    }
}

fn line(entry: &Entry) -> Option<Vec<u8>> {
    let mut bytes = Datagram::Entry(entry.clone()).write()?;
    bytes.push(b'\n');
    Some(bytes)
}

impl Ledger {
    /// Reads the file, if there is one, and writes it anew: a line that a crash cut off must not run into the next.
    ///
    /// This writer's log goes on in the life of the file only where the file was closed: after a crash its last
    /// entries may be missing here and known to others, and a place in a log must never be given twice. So a file that
    /// was not closed, none at all and one of an earlier version begin a new life. Nothing is lost with the old one.
    pub fn open(path: &Path, writer: Writer, now: Micros, options: Options) -> io::Result<Self> {
        let text = match fs::read(path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(e),
        };
        let (mut book, mut life, mut bare) = (Book::default(), None::<Life>, Vec::new());
        let closed = text.ends_with(CLOSED);
        for whole in text.split_inclusive('\n') {
            let said = whole.strip_suffix('\n').unwrap_or("");
            let entry = match Datagram::read(said.as_bytes()) {
                Ok(Datagram::Entry(entry)) => Some(entry),
                _ => None,
            };
            let begun = said.strip_prefix("life ").and_then(|l| Life::from_str_radix(l, 16).ok());
            let taken = entry.as_ref().map(|e| book.take(e, usize::MAX, usize::MAX));
            match (taken, begun, peers::read(said.as_bytes())) {
                (Some(Taken::New | Taken::Known), ..) => {}
                (None, Some(begun), _) => life = Some(begun),
                _ if whole == CLOSED => {}
                (None, None, Some(purge)) => bare.push(purge),
                // One that others should stand before: it comes again from whoever has them.
                _ => log::warn!("{}: a line that is no purge is passed over", path.display()),
            }
        }
        let own = (writer, life.filter(|_| closed).unwrap_or(now));
        let copies = Copies::new(own, book, now, options);
        let file = Self::write(path, &copies)?;
        let mut ledger = Ledger { path: path.to_owned(), file, lines: copies.book().len(), copies };
        for (object, group, at) in bare {
            ledger.add(object.as_deref(), group, at)?;
        }
        Ok(ledger)
    }

    /// The file as a whole, put in its place at once.
    fn write(path: &Path, copies: &Copies) -> io::Result<File> {
        let mut beside = path.as_os_str().to_owned();
        beside.push(".new");
        let mut file = File::create(&beside)?;
        let mut bytes = format!("life {:x}\n", copies.own().1).into_bytes();
        copies.book().entries().filter_map(|e| line(&e)).for_each(|l| bytes.extend(l));
        file.write_all(&bytes)?;
        fs::rename(&beside, path)?;
        Ok(file)
    }

    /// What stands in it. Of one that several logs have, the latest counts for whoever takes them all.
    pub fn purges(&self) -> Vec<Purge> {
        self.copies.book().entries().map(|entry| purge(&entry)).collect()
    }

    /// Puts an entry into the file. It outlives the process from here on, and the machine once the system has written
    /// it: the loop does not wait for a disk, and what a machine loses its peers have.
    fn keep(&mut self, entry: &Entry) -> io::Result<()> {
        self.lines += 1;
        if self.lines > 2 * self.copies.book().len() + SLACK {
            self.file = Self::write(&self.path, &self.copies)?;
            self.lines = self.copies.book().len();
            return Ok(());
        }
        let bytes = line(entry).ok_or_else(|| io::Error::other("its name is too long for a line"))?;
        fail::fail_point!("ledger-writes");
        self.file.write_all(&bytes)?;
        fail::fail_point!("ledger-written");
        Ok(())
    }

    /// The process ends in order: the next one goes on with this life.
    pub fn close(mut self) -> io::Result<()> {
        self.file.write_all(CLOSED.as_bytes())?;
        self.file.sync_data()
    }

    /// Adds a purge to this proxy's log: the entry, to be told to the peers. None for one that is known, as peers repeat
    /// them.
    pub fn add(&mut self, object: Option<&str>, group: u64, at: Micros) -> io::Result<Option<Entry>> {
        let what = what(object, group);
        if self.copies.book().latest(&what).is_some_and(|known| known >= at) {
            return Ok(None);
        }
        let entry = self.copies.add(what, at).map_err(io::Error::other)?;
        self.keep(&entry).map(|()| Some(entry))
    }

    /// Takes in what a peer says of its logs. What is new is in the file when this returns; a file that can't be
    /// written costs the copy and no purge.
    pub fn hear(&mut self, datagram: Datagram) -> Heard {
        let heard = self.copies.hear(datagram);
        for entry in &heard.new {
            if let Err(e) = self.keep(entry) {
                log::error!("a purge that a peer told is in force but not kept for the next start: {e}");
            }
        }
        heard
    }

    /// When a peer is to be told how far the logs are had here.
    pub fn due(&self) -> Micros {
        self.copies.due()
    }

    /// What to tell which of so many peers now.
    pub fn tick(&mut self, now: Micros, peers: usize) -> Vec<(usize, Datagram)> {
        self.copies.tick(now, peers)
    }

    /// Counts of what was copied.
    pub fn tally(&self) -> Tally {
        self.copies.tally()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn open(path: &Path, now: Micros) -> io::Result<Ledger> {
        Ledger::open(path, 1, now, Options::default())
    }

    #[test]
    fn what_was_added_is_there_after_a_crash_and_the_file_stays_short() {
        let path = std::env::temp_dir().join(format!("linnetknot-ledger-{}", std::process::id()));
        let _ = fs::remove_file(&path);
        let mut ledger = open(&path, 77).unwrap();
        for at in 1..=1500 {
            ledger.add(Some("0a"), 0, at).unwrap();
            ledger.add(None, 7, 3).unwrap();
        }
        assert_eq!(ledger.add(Some("0a"), 0, 4).unwrap(), None);
        assert!(fs::read_to_string(&path).unwrap().lines().count() <= SLACK + 5);
        let cut = b"copies1 entry 1 4d 5dd 5de 9 object 0b";
        fs::OpenOptions::new().append(true).open(&path).unwrap().write_all(cut).unwrap();
        let mut again = open(&path, 78).unwrap();
        let both = [(None, 7, 3), (Some("0a".into()), 0, 1500)];
        assert_eq!(again.purges(), both, "a line cut off is no purge");
        let next = again.add(Some("0b"), 0, 9).unwrap().unwrap();
        assert_eq!((next.log, next.seq), ((1, 78), 1), "a place that others may know is not given again");
        again.close().unwrap();
        let mut again = open(&path, 79).unwrap();
        let next = again.add(Some("0c"), 0, 9).unwrap().unwrap();
        assert_eq!((next.log, next.seq), ((1, 78), 2), "the life of a file that was closed goes on");
        assert_eq!(open(&path, 80).unwrap().purges().len(), 4);
        fs::remove_file(&path).unwrap();
        assert!(open(&path.join("below"), 81).is_err());
    }

    #[test]
    fn a_file_of_an_earlier_version_is_taken_over() {
        let path = std::env::temp_dir().join(format!("linnetknot-ledger-old-{}", std::process::id()));
        fs::write(&path, "purge object 0a 5\npurge group 7 6\npurge object 0a 9\npurge object 0b 1").unwrap();
        let ledger = open(&path, 77).unwrap();
        let purges = [(None, 7, 6), (Some("0a".into()), 0, 9)];
        assert_eq!(ledger.purges(), purges);
        ledger.close().unwrap();
        let again = open(&path, 99).unwrap();
        assert_eq!(
            (again.purges(), again.copies.own()),
            (purges.to_vec(), (1, 77)),
            "and has its life from then on"
        );
        fs::remove_file(&path).unwrap();
    }

    #[test]
    fn what_a_peer_told_is_kept_too_and_a_new_disk_begins_a_new_life() {
        let path = std::env::temp_dir().join(format!("linnetknot-ledger-peer-{}", std::process::id()));
        let _ = fs::remove_file(&path);
        let mut ledger = open(&path, 77).unwrap();
        let theirs = Entry { log: (2, 5), seq: 1, prev: 0, what: What::Group(3), at: 8 };
        assert_eq!(ledger.hear(Datagram::Entry(theirs.clone())).new, std::slice::from_ref(&theirs));
        // Its own log of an earlier life comes back from a peer; what it writes now stands in another.
        let old = Entry { log: (1, 4), ..theirs };
        ledger.hear(Datagram::Entry(old));
        let new = ledger.add(Some("0c"), 0, 9).unwrap().unwrap();
        assert_eq!((new.log, new.seq), ((1, 77), 1));
        ledger.close().unwrap();
        let again = open(&path, 99).unwrap();
        assert_eq!(again.copies.own(), (1, 77), "the life of the file, not of the log that came back");
        let theirs = || (None, 3, 8);
        let all = [theirs(), (Some("0c".into()), 0, 9), theirs()];
        assert_eq!(again.purges(), all, "by each life that has it");
        fs::remove_file(&path).unwrap();
    }
}
