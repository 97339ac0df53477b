//! The purges that neighbours told this proxy and its peers alone: the boxes hear nothing of them, so a proxy that
//! starts again must know them, and so must one that was away. A store (`linnetknot_store`) has them as logs
//! (`linnetknot_replication`), its own and those of others; a worker thread writes it.

use crate::peers::{self, Purge};
use linnetknot::Micros;
use linnetknot_replication::{
    pieces, Capacity, CommitId, CommitOutcome, Datagram, Entry, Epoch, Index, Insertion, LogId, LogStore,
    Options, Outgoing, Received, RejectReason, Replica, Subject, Writer,
};
use linnetknot_store::{Fault, Keeper, Space, Store, Ticket, Write};
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The logs, and the store that has them.
pub struct Ledger {
    keeper: Keeper,
    replica: Replica,
    /// This process's life among the members.
    member: Epoch,
    /// It began without anything on its disk.
    fresh: bool,
    /// Entries on their way to the disk, in order.
    on_way: VecDeque<(Ticket, LogId, Index)>,
    /// When entries whose time is over are looked for again.
    expires: Micros,
}

/// How often entries whose time is over are looked for: they are of use for an hour, and a look takes all of them.
const EXPIRE_US: Micros = 60_000_000;

/// Entries in force: writer, life and what was purged, by which a later purge of the same takes the place of one.
const ENTRIES: Space = Space("entries");
/// What is said of this writer's log.
const OWN: Space = Space("own");
const LIFE: &[u8] = b"life";
/// The process ended in order: the log goes on in its life.
const CLOSED: &[u8] = b"closed";
/// The process's life among the members: it grows with every start, also where the clock does not.
const MEMBER: &[u8] = b"member";

fn what(object: Option<&str>, group: u64) -> Subject {
    object.map_or(Subject::Group(group), |object| Subject::Object(object.to_owned()))
}

/// An entry as the module takes a purge; none where it is no purge.
pub fn purge(entry: &Entry) -> Option<Purge> {
    match &entry.subject {
        Subject::Object(object) => Some((Some(object.clone()), 0, entry.at)),
        Subject::Group(group) => Some((None, *group, entry.at)),
        Subject::Ban(_) | Subject::Drain | Subject::Status { .. } | Subject::Gone { .. } => None,
    }
}

/// An entry's key in the store.
fn key(entry: &Entry) -> Vec<u8> {
    let mut key = Vec::with_capacity(40);
    key.extend(entry.log.writer.to_be_bytes());
    key.extend(entry.log.epoch.to_be_bytes());
    match &entry.subject {
        Subject::Object(object) => {
            key.push(b'o');
            key.extend(object.as_bytes());
        }
        Subject::Group(group) => {
            key.push(b'g');
            key.extend(group.to_be_bytes());
        }
        Subject::Ban(id) => {
            key.push(b'b');
            key.extend(id.as_bytes());
        }
        Subject::Drain => key.push(b'd'),
        Subject::Status { number, part, .. } => {
            key.push(b's');
            key.extend(number.to_be_bytes());
            key.extend(part.to_be_bytes());
        }
        Subject::Gone { writer, number } => {
            key.push(b'x');
            key.extend(writer.to_be_bytes());
            key.extend(number.to_be_bytes());
        }
    }
    key
}

/// An entry as it stands in the store.
fn write(entry: &Entry) -> Write {
    let mut value = [entry.index.to_be_bytes(), entry.at.to_be_bytes()].concat();
    match &entry.subject {
        Subject::Status { text, .. } => value.extend(text.as_bytes()),
        _ => value.extend(entry.revoked.then_some(1)),
    }
    Write { space: ENTRIES, key: key(entry), value: Some(value) }
}

/// Reads an entry; which one stands before it follows from the others.
fn read(key: &[u8], value: &[u8]) -> Option<Entry> {
    let number = |bytes: &[u8]| Some(u64::from_be_bytes(bytes.try_into().ok()?));
    let log = LogId::new(number(key.get(..8)?)?, number(key.get(8..16)?)?);
    let name = key.get(17..)?;
    let subject = match key[16] {
        b'o' => Subject::Object(String::from_utf8(name.to_vec()).ok()?),
        b'g' => Subject::Group(number(name)?),
        b'b' => Subject::Ban(String::from_utf8(name.to_vec()).ok()?),
        b'd' => Subject::Drain,
        b's' => {
            let part = u16::from_be_bytes(name.get(8..)?.try_into().ok()?);
            let text = String::from_utf8(value.get(16..)?.to_vec()).ok()?;
            Subject::Status { number: number(name.get(..8)?)?, part, text }
        }
        b'x' => Subject::Gone { writer: number(name.get(..8)?)?, number: number(name.get(8..)?)? },
        _ => return None,
    };
    let revoked = !subject.is_expiring() && value.len() > 16;
    let (index, at) = (number(value.get(..8)?)?, number(value.get(8..16)?)?);
    Some(Entry { log, index, prev: 0, subject, at, revoked })
}

fn put(key: &[u8], value: Option<&[u8]>) -> Write {
    Write { space: OWN, key: key.to_vec(), value: value.map(<[u8]>::to_vec) }
}

/// A number that is said of this writer's log.
fn number_of(store: &mut Store, key: &[u8]) -> Result<Option<u64>, Fault> {
    Ok(store.get(OWN, key)?.and_then(|bytes| bytes.try_into().ok()).map(u64::from_be_bytes))
}

/// The logs of the store's entries.
fn book(entries: Vec<Entry>) -> Result<LogStore, Fault> {
    let mut entries = entries;
    entries.sort_unstable_by_key(|e| (e.log, e.index));
    let (mut book, mut before) = (LogStore::default(), None);
    for mut entry in entries {
        entry.prev = before.filter(|(log, _)| *log == entry.log).map_or(0, |(_, index)| index);
        before = Some((entry.log, entry.index));
        if book.take(&entry, Capacity::UNLIMITED) != Insertion::New {
            return Err(Fault::Damaged("two entries stand in one place of a log".into()));
        }
    }
    Ok(book)
}

/// What a file of an earlier version holds, line by line.
#[derive(Debug, Default)]
struct Old {
    entries: Vec<Entry>,
    bare: Vec<Purge>,
}

impl Old {
    fn read(path: &Path, text: &str) -> Self {
        let mut old = Old::default();
        // The book sorts out what was superseded, and what a crash cut off or left without those before it.
        let mut book = LogStore::default();
        for whole in text.split_inclusive('\n') {
            let said = whole.strip_suffix('\n').unwrap_or("");
            match (Datagram::read(said.as_bytes()), peers::read(said.as_bytes())) {
                (Ok(Datagram::Entry(entry)), _) => {
                    book.take(&entry, Capacity::UNLIMITED);
                }
                (_, Some(purge)) => old.bare.push(purge),
                _ if said == "closed" || said.starts_with("life ") => {}
                _ => log::warn!("{}: a line that is no purge is passed over", path.display()),
            }
        }
        old.entries = book.entries().collect();
        old
    }
}

/// Never: only a fault that rehearsals plant has a catch-up pass over what is missing before an entry.
fn skips() -> bool {
    fail::fail_point!("plant-skip", |_| true);
    false
}

/// The next entry of those that went to the disk up to a ticket.
fn next(on_way: &mut VecDeque<(Ticket, LogId, Index)>, through: Ticket) -> Option<(LogId, Index)> {
    on_way.front().filter(|(ticket, ..)| *ticket <= through)?;
    on_way.pop_front().map(|(_, log, index)| (log, index))
}

/// Puts a file of an earlier version aside and gives where it is; none where there was none.
fn put_aside(path: &Path) -> Result<Option<PathBuf>, Fault> {
    let disk = |e: io::Error| Fault::Disk(e.to_string());
    let mut aside = path.as_os_str().to_owned();
    aside.push(".old");
    let aside = PathBuf::from(aside);
    let begins = |file: &Path| -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        io::Read::read_to_end(&mut io::Read::take(fs::File::open(file)?, 8), &mut bytes)?;
        Ok(bytes)
    };
    match begins(path) {
        // What the earlier versions began their files with. An empty one is theirs, too: the store writes none.
        Ok(first)
            if first.is_empty()
                || [b"life ".as_slice(), b"copies1", b"purge "].iter().any(|m| first.starts_with(m)) =>
        {
            fs::rename(path, &aside).map_err(disk)?;
        }
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(disk(e)),
    }
    Ok(aside.exists().then_some(aside))
}

impl Ledger {
    /// Opens the store, or begins it. A file of an earlier version is put aside as `FILE.old` and taken over. `wake` is
    /// called from the worker's thread when there is word of what is on the disk (`words`).
    ///
    /// This writer's log goes on in the life of the store only where the store was closed: after a crash its last
    /// entries may be missing here and known to others, and a place in a log must never be given twice. Nothing is
    /// lost with the old life.
    pub fn open(
        path: &Path,
        writer: Writer,
        now: Micros,
        (options, queue): (Options, usize),
        wake: impl Fn() + Send + 'static,
    ) -> Result<Self, Fault> {
        let aside = put_aside(path)?;
        let mut store = Store::open(path)?;
        let closed = store.get(OWN, CLOSED)?.is_some();
        let known = number_of(&mut store, LIFE)?;
        let fresh = known.is_none();
        let member = now.max(number_of(&mut store, MEMBER)?.map_or(0, |before| before + 1));
        let entries = store.all(ENTRIES)?.into_iter().map(|(key, value)| read(&key, &value));
        let entries = entries.collect::<Option<Vec<_>>>();
        let mut entries = entries.ok_or_else(|| Fault::Damaged("an entry can't be read".into()))?;
        let (mut begin, mut bare) = (Vec::new(), Vec::new());
        if let Some(old) = aside.filter(|_| fresh) {
            let text = fs::read(&old).map_err(|e| Fault::Disk(format!("{}: {e}", old.display())))?;
            let taken = Old::read(&old, &String::from_utf8_lossy(&text));
            log::info!(entries = taken.entries.len() + taken.bare.len(); "{} is taken over", old.display());
            begin.extend(taken.entries.iter().map(write));
            entries.extend(taken.entries);
            bare = taken.bare;
        }
        // Never in the life of the file that was put aside: it may be taken over twice, if a store is lost.
        let own = LogId::new(writer, known.filter(|_| closed).unwrap_or(now));
        let mut book = book(entries)?;
        for (object, group, at) in bare {
            let what = what(object.as_deref(), group);
            if book.latest(&what).is_none_or(|known| known < at) {
                let entry = book.append(
                    own,
                    (what, at, false),
                    Capacity { entries: options.max_exact_entries, ..Capacity::UNLIMITED },
                );
                begin.push(write(&entry.map_err(|e| Fault::Disk(e.to_string()))?));
            }
        }
        begin.push(put(LIFE, Some(&own.epoch.to_be_bytes())));
        begin.push(put(MEMBER, Some(&member.to_be_bytes())));
        // From here on the store counts as not closed. All of this is there, or nothing and the old file still is.
        begin.push(put(CLOSED, None));
        store.commit(&begin)?;
        let replica = Replica::new(own, book, member, options);
        let keeper = Keeper::start("store", store, queue, wake).map_err(|e| Fault::Disk(e.to_string()))?;
        Ok(Ledger { keeper, replica, member, fresh, on_way: VecDeque::new(), expires: 0 })
    }

    /// What stands in it. Of one that several logs have, the latest counts for whoever takes them all.
    pub fn purges(&self) -> Vec<Purge> {
        self.replica.log_store().entries().filter_map(|entry| purge(&entry)).collect()
    }

    /// This process's life among the members: greater than that of any before it on this disk.
    pub fn member(&self) -> Epoch {
        self.member
    }

    /// Whether it began without anything on its disk: what this proxy promised, others have.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// What this proxy's operators decided, and whether it is lifted.
    pub fn decided(&self) -> BTreeMap<Subject, bool> {
        self.replica.log_store().decisions(self.replica.own().writer)
    }

    /// The logs, to look at.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Whose machine is which (`Copies::peers`).
    pub fn peers(&mut self, own: u64, machines: Vec<u64>) {
        self.replica.peers(own, machines);
    }

    /// Hands an entry to the worker. What has no room there is given again later, as what the disk did not take.
    fn keep(&mut self, entry: &Entry) {
        match self.keeper.give(write(entry)) {
            Some(ticket) => self.on_way.push_back((ticket, entry.log, entry.index)),
            None => self.replica.sync_failed(entry.log, entry.index),
        }
    }

    /// Adds a purge to this proxy's log, and gives its entry, to be told to the peers. It is on its way to the disk.
    pub fn add(&mut self, object: Option<&str>, group: u64, at: Micros) -> Result<Entry, String> {
        self.append(what(object, group), at, false)
    }

    /// Adds what the operators decided, or that it is over, as `add` does a purge.
    pub fn append(&mut self, what: Subject, at: Micros, lifted: bool) -> Result<Entry, String> {
        if self.keeper.room() == 0 {
            return Err("the disk is too far behind".into());
        }
        let entry = self.replica.append(what, at, lifted).map_err(|e| e.to_string())?;
        self.keep(&entry);
        Ok(entry)
    }

    /// Adds the status of a trigger as `add` does a purge, in as many entries as it takes.
    pub fn append_status(&mut self, number: u64, text: &str, at: Micros) -> Result<Vec<Entry>, String> {
        let pieces = pieces(text).filter(|pieces| pieces.len() <= self.keeper.room());
        let pieces = pieces.ok_or("its status has no room on the way to the disk")?;
        let append = |(part, text)| self.append(Subject::Status { number, part, text }, at, false);
        pieces.into_iter().map(append).collect()
    }

    /// The triggers that can be told of, by writer and number, with their status.
    pub fn statuses(&self) -> Vec<(Writer, u64, String)> {
        let book = self.replica.log_store();
        let status = |(writer, number)| Some((writer, number, book.status(writer, number)?));
        book.triggers().into_iter().filter_map(status).collect()
    }

    /// A number for this writer's next trigger that none of its lives has given, as far as their entries tell: from the
    /// time of its start on, as nobody starts again sooner than it can answer.
    pub fn first_number(&self) -> u64 {
        let own = self.replica.own().writer;
        let known = self.replica.log_store().triggers().into_iter().filter(|(writer, _)| *writer == own);
        known.map(|(_, number)| number + 1).max().unwrap_or(0).max(self.member)
    }

    /// Adds a purge that a peer of an earlier version told; one that is known is not added again.
    pub fn tell(&mut self, object: Option<&str>, group: u64, at: Micros) -> Result<(), String> {
        match self.replica.log_store().latest(&what(object, group)) {
            Some(known) if known >= at => Ok(()),
            _ => self.add(object, group, at).map(drop),
        }
    }

    /// An answer waits for what stands in this log up to a place.
    pub fn open_commit(&mut self, now: Micros, place: Index) -> Result<CommitId, RejectReason> {
        self.replica.open_commit(now, place)
    }

    /// Promises that can be given, and those that can't.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        self.replica.resolve_commits(now)
    }

    /// Takes in what a peer says of the logs. What is new is on its way to the disk.
    pub fn receive(&mut self, from: usize, datagram: Datagram) -> Received {
        let datagram = match datagram {
            Datagram::Entry(entry) if skips() => {
                let prev = entry.prev.min(self.replica.log_store().last_index(entry.log));
                Datagram::Entry(Entry { prev, ..entry })
            }
            datagram => datagram,
        };
        let received = self.replica.receive(from, datagram);
        received.new.iter().for_each(|entry| self.keep(entry));
        received
    }

    /// Takes in the worker's word of what is on the disk: what peers are to be told of it.
    pub fn words(&mut self) -> Vec<Outgoing> {
        let mut told = Vec::new();
        while let Some(done) = self.keeper.done() {
            while let Some((log, index)) = next(&mut self.on_way, done.to) {
                match done.result {
                    Ok(()) => told.extend(self.replica.synced(log, index)),
                    Err(_) => self.replica.sync_failed(log, index),
                }
            }
        }
        told
    }

    /// When `tick` is due.
    pub fn due(&self) -> Micros {
        self.replica.due()
    }

    /// What to tell which peer now. What the disk did not take is given to it again.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        if self.keeper.room() > 0 {
            self.replica.take_failed().iter().for_each(|entry| self.keep(entry));
        }
        if now >= self.expires {
            self.expires = now + EXPIRE_US;
            for entry in self.replica.expire(now) {
                // One that finds no room there is found by the next process.
                self.keeper.give(Write { space: ENTRIES, key: key(&entry), value: None });
            }
        }
        self.replica.tick(now)
    }

    /// The process ends in order: the next one goes on with this life, if the disk has all of it. Waits for the disk.
    pub fn close(self) -> Result<(), Fault> {
        let Ledger { keeper, mut replica, mut on_way, .. } = self;
        let gone = || Fault::Disk("the worker has ended".into());
        let (mut store, last) = keeper.close().ok_or_else(gone)?;
        for done in last {
            while let Some((log, index)) = next(&mut on_way, done.to) {
                if done.result.is_ok() {
                    replica.synced(log, index);
                }
            }
        }
        if !replica.is_synced() {
            return Err(Fault::Disk("not all of the log is on it".into()));
        }
        store.commit(&[put(CLOSED, Some(b"1"))])
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::{channel, Receiver};
    use std::time::Duration;

    fn open(path: &Path, now: Micros) -> Result<(Ledger, Receiver<()>), Fault> {
        let (wake, woken) = channel();
        let wake = move || {
            let _ = wake.send(());
        };
        Ok((Ledger::open(path, 1, now, (Options::default(), 64), wake)?, woken))
    }

    fn file(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("linnetknot-ledger-{name}-{}", std::process::id()));
        let _ = fs::remove_file(&path);
        let _ = fs::remove_file(path.with_extension("old"));
        path
    }

    /// Waits until all is on the disk: what peers are told of it.
    fn written((ledger, woken): &mut (Ledger, Receiver<()>)) -> Vec<Outgoing> {
        let mut told = Vec::new();
        while !ledger.replica.is_synced() {
            woken.recv_timeout(Duration::from_secs(10)).expect("the worker has a word");
            told.extend(ledger.words());
        }
        told
    }

    #[test]
    fn what_was_added_is_there_after_a_crash_and_each_purge_stands_once() {
        let path = file("crash");
        let mut all = open(&path, 77).unwrap();
        for at in 1..=30 {
            all.0.add(Some("0a"), 0, at).unwrap();
            all.0.tell(None, 7, 3).unwrap();
        }
        written(&mut all);
        all.0.tell(Some("0a"), 0, 4).unwrap();
        assert!(all.0.replica.is_synced(), "what is known is not written again");
        // Dropped and not closed, as a crash leaves it.
        drop(all.0.keeper.close());
        let mut again = open(&path, 78).unwrap();
        assert_eq!(again.0.member(), 78);
        let both = [(None, 7, 3), (Some("0a".into()), 0, 30)];
        assert_eq!(again.0.purges(), both);
        let next = again.0.add(Some("0b"), 0, 9).unwrap();
        assert_eq!(
            (next.log, next.index),
            (LogId::new(1, 78), 1),
            "a place that others may know is not given again"
        );
        again.0.close().unwrap();
        let mut again = open(&path, 7).unwrap();
        assert_eq!(again.0.member(), 79, "it grows though the clock was set back");
        let next = again.0.add(Some("0c"), 0, 9).unwrap();
        assert_eq!(
            (next.log, next.index),
            (LogId::new(1, 78), 2),
            "the life of a store that was closed goes on"
        );
        assert_eq!(open(&path, 80).err(), Some(Fault::Busy), "one process has it");
        written(&mut again);
        drop(again.0.keeper.close());
        assert_eq!(open(&path, 81).unwrap().0.purges().len(), 4);
        fs::remove_file(&path).unwrap();
        assert!(open(&path.join("below"), 82).is_err());
    }

    #[test]
    fn files_of_earlier_versions_are_taken_over_once_and_kept_aside() {
        let texts = [
            ("bare", "purge object 0a 5\npurge group 7 6\npurge object 0a 9\npurge object 0b 1"),
            ("logs", "life 4d\ncopies1 entry 1 4d 0 1 6 group 7\ncopies1 entry 1 4d 1 2 5 object 0a\ncopies1 entry 1 4d 2 3 9 object 0a\nclosed\n"),
            ("cut", "life 4d\ncopies1 entry 1 4d 0 1 6 group 7\ncopies1 entry 2 5 0 1 9 object 0a\ncopies1 entry 1 4d 1 2 5 obj"),
        ];
        for (name, text) in texts {
            let path = file(name);
            fs::write(&path, text).unwrap();
            let mut ledger = open(&path, 99).unwrap();
            let mut purges = ledger.0.purges();
            purges.sort();
            assert_eq!(purges, [(None, 7, 6), (Some("0a".into()), 0, 9)], "{name}");
            assert_eq!(ledger.0.replica.own(), LogId::new(1, 99), "{name}: in a life of its own");
            let mut aside = path.as_os_str().to_owned();
            aside.push(".old");
            assert_eq!(fs::read_to_string(&aside).unwrap(), text, "{name}: for a way back");
            ledger.0.add(Some("0a"), 0, 50).unwrap();
            written(&mut ledger);
            ledger.0.close().unwrap();
            let again = open(&path, 120).unwrap();
            assert!(
                again.0.purges().contains(&(Some("0a".into()), 0, 50)),
                "{name}: it is not taken over again"
            );
            assert_eq!(again.0.replica.own(), LogId::new(1, 99), "{name}: and has its life from then on");
            assert!(!again.0.is_fresh());
            drop(again);
            // The store is lost and the old file is still there: what it has is better than nothing, and no place in the
            // logs that were written since is given again.
            fs::remove_file(&path).unwrap();
            let twice = open(&path, 130).unwrap();
            assert_eq!((twice.0.replica.own(), twice.0.is_fresh()), (LogId::new(1, 130), true), "{name}");
            drop(twice);
            fs::remove_file(&aside).unwrap();
            fs::remove_file(&path).unwrap();
        }
    }

    #[test]
    fn a_peer_is_told_what_is_on_the_disk_only_once_it_is() {
        let path = file("peer");
        let mut ledger = open(&path, 77).unwrap();
        ledger.0.peers(10, vec![20, 30]);
        let theirs = Entry {
            log: LogId::new(2, 5),
            index: 1,
            prev: 0,
            subject: Subject::Group(3),
            at: 8,
            revoked: false,
        };
        let received = ledger.0.receive(1, Datagram::Entry(theirs.clone()));
        assert_eq!((received.new, received.replies), (vec![theirs.clone()], vec![]), "not before");
        let held = Datagram::Ack { process: 77, positions: vec![(LogId::new(2, 5), 1)] };
        assert_eq!(written(&mut ledger), [Outgoing { peer: 1, datagram: held.clone() }]);
        assert_eq!(ledger.0.receive(0, Datagram::Entry(theirs.clone())).replies, [held]);
        // Its own log of an earlier life comes back from a peer; what it writes now stands in another.
        ledger.0.receive(0, Datagram::Entry(Entry { log: LogId::new(1, 4), ..theirs }));
        let new = ledger.0.add(Some("0c"), 0, 9).unwrap();
        assert_eq!((new.log, new.index), (LogId::new(1, 77), 1));
        let ban = || Subject::Ban("pc-1".into());
        assert!(ledger.0.is_fresh() && ledger.0.decided().is_empty());
        ledger.0.open_commit(100, 1).unwrap();
        written(&mut ledger);
        assert_eq!(ledger.0.resolve_commits(100), [], "on this disk alone");
        ledger.0.receive(0, Datagram::Ack { process: 1, positions: vec![(LogId::new(1, 77), 1)] });
        assert_eq!(ledger.0.resolve_commits(200), [CommitOutcome { commit: 1, result: Ok(100) }]);
        ledger.0.append(ban(), 10, false).unwrap();
        ledger.0.append(Subject::Drain, 11, false).unwrap();
        ledger.0.append(Subject::Drain, 12, true).unwrap();
        let decided = [(ban(), false), (Subject::Drain, true)];
        assert_eq!(ledger.0.decided().into_iter().collect::<Vec<_>>(), decided);
        written(&mut ledger);
        ledger.0.close().unwrap();
        let again = open(&path, 99).unwrap();
        assert_eq!(
            (again.0.decided().into_iter().collect::<Vec<_>>(), again.0.is_fresh()),
            (decided.into(), false)
        );
        assert_eq!(
            again.0.replica.own(),
            LogId::new(1, 77),
            "the life of the store, not of the log that came back"
        );
        drop(again);
        fs::remove_file(&path).unwrap();
    }
}
