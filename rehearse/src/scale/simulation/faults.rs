//! Process starts and exits, joining members, and disconnected links.

use super::{Event, Joining, Simulation, JOINER_POLL_INTERVAL_US, NEVER, START};
use crate::scale::fault::Action;
use crate::scale::hollow::{DiskContents, HollowMember};
use crate::scale::layout::MemberIndex;
use linnetknot_simnet::Micros;

/// Share of requests that a proxy still sends to a slow origin.
const LATE_ORIGIN_REQUEST_SHARE: f64 = 0.3;

impl Simulation<'_> {
    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Crash { members } => members.into_iter().for_each(|member| self.crash(member)),
            Action::Stop { members } => members.into_iter().for_each(|member| self.stop(member)),
            Action::Start { members } => {
                for member in members {
                    let disk = self.nodes[member].disk.take().unwrap_or_default();
                    self.purges.record_restart(member, disk.purges());
                    self.start(member, Some(disk));
                }
            }
            Action::Join { member } => self.join(member),
            Action::Cut { pair, until } => self.network.cut(pair, until),
            Action::OriginLate { member } => {
                self.drive(member, |member, now| {
                    member.record_late_origin_response(LATE_ORIGIN_REQUEST_SHARE, now);
                });
            }
        }
    }

    pub(super) fn start(&mut self, index: MemberIndex, disk: Option<DiskContents>) {
        let mut member = HollowMember::start(&self.config, index, self.run.seed, self.now, disk);
        let injected_defects = self
            .run
            .injected_defects
            .iter()
            .filter(|injected| injected.member == index);
        injected_defects.for_each(|injected| member.inject_defect(injected.defect));
        let node = &mut self.nodes[index];
        node.member = Some(member);
        node.running_since = self.now;
        node.crashed_at = None;
        if self.now > START {
            self.starters.insert(index);
        }
        self.schedule_wake(index);
    }

    /// Ends a member's process and saves the contents of its disk.
    pub(super) fn end(&mut self, index: MemberIndex, is_in_order: bool) {
        let node = &mut self.nodes[index];
        let Some(member) = node.member.take() else {
            return;
        };
        node.disk = Some(member.disk_contents(is_in_order));
        node.wake_at = NEVER;
        self.purges.abandon(index);
    }

    pub(super) fn crash(&mut self, index: MemberIndex) {
        self.end(index, false);
        self.nodes[index].crashed_at = Some(self.now);
        self.deaths_known.retain(|(_, victim)| *victim != index);
    }

    pub(super) fn stop(&mut self, index: MemberIndex) {
        self.drive(index, HollowMember::leave);
        self.end(index, true);
    }

    pub(super) fn join(&mut self, index: MemberIndex) {
        let known = self
            .nodes
            .iter()
            .filter_map(|node| node.member.as_ref())
            .next();
        let ends = known.map_or_else(Vec::new, HollowMember::log_ends);
        self.joining = Some(Joining {
            member: index,
            since: self.now,
            ends,
        });
        self.start(index, None);
        self.queue
            .schedule(self.now + JOINER_POLL_INTERVAL_US, Event::PollJoiner);
    }

    pub(super) fn poll_joiner(&mut self) {
        let Some(Joining {
            member,
            since,
            ends,
        }) = &self.joining
        else {
            return;
        };
        let has_all = self.nodes[*member]
            .member
            .as_ref()
            .is_some_and(|member| member.has_logs(ends));
        if has_all {
            self.join_us = Some(self.now - since);
            self.joining = None;
        } else {
            self.queue
                .schedule(self.now + JOINER_POLL_INTERVAL_US, Event::PollJoiner);
        }
    }

    /// Records that `observer` considers the process of `victim` started at `started` dead.
    pub(super) fn record_death(
        &mut self,
        observer: MemberIndex,
        victim: MemberIndex,
        started: Micros,
    ) {
        let node = &self.nodes[victim];
        let Some(crashed_at) = node.crashed_at else {
            // The report may concern an earlier process of the member, which has exited.
            let is_running = node.member.is_some() && node.running_since == started;
            self.false_deaths += u64::from(is_running);
            return;
        };
        if self.deaths_known.insert((observer, victim)) {
            self.death_delays
                .saturating_record((self.now - crashed_at).max(1));
        }
    }
}
