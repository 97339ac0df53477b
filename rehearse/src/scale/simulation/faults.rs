//! Processes that start and end, members that join, and links that are cut.

use super::{Event, Joining, Simulation, LOOK_AT_JOINER_US, NEVER, START};
use crate::scale::fault::Action;
use crate::scale::hollow::{DiskContents, HollowMember};
use crate::scale::layout::MemberIndex;
use linnetknot_simnet::Micros;

/// The share of its requests that a proxy lets ask an origin that is late.
const LATE_ORIGIN_SHARE: f64 = 0.3;

impl Simulation<'_> {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Crash { members } => members.into_iter().for_each(|member| self.crash(member)),
            Action::Stop { members } => members.into_iter().for_each(|member| self.stop(member)),
            Action::Start { members } => {
                for member in members {
                    let disk = self.nodes[member].disk.take().unwrap_or_default();
                    self.purges.restarted(member, disk.purges());
                    self.start(member, Some(disk));
                }
            }
            Action::Join { member } => self.join(member),
            Action::Cut { pair, until } => self.network.cut(pair, until),
            Action::OriginLate { member } => {
                self.drive(member, |member, now| {
                    member.find_origin_late(LATE_ORIGIN_SHARE, now);
                });
            }
        }
    }

    pub(super) fn start(&mut self, index: MemberIndex, disk: Option<DiskContents>) {
        let mut member = HollowMember::start(&self.config, index, self.run.seed, self.now, disk);
        let planted = self.run.plants.iter().filter(|plant| plant.member == index);
        planted.for_each(|plant| member.plant(plant.defect));
        let node = &mut self.nodes[index];
        node.member = Some(member);
        node.running_since = self.now;
        node.crashed_at = None;
        if self.now > START {
            self.starters.insert(index);
        }
        self.plan_wake(index);
    }

    /// Its process is gone.
    pub(super) fn end(&mut self, index: MemberIndex, is_in_order: bool) {
        let node = &mut self.nodes[index];
        let Some(member) = node.member.take() else {
            return;
        };
        node.disk = Some(member.disk_contents(is_in_order));
        node.wakes = NEVER;
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
            .schedule(self.now + LOOK_AT_JOINER_US, Event::LookAtJoiner);
    }

    pub(super) fn look_at_joiner(&mut self) {
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
                .schedule(self.now + LOOK_AT_JOINER_US, Event::LookAtJoiner);
        }
    }

    /// A member believes that the process of another which started then is dead.
    pub(super) fn note_death(
        &mut self,
        observer: MemberIndex,
        victim: MemberIndex,
        started: Micros,
    ) {
        let node = &self.nodes[victim];
        let Some(crashed_at) = node.crashed_at else {
            // Word of an earlier process that did die may come late.
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
