//! Runs a scenario against real daemons and a fake site, and checks the record against the rules.

mod clients;
mod deployment;
mod environment;
mod load_generator;
mod proxies;
mod schedule;

pub use deployment::{Deployment, Node};

use crate::latency::{waits, Waits};
use crate::load::{plan, Plan};
use crate::record::{Limits, Micros, Record};
use crate::rules::{judge, Breach};
use crate::scenario::Scenario;
use crate::score::{score, Score};
use crate::timetable::timetable;
use clients::Clients;
use deployment::recorded_class;
use environment::Environment;
use linnetknot_harness::time::unix_us;
use load_generator::{LoadGenerator, Sent};
use proxies::Proxies;
use schedule::Schedule;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use thiserror::Error;

/// The outcome of a test run (rehearsal) of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The number of requests sent, including retries.
    pub requests: usize,
    /// The delay from the scheduled to the actual sending time of requests: 99th percentile and maximum.
    pub lag_us: (Micros, Micros),
    /// The score of the answers, weighted by request class.
    pub score: Score,
    /// The waiting times of clients, by request class.
    pub waits: Vec<Waits>,
    /// The breaches of rules that were found in the record.
    pub breaches: Vec<Breach>,
    /// The number of writes that the origin executed, and how many of these repeated an earlier idempotency key.
    pub writes: (u64, u64),
    /// The number of planned requests that could not be sent because all proxies were down or the connection broke.
    pub unsent: usize,
    /// The seconds after the start of the load at which the run was interrupted, or `None` if it was not.
    pub interrupted: Option<f64>,
}

/// The reason why the result of a test run is inconclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Inconclusive {
    /// No request was sent.
    #[error("nothing was asked")]
    NoRequestSent,
    /// No request was answered.
    #[error("nothing was answered")]
    NoRequestAnswered,
    /// The load generator fell behind its plan.
    #[error("the load came {p99_ms} ms late (p99)")]
    LateLoadGenerator {
        /// The 99th percentile of the sending delay, in milliseconds.
        p99_ms: u64,
    },
}

impl Outcome {
    /// Checks that the run is conclusive, so that a run without traffic does not pass.
    ///
    /// # Errors
    /// Returns the reason why the run is inconclusive.
    pub fn check_conclusive(&self) -> Result<(), Inconclusive> {
        if self.score.total.score().is_none() {
            return Err(Inconclusive::NoRequestSent);
        }
        if self.score.total.unanswered >= self.score.total.offered {
            return Err(Inconclusive::NoRequestAnswered);
        }
        if self.lag_us.0 > MAX_LAG_US {
            return Err(Inconclusive::LateLoadGenerator {
                p99_ms: self.lag_us.0 / 1000,
            });
        }
        Ok(())
    }
}

/// The maximum 99th percentile of the sending delay. Above it, the results would reflect the load generator rather than
/// the proxies.
pub const MAX_LAG_US: Micros = 50_000;
/// The delay between the start of the processes and the load.
const START_DELAY_US: Micros = 200_000;

/// A defect that the fakes inject, so that tests can check that the rules detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlayDefect {
    /// Purges are recorded as notified, but are sent neither to the proxies nor to the nodes.
    PurgesNotSent,
    /// Every tenth answer carries the bytes of another part.
    WrongBytes,
    /// Drains are recorded as notified, but are not sent to the proxies.
    DrainsNotSent,
    /// Requests that were open at a killed proxy still count as unanswered.
    KilledRequestsDue,
}

/// Stops a test run early and observes its progress.
#[derive(Clone, Copy, Default)]
pub struct PlayControl<'a> {
    /// Set to end the test run at once, for example by a SIGINT handler. Requests that are still open then need no answer,
    /// and the outcome covers the events until that time.
    pub stop: Option<&'a AtomicBool>,
    /// Called about ten times a second with the seconds since the start of the load and the number of requests sent.
    pub progress: Option<&'a dyn Fn(f64, usize)>,
}

/// Runs a scenario with this daemon executable. An error means that the scenario could not be run; breaches of
/// rules are part of the outcome.
pub fn play(
    daemon: &Path,
    scenario: &Scenario,
    seed: u64,
    defect: Option<PlayDefect>,
) -> io::Result<Outcome> {
    play_with_control(daemon, scenario, seed, defect, PlayControl::default())
}

/// Runs a scenario as `play` does, under a `PlayControl`.
pub fn play_with_control(
    daemon: &Path,
    scenario: &Scenario,
    seed: u64,
    defect: Option<PlayDefect>,
    control: PlayControl<'_>,
) -> io::Result<Outcome> {
    let plan = plan(scenario, seed);
    let play = Play {
        plan: &plan,
        seed,
        defect,
        control,
        fail_points: "",
    };
    play_in_own_folder(daemon, scenario, &play)
}

/// Runs a scenario as `play` does, with fail points set in each daemon through `LINNETKNOT_POINTS`.
pub fn play_with_fail_points(
    daemon: &Path,
    scenario: &Scenario,
    seed: u64,
    fail_points: &str,
) -> io::Result<Outcome> {
    let plan = plan(scenario, seed);
    let play = Play {
        plan: &plan,
        seed,
        defect: None,
        control: PlayControl::default(),
        fail_points,
    };
    play_in_own_folder(daemon, scenario, &play)
}

fn play_in_own_folder(daemon: &Path, scenario: &Scenario, play: &Play<'_>) -> io::Result<Outcome> {
    // Several test runs with the same seed may run in parallel in a process, so each folder's name contains a unique
    // number.
    static PLAYS: AtomicU64 = AtomicU64::new(0);
    let n = PLAYS.fetch_add(1, Ordering::Relaxed);
    let name = format!("linnetknot-play-{}-{}-{n}", std::process::id(), play.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let result = play_in(&folder, daemon, scenario, play);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// The parameters of a test run.
struct Play<'a> {
    plan: &'a Plan,
    seed: u64,
    defect: Option<PlayDefect>,
    control: PlayControl<'a>,
    /// The fail points to set in each daemon.
    fail_points: &'a str,
}

/// Runs a scenario, with its files in the given folder, and checks the record.
fn play_in(
    folder: &Path,
    daemon: &Path,
    scenario: &Scenario,
    play: &Play<'_>,
) -> io::Result<Outcome> {
    let mut environment = Environment::start(scenario, play.plan, play.defect)?;
    let proxies = Proxies::start(
        (daemon, play.fail_points),
        folder,
        scenario,
        play.seed,
        &environment,
    )?;
    let (retry_sender, retries) = mpsc::channel();
    let clients = Arc::new(Clients::new(retry_sender));
    let release_killed = play.defect != Some(PlayDefect::KilledRequestsDue);
    let mut generator = LoadGenerator::new(
        scenario,
        play.seed,
        proxies,
        clients.clone(),
        release_killed,
    );
    let steps = timetable(scenario);
    let schedule = Schedule::new(
        unix_us() + START_DELAY_US,
        scenario.seconds,
        play.plan,
        &steps,
    );
    let interrupted = generator.play(schedule, &mut environment, &retries, &play.control)?;
    let ended = environment.end()?;
    let Sent {
        requests,
        mut lags,
        unsent,
    } = generator.end();
    let record = Record {
        classes: scenario.load.classes.iter().map(recorded_class).collect(),
        requests,
        answered: std::mem::take(&mut clients.record().answered),
        attempts: ended.site.attempts,
        notices: ended.notices,
        cold_starts: ended.cold_starts,
    };
    lags.sort_unstable();
    Ok(Outcome {
        writes: ended.site.writes,
        unsent,
        interrupted,
        ..outcome_of(&record, &lags)
    })
}

/// Returns the outcome of a record, given the sorted sending delays of its requests.
fn outcome_of(record: &Record, lags: &[Micros]) -> Outcome {
    let lag_us = (quantile(lags, 0.99), quantile(lags, 1.0));
    let limits = Limits {
        tolerance_us: lag_us.0.min(MAX_LAG_US),
        ..Limits::default()
    };
    Outcome {
        requests: record.requests.len(),
        lag_us,
        score: score(record),
        waits: waits(record),
        breaches: judge(record, &limits),
        writes: (0, 0),
        unsent: 0,
        interrupted: None,
    }
}

/// Returns a quantile of sorted sending delays, or 0 if there are none.
fn quantile(lags: &[Micros], share: f64) -> Micros {
    let index = (lags.len() as f64 * share) as usize;
    lags.get(index).or(lags.last()).copied().unwrap_or(0)
}
