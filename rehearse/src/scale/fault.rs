//! What happens to the fleet in a run, and when.

use crate::scale::layout::{Layout, MemberIndex};
use crate::scale::network::RegionPair;
use crate::scale::target::Target;
use clap::ValueEnum;
use linnetknot_datagram::Random;
use linnetknot_simnet::Micros;

const SECOND_US: Micros = 1_000_000;

/// How long a process is away that is restarted.
const RESTART_DURATION_US: Micros = SECOND_US;

/// A fleet is restarted in so many batches.
const RESTART_BATCHES: usize = 10;

/// What a run is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Fault {
    /// Nothing fails.
    Calm,
    /// All purges are told at the proxies of one site.
    HotWriter,
    /// The failures and restarts of a day, in proportion to the fleet's size and within the run's time.
    Day,
    /// One rack loses its power for the middle half of the run.
    Rack,
    /// One zone does.
    Zone,
    /// Two regions lose each other for minutes, or for the run's middle half where that is shorter.
    RegionsApart,
    /// All proxies are restarted, a tenth at a time.
    FleetRestart,
    /// One proxy starts with nothing beside a fleet whose logs are nearly full, and its table of older purges, too.
    LateJoin,
    /// Each proxy finds the origin late, once a second for the middle half.
    SlowOrigin,
}

impl Fault {
    /// All of them.
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

    /// As it is written on the command line.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// Something that happens to members or links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Processes end at once; what their disks have stays.
    Crash {
        /// Whose.
        members: Vec<MemberIndex>,
    },
    /// Processes end in order, and tell their peers.
    Stop {
        /// Whose.
        members: Vec<MemberIndex>,
    },
    /// Processes start, with their disks.
    Start {
        /// Whose.
        members: Vec<MemberIndex>,
    },
    /// A member starts for the first time, without a disk.
    Join {
        /// Which.
        member: MemberIndex,
    },
    /// Two regions are cut off from each other.
    Cut {
        /// Which.
        pair: RegionPair,
        /// Until when.
        until: Micros,
    },
    /// An answer of the origin was late.
    OriginLate {
        /// At whom.
        member: MemberIndex,
    },
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    /// When.
    pub at: Micros,
    /// What.
    pub action: Action,
}

/// The time in which purges are told and figures are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its begin.
    pub from: Micros,
    /// Its end.
    pub until: Micros,
}

impl Window {
    /// How long it is.
    pub fn length(self) -> Micros {
        self.until - self.from
    }

    /// The time at which a share of it, in quarters, is over.
    fn quarter(self, quarters: u64) -> Micros {
        self.from + self.length() * quarters / 4
    }
}

/// Whose purges are told: the members of one site with `Fault::HotWriter`, else all.
pub fn writers(fault: Fault, layout: &Layout) -> Vec<MemberIndex> {
    match fault {
        Fault::HotWriter => layout.members_where(|position| position.site == 0),
        _ => layout.members_where(|_| true),
    }
}

/// The member that is not there at first.
pub fn joiner(fault: Fault, layout: &Layout) -> Option<MemberIndex> {
    (fault == Fault::LateJoin).then(|| layout.members() - 1)
}

/// All that happens in a run.
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

/// How long a fault lasts that ends within the run; none: it has no such time.
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

/// Members lose their power for a time.
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

/// Each member finds it out at a time of its own in each second.
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

/// A stop, and a start after a while.
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

/// So many of a day's events as fall to a fleet of this size; one at least.
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
        let place = random.below(members.len() as u64) as usize;
        members.swap_remove(place)
    };
    let (failing, restarting): (Vec<_>, Vec<_>) = (
        (0..failures).map(|_| draw()).collect(),
        (0..restarts).map(|_| draw()).collect(),
    );
    // Spread evenly, and none so late that its restart would not end in the window.
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
