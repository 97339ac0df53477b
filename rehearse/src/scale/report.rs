//! What a run came to, as a table: each figure by role, over members, beside its limit.

use crate::scale::fault::{duration, writers, Fault};
use crate::scale::hollow::StateSize;
use crate::scale::layout::MemberIndex;
use crate::scale::memory;
use crate::scale::meter::Meter;
use crate::scale::run::Run;
use crate::scale::simulation::Outcome;
use crate::scale::target::Target;
use crate::scale::verdict::Verdict;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

/// A role of members: one member may have several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// All members.
    Member,
    /// Those that allocated a budget at any time.
    Allocator,
    /// Those at which most purges were told.
    Writer,
    /// Those that started while it was measured.
    Starter,
    /// No single member: the fleet.
    Fleet,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Role::Member => "member",
            Role::Allocator => "allocator",
            Role::Writer => "most told writer",
            Role::Starter => "starter",
            Role::Fleet => "fleet",
        })
    }
}

/// Median, 99th percentile and most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Half are no more than this.
    pub median: f64,
    /// All but one in a hundred.
    pub p99: f64,
    /// The worst.
    pub most: f64,
}

impl Spread {
    /// Of these figures; none where there are none.
    pub fn of(mut figures: Vec<f64>) -> Option<Self> {
        figures.sort_unstable_by(f64::total_cmp);
        let last = figures.len().checked_sub(1)?;
        let at = |share: f64| {
            figures[((figures.len() as f64 * share).ceil() as usize).clamp(1, last + 1) - 1]
        };
        Some(Spread {
            median: at(0.5),
            p99: at(0.99),
            most: figures[last],
        })
    }

    /// Of a histogram of microseconds, in milliseconds.
    pub fn of_delays(delays: &Histogram<u64>) -> Option<Self> {
        let at = |share| delays.value_at_quantile(share) as f64 / 1e3;
        (!delays.is_empty()).then(|| Spread {
            median: at(0.5),
            p99: at(0.99),
            most: at(1.0),
        })
    }
}

/// What a row has to say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Figures over members, or over deliveries.
    Spread(Spread),
    /// One figure.
    Single(f64),
    /// Why there is none.
    None(String),
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Whose.
    pub role: Role,
    /// What.
    pub figure: String,
    /// What it counts.
    pub unit: String,
    /// How much.
    pub value: Value,
    /// How much it may be.
    pub limit: Option<f64>,
    /// Read off a clock or from the system: it differs between two runs of one seed.
    pub is_volatile: bool,
}

impl Row {
    /// The worst figure; none where there is none.
    pub fn most(&self) -> Option<f64> {
        match &self.value {
            Value::Spread(spread) => Some(spread.most),
            Value::Single(figure) => Some(*figure),
            Value::None(_) => None,
        }
    }

    /// Whether the worst figure is over its limit.
    pub fn is_over(&self) -> bool {
        self.most()
            .zip(self.limit)
            .is_some_and(|(most, limit)| most > limit)
    }
}

/// A run's result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Members.
    pub members: usize,
    /// Sites, zones and regions that they stand in.
    pub sites: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// The seed.
    pub seed: u64,
    /// Measured seconds of virtual time.
    pub seconds: u64,
    /// What happened.
    pub fault: String,
    /// All figures.
    pub rows: Vec<Row>,
    /// What is wrong, by rule, with how often and the first case.
    pub wrong: BTreeMap<String, (u64, String)>,
    /// Real seconds that the run took.
    pub real_seconds: f64,
    /// Events that were handled.
    pub events: u64,
}

/// A figure of one member.
struct MemberFigure {
    name: &'static str,
    unit: &'static str,
    limit: Option<f64>,
    is_volatile: bool,
    /// None: the member did not run when it was read.
    of: Box<dyn Fn(MemberIndex) -> Option<f64>>,
}

fn meter_figures(outcome: &Outcome, run: &Run) -> Vec<MemberFigure> {
    let seconds = run.seconds as f64;
    let limits = &run.target.limits;
    let figure = |name, unit, limit, is_volatile, per: f64, of: fn(&Meter) -> f64| {
        let meters = outcome.meters.clone();
        let of = Box::new(move |member: MemberIndex| Some(of(&meters[member]) / per));
        MemberFigure {
            name,
            unit,
            limit,
            is_volatile,
            of,
        }
    };
    let kilobytes = Some(limits.kilobytes_per_second);
    let processor = Some(limits.processor_percent);
    let mut figures = vec![
        figure("sent", "kB/s", None, false, seconds, |meter| {
            meter.sent_bytes as f64 / 1e3
        }),
        figure("received", "kB/s", None, false, seconds, |meter| {
            meter.received_bytes as f64 / 1e3
        }),
        figure(
            "sent and received",
            "kB/s",
            kilobytes,
            false,
            seconds,
            |meter| (meter.sent_bytes + meter.received_bytes) as f64 / 1e3,
        ),
        figure(
            "sent and received in the worst second",
            "kB",
            None,
            false,
            1.0,
            |meter| meter.worst_second_bytes as f64 / 1e3,
        ),
        figure("datagrams sent", "1/s", None, false, seconds, |meter| {
            meter.sent_datagrams as f64
        }),
        figure("datagrams received", "1/s", None, false, seconds, |meter| {
            meter.received_datagrams as f64
        }),
        figure(
            "processor",
            "% of a core",
            processor,
            true,
            seconds,
            |meter| meter.busy.as_secs_f64() * 100.0,
        ),
    ];
    if let Some(fault) = duration(run.fault, &run.target, outcome.window) {
        let after = outcome.window.until - fault.until;
        let [during, after] = [fault.length(), after].map(|time| time as f64 / 1e6);
        figures.push(figure(
            "sent and received during the fault",
            "kB/s",
            kilobytes,
            false,
            during,
            |meter| meter.during_fault_bytes as f64 / 1e3,
        ));
        figures.push(figure(
            "sent and received after the fault",
            "kB/s",
            kilobytes,
            false,
            after,
            |meter| meter.after_fault_bytes as f64 / 1e3,
        ));
    }
    figures
}

/// How much members hold at the end, and the memory of each kind of state: of what is counted, by the bytes that one
/// takes.
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

/// The members at which most purges were told.
fn most_told(outcome: &Outcome, run: &Run) -> Vec<MemberIndex> {
    if run.fault == Fault::HotWriter {
        return writers(run.fault, &outcome.layout);
    }
    let mut told = BTreeMap::<MemberIndex, usize>::new();
    for purge in 0..outcome.purges.len() as u64 {
        if let Some(record) = outcome.purges.get(purge) {
            *told.entry(record.writer).or_default() += 1;
        }
    }
    let most = told.values().copied().max().unwrap_or(0);
    told.into_iter()
        .filter(|(_, count)| *count == most)
        .map(|(member, _)| member)
        .collect()
}

fn member_rows(outcome: &Outcome, run: &Run) -> Vec<Row> {
    let mut figures = meter_figures(outcome, run);
    figures.extend(state_figures(outcome));
    let roles = [
        (Role::Member, (0..run.members).collect::<Vec<_>>()),
        (
            Role::Allocator,
            outcome.allocators.iter().copied().collect(),
        ),
        (Role::Writer, most_told(outcome, run)),
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

fn fleet_row(figure: &str, unit: &str, value: Value, limit: Option<f64>) -> Row {
    let (figure, unit) = (figure.to_owned(), unit.to_owned());
    Row {
        role: Role::Fleet,
        figure,
        unit,
        value,
        limit,
        is_volatile: false,
    }
}

fn delay_rows(outcome: &Outcome, target: &Target) -> Vec<Row> {
    let delays = |histogram, why: &str| {
        Spread::of_delays(histogram).map_or_else(|| Value::None(why.to_owned()), Value::Spread)
    };
    let purge = delays(&outcome.purges.delays, "no purge arrived");
    let catch_up = delays(
        &outcome.purges.catch_up_delays,
        "nobody was away or cut off",
    );
    let death = delays(&outcome.death_delays, "nobody died");
    let not_carried = || Value::None("not carried".into());
    let purge_limit = Some(target.purge_limit_ms as f64);
    let configuration_limit = Some(target.configuration_limit_ms as f64);
    vec![
        fleet_row("purge told to in force", "ms", purge, purge_limit),
        fleet_row("purge at who was away or cut off", "ms", catch_up, None),
        fleet_row(
            "change of configuration",
            "ms",
            not_carried(),
            configuration_limit,
        ),
        fleet_row("word of a death", "ms", death, None),
    ]
}

fn count_rows(outcome: &Outcome, target: &Target) -> Vec<Row> {
    let told = outcome.purges.len() as f64;
    let committed = (0..outcome.purges.len() as u64).filter_map(|purge| outcome.purges.get(purge));
    let committed = committed.filter(|record| record.is_committed).count() as f64;
    let time = |time: Option<u64>, why: &str| {
        time.map_or_else(
            || Value::None(why.to_owned()),
            |us| Value::Single(us as f64 / 1e6),
        )
    };
    let settling = time(outcome.settling_us, "not settled");
    let joined = time(outcome.join_us, "nobody joined, or has not got all");
    let machines = Some(f64::from(target.limits.control_machines));
    vec![
        fleet_row("purges told", "", Value::Single(told), None),
        fleet_row("purges committed", "", Value::Single(committed), None),
        fleet_row(
            "false deaths",
            "",
            Value::Single(outcome.false_deaths as f64),
            None,
        ),
        fleet_row("until all have the same logs", "s", settling, None),
        fleet_row("until who joined has all", "s", joined, None),
        fleet_row("machines set aside", "", Value::Single(0.0), machines),
    ]
}

fn memory_row(members: usize, target: &Target) -> Row {
    let of_each = memory::resident().map(|resident| resident.megabytes() / members as f64);
    let value = of_each.map_or_else(|| Value::None("not known here".into()), Value::Single);
    let limit = Some(target.limits.memory_mb);
    Row {
        is_volatile: true,
        ..fleet_row("resident memory of each member", "MB", value, limit)
    }
}

fn wrong(verdict: &Verdict) -> BTreeMap<String, (u64, String)> {
    let named = verdict.violations.iter();
    named
        .map(|(rule, v)| (rule.verdict().to_owned(), (v.count, v.first.clone())))
        .collect()
}

impl Report {
    /// Of a run that has just been played in this process.
    pub fn of(run: &Run, outcome: &Outcome) -> Self {
        let mut rows = member_rows(outcome, run);
        rows.extend(delay_rows(outcome, &run.target));
        rows.extend(count_rows(outcome, &run.target));
        rows.push(memory_row(run.members, &run.target));
        Report {
            members: run.members,
            sites: outcome.layout.sites(),
            zones: outcome.layout.zones(),
            regions: outcome.layout.regions(),
            seed: run.seed,
            seconds: run.seconds,
            fault: run.fault.name(),
            rows,
            wrong: wrong(&outcome.verdict),
            real_seconds: outcome.real.as_secs_f64(),
            events: outcome.events,
        }
    }

    /// The table; `is_stable` leaves out what differs between two runs of one seed.
    pub fn table(&self, is_stable: bool) -> String {
        let mut out = self.head(is_stable);
        out += "| role | figure | unit | median | p99 | most | limit | |\n";
        out += "| --- | --- | --- | ---: | ---: | ---: | ---: | --- |\n";
        for row in self
            .rows
            .iter()
            .filter(|row| !(is_stable && row.is_volatile))
        {
            out += &line(row);
        }
        for (verdict, (count, first)) in &self.wrong {
            // Writing to a string does not fail.
            let _ = writeln!(out, "{verdict} ({count} times; first: {first})");
        }
        out
    }

    fn head(&self, is_stable: bool) -> String {
        let mut out = format!(
            "{}: {} members at {} sites in {} zones of {} regions, {} s, seed {}",
            self.fault, self.members, self.sites, self.zones, self.regions, self.seconds, self.seed
        );
        if !is_stable {
            let _ = write!(
                out,
                "; {:.1} s of real time, {} events",
                self.real_seconds, self.events
            );
        }
        out + "\n\n"
    }
}

/// A figure, with as many digits as it needs.
pub fn shown(figure: f64) -> String {
    match figure.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{figure:.0}"),
        size if size >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.4}"),
    }
}

fn line(row: &Row) -> String {
    let [median, p99, most] = match &row.value {
        Value::Spread(spread) => [spread.median, spread.p99, spread.most].map(shown),
        Value::Single(figure) => [String::new(), String::new(), shown(*figure)],
        Value::None(why) => [String::new(), String::new(), why.clone()],
    };
    let limit = row.limit.map_or_else(String::new, shown);
    let mark = match (row.is_over(), row.is_volatile) {
        (true, _) => "OVER",
        (false, true) => "by a clock",
        (false, false) => "",
    };
    let Row {
        role, figure, unit, ..
    } = row;
    format!("| {role} | {figure} | {unit} | {median} | {p99} | {most} | {limit} | {mark} |\n")
}
