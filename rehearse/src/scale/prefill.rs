//! What the members' disks have when a run begins.

use crate::scale::fault::Fault;
use crate::scale::fleet_config::{FleetConfig, MemberName};
use crate::scale::hollow::DiskContents;
use crate::scale::purge_number::{object, PurgeNumber};
use crate::scale::run::Run;
use linnetknot_purges::{BucketBits, CompactTable, KeyHash};
use linnetknot_replication::{Capacity, CompactedLog, LogId, LogStore, Record, Subject};
use linnetknot_simnet::Micros;

/// How full the logs of a full fleet are, in hundredths of their capacity: purges of the run are to have room.
const FULL_PERCENT: usize = 75;

/// Purges in the compact table of a full fleet, for each entry that a member may hold: by the daemon's own bounds as many
/// as the table has slots.
const COMPACTED_PER_ENTRY: usize = 7;

/// Purges that were told before the run have numbers from here on, those in the compact table from further on.
const FIRST_NUMBER: PurgeNumber = 1 << 40;
const FIRST_COMPACTED: PurgeNumber = 1 << 41;

/// A purge that is in the compact tables when a run begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CompactedPurge {
    /// Which.
    pub purge: PurgeNumber,
    /// When it was told.
    pub at: Micros,
}

/// Entries that each member's disk has when a run begins.
pub(super) fn entries(run: &Run, config: &FleetConfig) -> usize {
    match run.fault {
        Fault::LateJoin => config.replication.max_exact_entries * FULL_PERCENT / 100,
        _ => 0,
    }
}

/// The purges in each member's compact table when a run begins at a time.
pub(super) fn compacted(
    run: &Run,
    config: &FleetConfig,
    now: Micros,
) -> impl Iterator<Item = CompactedPurge> {
    let count = match run.fault {
        Fault::LateJoin => config.replication.max_exact_entries * COMPACTED_PER_ENTRY,
        _ => 0,
    };
    (0..count as u64).map(move |number| CompactedPurge {
        purge: FIRST_COMPACTED + number,
        at: number % now,
    })
}

/// The disks of all members: the same logs on each, as many entries of each member, behind those that were compacted.
pub(super) fn disks(run: &Run, config: &FleetConfig, now: Micros) -> Vec<DiskContents> {
    let own = |member: &MemberName| LogId::new(member.id, now);
    let mut table = CompactTable::new(BucketBits::DEFAULT);
    for CompactedPurge { purge, at } in compacted(run, config, now) {
        table.record(KeyHash::of_object(&object(purge)), at);
    }
    let marker = |member| CompactedLog {
        log: own(member),
        through: 1,
    };
    let is_compacted = !table.is_empty();
    let markers: Vec<CompactedLog> = config
        .members
        .iter()
        .filter(|_| is_compacted)
        .map(marker)
        .collect();
    let mut logs = LogStore::restore(table, &markers, Vec::new()).expect("no index stands twice");
    for number in 0..entries(run, config) {
        let writer = &config.members[number % config.members.len()];
        let subject = Subject::Object(object(FIRST_NUMBER + number as u64));
        let record = Record {
            subject,
            at: now,
            revoked: false,
        };
        let entry = logs.append(own(writer), record, Capacity::UNLIMITED);
        entry.expect("there is room for whatever comes");
    }
    config
        .members
        .iter()
        .map(|member| DiskContents::with_logs(logs.clone(), own(member)))
        .collect()
}
