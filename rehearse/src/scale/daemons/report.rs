//! Report of a run with real daemons, as a table and as JSON, with the limits.

use super::kind::Kind;
use super::run::{DaemonOutcome, Outcome, ResourceUsage, Run};
use crate::scale::target::{ControlLimits, Target};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// Maximum number of refused purges that are listed.
const MAX_LISTED_REFUSALS: usize = 20;

/// Figures of one daemon in one measured interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Percentage of one core.
    pub processor_percent: f64,
    /// Resident memory in megabytes at the end of the interval.
    pub memory_mb: f64,
    /// Peak resident memory in megabytes since the daemon started.
    pub peak_memory_mb: f64,
    /// Datagrams per second to the daemon from hollow members (members simulated without clients).
    pub datagrams_in: f64,
    /// Datagrams per second from the daemon to hollow members.
    pub datagrams_out: f64,
    /// Kilobytes per second between the daemon and hollow members, with headers.
    pub counted_kilobytes: f64,
    /// Estimated kilobytes per second in total: `counted_kilobytes`, scaled to include the other daemons as if they
    /// were hollow members.
    pub estimated_kilobytes: f64,
    /// `counted_kilobytes` by kind, in the order of `Kind::ALL`.
    pub kilobytes_by_kind: [f64; Kind::ALL.len()],
    /// Datagrams dropped because the daemon's receive buffer was full.
    pub dropped: u64,
}

/// Distribution of delays in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Delays {
    /// Number of delays.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Figures of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DaemonReport {
    /// Figures without purges.
    pub at_rest: Figures,
    /// Figures under the load of purges.
    pub under_load: Figures,
    /// Delays until the daemon acknowledged purges of hollow members.
    pub acknowledged: Delays,
    /// Response times of purges sent to the daemon's CDNI interface.
    pub answered: Delays,
    /// Entries in force at the end.
    pub entries: usize,
    /// Number of logs at the end.
    pub logs: usize,
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of real daemons.
    pub daemons: usize,
    /// Number of hollow members.
    pub members: usize,
    /// Seconds under load.
    pub seconds: u64,
    /// Purges per second across the whole fleet.
    pub purges_per_second: u64,
    /// Seed of the run.
    pub seed: u64,
    /// Figures by daemon.
    pub by_daemon: Vec<DaemonReport>,
    /// Purges issued at hollow members.
    pub hollow_purges: usize,
    /// Number of times that a hollow member considered a running member dead.
    pub false_deaths: u64,
    /// Time until all members knew each other, in milliseconds.
    pub warm_up_ms: Option<u64>,
    /// Time from the end of the load until all members had the same logs, in milliseconds.
    pub settling_ms: Option<u64>,
    /// Lateness of the hollow members' timers in milliseconds: 99th percentile and maximum.
    pub lateness_ms: [f64; 2],
    /// Processor time of this process, as a percentage of one core.
    pub host_processor_percent: f64,
    /// Whether the hollow members ran their timers with little enough delay. Otherwise the figures are not valid.
    pub kept_pace: bool,
    /// Figures of the worst daemon that exceed a limit.
    pub over: Vec<String>,
    /// Descriptions of the failed checks.
    pub wrong: Vec<String>,
}

fn figures(run: &Run, usage: &ResourceUsage) -> Figures {
    let traffic = &usage.traffic;
    let per_second = |count: u64| count as f64 / usage.seconds;
    let counted_kilobytes = per_second(traffic.bytes_in + traffic.bytes_out) / 1e3;
    let all_peers = (run.daemons + run.members - 1) as f64;
    Figures {
        processor_percent: 100.0 * usage.processor_time.as_secs_f64() / usage.seconds,
        memory_mb: usage.resident_bytes as f64 / 1e6,
        peak_memory_mb: usage.peak_resident_bytes as f64 / 1e6,
        datagrams_in: per_second(traffic.datagrams_in),
        datagrams_out: per_second(traffic.datagrams_out),
        counted_kilobytes,
        estimated_kilobytes: counted_kilobytes * all_peers / run.members as f64,
        kilobytes_by_kind: traffic.bytes_by_kind.map(|bytes| per_second(bytes) / 1e3),
        dropped: usage.dropped,
    }
}

fn delays(histogram: &Histogram<u64>) -> Delays {
    let milliseconds = |us: u64| us as f64 / 1e3;
    Delays {
        count: histogram.len(),
        p50_ms: milliseconds(histogram.value_at_quantile(0.5)),
        p99_ms: milliseconds(histogram.value_at_quantile(0.99)),
        max_ms: milliseconds(histogram.max()),
    }
}

fn daemon_report(run: &Run, outcome: &DaemonOutcome) -> DaemonReport {
    DaemonReport {
        at_rest: figures(run, &outcome.at_rest),
        under_load: figures(run, &outcome.under_load),
        acknowledged: delays(&outcome.ack_delays),
        answered: delays(&outcome.triggers.response_times),
        entries: outcome.entries,
        logs: outcome.logs,
    }
}

/// Returns the largest value, at least 0.
pub fn worst(figures: impl Iterator<Item = f64>) -> f64 {
    figures.fold(0.0, f64::max)
}

impl Report {
    /// Builds the report of a run.
    pub fn of(run: &Run, outcome: &Outcome) -> Self {
        let by_daemon: Vec<_> = outcome
            .daemons
            .iter()
            .map(|daemon| daemon_report(run, daemon))
            .collect();
        let milliseconds = |us: Option<u64>| us.map(|us| us / 1_000);
        Report {
            daemons: run.daemons,
            members: run.members,
            seconds: run.seconds,
            purges_per_second: run.purges_per_second,
            seed: run.seed,
            over: over(&by_daemon, &run.target),
            wrong: wrong(outcome),
            by_daemon,
            hollow_purges: outcome.hollow_purges,
            false_deaths: outcome.false_deaths,
            warm_up_ms: milliseconds(outcome.warm_up_us),
            settling_ms: milliseconds(outcome.settling_us),
            lateness_ms: [outcome.lateness_p99_us, outcome.lateness_max_us]
                .map(|us| us as f64 / 1e3),
            host_processor_percent: 100.0 * outcome.host_processor_share,
            kept_pace: outcome.kept_pace(),
        }
    }

    /// Formats the report as tables.
    pub fn table(&self, limits: &ControlLimits) -> String {
        let mut out = self.head();
        out += "\n| daemon | | CPU % | RSS MB | peak MB | dgrams in/s | out/s | KB/s counted | KB/s estimated | dropped |\n";
        out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
        for (number, daemon) in self.by_daemon.iter().enumerate() {
            out += &figures_row(number, "rest", &daemon.at_rest);
            out += &figures_row(number, "load", &daemon.under_load);
        }
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "| limit | | {} | {} | | | | | {} | |",
            limits.processor_percent, limits.memory_mb, limits.kilobytes_per_second
        );
        out += "\n| daemon | purges acknowledged | p50 ms | p99 ms | max ms | told by CDNI | p50 ms | p99 ms | max ms | entries | logs |\n";
        out += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
        for (number, daemon) in self.by_daemon.iter().enumerate() {
            let (acknowledged, answered) = (
                delay_cells(daemon.acknowledged),
                delay_cells(daemon.answered),
            );
            let _ = writeln!(
                out,
                "| {number} | {acknowledged} | {answered} | {} | {} |",
                daemon.entries, daemon.logs
            );
        }
        out += &self.kinds();
        out + &self.lines()
    }

    /// Formats the table of kilobytes by kind under load.
    fn kinds(&self) -> String {
        let names: String = Kind::ALL
            .iter()
            .map(|kind| format!(" {} |", kind.name()))
            .collect();
        let mut out = format!("\n| daemon, KB/s counted under load |{names}\n|");
        out += &" --- |".repeat(Kind::ALL.len() + 1);
        for (number, daemon) in self.by_daemon.iter().enumerate() {
            let cells = daemon.under_load.kilobytes_by_kind.iter();
            out += &format!("\n| {number} |");
            cells.for_each(|cell| out += &format!(" {cell:.2} |"));
        }
        out + "\n"
    }

    fn head(&self) -> String {
        let known = |ms: Option<u64>| ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        format!(
            "{} daemons and {} hollow members, {} purges a second over all for {} s, seed {}\n\
             all known after {}, same logs after {}; {} purges by hollow members, {} false deaths\n\
             this process: {:.0}% of a core, timers late by {:.1} ms (p99), {:.1} ms (max){}\n",
            self.daemons,
            self.members,
            self.purges_per_second,
            self.seconds,
            self.seed,
            known(self.warm_up_ms),
            known(self.settling_ms),
            self.hollow_purges,
            self.false_deaths,
            self.host_processor_percent,
            self.lateness_ms[0],
            self.lateness_ms[1],
            if self.kept_pace {
                ""
            } else {
                ": TOO SLOW, the figures are not those of this load"
            },
        )
    }

    fn lines(&self) -> String {
        let over = self.over.iter().map(|over| format!("OVER {over}\n"));
        let wrong = self.wrong.iter().map(|wrong| format!("WRONG {wrong}\n"));
        let lines: String = over.chain(wrong).collect();
        format!("\n{lines}{} wrong\n", self.wrong.len())
    }

    /// Returns the figure of the worst daemon.
    pub fn worst_figure(&self, figure: impl Fn(&DaemonReport) -> f64) -> f64 {
        worst(self.by_daemon.iter().map(figure))
    }
}

fn figures_row(daemon: usize, when: &str, figures: &Figures) -> String {
    format!(
        "| {daemon} | {when} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {} |\n",
        figures.processor_percent,
        figures.memory_mb,
        figures.peak_memory_mb,
        figures.datagrams_in,
        figures.datagrams_out,
        figures.counted_kilobytes,
        figures.estimated_kilobytes,
        figures.dropped,
    )
}

fn delay_cells(delays: Delays) -> String {
    format!(
        "{} | {:.1} | {:.1} | {:.1}",
        delays.count, delays.p50_ms, delays.p99_ms, delays.max_ms
    )
}

/// Returns the figures of the worst daemon that exceed a limit.
fn over(daemons: &[DaemonReport], target: &Target) -> Vec<String> {
    let limits = &target.limits;
    let mut over = Vec::new();
    let mut check = |name: &str, figure: f64, limit: f64| {
        if figure > limit {
            over.push(format!("{name}: {figure:.2} of {limit}"));
        }
    };
    for (when, of) in [
        ("at rest", (|d| d.at_rest) as fn(&DaemonReport) -> Figures),
        ("under load", |d| d.under_load),
    ] {
        let most =
            |figure: fn(&Figures) -> f64| worst(daemons.iter().map(|daemon| figure(&of(daemon))));
        check(
            &format!("CPU % {when}"),
            most(|f| f.processor_percent),
            limits.processor_percent,
        );
        check(
            &format!("RSS MB {when}"),
            most(|f| f.peak_memory_mb),
            limits.memory_mb,
        );
        check(
            &format!("KB/s {when}"),
            most(|f| f.estimated_kilobytes),
            limits.kilobytes_per_second,
        );
    }
    let delay = worst(daemons.iter().map(|daemon| daemon.acknowledged.max_ms));
    check(
        "ms until a purge is acknowledged",
        delay,
        target.purge_limit_ms as f64,
    );
    over
}

/// Describes all failed checks of a run.
fn wrong(outcome: &Outcome) -> Vec<String> {
    let mut wrong = Vec::new();
    if outcome.warm_up_us.is_none() {
        wrong.push("not all members knew each other before the run".to_owned());
    }
    if outcome.settling_us.is_none() {
        wrong.push("not all members had the same logs after quiet time".to_owned());
    }
    for (number, daemon) in outcome.daemons.iter().enumerate() {
        if daemon.unacknowledged > 0 {
            wrong.push(format!(
                "daemon {number} acknowledged {} of {} purges of hollow members not at all",
                daemon.unacknowledged, outcome.hollow_purges
            ));
        }
        if !daemon.is_settled {
            wrong.push(format!(
                "daemon {number} has other logs than the hollow members"
            ));
        }
        let refused = daemon.triggers.refused.iter().take(MAX_LISTED_REFUSALS);
        wrong.extend(refused.map(|reason| format!("daemon {number} refused {reason}")));
    }
    let refused = outcome.refused.iter().take(MAX_LISTED_REFUSALS);
    wrong.extend(refused.map(|refused| {
        format!(
            "hollow member {} refused purge {}: {:?}",
            refused.member, refused.purge, refused.reason
        )
    }));
    wrong
}
