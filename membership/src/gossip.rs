//! Which updates are sent along with the next datagram: each a bounded number of times, those sent least first.

use crate::wire::Update;
use crate::Id;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// An update is sent this many times the binary logarithm of the number of members, so that few of them miss it.
const RETRANSMIT_MULTIPLIER: u32 = 4;

/// An update, and how often it was sent.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: Update,
    times_sent: u32,
}

/// The updates that are still passed on, by their subject: a later one replaces an earlier one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    updates: BTreeMap<Id, QueuedUpdate>,
}

impl Gossip {
    /// Adds an update to be passed on.
    pub(crate) fn add(&mut self, update: Update) {
        self.updates
            .insert(update.id, QueuedUpdate { update, times_sent: 0 });
    }

    /// Returns up to `max_updates` updates for a datagram, and counts them as sent. One about the receiver itself goes
    /// first, as the receiver is the one that can refute it.
    pub(crate) fn take(
        &mut self,
        max_updates: usize,
        members: usize,
        receiver: Option<Id>,
    ) -> Vec<Update> {
        let max_times_sent = RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros()).max(2);
        let mut by_priority: Vec<(bool, u32, Id)> = self
            .updates
            .iter()
            .map(|(id, queued)| (Some(*id) != receiver, queued.times_sent, *id))
            .collect();
        by_priority.sort_unstable();
        let mut selected = Vec::new();
        for (_, _, id) in by_priority.into_iter().take(max_updates) {
            if let Some(queued) = self.updates.get_mut(&id) {
                selected.push(queued.update);
                queued.times_sent += 1;
                if queued.times_sent >= max_times_sent {
                    self.updates.remove(&id);
                }
            }
        }
        selected
    }
}
