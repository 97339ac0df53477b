//! The fault matrix: several daemons that replicate each other's commits, one of which dies, is stopped or is cut off at
//! a point of a commit drawn in advance, and comes back with its disk or on a new machine. What was committed must hold.
//! The daemon needs its fail points (`--features points`).

mod matrix;
mod points;

pub use matrix::Matrix;
pub use points::{Defect, FaultPoint, FaultPointEntry, DEFECTS, FAULT_POINTS};

use crate::rules::commits::{judge, CommitRecord, FinalState, PurgeAnswer, PurgeRequest};
use crate::rules::Breach;
use linnetknot_harness::clients::poll_until;
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use linnetknot_harness::links::LinkConditions;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Proxies of a play.
const PROXIES: usize = 3;
/// How long all may take to agree.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a death or a successor may take to be known.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// What the proxies are told of the time for an answer.
const TIMEOUT_US: u64 = 1_000_000;
/// How late the kit may be: its threads share the cores with the daemons.
const TOLERANCE_US: u64 = 500_000;

/// One play to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// The fault point, by its index in `FAULT_POINTS`.
    pub point: usize,
    /// How the one it happens to comes back.
    pub disk: Disk,
    /// For the conditions, who is who, and what the links draw.
    pub seed: u64,
}

/// So many plays, through all fault points and both disks in turn.
pub fn cases(plays: usize, seed: u64) -> Vec<Case> {
    let case = |n: usize| Case {
        point: n % FAULT_POINTS.len(),
        disk: if n / FAULT_POINTS.len() % 2 == 0 {
            Disk::Kept
        } else {
            Disk::Lost
        },
        seed: seed + n as u64,
    };
    (0..plays).map(case).collect()
}

/// What a play came to.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayResult {
    /// Its record.
    pub record: CommitRecord,
    /// What it broke.
    pub breaches: Vec<Breach>,
    /// From the return of the one it happened to until all agreed; none: they did not.
    pub converged_in: Option<Duration>,
}

struct Play {
    fleet: Fleet,
    started_at: Instant,
    record: CommitRecord,
    objects: u64,
}

impl Play {
    /// Starts the proxies of a play.
    fn start(setup: Setup<'_>) -> io::Result<Self> {
        Ok(Play {
            fleet: Fleet::with(setup)?,
            started_at: Instant::now(),
            record: CommitRecord {
                timeout_us: TIMEOUT_US,
                tolerance_us: TOLERANCE_US,
                ..CommitRecord::default()
            },
            objects: 0,
        })
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// A neighbour tells a proxy of one more object.
    fn trigger_purge(&mut self, proxy: usize, excused: bool) -> PurgeAnswer {
        self.objects += 1;
        let object = format!("{:016x}", self.objects);
        let replaced = self.fleet.status(proxy).is_ok_and(|s| s.replaced);
        let sent_at = self.now();
        let response = self.fleet.trigger(proxy, &[&object]);
        let answer = match &response {
            Ok(response) if response.status == 201 => PurgeAnswer::Committed,
            Ok(_) => PurgeAnswer::Rejected,
            Err(_) => PurgeAnswer::None,
        };
        let (answered_at, trigger) = (self.now(), response.ok().as_ref().and_then(status_path));
        self.record.purges.push(PurgeRequest {
            sent_at,
            answered_at,
            proxy,
            object,
            trigger,
            answer,
            excused,
            replaced,
        });
        answer
    }

    /// Waits until something is so: whether it became so.
    fn wait_until(&self, timeout: Duration, condition: impl Fn(&Fleet) -> bool) -> bool {
        poll_until(timeout, || condition(&self.fleet))
    }

    fn restart_with_fail_points(&mut self, proxy: usize, points: &str) -> io::Result<()> {
        self.fleet.kill(proxy)?;
        self.fleet
            .restart_with_fail_points(proxy, Disk::Kept, points)?;
        self.wait_for_convergence(CONVERGENCE_TIMEOUT).map(drop)
    }

    fn wait_for_convergence(&self, timeout: Duration) -> io::Result<Option<Duration>> {
        let started_at = Instant::now();
        // One that died of its point is none that could agree.
        let converged = self.wait_until(timeout, |fleet| fleet.is_converged().unwrap_or(false));
        Ok(converged.then(|| started_at.elapsed()))
    }
}

/// The conditions of a play: calm, rough or slow.
fn conditions(seed: u64) -> LinkConditions {
    match seed % 3 {
        0 => LinkConditions::default(),
        1 => LinkConditions {
            drop: 0.2,
            duplicate: 0.2,
            reorder: 0.2,
            jitter_ms: 5.0,
            ..LinkConditions::default()
        },
        _ => LinkConditions {
            delay_ms: 10.0,
            jitter_ms: 20.0,
            ..LinkConditions::default()
        },
    }
}

/// Plays a case, with these points planted in all daemons.
///
/// # Errors
/// Where it could not be played: a daemon did not start, or has no points.
pub fn play(daemon: &Path, case: Case, planted: &str) -> io::Result<PlayResult> {
    let FaultPointEntry {
        point, fail_points, ..
    } = FAULT_POINTS[case.point % FAULT_POINTS.len()];
    let writer = (case.seed % 3) as usize;
    let replica = ((case.seed + 1 + case.seed / 3 % 2) % 3) as usize;
    let successor = format!("p{writer}");
    let later: &[&str] = if point == FaultPoint::Successor {
        &[&successor]
    } else {
        &[]
    };
    let mut play = Play::start(Setup {
        later,
        fail_points: planted,
        ..Setup::replicating(daemon, PROXIES, case.seed)
    })?;
    play.fleet.links.set_all(conditions(case.seed));
    for proxy in 0..PROXIES {
        play.trigger_purge(proxy, false);
    }
    let roles = Roles {
        writer,
        replica,
        fail_points,
        has_defect: !planted.is_empty(),
        conditions: conditions(case.seed),
    };
    let failed_proxy = play.inject_fault(point, &roles)?;
    play.fleet.kill(failed_proxy)?;
    if point != FaultPoint::Successor {
        play.recover(failed_proxy, &roles, case.disk)?;
    }
    let converged_in = play.wait_for_convergence(CONVERGENCE_TIMEOUT)?;
    play.record_final_states(PROXIES + later.len(), converged_in.is_some())?;
    let breaches = judge(&play.record);
    Ok(PlayResult {
        record: play.record,
        breaches,
        converged_in,
    })
}

/// Who is who in a play, and what it happens under.
struct Roles {
    /// The proxy that gets the purge.
    writer: usize,
    /// One that holds a copy.
    replica: usize,
    /// What is armed at the one it happens to.
    fail_points: &'static str,
    /// Whether a fault is planted in all daemons.
    has_defect: bool,
    conditions: LinkConditions,
}

impl Play {
    /// Brings a fault about: the proxy that is lost by it.
    fn inject_fault(&mut self, point: FaultPoint, roles: &Roles) -> io::Result<usize> {
        let Roles {
            writer, replica, ..
        } = *roles;
        match point {
            FaultPoint::WriterBeforeSend
            | FaultPoint::WriterAfterSend
            | FaultPoint::WriterBeforeDisk
            | FaultPoint::WriterAfterDisk
            | FaultPoint::WriterBeforeAnswer => {
                self.crash_writer(roles)?;
                Ok(writer)
            }
            FaultPoint::WriterAfterAnswer => {
                self.trigger_purge(writer, false);
                Ok(writer)
            }
            FaultPoint::WriterIsolated => {
                self.fleet.links.split(&[writer], LinkConditions::CUT);
                self.trigger_purge(writer, false);
                Ok(writer)
            }
            FaultPoint::WriterDiskFails => {
                self.restart_with_fail_points(writer, roles.fail_points)?;
                self.trigger_purge(writer, false);
                Ok(writer)
            }
            FaultPoint::ReplicaBeforeDisk
            | FaultPoint::ReplicaAfterDisk
            | FaultPoint::ReplicaBeforeAck => {
                self.crash_replica(roles)?;
                Ok(replica)
            }
            FaultPoint::ReplicaStalled => {
                self.fleet.stall(replica)?;
                self.trigger_purge(writer, false);
                Ok(replica)
            }
            FaultPoint::ReplicaIsolated => {
                self.isolate_replica(roles)?;
                Ok(writer)
            }
            FaultPoint::Successor => {
                self.replace_writer(writer)?;
                // The old machine is switched off at last.
                Ok(writer)
            }
        }
    }

    /// The writer dies of its point when it is told.
    fn crash_writer(&mut self, roles: &Roles) -> io::Result<()> {
        self.restart_with_fail_points(roles.writer, roles.fail_points)?;
        if self.trigger_purge(roles.writer, true) != PurgeAnswer::None && !roles.has_defect {
            return Err(io::Error::other(
                "the writer did not die: this daemon has no points",
            ));
        }
        Ok(())
    }

    /// The holder dies of its point when the writer is told.
    fn crash_replica(&mut self, roles: &Roles) -> io::Result<()> {
        let replica = roles.replica;
        self.restart_with_fail_points(replica, roles.fail_points)?;
        self.trigger_purge(roles.writer, false);
        if !self.wait_until(DETECTION_TIMEOUT, |fleet| fleet.status(replica).is_err()) {
            return Err(io::Error::other(
                "the holder did not die: this daemon has no points",
            ));
        }
        Ok(())
    }

    /// The replica is cut off for one commit and back for the next.
    fn isolate_replica(&mut self, roles: &Roles) -> io::Result<()> {
        self.wait_for_convergence(CONVERGENCE_TIMEOUT)?;
        self.fleet
            .links
            .split(&[roles.replica], LinkConditions::CUT);
        self.trigger_purge(roles.writer, false);
        self.fleet.links.split(&[roles.replica], roles.conditions);
        self.trigger_purge(roles.writer, false);
        Ok(())
    }

    /// The writer stands still while another takes its name, and goes on.
    fn replace_writer(&mut self, writer: usize) -> io::Result<()> {
        self.wait_for_convergence(CONVERGENCE_TIMEOUT)?;
        self.fleet.stall(writer)?;
        self.fleet.restart(PROXIES, Disk::Lost)?;
        self.trigger_purge(PROXIES, false);
        self.fleet.resume(writer)?;
        if !self.wait_until(DETECTION_TIMEOUT, |fleet| {
            fleet.status(writer).is_ok_and(|s| s.replaced)
        }) {
            return Err(io::Error::other(
                "the old process did not learn of its successor",
            ));
        }
        self.trigger_purge(writer, false);
        Ok(())
    }

    /// The others go on without the one that was lost, and then it comes back.
    fn recover(&mut self, failed_proxy: usize, roles: &Roles, disk: Disk) -> io::Result<()> {
        let other = (0..PROXIES)
            .find(|proxy| *proxy != failed_proxy)
            .unwrap_or_default();
        self.trigger_purge(other, false);
        self.fleet.links.split(&[roles.writer], roles.conditions);
        self.fleet.restart(failed_proxy, disk)
    }

    /// Writes down what each proxy that runs holds in the end.
    fn record_final_states(&mut self, proxies: usize, has_converged: bool) -> io::Result<()> {
        let running: Vec<usize> = (0..proxies)
            .filter(|n| self.fleet.process(*n).is_ok())
            .collect();
        for proxy in running {
            let mut objects = BTreeSet::new();
            for purge in &self.record.purges {
                if self.fleet.holds_floor(proxy, &purge.object)? {
                    objects.insert(purge.object.clone());
                }
            }
            let under_replicated = if has_converged {
                self.fleet.status(proxy)?.under_replicated
            } else {
                0
            };
            let triggers = self.fleet.triggers(proxy)?;
            self.record.final_states.push(FinalState {
                proxy,
                objects,
                triggers,
                under_replicated,
            });
        }
        Ok(())
    }
}
