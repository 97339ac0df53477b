//! A run with real daemons: starts the fleet, measures it at rest and under load, and waits for convergence.

use super::host::{HollowHost, RefusedPurge};
use super::proc_stat::{self, ProcessStat};
use super::purge_plan::{plan, PlannedPurge, TriggerClient, TriggerOutcome};
use super::real::{daemon_addresses, shared_budgets, FleetFiles, RealDaemons};
use super::sockets::MemberSockets;
use super::traffic::Traffic;
use crate::scale::fleet_config::FleetConfig;
use crate::scale::run::DisabledParts;
use crate::scale::target::Target;
use hdrhistogram::Histogram;
use linnetknot_simnet::Micros;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const SECOND_US: Micros = 1_000_000;

/// Longest time until all members know each other. Each daemon discovers the members by pinging 16 of them per second.
const MAX_WARM_UP_US: Micros = 75 * SECOND_US;

/// Time after which the budgets have elected their allocators.
const BUDGET_ALLOCATION_US: Micros = 6 * SECOND_US;

/// Longest time after the last purge until all members must have the same logs.
const MAX_SETTLING_US: Micros = 30 * SECOND_US;

/// Interval at which the daemons' status is polled outside the measured intervals.
const STATUS_POLL_INTERVAL_US: Micros = SECOND_US / 4;

/// Upper bound of the 99th percentile of timer lateness; above it the figures are not valid.
const MAX_LATENESS_US: u64 = 100_000;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Path of the daemon executable.
    pub program: PathBuf,
    /// Number of real daemons.
    pub daemons: usize,
    /// Number of hollow members.
    pub members: usize,
    /// Seconds to measure under load.
    pub seconds: u64,
    /// Seconds to measure at rest before the load.
    pub rest_seconds: u64,
    /// Purges per second across the whole fleet.
    pub purges_per_second: u64,
    /// Seed for the distribution of the purges.
    pub seed: u64,
    /// Target with the limits and budgets.
    pub target: Target,
}

/// Resources used by one daemon in a measured interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Duration of the interval in seconds.
    pub seconds: f64,
    /// Processor time of the daemon.
    pub processor_time: Duration,
    /// Resident memory in bytes at the end of the interval.
    pub resident_bytes: u64,
    /// Peak resident memory in bytes since the daemon started.
    pub peak_resident_bytes: u64,
    /// Traffic between the daemon and all hollow members.
    pub traffic: Traffic,
    /// Datagrams dropped because the daemon's receive buffer was full.
    pub dropped: u64,
}

/// Results of a run for one daemon.
#[derive(Debug)]
pub struct DaemonOutcome {
    /// Resources used without purges.
    pub at_rest: ResourceUsage,
    /// Resources used under the load of purges.
    pub under_load: ResourceUsage,
    /// Delays until this daemon acknowledged purges of hollow members, in microseconds.
    pub ack_delays: Histogram<u64>,
    /// Purges of hollow members that the daemon did not acknowledge.
    pub unacknowledged: usize,
    /// Results of the purges sent to the daemon's CDNI interface.
    pub triggers: TriggerOutcome,
    /// Entries in force at the end.
    pub entries: usize,
    /// Number of logs at the end.
    pub logs: usize,
    /// Whether the daemon's logs equal those of the hollow members.
    pub is_settled: bool,
}

/// Results of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Results by daemon.
    pub daemons: Vec<DaemonOutcome>,
    /// Purges issued at hollow members.
    pub hollow_purges: usize,
    /// Purges that hollow members refused or could not store.
    pub refused: Vec<RefusedPurge>,
    /// Number of times that a hollow member considered another member dead, although all were running.
    pub false_deaths: u64,
    /// Time in microseconds until all members knew each other, or `None` if the limit was exceeded.
    pub warm_up_us: Option<Micros>,
    /// Time in microseconds from the end of the load until all members had the same logs, or `None` if the limit was
    /// exceeded.
    pub settling_us: Option<Micros>,
    /// 99th percentile of the lateness of hollow members' timers under load, in microseconds.
    pub lateness_p99_us: u64,
    /// Maximum of the lateness of hollow members' timers under load, in microseconds.
    pub lateness_max_us: u64,
    /// Processor time of this process under load, as a fraction of one core.
    pub host_processor_share: f64,
}

impl Outcome {
    /// Returns whether the hollow members ran their timers with little enough delay for the figures to be valid.
    pub fn kept_pace(&self) -> bool {
        self.lateness_p99_us <= MAX_LATENESS_US
    }
}

struct Fleet<'a> {
    run: &'a Run,
    daemons: RealDaemons,
    host: HollowHost,
}

/// Counters at the start or end of a measured interval.
struct Counters {
    at: Micros,
    processes: Vec<ProcessStat>,
    dropped: Vec<u64>,
    host_process: ProcessStat,
}

/// Runs the fleet and measures its daemons.
///
/// # Errors
/// Returns an error if the fleet does not start or a daemon exits early.
pub fn play(run: &Run) -> io::Result<Outcome> {
    let mut fleet = Fleet::start(run)?;
    let warm_up_us = fleet.warm_up()?;
    let (at_rest, _) = fleet.measure(run.rest_seconds, &[])?;
    let clients = fleet.start_clients();
    let (under_load, own_time) = fleet.measure(run.seconds, &fleet.hollow_purges())?;
    let (p99, max) = (
        fleet.host.lateness().value_at_quantile(0.99),
        fleet.host.lateness().max(),
    );
    let settling_us = fleet.settle(&clients)?;
    let triggers: Vec<TriggerOutcome> = clients.into_iter().map(TriggerClient::join).collect();
    let resource_usage = at_rest.into_iter().zip(under_load).zip(triggers);
    let outcomes = resource_usage
        .enumerate()
        .map(|(daemon, ((at_rest, under_load), triggers))| {
            fleet.daemon_outcome(daemon, at_rest, under_load, triggers)
        });
    Ok(Outcome {
        daemons: outcomes.collect::<io::Result<_>>()?,
        hollow_purges: fleet.host.acks().total(),
        refused: fleet.host.refused().to_vec(),
        false_deaths: fleet.host.deaths(),
        warm_up_us,
        settling_us,
        lateness_p99_us: p99,
        lateness_max_us: max,
        host_processor_share: own_time.as_secs_f64() / run.seconds as f64,
    })
}

impl<'a> Fleet<'a> {
    fn start(run: &'a Run) -> io::Result<Self> {
        let total = run.daemons + run.members;
        let mut config = FleetConfig::new(&vec![0; total], &run.target, DisabledParts::default());
        let daemon_addresses = daemon_addresses(run.daemons)?;
        let sockets = MemberSockets::bind(run.members, &daemon_addresses)?;
        let addresses = [&daemon_addresses[..], sockets.addresses()].concat();
        let files = FleetFiles::new(config.members.clone(), addresses, &run.target);
        let budgets = files.budgets()?;
        config.budgets = shared_budgets(&budgets, total);
        config.budget_fingerprint = budgets.fingerprint;
        let daemons = RealDaemons::start(&run.program, run.daemons, &files)?;
        let host = HollowHost::start(Arc::new(config), sockets, daemon_addresses, run.seed);
        Ok(Fleet { run, daemons, host })
    }

    /// Waits until all members know each other and the budgets are allocated. Returns the time until all members knew
    /// each other, or `None` on timeout.
    fn warm_up(&mut self) -> io::Result<Option<Micros>> {
        let started_at = self.host.now();
        self.host.introduce()?;
        for daemon in 0..self.daemons.len() {
            self.host
                .introduce_daemon(daemon, self.daemons.process_id(daemon)?);
        }
        let is_known = self
            .wait_until(MAX_WARM_UP_US, Self::all_members_known)?
            .is_some();
        let known_after = self.host.now() - started_at;
        self.host.run_until(started_at + BUDGET_ALLOCATION_US)?;
        Ok(is_known.then_some(known_after))
    }

    fn all_members_known(&self) -> io::Result<bool> {
        let total = self.run.daemons + self.run.members;
        for daemon in 0..self.daemons.len() {
            if self.daemons.status(daemon)?.alive_members < total {
                return Ok(false);
            }
        }
        Ok(self.host.members_missing_peers() == 0)
    }

    fn is_settled(&self) -> io::Result<bool> {
        let Some(digest) = self.host.common_digest() else {
            return Ok(false);
        };
        for daemon in 0..self.daemons.len() {
            if self.daemons.status(daemon)?.digest != format!("{digest:016x}") {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Runs the hollow members until a condition holds. Returns the elapsed time, or `None` if it exceeds `max_us`.
    fn wait_until(
        &mut self,
        max_us: Micros,
        condition: impl Fn(&Self) -> io::Result<bool>,
    ) -> io::Result<Option<Micros>> {
        let started_at = self.host.now();
        while self.host.now() < started_at + max_us {
            if condition(self)? {
                return Ok(Some(self.host.now() - started_at));
            }
            self.host
                .run_until(self.host.now() + STATUS_POLL_INTERVAL_US)?;
        }
        Ok(None)
    }

    /// Waits until all purges are answered and all members have the same logs. Returns the elapsed time, or `None` on
    /// timeout.
    fn settle(&mut self, clients: &[TriggerClient]) -> io::Result<Option<Micros>> {
        let are_finished = || clients.iter().all(TriggerClient::is_finished);
        self.wait_until(MAX_SETTLING_US, |fleet| {
            Ok(are_finished() && fleet.is_settled()?)
        })
    }

    fn planned(&self) -> Vec<PlannedPurge> {
        let Run {
            daemons,
            members,
            purges_per_second,
            seconds,
            seed,
            ..
        } = *self.run;
        plan(daemons + members, purges_per_second, seconds, seed)
    }

    fn hollow_purges(&self) -> Vec<PlannedPurge> {
        self.planned()
            .into_iter()
            .filter(|purge| purge.member >= self.run.daemons)
            .collect()
    }

    fn start_clients(&self) -> Vec<TriggerClient> {
        let planned = self.planned();
        let client = |daemon: usize| {
            let purges = planned
                .iter()
                .filter(|purge| purge.member == daemon)
                .copied()
                .collect();
            TriggerClient::start(self.daemons.cdni(daemon), purges)
        };
        (0..self.daemons.len()).map(client).collect()
    }

    fn read(&self) -> io::Result<Counters> {
        Ok(Counters {
            at: self.host.now(),
            processes: self.daemons.process_stats()?,
            dropped: self.daemons.dropped_datagrams()?,
            host_process: proc_stat::read(std::process::id())?,
        })
    }

    /// Drives the members for a time while issuing purges; returns the resources used by each daemon and the processor
    /// time of this process.
    fn measure(
        &mut self,
        seconds: u64,
        purges: &[PlannedPurge],
    ) -> io::Result<(Vec<ResourceUsage>, Duration)> {
        self.host.reset();
        let before = self.read()?;
        for purge in purges {
            self.host.run_until(before.at + purge.after_us)?;
            self.host.purge(purge.member, purge.number);
        }
        self.host.run_until(before.at + seconds * SECOND_US)?;
        let after = self.read()?;
        let resource_usage = (0..self.daemons.len())
            .map(|daemon| self.resource_usage(daemon, &before, &after))
            .collect();
        Ok((
            resource_usage,
            after.host_process.processor_time - before.host_process.processor_time,
        ))
    }

    fn resource_usage(&self, daemon: usize, before: &Counters, after: &Counters) -> ResourceUsage {
        let (first, last) = (before.processes[daemon], after.processes[daemon]);
        ResourceUsage {
            seconds: (after.at - before.at) as f64 / SECOND_US as f64,
            processor_time: last.processor_time - first.processor_time,
            resident_bytes: last.resident_bytes,
            peak_resident_bytes: last.peak_resident_bytes,
            traffic: self.host.traffic()[daemon],
            dropped: after.dropped[daemon] - before.dropped[daemon],
        }
    }

    fn daemon_outcome(
        &self,
        daemon: usize,
        at_rest: ResourceUsage,
        under_load: ResourceUsage,
        triggers: TriggerOutcome,
    ) -> io::Result<DaemonOutcome> {
        let status = self.daemons.status(daemon)?;
        let digest = self
            .host
            .common_digest()
            .map(|digest| format!("{digest:016x}"));
        Ok(DaemonOutcome {
            at_rest,
            under_load,
            ack_delays: self.host.acks().delays(daemon).clone(),
            unacknowledged: self.host.acks().missing(daemon),
            triggers,
            entries: status.entries,
            logs: status.logs_total,
            is_settled: digest.as_ref() == Some(&status.digest),
        })
    }
}
