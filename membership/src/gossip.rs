//! The selection of updates that are piggybacked on the next datagram. Each update is sent a bounded number of times,
//! and updates that have been sent least often come first.

use crate::wire::Update;
use crate::Id;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The number of times that an update is sent, as a multiple of the binary logarithm of the number of members.
const RETRANSMIT_MULTIPLIER: u32 = 4;

/// An update and how often it was sent.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: Update,
    times_sent: u32,
}

/// The updates that are still sent, by the member that they are about. A later update replaces an earlier one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    updates: BTreeMap<Id, QueuedUpdate>,
}

impl Gossip {
    /// Adds an update, which replaces an earlier update about the same member.
    pub(crate) fn add(&mut self, update: Update) {
        self.updates.insert(
            update.id,
            QueuedUpdate {
                update,
                times_sent: 0,
            },
        );
    }

    /// Selects up to `max_updates` updates for a datagram, and counts them as sent. An update about the receiver comes
    /// first, because only the receiver can refute it.
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
