//! Applies the purges of peers that another process of this proxy has received, and shares those that this process
//! receives. `crate::shared_purges` has the file.

use super::event_loop::SHARED_PURGES_TOKEN;
use super::shared_logs::SharedLogState;
use super::startup::StartError;
use super::Daemon;
use crate::net::detach_shared_udp;
use crate::shared_log::SharedRecords;
use crate::shared_purges::{PurgeFile, Record};
use linnetknot::Micros;

/// The name of the part of the daemon in errors of the start.
const PART: &str = "shared purges";

impl Daemon {
    /// Applies the purges that other processes of this proxy have received, and begins to share purges.
    pub(super) fn start_sharing_purges(&mut self, now: Micros) -> Result<(), StartError> {
        if self.peers.is_none() || !self.may_overlap_other_process() {
            return Ok(());
        }
        let mut file = PurgeFile::in_folder(&self.operator_state_folder);
        let read = file.read_new(&mut |record| self.apply_shared_record(now, record));
        if let Err(e) = read {
            log::error!(
                "{} can't be read: treating every earlier cached copy as purged: {e}",
                file.path().display()
            );
            self.core.purges_mut().purge_all(now);
        }
        let state = SharedLogState::start(file, &self.poll, SHARED_PURGES_TOKEN, PART)?;
        self.shared_logs.purges = Some(state);
        Ok(())
    }

    fn apply_shared_record(&mut self, now: Micros, record: Record) {
        match record {
            Record::Purge(purge) => {
                self.core
                    .record_purge(now, purge.object, purge.group, purge.at);
            }
            Record::PurgeAll(at) => self.core.purges_mut().purge_all(at),
        }
    }

    /// Shares a purge that this process has received.
    pub(super) fn share_purge(&self, purge: &crate::peers::Purge) {
        if let Some(shared) = &self.shared_logs.purges {
            shared.share(Record::Purge(purge.clone()));
        }
    }

    /// Applies the purges that were read from the file.
    pub(super) fn receive_shared_purges(&mut self, now: Micros) {
        let Some(shared) = &mut self.shared_logs.purges else {
            return;
        };
        let received = shared.take_received();
        for record in received.into_records() {
            self.apply_shared_record(now, record);
        }
    }

    /// Hands the datagrams of peers over to the next process: the kernel delivers no more to this process, and the
    /// purges that were already delivered are written for the next one.
    pub(super) fn hand_over_purges(&mut self, now: Micros) {
        let Some((socket, _)) = &self.peers else {
            return;
        };
        if self.shared_logs.purges.is_none() {
            return;
        }
        fail::fail_point!("purge-hand-over");
        let detached = detach_shared_udp(socket);
        // Without further deliveries, the datagrams have an end.
        while self.receive_peer_datagrams(now) && detached.is_ok() {}
        if let Err(e) = detached {
            log::debug!("datagrams of peers may be lost at the end of this process: {e}");
        }
        fail::fail_point!("purge-handed-over");
        // Dropping the handle writes the purges.
        self.shared_logs.purges = None;
    }
}
