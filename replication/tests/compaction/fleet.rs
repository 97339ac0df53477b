//! A simulated fleet on virtual time. Its members compact their logs, and write to their disks in order and with a
//! delay.

use linnetknot_replication::*;
use linnetknot_simnet::{self as simnet, Delay, Step, Timed};
use std::collections::{BTreeMap, VecDeque};

pub(crate) const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;

/// A pending write to a member's simulated disk.
#[derive(Clone, Debug)]
enum Write {
    Entry(Entry),
    Bucket(BucketIndex, Bucket),
    /// The buckets and indexes of a compaction. Its entries are deleted after this write.
    Compaction(Compaction),
    /// The compacted indexes of a complete snapshot.
    Snapshot(Vec<CompactedLog>),
    /// Deletes an entry, unless a later entry has replaced it.
    Delete(Entry),
}

/// The content of a disk: one entry per log and subject, buckets, and the compacted indexes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    entries: BTreeMap<(LogId, Subject), Entry>,
    buckets: BTreeMap<BucketIndex, Bucket>,
    compacted: BTreeMap<LogId, Index>,
}

impl Disk {
    fn set_compacted(&mut self, logs: &[CompactedLog]) {
        for CompactedLog { log, through } in logs {
            let known = self.compacted.entry(*log).or_default();
            *known = through.max(known).to_owned();
        }
    }

    /// Returns the log store that a starting process restores.
    pub(crate) fn restore(&self, bucket_bits: BucketBits) -> LogStore {
        let mut table = CompactTable::new(bucket_bits);
        for (index, bucket) in &self.buckets {
            table
                .merge_bucket(bucket_bits, *index, bucket)
                .expect("a bucket of this table");
        }
        let compacted = self.compacted.iter().map(|(log, through)| CompactedLog {
            log: *log,
            through: *through,
        });
        let entries = self.entries.values().cloned().collect();
        LogStore::restore(table, &compacted.collect::<Vec<_>>(), entries)
            .expect("the indexes are unique")
    }

    pub(crate) fn entries(&self) -> usize {
        self.entries.len()
    }
}

pub(crate) struct Member {
    pub replica: Option<Replica>,
    pub epoch: Epoch,
    pub disk: Disk,
    writes: VecDeque<(Micros, Write)>,
    /// Whether the member has a version without snapshots.
    pub lacks_snapshots: bool,
    /// The purge times of some subjects at the last check.
    last_times: BTreeMap<Subject, Micros>,
    /// The times of purges that arrived out of order or were rejected.
    pub early_times: BTreeMap<Subject, Micros>,
    pub received_bytes: u64,
    pub received_chunks: u64,
}

pub(crate) struct Fleet {
    pub links: simnet::Network<Vec<u8>>,
    pub members: Vec<Member>,
    pub options: Options,
    pub bucket_bits: BucketBits,
    pub disk_us: Micros,
    /// The latest time of each purge so far.
    pub purged: BTreeMap<Subject, Micros>,
    pub rejected_count: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Write(usize),
    Tick(usize),
}

pub(crate) fn object(n: u64) -> Subject {
    Subject::Object(format!("{n:016x}"))
}

pub(crate) fn purge_subject(n: u64) -> Subject {
    if n % 4 == 0 {
        Subject::Group(n)
    } else {
        object(n)
    }
}

impl Fleet {
    /// Creates a fleet whose members store at most `max_exact_entries`. The first `running` members are started.
    pub(crate) fn new(
        members: usize,
        running: usize,
        max_exact_entries: usize,
        seed: u64,
    ) -> Fleet {
        let options = Options {
            max_exact_entries,
            ..Options::default()
        };
        let mut fleet = Fleet {
            links: simnet::Network::new(
                seed,
                Delay {
                    min_us: MS,
                    jitter_us: 5 * MS,
                },
            ),
            members: Vec::new(),
            options,
            bucket_bits: BucketBits::DEFAULT,
            disk_us: 2 * MS,
            purged: BTreeMap::new(),
            rejected_count: 0,
        };
        fleet.members.extend((0..members).map(|_| Member {
            replica: None,
            epoch: 0,
            disk: Disk::default(),
            writes: VecDeque::new(),
            lacks_snapshots: false,
            last_times: BTreeMap::new(),
            early_times: BTreeMap::new(),
            received_bytes: 0,
            received_chunks: 0,
        }));
        (0..running).for_each(|n| fleet.start(n));
        fleet
    }

    /// Starts a member with the content of its disk, in a new epoch.
    pub(crate) fn start(&mut self, n: usize) {
        let machines = (0..self.members.len())
            .filter(|m| *m != n)
            .map(|m| m as Machine);
        let (now, bucket_bits, options) = (self.links.now, self.bucket_bits, self.options);
        let member = &mut self.members[n];
        let store = member.disk.restore(bucket_bits);
        member.epoch = now + n as u64;
        let own = LogId::new(1_000 + n as u64, member.epoch);
        let mut replica = Replica::new(own, store, now + n as u64, options);
        replica.set_peers(n as Machine, machines.collect());
        member.replica = Some(replica);
    }

    /// Stops a member. Its pending writes are lost.
    pub(crate) fn kill(&mut self, n: usize) {
        let member = &mut self.members[n];
        member.replica = None;
        member.writes.clear();
        member.last_times.clear();
        member.early_times.clear();
    }

    pub(crate) fn lose_disk(&mut self, n: usize) {
        self.members[n].disk = Disk::default();
    }

    pub(crate) fn replica(&self, n: usize) -> &Replica {
        self.members[n]
            .replica
            .as_ref()
            .expect("the member is running")
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let bytes = datagram
            .encode()
            .unwrap_or_else(|| panic!("too long: {datagram:?}"));
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(Datagram::decode(&bytes).as_ref(), Ok(datagram));
        self.links.send(from, to, &bytes);
    }

    /// Appends an entry at a member and sends it to all others.
    pub(crate) fn append(&mut self, n: usize, subject: Subject, revoked: bool) {
        let now = self.links.now;
        let Some(replica) = self.members[n].replica.as_mut() else {
            return;
        };
        let Ok(entry) = replica.append(subject.clone(), now, revoked) else {
            self.rejected_count += 1;
            return;
        };
        if subject.is_purge() {
            self.purged.insert(subject, now);
        }
        self.write(n, Write::Entry(entry.clone()));
        for to in (0..self.members.len()).filter(|to| *to != n) {
            self.send(n, to, &Datagram::Entry(entry.clone()));
        }
        self.compact(n);
    }

    pub(crate) fn purge(&mut self, n: usize, subject: Subject) {
        self.append(n, subject, false);
    }

    fn write(&mut self, n: usize, write: Write) {
        let at = self.links.now + self.disk_us;
        self.members[n].writes.push_back((at, write));
    }

    fn compact(&mut self, n: usize) {
        let now = self.links.now;
        let compaction = self.members[n]
            .replica
            .as_mut()
            .and_then(|replica| replica.compact(now));
        if let Some(compaction) = compaction {
            self.write(n, Write::Compaction(compaction));
        }
    }

    /// Completes the oldest pending write.
    fn complete_write(&mut self, n: usize) {
        let member = &mut self.members[n];
        let Some((_, write)) = member.writes.pop_front() else {
            return;
        };
        let Some(replica) = member.replica.as_mut() else {
            return;
        };
        let disk = &mut member.disk;
        let outgoing = match write {
            Write::Entry(entry) => {
                let outgoing = replica.record_synced(entry.log, entry.index);
                disk.entries
                    .insert((entry.log, entry.subject.clone()), entry);
                outgoing
            }
            Write::Bucket(index, bucket) => {
                disk.buckets.insert(index, bucket);
                Vec::new()
            }
            Write::Compaction(compaction) => {
                for index in compaction.buckets {
                    let bucket = replica
                        .log_store()
                        .table()
                        .bucket(index)
                        .expect("the bucket is not empty");
                    disk.buckets.insert(index, *bucket);
                }
                disk.set_compacted(&compaction.logs);
                for entry in compaction.entries {
                    self.write(n, Write::Delete(entry));
                }
                Vec::new()
            }
            Write::Snapshot(logs) => {
                disk.set_compacted(&logs);
                replica.record_snapshot_synced(&logs)
            }
            Write::Delete(entry) => {
                let key = (entry.log, entry.subject);
                if disk
                    .entries
                    .get(&key)
                    .is_some_and(|stored| stored.index == entry.index)
                {
                    disk.entries.remove(&key);
                }
                Vec::new()
            }
        };
        outgoing
            .iter()
            .for_each(|out| self.send(n, simnet::member_at(out.peer, n), &out.datagram));
        self.compact(n);
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let member = &mut self.members[to];
        let Some(replica) = member.replica.as_mut() else {
            return;
        };
        let datagram = Datagram::decode(bytes).expect("the datagram is valid");
        let is_snapshot_datagram = matches!(
            datagram,
            Datagram::SnapshotOffer(_) | Datagram::SnapshotRequest(_) | Datagram::SnapshotChunk(_)
        );
        if is_snapshot_datagram && member.lacks_snapshots {
            return;
        }
        if matches!(datagram, Datagram::SnapshotChunk(_)) {
            member.received_chunks += 1;
            member.received_bytes += bytes.len() as u64;
        }
        let received = replica.receive(self.links.now, simnet::peer_index(from, to), datagram);
        for entry in received.out_of_order.iter().chain(&received.rejected) {
            let purged_at = member.early_times.entry(entry.subject.clone()).or_default();
            *purged_at = entry.at.max(*purged_at);
        }
        for merged in received.buckets {
            self.write(to, Write::Bucket(merged.index, merged.bucket));
        }
        if !received.compacted.is_empty() {
            self.write(to, Write::Snapshot(received.compacted));
        }
        for entry in received.new {
            self.write(to, Write::Entry(entry));
        }
        received
            .replies
            .iter()
            .for_each(|reply| self.send(to, from, reply));
        self.compact(to);
    }

    pub(crate) fn run(&mut self, for_us: Micros) {
        let end = self.links.now + for_us;
        loop {
            let due = |(n, member): (usize, &Member)| {
                let replica = member.replica.as_ref()?;
                let write = member.writes.front().map(|(at, _)| Timed {
                    at: *at,
                    event: Due::Write(n),
                });
                let tick = Timed {
                    at: replica.due(),
                    event: Due::Tick(n),
                };
                write.into_iter().chain([tick]).min()
            };
            let due = self.members.iter().enumerate().filter_map(due).min();
            match self.links.step(end, due) {
                Step::Delivered { from, to, message } => self.deliver(from, to, &message),
                Step::Due(Due::Write(n)) => self.complete_write(n),
                Step::Due(Due::Tick(n)) => self.tick(n),
                Step::Finished => return,
            }
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.links.now;
        let Some(replica) = self.members[n].replica.as_mut() else {
            return;
        };
        let outgoing = replica.tick(now);
        outgoing
            .iter()
            .for_each(|out| self.send(n, simnet::member_at(out.peer, n), &out.datagram));
        self.compact(n);
    }

    /// Runs until all running members have the same logs. Returns the duration, and panics on a timeout.
    pub(crate) fn run_until_converged(&mut self, timeout: Micros) -> Micros {
        let start = self.links.now;
        while !self.has_converged() {
            assert!(
                self.links.now < start + timeout,
                "the members did not converge within {timeout} us"
            );
            self.run(100 * MS);
        }
        self.links.now - start
    }

    pub(crate) fn has_converged(&self) -> bool {
        let mut sums = self
            .members
            .iter()
            .filter_map(|m| m.replica.as_ref())
            .map(|r| r.log_store().checksum());
        let first = sums.next();
        sums.all(|sum| Some(sum) == first)
    }

    /// Returns the number of missing purges: of the purges up to a time, those that a member has neither with their own
    /// time nor with a later time.
    pub(crate) fn missing_purges(&self, n: usize, until: Micros) -> usize {
        let store = self.replica(n).log_store();
        let has = |(subject, at): &(&Subject, &Micros)| {
            **at > until || store.latest_purge(subject) >= Some(**at)
        };
        self.purged.iter().filter(|purge| !has(purge)).count()
    }

    /// Checks that every running member has all purges, and that its disk would restore them.
    pub(crate) fn check(&self) {
        for (n, member) in self
            .members
            .iter()
            .enumerate()
            .filter(|(_, m)| m.replica.is_some())
        {
            assert_eq!(
                self.missing_purges(n, Micros::MAX),
                0,
                "p{n} of {}",
                self.purged.len()
            );
            if member.writes.is_empty() {
                let restored = member.disk.restore(self.bucket_bits);
                let lost = self
                    .purged
                    .iter()
                    .filter(|(subject, at)| restored.latest_purge(subject) < Some(**at));
                assert_eq!(lost.count(), 0, "on the disk of p{n}");
                assert_eq!(
                    restored.checksum(),
                    self.replica(n).log_store().checksum(),
                    "p{n}"
                );
            }
        }
    }

    /// Checks that the purge time of every `step`-th subject has not decreased since the last check.
    pub(crate) fn check_times_not_decreased(&mut self, step: usize) {
        for (n, member) in self.members.iter_mut().enumerate() {
            let Some(replica) = &member.replica else {
                continue;
            };
            for subject in self.purged.keys().step_by(step) {
                let Some(now) = replica.log_store().latest_purge(subject) else {
                    assert!(
                        !member.last_times.contains_key(subject),
                        "p{n}: the purge of {subject:?} is missing"
                    );
                    continue;
                };
                let before = member.last_times.insert(subject.clone(), now);
                assert!(
                    before <= Some(now),
                    "p{n}: the time of {subject:?} decreased from {before:?} to {now}"
                );
            }
        }
    }
}
