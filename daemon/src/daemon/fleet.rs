//! What the door tells of this proxy's copies.

use super::Daemon;
use crate::fleet::{LogStatus, PeerStatus, Status, MOST_LOGS, MOST_PEERS};

impl Daemon {
    /// Where this proxy's copies and promises stand; none where it makes no copies.
    pub(super) fn fleet_status(&self) -> Option<Status> {
        let copies = &self.config.copies;
        let ledger = self.ledger.as_ref().filter(|_| copies.on)?.copies();
        let (own, tally, ends) = (ledger.own(), ledger.tally(), ledger.book().ends());
        let end = ledger.book().end(own);
        let peer = |(place, (address, machine)): (usize, &(std::net::SocketAddr, String))| {
            let held = ledger.held_by(place);
            PeerStatus { address: *address, machine: machine.clone(), held, behind: end.saturating_sub(held) }
        };
        let log = |((writer, life), end): &((u64, u64), u64)| LogStatus {
            writer: format!("{writer:016x}"),
            life: format!("{life:x}"),
            own: *writer == own.0,
            end: *end,
            on_disk: ledger.mark((*writer, *life)),
        };
        Some(Status {
            name: self.config.name.clone(),
            machine: copies.machine.clone(),
            life: format!("{:x}", own.1),
            wait: copies.wait,
            holders: copies.holders,
            end,
            on_disk: ledger.mark(own),
            entries: ledger.book().len(),
            digest: format!("{:016x}", ledger.book().sum()),
            waiting: self.promised.waiting(),
            short: ledger.short(),
            promised: tally.promised,
            refused: tally.denied,
            peers: copies.machines.iter().enumerate().take(MOST_PEERS).map(peer).collect(),
            peers_in_all: copies.machines.len(),
            logs: ends.iter().take(MOST_LOGS).map(log).collect(),
            logs_in_all: ends.len(),
        })
    }
}
