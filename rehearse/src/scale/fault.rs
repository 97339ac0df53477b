//! Faults that a run simulates and the schedule of their actions.

use crate::scale::layout::{Layout, MemberIndex};
use crate::scale::network::RegionPair;
use crate::scale::target::Target;
use clap::ValueEnum;
use linnetknot_datagram::Random;
use linnetknot_simnet::Micros;

const SECOND_US: Micros = 1_000_000;

/// Time between the stop and the start of a restarted process.
const RESTART_DURATION_US: Micros = SECOND_US;

/// Number of batches in which a fleet is restarted.
const RESTART_BATCHES: usize = 10;

/// Fault that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Fault {
    /// Nothing fails.
    Calm,
    /// All purges are issued at the proxies of one site.
    HotWriter,
    /// Failures and restarts of one day, scaled to the size of the fleet and compressed into the run.
    Day,
    /// One rack loses power for the middle half of the run.
    Rack,
    /// One zone loses power for the middle half of the run.
    Zone,
    /// Two regions are disconnected for the target's duration, at most the middle half of the run.
    RegionsApart,
    /// All proxies are restarted, a tenth at a time.
    FleetRestart,
    /// One proxy joins without a disk a fleet whose logs are nearly full and that has compacted older purges.
    LateJoin,
    /// Each proxy observes one late response of the origin per second during the middle half of the run.
    SlowOrigin,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 9] = [
        Fault::Calm,
        Fault::HotWriter,
        Fault::Day,
        Fault::Rack,
        Fault::Zone,
        Fault::RegionsApart,
        Fault::FleetRestart,
        Fault::LateJoin,
        Fault::SlowOrigin,
    ];

    /// Returns the name of the fault on the command line.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// Change of the state of members or links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Terminates processes without notice; their synced data stays on disk.
    Crash {
        /// Members to crash.
        members: Vec<MemberIndex>,
    },
    /// Shuts processes down gracefully; they notify their peers.
    Stop {
        /// Members to stop.
        members: Vec<MemberIndex>,
    },
    /// Starts processes with the contents of their disks.
    Start {
        /// Members to start.
        members: Vec<MemberIndex>,
    },
    /// Starts a member for the first time, without a disk.
    Join {
        /// Member that joins.
        member: MemberIndex,
    },
    /// Disconnects two regions from each other.
    Cut {
        /// Regions to disconnect.
        pair: RegionPair,
        /// Time at which the connection is restored.
        until: Micros,
    },
    /// Reports a late response of the origin.
    OriginLate {
        /// Member that observed the late response.
        member: MemberIndex,
    },
}

/// An action and the time at which it is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    /// Time of the action.
    pub at: Micros,
    /// Action to apply.
    pub action: Action,
}

/// Interval of virtual time, for example the interval in which purges are issued and figures are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Start of the interval.
    pub from: Micros,
    /// End of the interval, exclusive.
    pub until: Micros,
}

impl Window {
    /// Returns the duration of the interval.
    pub fn length(self) -> Micros {
        self.until - self.from
    }

    /// Returns the time after the given number of quarters of the interval.
    fn quarter(self, quarters: u64) -> Micros {
        self.from + self.length() * quarters / 4
    }
}

/// Returns the members at which purges are issued: those of one site for `Fault::HotWriter`, otherwise all.
pub fn writers(fault: Fault, layout: &Layout) -> Vec<MemberIndex> {
    match fault {
        Fault::HotWriter => layout.members_where(|position| position.site == 0),
        _ => layout.members_where(|_| true),
    }
}

/// Returns the member that joins during the run, if the fault has one.
pub fn joiner(fault: Fault, layout: &Layout) -> Option<MemberIndex> {
    (fault == Fault::LateJoin).then(|| layout.members() - 1)
}

/// Returns the actions of a run with this fault.
pub fn schedule(
    fault: Fault,
    layout: &Layout,
    target: &Target,
    window: Window,
    random: &mut Random,
) -> Vec<ScheduledAction> {
    let time = duration(fault, target, window).unwrap_or(window);
    match fault {
        Fault::Calm | Fault::HotWriter => Vec::new(),
        Fault::Day => day(layout, target, window, random),
        Fault::Rack => outage(layout.members_where(|position| position.rack == 0), time),
        Fault::Zone => outage(layout.members_where(|position| position.zone == 0), time),
        Fault::RegionsApart => regions_apart(layout, time),
        Fault::FleetRestart => fleet_restart(layout, window),
        Fault::SlowOrigin => slow_origin(layout, time, random),
        Fault::LateJoin => joiner(fault, layout)
            .map(|member| ScheduledAction {
                at: window.quarter(1),
                action: Action::Join { member },
            })
            .into_iter()
            .collect(),
    }
}

/// Returns the interval in which the fault is active, or `None` for faults without a fixed interval.
pub fn duration(fault: Fault, target: &Target, window: Window) -> Option<Window> {
    let middle = Window {
        from: window.quarter(1),
        until: window.quarter(3),
    };
    match fault {
        Fault::Rack | Fault::Zone | Fault::SlowOrigin => Some(middle),
        Fault::RegionsApart => {
            let longest = target.faults.regions_apart_seconds * SECOND_US;
            Some(Window {
                until: middle.until.min(middle.from + longest),
                ..middle
            })
        }
        Fault::Calm | Fault::HotWriter | Fault::Day | Fault::FleetRestart | Fault::LateJoin => None,
    }
}

/// Crashes members at the start of the interval and starts them at its end.
fn outage(members: Vec<MemberIndex>, time: Window) -> Vec<ScheduledAction> {
    let crash = Action::Crash {
        members: members.clone(),
    };
    vec![
        ScheduledAction {
            at: time.from,
            action: crash,
        },
        ScheduledAction {
            at: time.until,
            action: Action::Start { members },
        },
    ]
}

fn regions_apart(layout: &Layout, time: Window) -> Vec<ScheduledAction> {
    if layout.regions() < 2 {
        return Vec::new();
    }
    let cut = Action::Cut {
        pair: RegionPair::new(0, 1),
        until: time.until,
    };
    vec![ScheduledAction {
        at: time.from,
        action: cut,
    }]
}

/// Schedules one late response per member and second, at a random time within that second.
fn slow_origin(layout: &Layout, time: Window, random: &mut Random) -> Vec<ScheduledAction> {
    let seconds = (time.from..time.until).step_by(SECOND_US as usize);
    let members = 0..layout.members();
    let times = seconds.flat_map(|second| members.clone().map(move |member| (second, member)));
    let late = |(second, member)| ScheduledAction {
        at: second + random.below(SECOND_US),
        action: Action::OriginLate { member },
    };
    times.map(late).collect()
}

/// Schedules the graceful stop of members and their start after the duration `away`.
fn restart(members: Vec<MemberIndex>, at: Micros, away: Micros) -> [ScheduledAction; 2] {
    let stop = Action::Stop {
        members: members.clone(),
    };
    [
        ScheduledAction { at, action: stop },
        ScheduledAction {
            at: at + away,
            action: Action::Start { members },
        },
    ]
}

fn fleet_restart(layout: &Layout, window: Window) -> Vec<ScheduledAction> {
    let members = layout.members();
    let interval = window.length() / RESTART_BATCHES as u64;
    let batch = |number: usize| {
        let members = (0..members)
            .filter(|member| member % RESTART_BATCHES == number)
            .collect();
        restart(
            members,
            window.from + interval * number as u64,
            RESTART_DURATION_US.min(interval / 2),
        )
    };
    (0..RESTART_BATCHES).flat_map(batch).collect()
}

/// Scales a daily count to the size of the fleet, with a minimum of 1 and a maximum of a quarter of the members.
fn in_proportion(per_day: f64, layout: &Layout, target: &Target) -> usize {
    let share = layout.members() as f64 / target.proxies as f64;
    ((per_day * share).round() as usize).clamp(1, layout.members() / 4)
}

fn day(
    layout: &Layout,
    target: &Target,
    window: Window,
    random: &mut Random,
) -> Vec<ScheduledAction> {
    let failures = in_proportion(target.faults.failures_per_day, layout, target);
    let restarts = in_proportion(target.faults.restarts_per_day, layout, target);
    let mut members: Vec<MemberIndex> = (0..layout.members()).collect();
    let mut draw = || {
        let index = random.below(members.len() as u64) as usize;
        members.swap_remove(index)
    };
    let (failing, restarting): (Vec<_>, Vec<_>) = (
        (0..failures).map(|_| draw()).collect(),
        (0..restarts).map(|_| draw()).collect(),
    );
    // Events are spread over the first three quarters of the window so that each restart completes within it.
    let span = window.length() * 3 / 4;
    let at = |number: usize, of: usize| window.from + span * number as u64 / of as u64;
    let mut actions = Vec::new();
    for (number, member) in failing.into_iter().enumerate() {
        let action = Action::Crash {
            members: vec![member],
        };
        actions.push(ScheduledAction {
            at: at(number, failures),
            action,
        });
    }
    for (number, member) in restarting.into_iter().enumerate() {
        let away = RESTART_DURATION_US.min(window.length() / 4);
        actions.extend(restart(vec![member], at(number, restarts), away));
    }
    actions
}
