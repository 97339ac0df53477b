//! The fault matrix: several daemons replicate each other's commits, and one of them crashes, is stopped or is isolated at a
//! point of a commit. It comes back with its disk or on a new machine, and no commit may be lost. The daemon must be built
//! with fail points (`--features points`).

mod matrix;
mod points;
mod proxy_state;

pub use matrix::Matrix;
pub use points::{Defect, FaultPoint, FaultPointEntry, DEFECTS, FAULT_POINTS};
pub use proxy_state::ProxyState;

use crate::rules::commits::{judge, CommitRecord, FinalState, PurgeAnswer, PurgeRequest};
use crate::rules::Breach;
use linnetknot_harness::clients::poll_until;
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use linnetknot_harness::links::LinkConditions;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// The number of proxies in a test run.
const PROXIES: usize = 3;
/// The time limit for all proxies to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// The time limit for the detection of a crash or a successor.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// The time limit for an answer to a purge request.
const TIMEOUT_US: u64 = 1_000_000;
/// An object that is never purged.
const UNPURGED_OBJECT: &str = "ffffffffffffffff";
/// The allowance for the delay of the kit, whose threads share the cores with the daemons.
const TOLERANCE_US: u64 = 500_000;

/// The parameters of a test run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// The fault point, by its index in `FAULT_POINTS`.
    pub point: usize,
    /// Whether the failed proxy comes back with its disk.
    pub disk: Disk,
    /// The seed for the link conditions, the roles and the random faults of the links.
    pub seed: u64,
}

/// Returns this number of cases, which cycle through all fault points with both kinds of disk.
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

/// The result of a test run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayResult {
    /// The record of the test run.
    pub record: CommitRecord,
    /// The breaches of rules.
    pub breaches: Vec<Breach>,
    /// The state of each running proxy, if a rule was broken.
    pub states: Vec<ProxyState>,
    /// The time from the return of the failed proxy until all converged, if they did.
    pub converged_in: Option<Duration>,
}

struct Play {
    fleet: Fleet,
    started_at: Instant,
    record: CommitRecord,
    objects: u64,
}

impl Play {
    /// Starts the proxies as a fleet with the given setup.
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

    /// Requests the purge of a new object at a proxy as a peer CDN, and records the answer.
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

    /// Waits for a condition. Returns whether it was met within the time limit.
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
        // A proxy that crashed at its fail point does not count.
        let converged = self.wait_until(timeout, |fleet| fleet.is_converged().unwrap_or(false));
        Ok(converged.then(|| started_at.elapsed()))
    }
}

/// Returns the link conditions of a test run: perfect, lossy or slow.
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

/// Plays a case, with the fail points of a defect set in all daemons.
///
/// # Errors
/// Returns an error if a daemon did not start or was built without fail points.
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
    let states = if breaches.is_empty() {
        Vec::new()
    } else {
        play.proxy_states()
    };
    Ok(PlayResult {
        record: play.record,
        breaches,
        states,
        converged_in,
    })
}

/// The roles of the proxies in a test run, with its conditions.
struct Roles {
    /// The proxy that receives the purge.
    writer: usize,
    /// A proxy that holds a replica.
    replica: usize,
    /// The fail points to set in the proxy that fails.
    fail_points: &'static str,
    /// Whether a defect is injected in all daemons.
    has_defect: bool,
    conditions: LinkConditions,
}

impl Play {
    /// Injects a fault and returns the index of the proxy that is lost by it.
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
                // The old machine is shut down in the end.
                Ok(writer)
            }
        }
    }

    /// Crashes the writer at its fail point by a purge request.
    fn crash_writer(&mut self, roles: &Roles) -> io::Result<()> {
        self.restart_with_fail_points(roles.writer, roles.fail_points)?;
        if self.trigger_purge(roles.writer, true) != PurgeAnswer::None && !roles.has_defect {
            return Err(io::Error::other(
                "the writer did not crash: the daemon was built without fail points",
            ));
        }
        Ok(())
    }

    /// Crashes the replica at its fail point by a purge request to the writer.
    fn crash_replica(&mut self, roles: &Roles) -> io::Result<()> {
        let replica = roles.replica;
        self.restart_with_fail_points(replica, roles.fail_points)?;
        self.trigger_purge(roles.writer, false);
        if !self.wait_until(DETECTION_TIMEOUT, |fleet| fleet.status(replica).is_err()) {
            return Err(io::Error::other(
                "the replica did not crash: the daemon was built without fail points",
            ));
        }
        Ok(())
    }

    /// Isolates the replica for one commit and reconnects it for the next.
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

    /// Stops the writer while a successor takes its name, and resumes it.
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
                "the old process did not detect its successor",
            ));
        }
        self.trigger_purge(writer, false);
        Ok(())
    }

    /// Requests a purge at another proxy and restarts the one that was lost.
    fn recover(&mut self, failed_proxy: usize, roles: &Roles, disk: Disk) -> io::Result<()> {
        let other = (0..PROXIES)
            .find(|proxy| *proxy != failed_proxy)
            .unwrap_or_default();
        self.trigger_purge(other, false);
        self.fleet.links.split(&[roles.writer], roles.conditions);
        self.fleet.restart(failed_proxy, disk)
    }

    /// Returns the replication state of each proxy that answers.
    fn proxy_states(&self) -> Vec<ProxyState> {
        let state = |final_state: &FinalState| {
            let proxy = final_state.proxy;
            let status = self.fleet.status(proxy).ok()?;
            Some(ProxyState::new(proxy, status))
        };
        self.record.final_states.iter().filter_map(state).collect()
    }

    /// Records the final state of each running proxy.
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
                treats_all_as_purged: self.fleet.holds_floor(proxy, UNPURGED_OBJECT)?,
                triggers,
                under_replicated,
            });
        }
        Ok(())
    }
}
