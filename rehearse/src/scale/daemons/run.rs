//! One run: the fleet comes up, rests, bears its load and settles; what the daemons spent meanwhile.

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

/// All members know each other within this, or something is wrong. Daemons find each other among all members by their own
/// greetings, which go to 16 members in a second.
const MAX_WARM_UP_US: Micros = 75 * SECOND_US;

/// Budgets have their allocators after this.
const BUDGET_ALLOCATION_US: Micros = 6 * SECOND_US;

/// All members have the same logs this long after the last purge, or something is wrong.
const MAX_SETTLING_US: Micros = 30 * SECOND_US;

/// How often daemons are asked where they stand, while nothing is measured.
const STATUS_POLL_INTERVAL_US: Micros = SECOND_US / 4;

/// Timers of hollow members that run later than this, in more than one case of a hundred, make the run no measurement.
const MAX_LATENESS_US: u64 = 100_000;

/// What is run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The daemon.
    pub program: PathBuf,
    /// Real daemons.
    pub daemons: usize,
    /// Hollow members.
    pub members: usize,
    /// Seconds under load.
    pub seconds: u64,
    /// Seconds at rest before.
    pub rest_seconds: u64,
    /// Purges told to the whole fleet in a second.
    pub purges_per_second: u64,
    /// Draws who is told which purge.
    pub seed: u64,
    /// Limits and budgets.
    pub target: Target,
}

/// What one daemon spent in a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// How long.
    pub seconds: f64,
    /// Of the processor.
    pub processor_time: Duration,
    /// Resident at its end, and the most until then, in bytes.
    pub resident_bytes: u64,
    /// The most until then.
    pub peak_resident_bytes: u64,
    /// Between it and all hollow members.
    pub traffic: Traffic,
    /// Datagrams that found no room in its socket.
    pub dropped: u64,
}

/// What a run came to for one daemon.
#[derive(Debug)]
pub struct DaemonOutcome {
    /// Without any purges.
    pub at_rest: Spent,
    /// With them.
    pub under_load: Spent,
    /// From a purge at a hollow member until this daemon acknowledged it, in microseconds.
    pub ack_delays: Histogram<u64>,
    /// Purges of hollow members that it never acknowledged.
    pub unacknowledged: usize,
    /// What it was told by its second front.
    pub triggers: TriggerOutcome,
    /// Entries in force at the end.
    pub entries: usize,
    /// Its logs at the end.
    pub logs: usize,
    /// Whether it has the logs that all hollow members have.
    pub is_settled: bool,
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// By daemon.
    pub daemons: Vec<DaemonOutcome>,
    /// Purges told to hollow members.
    pub hollow_purges: usize,
    /// Purges that hollow members were refused or can't keep.
    pub refused: Vec<RefusedPurge>,
    /// Times that a hollow member believed another member to be dead; all run.
    pub false_deaths: u64,
    /// Until all members knew each other, in microseconds; none: they never did.
    pub warm_up_us: Option<Micros>,
    /// From the last purge until all had the same logs; none: they never had.
    pub settling_us: Option<Micros>,
    /// Hollow members' timers ran so late under load, in microseconds: 99 of 100, and the latest.
    pub lateness_p99_us: u64,
    /// The latest.
    pub lateness_max_us: u64,
    /// Processor time of this process under load, as a share of one core.
    pub host_processor_share: f64,
}

impl Outcome {
    /// Whether the hollow members kept pace, so that what was measured is the load that was meant.
    pub fn kept_pace(&self) -> bool {
        self.lateness_p99_us <= MAX_LATENESS_US
    }
}

struct Fleet<'a> {
    run: &'a Run,
    daemons: RealDaemons,
    host: HollowHost,
}

/// What is read at the beginning and the end of a time.
struct Reading {
    at: Micros,
    processes: Vec<ProcessStat>,
    dropped: Vec<u64>,
    own: ProcessStat,
}

/// Plays a run.
///
/// # Errors
/// Where the fleet does not start, or a daemon ends before its time.
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
    let spent = at_rest.into_iter().zip(under_load).zip(triggers);
    let outcomes = spent
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

    /// Until all members know each other and their budgets are allocated: how long the first took.
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

    /// Drives the members until a condition holds: how long it took; none: it did not within a time.
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

    /// Until all purges are answered and in force everywhere: how long it took.
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

    fn read(&self) -> io::Result<Reading> {
        Ok(Reading {
            at: self.host.now(),
            processes: self.daemons.process_stats()?,
            dropped: self.daemons.dropped_datagrams()?,
            own: proc_stat::read(std::process::id())?,
        })
    }

    /// Drives the members for a time, telling them of purges: what each daemon spent, and this process's processor time.
    fn measure(
        &mut self,
        seconds: u64,
        purges: &[PlannedPurge],
    ) -> io::Result<(Vec<Spent>, Duration)> {
        self.host.reset();
        let before = self.read()?;
        for purge in purges {
            self.host.run_until(before.at + purge.after_us)?;
            self.host.purge(purge.member, purge.number);
        }
        self.host.run_until(before.at + seconds * SECOND_US)?;
        let after = self.read()?;
        let spent = (0..self.daemons.len())
            .map(|daemon| self.spent(daemon, &before, &after))
            .collect();
        Ok((spent, after.own.processor_time - before.own.processor_time))
    }

    fn spent(&self, daemon: usize, before: &Reading, after: &Reading) -> Spent {
        let (first, last) = (before.processes[daemon], after.processes[daemon]);
        Spent {
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
        at_rest: Spent,
        under_load: Spent,
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
