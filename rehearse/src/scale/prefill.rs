//! Contents of the members' disks at the start of a run.

use crate::scale::fault::Fault;
use crate::scale::fleet_config::{FleetConfig, MemberName};
use crate::scale::hollow::DiskContents;
use crate::scale::purge_number::{object, PurgeNumber};
use crate::scale::run::Run;
use linnetknot_purges::{BucketBits, CompactTable, KeyHash};
use linnetknot_replication::{Capacity, CompactedLog, LogId, LogStore, Record, Subject};
use linnetknot_simnet::Micros;

/// Fill level of the logs of a full fleet, in percent; the remaining space is used by the purges of the run.
const FILL_PERCENT: usize = 75;

/// Ratio of compacted purges to the log entries that a member may store, in a full fleet. With the daemon's limits, the
/// number of compacted purges equals the number of slots in the table.
const COMPACTED_PER_ENTRY: usize = 7;

/// Numbers of purges issued before the run start here: first for those with log entries, second for those in the
/// compact table.
const FIRST_NUMBER: PurgeNumber = 1 << 40;
const FIRST_COMPACTED: PurgeNumber = 1 << 41;

/// Purge that is in the compact tables at the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CompactedPurge {
    /// Number of the purge.
    pub purge: PurgeNumber,
    /// Time at which the purge was issued.
    pub at: Micros,
}

/// Returns the number of entries on each member's disk at the start of a run.
pub(super) fn entries(run: &Run, config: &FleetConfig) -> usize {
    match run.fault {
        Fault::LateJoin => config.replication.max_exact_entries * FILL_PERCENT / 100,
        _ => 0,
    }
}

/// Returns the purges in each member's compact table if the run starts at `now`.
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

/// Returns the disks of all members. All disks hold the compacted purges and the same logs, with an equal number of
/// entries from each member.
pub(super) fn disks(run: &Run, config: &FleetConfig, now: Micros) -> Vec<DiskContents> {
    let own_log = |member: &MemberName| LogId::new(member.id, now);
    let mut table = CompactTable::new(BucketBits::DEFAULT);
    for CompactedPurge { purge, at } in compacted(run, config, now) {
        table.record(KeyHash::of_object(&object(purge)), at);
    }
    let marker = |member| CompactedLog {
        log: own_log(member),
        through: 1,
    };
    let is_compacted = !table.is_empty();
    let markers: Vec<CompactedLog> = config
        .members
        .iter()
        .filter(|_| is_compacted)
        .map(marker)
        .collect();
    let mut logs = LogStore::restore(table, &markers, Vec::new()).expect("each index occurs once");
    for number in 0..entries(run, config) {
        let writer = &config.members[number % config.members.len()];
        let subject = Subject::Object(object(FIRST_NUMBER + number as u64));
        let record = Record {
            subject,
            at: now,
            revoked: false,
        };
        let entry = logs.append(own_log(writer), record, Capacity::UNLIMITED);
        entry.expect("the capacity is unlimited");
    }
    config
        .members
        .iter()
        .map(|member| DiskContents::with_logs(logs.clone(), own_log(member)))
        .collect()
}
