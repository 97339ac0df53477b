//! Report of a run as a table: figures by role, as distributions over members, with their limits.

mod member_figures;

use crate::scale::memory;
use crate::scale::run::Run;
use crate::scale::simulation::Outcome;
use crate::scale::target::Target;
use crate::scale::verdict::Verdict;
use hdrhistogram::Histogram;
use member_figures::member_rows;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

/// Role of a member; a member may have several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// All members.
    Member,
    /// Members that allocated a budget at any time.
    Allocator,
    /// Members at which the most purges were issued.
    Writer,
    /// Members that started after the beginning of the run.
    Starter,
    /// The fleet as a whole.
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

/// Median, 99th percentile and maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Median of the values.
    pub median: f64,
    /// 99th percentile of the values.
    pub p99: f64,
    /// Largest of the values.
    pub most: f64,
}

impl Spread {
    /// Summarises values; returns `None` if there are none.
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

    /// Summarises a histogram of microseconds in milliseconds.
    pub fn of_delays(delays: &Histogram<u64>) -> Option<Self> {
        let at = |share| delays.value_at_quantile(share) as f64 / 1e3;
        (!delays.is_empty()).then(|| Spread {
            median: at(0.5),
            p99: at(0.99),
            most: at(1.0),
        })
    }
}

/// Value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Distribution over members or deliveries.
    Spread(Spread),
    /// Single value.
    Single(f64),
    /// Reason why there is no value.
    None(String),
}

/// Row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Role of the members.
    pub role: Role,
    /// Name of the figure.
    pub figure: String,
    /// Unit of the figure.
    pub unit: String,
    /// Value of the figure.
    pub value: Value,
    /// Upper limit of the figure.
    pub limit: Option<f64>,
    /// Whether the figure depends on the clock or the operating system, and therefore differs between runs with the
    /// same seed.
    pub is_volatile: bool,
}

impl Row {
    /// Returns the worst value, if there is one.
    pub fn worst_value(&self) -> Option<f64> {
        match &self.value {
            Value::Spread(spread) => Some(spread.most),
            Value::Single(figure) => Some(*figure),
            Value::None(_) => None,
        }
    }

    /// Returns whether the worst value exceeds the limit.
    pub fn is_over(&self) -> bool {
        self.worst_value()
            .zip(self.limit)
            .is_some_and(|(most, limit)| most > limit)
    }
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of members.
    pub members: usize,
    /// Number of sites.
    pub sites: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Measured seconds of virtual time.
    pub seconds: u64,
    /// Name of the simulated fault.
    pub fault: String,
    /// All figures.
    pub rows: Vec<Row>,
    /// Broken rules, with the number of violations and the first example.
    pub wrong: BTreeMap<String, (u64, String)>,
    /// Wall-clock duration of the run in seconds.
    pub real_seconds: f64,
    /// Number of events handled.
    pub events: u64,
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
    let delays = |histogram, reason: &str| {
        Spread::of_delays(histogram).map_or_else(|| Value::None(reason.to_owned()), Value::Spread)
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
    let issued = outcome.purges.len() as f64;
    let committed = (0..outcome.purges.len() as u64).filter_map(|purge| outcome.purges.get(purge));
    let committed = committed.filter(|record| record.is_committed).count() as f64;
    let time = |time: Option<u64>, reason: &str| {
        time.map_or_else(
            || Value::None(reason.to_owned()),
            |us| Value::Single(us as f64 / 1e6),
        )
    };
    let settling = time(outcome.settling_us, "not settled");
    let joined = time(outcome.join_us, "nobody joined, or has not got all");
    let machines = Some(f64::from(target.limits.control_machines));
    vec![
        fleet_row("purges told", "", Value::Single(issued), None),
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
    /// Builds the report of a run that was just simulated in this process.
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
            real_seconds: outcome.wall_time.as_secs_f64(),
            events: outcome.events,
        }
    }

    /// Formats the report as a table. `is_stable` omits everything that differs between runs with the same seed.
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
            // Writing to a string cannot fail.
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

/// Formats a figure with a precision suited to its magnitude.
pub fn format_figure(figure: f64) -> String {
    match figure.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{figure:.0}"),
        size if size >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.4}"),
    }
}

fn line(row: &Row) -> String {
    let [median, p99, most] = match &row.value {
        Value::Spread(spread) => [spread.median, spread.p99, spread.most].map(format_figure),
        Value::Single(figure) => [String::new(), String::new(), format_figure(*figure)],
        Value::None(reason) => [String::new(), String::new(), reason.clone()],
    };
    let limit = row.limit.map_or_else(String::new, format_figure);
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
