//! Discrete-event loop of the simulation: members, links and faults on virtual time.

mod checks;
mod faults;
mod outcome;
mod purges;

pub use outcome::Outcome;

use crate::scale::delivery::{delays, PurgeTracker};
use crate::scale::fault::{duration, joiner, schedule, writers, Action, Window};
use crate::scale::fleet_config::FleetConfig;
use crate::scale::hollow::{DiskContents, HollowMember, LogEnd, Outgoing};
use crate::scale::layout::{Layout, MemberIndex};
use crate::scale::meter::{processor_time, Meter};
use crate::scale::network::Network;
use crate::scale::prefill;
use crate::scale::run::Run;
use crate::scale::verdict::Verdict;
use hdrhistogram::Histogram;
use linnetknot_datagram::Random;
use linnetknot_simnet::{member_at, peer_index, EventQueue, Micros, Timed};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

const SECOND_US: Micros = 1_000_000;

/// Virtual time at the start of a run.
const START: Micros = SECOND_US;

/// Time before measuring begins; the budgets elect their allocators within about 5 s.
const WARM_UP_US: Micros = 7 * SECOND_US;

/// Longest time after the measured window to wait for all members to converge.
const MAX_SETTLING_US: Micros = 20 * SECOND_US;

/// Interval at which the members' states are compared while waiting for convergence.
const STATE_COMPARISON_INTERVAL_US: Micros = SECOND_US / 4;

/// Interval at which the sums of the leases are checked.
const BUDGET_CHECK_INTERVAL_US: Micros = SECOND_US / 10;

/// Interval at which the budget allocators are sampled.
const ALLOCATOR_SAMPLE_INTERVAL_US: Micros = SECOND_US;

/// Interval at which the progress of a joining member is polled.
const JOINER_POLL_INTERVAL_US: Micros = SECOND_US / 10;

/// Scheduled event.
#[derive(Debug)]
enum Event {
    Arrival {
        from: u32,
        to: u32,
        bytes: Arc<[u8]>,
    },
    Wake {
        member: u32,
    },
    Purge {
        writer: u32,
    },
    PurgeDeadline {
        purge: u64,
    },
    ApplyAction {
        action: Action,
    },
    CheckBudgets,
    SampleAllocators,
    PollJoiner,
}

/// Time value for a member that is not running or has no timer.
const NEVER: Micros = Micros::MAX;

/// A member with its process and disk.
#[derive(Debug)]
struct Node {
    member: Option<HollowMember>,
    /// Time at which the member's timer fires.
    wake_at: Micros,
    running_since: Micros,
    disk: Option<DiskContents>,
    crashed_at: Option<Micros>,
}

struct Joining {
    member: MemberIndex,
    since: Micros,
    /// Last index of each of the fleet's logs at the time at which the member started.
    ends: Vec<LogEnd>,
}

struct Simulation<'a> {
    run: &'a Run,
    config: Arc<FleetConfig>,
    network: Network,
    nodes: Vec<Node>,
    queue: EventQueue<Event>,
    now: Micros,
    window: Window,
    meters: Vec<Meter>,
    purges: PurgeTracker,
    allocators: BTreeSet<MemberIndex>,
    starters: BTreeSet<MemberIndex>,
    deaths_known: BTreeSet<(MemberIndex, MemberIndex)>,
    death_delays: Histogram<u64>,
    false_deaths: u64,
    joining: Option<Joining>,
    join_us: Option<Micros>,
    verdict: Verdict,
    events: u64,
}

/// Simulates a run.
pub fn play(run: &Run) -> Outcome {
    let started_at = Instant::now();
    let mut simulation = Simulation::new(run);
    simulation.start_fleet();
    simulation.schedule_run();
    simulation.run_until(simulation.window.until);
    let states = simulation.states();
    let settling_us = simulation.settle();
    simulation.check_end_state();
    let Simulation {
        network,
        meters,
        purges,
        allocators,
        starters,
        ..
    } = simulation;
    Outcome {
        layout: network.layout().clone(),
        window: simulation.window,
        meters,
        states,
        allocators,
        starters,
        purges,
        death_delays: simulation.death_delays,
        false_deaths: simulation.false_deaths,
        join_us: simulation.join_us,
        settling_us,
        verdict: simulation.verdict,
        events: simulation.events,
        wall_time: started_at.elapsed(),
    }
}

impl<'a> Simulation<'a> {
    fn new(run: &'a Run) -> Self {
        let layout = Layout::new(run.members, &run.target);
        let zones: Vec<usize> = (0..run.members)
            .map(|member| layout.position(member).zone)
            .collect();
        let from = START + WARM_UP_US;
        let config = FleetConfig::of(run, &zones);
        let window = Window {
            from,
            until: from + run.seconds * SECOND_US,
        };
        let node = || Node {
            member: None,
            wake_at: NEVER,
            running_since: NEVER,
            disk: None,
            crashed_at: None,
        };
        Simulation {
            run,
            config: Arc::new(config),
            network: Network::new(layout, &run.target.links, run.seed),
            nodes: (0..run.members).map(|_| node()).collect(),
            queue: EventQueue::default(),
            now: START,
            window,
            meters: vec![Meter::new(duration(run.fault, &run.target, window)); run.members],
            purges: PurgeTracker::new(run.members),
            allocators: BTreeSet::new(),
            starters: BTreeSet::new(),
            deaths_known: BTreeSet::new(),
            death_delays: delays(),
            false_deaths: 0,
            joining: None,
            join_us: None,
            verdict: Verdict::default(),
            events: 0,
        }
    }

    // Start of the fleet, and the timers and events that are scheduled for it.

    /// Starts all members with complete membership views, as in a fleet that has been running for a long time.
    fn start_fleet(&mut self) {
        let members = self.nodes.len();
        let absent = joiner(self.run.fault, self.network.layout());
        let introduction = |member| HollowMember::introduction(&self.config, member, START);
        let introductions: Vec<Vec<u8>> = (0..members).map(introduction).collect();
        let disks = prefill::disks(self.run, &self.config, START);
        for (member, disk) in disks
            .into_iter()
            .enumerate()
            .filter(|(member, _)| Some(*member) != absent)
        {
            self.start(member, Some(disk));
            if let Some(hollow) = &mut self.nodes[member].member {
                hollow.receive_introductions(&introductions, START);
            }
            self.schedule_wake(member);
        }
    }

    fn schedule_run(&mut self) {
        let mut random = Random::new(self.run.seed ^ 0x7265_6865_6172_7365);
        let layout = self.network.layout();
        let writers = writers(self.run.fault, layout);
        let actions = schedule(
            self.run.fault,
            layout,
            &self.run.target,
            self.window,
            &mut random,
        );
        for scheduled in actions {
            self.queue.schedule(
                scheduled.at,
                Event::ApplyAction {
                    action: scheduled.action,
                },
            );
        }
        let purges = self.run.target.purges_per_second * self.run.seconds;
        for number in 0..purges {
            let at = self.window.from + self.window.length() * number / purges;
            let writer = writers[random.below(writers.len() as u64) as usize] as u32;
            self.queue.schedule(at, Event::Purge { writer });
        }
        self.queue.schedule(START, Event::CheckBudgets);
        self.queue
            .schedule(self.window.from, Event::SampleAllocators);
    }

    // ---- Events ----

    fn run_until(&mut self, end: Micros) {
        while let Some(Timed { at, event }) = self.queue.pop_due(end) {
            self.now = at;
            self.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { from, to, bytes } => self.arrive(from as usize, to as usize, &bytes),
            Event::Wake { member } => self.wake(member as usize),
            Event::Purge { writer } => self.issue_purge(writer as usize),
            Event::PurgeDeadline { purge } => self.check_purge(purge),
            Event::ApplyAction { action } => self.apply_action(action),
            Event::CheckBudgets => self.check_budgets(),
            Event::SampleAllocators => self.sample_allocators(),
            Event::PollJoiner => self.poll_joiner(),
        }
    }

    fn is_measured(&self) -> bool {
        (self.window.from..self.window.until).contains(&self.now)
    }

    /// Runs `work` on a member, sends the resulting datagrams and reschedules the member's timer.
    fn drive(&mut self, index: MemberIndex, work: impl FnOnce(&mut HollowMember, Micros)) {
        let (now, is_measured) = (self.now, self.is_measured());
        let Some(member) = &mut self.nodes[index].member else {
            return;
        };
        let started_at = is_measured.then(processor_time);
        work(member, now);
        let outgoing = member.take_outgoing();
        let events = member.take_events();
        if let Some(started_at) = started_at {
            self.meters[index].busy += processor_time().saturating_sub(started_at);
        }
        self.send(index, outgoing);
        events
            .into_iter()
            .for_each(|event| self.record_event(index, event));
        self.schedule_wake(index);
    }

    fn schedule_wake(&mut self, index: MemberIndex) {
        let node = &mut self.nodes[index];
        let Some(member) = &node.member else { return };
        let due = member.due().max(self.now);
        // A timer that is set too early is rescheduled when it fires, so only a timer that is set too late is replaced.
        if due < node.wake_at {
            node.wake_at = due;
            self.queue.schedule(
                due,
                Event::Wake {
                    member: index as u32,
                },
            );
        }
    }

    fn wake(&mut self, index: MemberIndex) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.wake_at != now {
            return;
        }
        node.wake_at = NEVER;
        if node
            .member
            .as_ref()
            .is_some_and(|member| member.due() > now)
        {
            return self.schedule_wake(index);
        }
        self.drive(index, HollowMember::tick);
    }

    // ---- Datagrams ----

    fn send(&mut self, from: MemberIndex, outgoing: Vec<Outgoing>) {
        let is_measured = self.is_measured();
        for Outgoing { to, bytes } in outgoing {
            if is_measured {
                self.meters[from].sent(bytes.len(), self.now);
            }
            let to = member_at(to, from);
            let arrivals = self.network.send(from, to, self.now);
            for at in [arrivals.first, arrivals.second].into_iter().flatten() {
                let arrival = Event::Arrival {
                    from: from as u32,
                    to: to as u32,
                    bytes: bytes.clone(),
                };
                self.queue.schedule(at, arrival);
            }
        }
    }

    fn arrive(&mut self, from: MemberIndex, to: MemberIndex, bytes: &[u8]) {
        if self.nodes[to].member.is_none() {
            return;
        }
        if self.is_measured() {
            self.meters[to].received(bytes.len(), self.now);
        }
        let peer = peer_index(from, to);
        self.drive(to, |member, now| member.receive(peer, bytes, now));
    }
}
