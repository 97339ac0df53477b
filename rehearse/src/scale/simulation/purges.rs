//! Issues purges and records their progress.

use super::{Event, Simulation, NEVER};
use crate::scale::hollow::{MemberEvent, Refusal};
use crate::scale::layout::MemberIndex;
use crate::scale::verdict::Rule;
use linnetknot_simnet::{member_at, Micros};

impl Simulation<'_> {
    /// Issues a purge at a member, or at the next running member if that member is down.
    pub(super) fn issue_purge(&mut self, writer: MemberIndex) {
        let members = self.nodes.len();
        let candidates = (0..members).map(|offset| (writer + offset) % members);
        let Some(writer) = candidates
            .into_iter()
            .find(|member| self.nodes[*member].member.is_some())
        else {
            return;
        };
        let purge = self.purges.issue(writer, self.now);
        let limit = self.run.target.purge_limit_ms * 1_000;
        self.queue
            .schedule(self.now + limit, Event::PurgeDeadline { purge });
        self.drive(writer, |member, now| member.purge(purge, now));
    }

    /// Returns the time since which a member has been running and connected to `from`, or `NEVER` if the link has been
    /// down since `issued_at`.
    pub(super) fn connected_since(
        &self,
        member: MemberIndex,
        from: MemberIndex,
        issued_at: Micros,
    ) -> Micros {
        match self.network.was_cut_since(member, from, issued_at) {
            true => NEVER,
            false => self.nodes[member].running_since,
        }
    }

    pub(super) fn record_event(&mut self, member: MemberIndex, event: MemberEvent) {
        match event {
            MemberEvent::InForce { purge } => {
                let Some(record) = self.purges.get(purge) else {
                    return;
                };
                let since = self.connected_since(member, record.writer, record.issued_at);
                self.purges.record_in_force(purge, member, self.now, since);
            }
            MemberEvent::Committed { purge } => self.purges.commit(purge),
            MemberEvent::Refused { purge, reason } => {
                let rule = match reason {
                    Refusal::Capacity => Rule::PurgeHasRoom,
                    Refusal::Disk | Refusal::Acknowledgements => Rule::PurgeCommitted,
                };
                self.verdict.add(rule, || {
                    format!("purge {purge} at its writer {member}: {reason:?}")
                });
            }
            MemberEvent::NotStored { purge, reason } => {
                let example = || {
                    format!("purge {purge}, received from a peer, at member {member}: {reason:?}")
                };
                self.verdict.add(Rule::PurgeHasRoom, example);
            }
            MemberEvent::Died { peer, started } => {
                self.record_death(member, member_at(peer, member), started);
            }
        }
    }
}
