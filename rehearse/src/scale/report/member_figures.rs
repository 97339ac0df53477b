//! Figures of single members, grouped by role.

use super::{Role, Row, Spread, Value};
use crate::scale::fault::{duration, writers, Fault};
use crate::scale::hollow::StateSize;
use crate::scale::layout::MemberIndex;
use crate::scale::memory;
use crate::scale::meter::Meter;
use crate::scale::run::Run;
use crate::scale::simulation::Outcome;
use std::collections::BTreeMap;

/// Figure of one member.
struct MemberFigure {
    name: &'static str,
    unit: &'static str,
    limit: Option<f64>,
    is_volatile: bool,
    /// Returns `None` if the member was not running when the figure was read.
    of: Box<dyn Fn(MemberIndex) -> Option<f64>>,
}

/// Figure read from a member's meter.
struct MeterFigure {
    name: &'static str,
    unit: &'static str,
    limit: Option<f64>,
    is_volatile: bool,
    /// Duration in seconds by which the value is divided.
    seconds: f64,
    of: fn(&Meter) -> f64,
}

impl MeterFigure {
    /// Creates a figure that has no limit and has the same value in all runs with the same seed.
    fn new(name: &'static str, unit: &'static str, seconds: f64, of: fn(&Meter) -> f64) -> Self {
        MeterFigure {
            name,
            unit,
            limit: None,
            is_volatile: false,
            seconds,
            of,
        }
    }

    fn with_limit(self, limit: f64) -> Self {
        MeterFigure {
            limit: Some(limit),
            ..self
        }
    }

    fn for_members(self, meters: &[Meter]) -> MemberFigure {
        let (meters, of, seconds) = (meters.to_vec(), self.of, self.seconds);
        MemberFigure {
            name: self.name,
            unit: self.unit,
            limit: self.limit,
            is_volatile: self.is_volatile,
            of: Box::new(move |member| Some(of(&meters[member]) / seconds)),
        }
    }
}

/// Returns the figures of the whole measured interval.
fn run_figures(run: &Run) -> Vec<MeterFigure> {
    let seconds = run.seconds as f64;
    let limits = &run.target.limits;
    let figure = MeterFigure::new;
    vec![
        figure("sent", "kB/s", seconds, |meter| {
            meter.sent_bytes as f64 / 1e3
        }),
        figure("received", "kB/s", seconds, |meter| {
            meter.received_bytes as f64 / 1e3
        }),
        figure("sent and received", "kB/s", seconds, |meter| {
            (meter.sent_bytes + meter.received_bytes) as f64 / 1e3
        })
        .with_limit(limits.kilobytes_per_second),
        figure(
            "sent and received in the worst second",
            "kB",
            1.0,
            |meter| meter.worst_second_bytes as f64 / 1e3,
        ),
        figure("datagrams sent", "1/s", seconds, |meter| {
            meter.sent_datagrams as f64
        }),
        figure("datagrams received", "1/s", seconds, |meter| {
            meter.received_datagrams as f64
        }),
        MeterFigure {
            is_volatile: true,
            ..figure("processor", "% of a core", seconds, |meter| {
                meter.busy.as_secs_f64() * 100.0
            })
            .with_limit(limits.processor_percent)
        },
    ]
}

/// Returns the figures during and after the fault, or an empty list if the fault has no fixed interval.
fn fault_figures(outcome: &Outcome, run: &Run) -> Vec<MeterFigure> {
    let Some(fault) = duration(run.fault, &run.target, outcome.window) else {
        return Vec::new();
    };
    let after = outcome.window.until - fault.until;
    let [during, after] = [fault.length(), after].map(|time| time as f64 / 1e6);
    let during = MeterFigure::new(
        "sent and received during the fault",
        "kB/s",
        during,
        |meter| meter.during_fault_bytes as f64 / 1e3,
    );
    let after = MeterFigure::new(
        "sent and received after the fault",
        "kB/s",
        after,
        |meter| meter.after_fault_bytes as f64 / 1e3,
    );
    [during, after]
        .map(|figure| figure.with_limit(run.target.limits.kilobytes_per_second))
        .into()
}

fn meter_figures(outcome: &Outcome, run: &Run) -> Vec<MemberFigure> {
    let figures = run_figures(run)
        .into_iter()
        .chain(fault_figures(outcome, run));
    figures
        .map(|figure| figure.for_members(&outcome.meters))
        .collect()
}

/// Returns the size of the members' state at the end and the memory of each kind, estimated from the size of an item.
fn state_figures(outcome: &Outcome) -> Vec<MemberFigure> {
    type Count = fn(&StateSize) -> usize;
    const COUNT: &str = "at the end";
    const MEMORY: &str = "kB at the end";
    let counts: [(&str, &str, Count); 9] = [
        ("entries", COUNT, |size| size.entries),
        ("logs", COUNT, |size| size.logs),
        ("claims on members", COUNT, |size| size.claims),
        ("pending commits", COUNT, |size| size.pending_commits),
        ("disk queue", COUNT, |size| size.disk_queue),
        ("memory of entries", MEMORY, |size| {
            size.entries * memory::ENTRY_BYTES / 1_000
        }),
        ("memory of logs", MEMORY, |size| {
            size.logs * memory::LOG_BYTES / 1_000
        }),
        ("memory of peers", MEMORY, |size| {
            size.claims * memory::PEER_BYTES / 1_000
        }),
        ("memory of the purge table", MEMORY, |size| {
            size.table_bytes / 1_000
        }),
    ];
    let figure = |(name, unit, of): (&'static str, &'static str, Count)| {
        let states = outcome.states.clone();
        let of = Box::new(move |member: MemberIndex| Some(of(states.get(&member)?) as f64));
        MemberFigure {
            name,
            unit,
            limit: None,
            is_volatile: false,
            of,
        }
    };
    counts.into_iter().map(figure).collect()
}

/// Returns the members at which the most purges were issued.
fn busiest_writers(outcome: &Outcome, run: &Run) -> Vec<MemberIndex> {
    if run.fault == Fault::HotWriter {
        return writers(run.fault, &outcome.layout);
    }
    let mut purges_by_writer = BTreeMap::<MemberIndex, usize>::new();
    for purge in 0..outcome.purges.len() as u64 {
        if let Some(record) = outcome.purges.get(purge) {
            *purges_by_writer.entry(record.writer).or_default() += 1;
        }
    }
    let most = purges_by_writer.values().copied().max().unwrap_or(0);
    purges_by_writer
        .into_iter()
        .filter(|(_, count)| *count == most)
        .map(|(member, _)| member)
        .collect()
}

/// Returns the rows of all roles with at least one member.
pub(super) fn member_rows(outcome: &Outcome, run: &Run) -> Vec<Row> {
    let mut figures = meter_figures(outcome, run);
    figures.extend(state_figures(outcome));
    let roles = [
        (Role::Member, (0..run.members).collect::<Vec<_>>()),
        (
            Role::Allocator,
            outcome.allocators.iter().copied().collect(),
        ),
        (Role::Writer, busiest_writers(outcome, run)),
        (Role::Starter, outcome.starters.iter().copied().collect()),
    ];
    let mut rows = Vec::new();
    for (role, members) in roles.into_iter().filter(|(_, members)| !members.is_empty()) {
        for figure in &figures {
            let spread = Spread::of(
                members
                    .iter()
                    .filter_map(|member| (figure.of)(*member))
                    .collect(),
            );
            let none = || Value::None("no such member runs at the end".into());
            rows.push(Row {
                role,
                figure: figure.name.to_owned(),
                unit: figure.unit.to_owned(),
                value: spread.map_or_else(none, Value::Spread),
                limit: figure.limit,
                is_volatile: figure.is_volatile,
            });
        }
    }
    rows
}
