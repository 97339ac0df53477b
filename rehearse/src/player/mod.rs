//! Plays a scenario's plan against real daemons and a fake site, and judges the record that remains.

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

/// What a rehearsal came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Requests sent, retries with them.
    pub requests: usize,
    /// How much later than planned requests were sent, p99 and most, in microseconds.
    pub lag_us: (Micros, Micros),
    /// The score.
    pub score: Score,
    /// How long clients waited, by class.
    pub waits: Vec<Waits>,
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// Writes that ran, and those among them that ran under a key that had run before.
    pub writes: (u64, u64),
    /// Requests of the plan that no proxy took: all were down, or the connection broke as it was written.
    pub unsent: usize,
    /// Where it was ended by hand: after so many seconds of its load.
    pub interrupted: Option<f64>,
}

/// Why a rehearsal proves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Inconclusive {
    /// No request was sent.
    #[error("nothing was asked")]
    NoRequestSent,
    /// No request was answered.
    #[error("nothing was answered")]
    NoRequestAnswered,
    /// The load generator did not keep its plan.
    #[error("the load came {p99_ms} ms late (p99)")]
    LateLoadGenerator {
        /// How late, p99.
        p99_ms: u64,
    },
}

impl Outcome {
    /// Checks that it has seen anything: a rehearsal that could not see must not pass for a good one.
    ///
    /// # Errors
    /// Where it proves nothing.
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

/// A load generator that is later than this has measured itself.
pub const MAX_LAG_US: Micros = 50_000;
/// The load begins this long after all has been started.
const START_DELAY_US: Micros = 200_000;

/// A fault of the fakes' own, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlayDefect {
    /// Purges count as told, but neither proxies nor nodes hear of them.
    PurgesNotSent,
    /// Every tenth answer's bytes are another part's.
    WrongBytes,
    /// Drains count as told, but the proxies never hear of them.
    DrainsNotSent,
    /// What was open at a proxy that the rehearsal killed is still counted as owed.
    KilledRequestsDue,
}

/// What watches a play from outside.
#[derive(Clone, Copy, Default)]
pub struct PlayControl<'a> {
    /// Set, by a handler of SIGINT say, to end the play at once: what is open then is owed no more, and the outcome
    /// is judged on what happened until then.
    pub stop: Option<&'a AtomicBool>,
    /// Told some ten times a second how far the play is: seconds from the start of its load, and requests sent.
    pub progress: Option<&'a dyn Fn(f64, usize)>,
}

/// Plays a scenario with this daemon. Errors are those of the play itself.
pub fn play(
    daemon: &Path,
    scenario: &Scenario,
    seed: u64,
    defect: Option<PlayDefect>,
) -> io::Result<Outcome> {
    play_with_control(daemon, scenario, seed, defect, PlayControl::default())
}

/// Plays a scenario as `play` does, watched.
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

/// Plays a scenario as `play` does, with points armed in each daemon (its `LINNETKNOT_POINTS`).
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
    // Plays may run side by side in one process, with the same seed and in the same microsecond: each has a number.
    static PLAYS: AtomicU64 = AtomicU64::new(0);
    let n = PLAYS.fetch_add(1, Ordering::Relaxed);
    let name = format!("linnetknot-play-{}-{}-{n}", std::process::id(), play.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let result = play_in(&folder, daemon, scenario, play);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// What is played, and how.
struct Play<'a> {
    plan: &'a Plan,
    seed: u64,
    defect: Option<PlayDefect>,
    control: PlayControl<'a>,
    /// Armed in each daemon.
    fail_points: &'a str,
}

/// Plays in a folder of its own, and judges the record.
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

/// What a record shows, with the sorted lags of its load.
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

/// A quantile of sorted lags; 0 where there are none.
fn quantile(lags: &[Micros], share: f64) -> Micros {
    let index = (lags.len() as f64 * share) as usize;
    lags.get(index).or(lags.last()).copied().unwrap_or(0)
}
