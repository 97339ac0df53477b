//! What the members' disks have when a run begins.

use crate::scale::fault::Fault;
use crate::scale::hollow::{DiskContents, FleetConfig};
use crate::scale::simulation::Run;
use linnetknot_replication::{Capacity, LogId, LogStore, Subject};
use linnetknot_simnet::Micros;

/// How full the logs of a full fleet are, in hundredths of their capacity: purges of the run are to have room.
const FULL_PERCENT: usize = 75;

/// Purges that were told before the run have numbers from here on.
const FIRST_NUMBER: u64 = 1 << 40;

/// Entries that each member's disk has when a run begins.
pub fn entries(run: &Run, config: &FleetConfig) -> usize {
    match run.fault {
        Fault::LateJoin => config.replication.max_exact_entries * FULL_PERCENT / 100,
        _ => 0,
    }
}

/// The disks of all members: the same logs on each, as many entries of each member.
pub fn disks(run: &Run, config: &FleetConfig, now: Micros) -> Vec<DiskContents> {
    let mut logs = LogStore::default();
    for number in 0..entries(run, config) {
        let writer = &config.members[number % config.members.len()];
        let object = format!("{:032x}", FIRST_NUMBER + number as u64);
        let entry = logs.append(
            LogId::new(writer.id, now),
            (Subject::Object(object), now, false),
            Capacity::UNLIMITED,
        );
        // There is room for whatever comes.
        debug_assert!(entry.is_ok());
    }
    let disk = |member: &crate::scale::hollow::config::MemberName| {
        DiskContents::with_logs(logs.clone(), LogId::new(member.id, now))
    };
    config.members.iter().map(disk).collect()
}
