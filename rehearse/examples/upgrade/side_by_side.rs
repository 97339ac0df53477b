//! Runs both programs as peers of one replicating fleet. Sends triggers and reads statuses at each proxy, calls `fleet status`
//! and `fleet budgets` with either program, and restarts proxies with another program.

use crate::checks::Checks;
use crate::Program;
use linnetknot_daemon::fleet::Status;
use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fakes::cache::Behaviour;
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use linnetknot_harness::pressure::Pressure;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

const PROXIES: usize = 4;
/// The number of triggers sent to each proxy in a round.
const TRIGGERS: usize = 8;
/// The number of purges that each proxy stores exactly. More are sent, so that a proxy that was down gets a snapshot.
const EXACT_PURGES: usize = 32;
/// The maximum number of concurrent requests of the whole fleet to the origin.
const LIMIT: u64 = 24;
const RESERVED: u64 = 2;
/// The number of clients of each proxy that load the budget.
const CLIENTS: usize = 12;
const HOLD_MS: u64 = 100;
/// The time limit for convergence on a busy machine.
const CONVERGENCE_TIMEOUT: Duration = TIMEOUT.saturating_mul(3);

/// A restart of one proxy with a program, with or without its disk.
struct Restart<'a> {
    proxy: usize,
    program: Program<'a>,
    disk: Disk,
}

struct Round<'a> {
    fleet: Fleet,
    programs: [Program<'a>; PROXIES],
    triggers: BTreeSet<String>,
    purged: Vec<String>,
}

/// Runs all restarts, with a round of checks before the first and after each.
pub(crate) fn run(old: Program<'_>, new: Program<'_>, checks: &mut Checks) -> io::Result<()> {
    let setup = Setup {
        within_ms: Some(3_000),
        exact_purges: Some(EXACT_PURGES),
        budgets: json!({"origin": {"whole": LIMIT, "floor": RESERVED}}),
        ..Setup::replicating(old.path, PROXIES, 35)
    };
    let mut round = Round {
        fleet: Fleet::with(setup)?,
        programs: [old; PROXIES],
        triggers: BTreeSet::new(),
        purged: Vec::new(),
    };
    let restart = |proxy, program, disk| Restart {
        proxy,
        program,
        disk,
    };
    let restarts = [
        restart(1, new, Disk::Kept),
        restart(2, new, Disk::Lost),
        restart(0, old, Disk::Lost),
        restart(0, new, Disk::Kept),
        restart(3, old, Disk::Kept),
        restart(1, old, Disk::Kept),
        restart(3, new, Disk::Kept),
        restart(1, new, Disk::Kept),
    ];
    round.fleet.origin.set_behaviour(Behaviour {
        answer_delay_ms: HOLD_MS,
        ..Behaviour::default()
    });
    round.check([old, new], checks)?;
    for restart in restarts {
        round.restart(&restart)?;
        round.check([old, new], checks)?;
    }
    Ok(())
}

impl Round<'_> {
    fn name(&self) -> String {
        let labels: Vec<&str> = self.programs.iter().map(|p| p.label).collect();
        labels.join(" ")
    }
}

impl<'a> Round<'a> {
    fn restart(&mut self, restart: &Restart<'a>) -> io::Result<()> {
        let n = restart.proxy;
        println!(
            "p{n} is killed and started with the {} program, its disk {:?}",
            restart.program.label, restart.disk
        );
        self.fleet.kill(n)?;
        self.fleet.set_daemon(n, restart.program.path);
        self.programs[n] = restart.program;
        self.fleet.restart(n, restart.disk)
    }

    fn check(&mut self, programs: [Program<'_>; 2], checks: &mut Checks) -> io::Result<()> {
        println!("side by side: {}", self.name());
        self.check_ready(checks);
        self.trigger_purges(checks)?;
        self.check_convergence(checks);
        self.check_statuses(checks)?;
        self.check_floors(checks)?;
        for n in 0..PROXIES {
            self.check_commands(n, programs, checks)?;
        }
        self.check_budgets(checks)
    }

    fn check_ready(&self, checks: &mut Checks) {
        let is_ready = |n| {
            self.fleet
                .admin_call(n, "GET", "/control/ready")
                .is_ok_and(|s| s == 200)
        };
        let up = |n| {
            self.fleet
                .status(n)
                .map_or(0, |status| status.alive_members)
        };
        let all = poll_until(CONVERGENCE_TIMEOUT, || {
            (0..PROXIES).all(|n| is_ready(n) && up(n) == PROXIES)
        });
        checks.check("each is ready and considers all members alive", all, || {
            format!("{:?}", [0, 1, 2, 3].map(up))
        });
    }

    /// Sends triggers to each proxy.
    fn trigger_purges(&mut self, checks: &mut Checks) -> io::Result<()> {
        let mut refused = 0;
        for n in 0..PROXIES {
            for _ in 0..TRIGGERS {
                let object = format!("{:016x}", self.purged.len());
                match status_path(&self.fleet.trigger(n, &[&object])?) {
                    Some(path) => {
                        self.triggers.insert(path);
                    }
                    None => refused += 1,
                }
                self.purged.push(object);
            }
        }
        checks.check("triggers at each are answered 201", refused == 0, || {
            format!("{} of {}", PROXIES * TRIGGERS - refused, PROXIES * TRIGGERS)
        });
        Ok(())
    }

    /// Checks that all proxies have the same digest with all entries durable. The numbers of entries may differ, as each proxy
    /// compacts independently.
    fn check_convergence(&self, checks: &mut Checks) {
        let mut observed = Vec::new();
        let converged = poll_until(CONVERGENCE_TIMEOUT, || {
            let all = (0..PROXIES).map(|n| self.fleet.status(n));
            let Ok(all) = all.collect::<io::Result<Vec<_>>>() else {
                return false;
            };
            observed = all.iter().map(summary).collect();
            all.iter().all(|status| {
                status.digest == all[0].digest
                    && !status.catching_up
                    && (status.under_replicated, status.pending_commits) == (0, 0)
                    && status
                        .logs
                        .iter()
                        .all(|log| log.last_index == log.durable_index)
            })
        });
        checks.check("all have the same durable entries", converged, || {
            observed.join("; ")
        });
    }

    fn check_statuses(&self, checks: &mut Checks) -> io::Result<()> {
        let mut differing = Vec::new();
        for n in 0..PROXIES {
            let listed = self.fleet.triggers(n)?;
            if listed != self.triggers {
                differing.push(format!("p{n} lists {}", listed.len()));
            }
        }
        for path in &self.triggers {
            let mut bodies = BTreeSet::new();
            for n in 0..PROXIES {
                let answer = self.fleet.cdni_call(n, "GET", path)?;
                bodies.insert((answer.status, answer.body));
            }
            if bodies.len() != 1 || bodies.iter().any(|(status, _)| *status != 200) {
                differing.push(path.clone());
            }
        }
        checks.check(
            "each lists all statuses, with equal bodies",
            differing.is_empty(),
            || format!("{} statuses, differing {differing:?}", self.triggers.len()),
        );
        Ok(())
    }

    fn check_floors(&self, checks: &mut Checks) -> io::Result<()> {
        let mut missing = Vec::new();
        for n in 0..PROXIES {
            for object in &self.purged {
                if !self.fleet.holds_floor(n, object)? {
                    missing.push((n, object));
                }
            }
        }
        checks.check("each enforces all purges", missing.is_empty(), || {
            format!("{} purges, missed {missing:?}", self.purged.len())
        });
        Ok(())
    }

    /// Checks the output of both programs' commands for a proxy.
    fn check_commands(
        &self,
        n: usize,
        programs: [Program<'_>; 2],
        checks: &mut Checks,
    ) -> io::Result<()> {
        let admin = self.fleet.process(n)?.admin;
        for what in ["status", "budgets"] {
            let [old, new] = programs.map(|program| command(program, what, admin));
            let [old, new] = [old?, new?];
            let keys = |value: &Value| value.as_object().map_or(0, serde_json::Map::len);
            let same = if what == "status" {
                old["digest"] == new["digest"] && old["digest"].is_string()
            } else {
                old["budgets"][0]["whole"] == LIMIT && new["budgets"][0]["whole"] == LIMIT
            };
            let label = self.programs[n].label;
            checks.check(
                &format!("`fleet {what}` of p{n} ({label}) by both programs"),
                same && keys(&old) == keys(&new),
                || format!("{} and {} keys", keys(&old), keys(&new)),
            );
        }
        Ok(())
    }

    /// Checks under load at each proxy that there is one leader, that each lease exceeds the reserved share, and that the sum
    /// of the leases is within the limit.
    fn check_budgets(&self, checks: &mut Checks) -> io::Result<()> {
        let mut clients = Vec::new();
        for n in 0..PROXIES {
            clients.push(Pressure::on(self.fleet.process(n)?.front, CLIENTS));
        }
        let mut observed = Vec::new();
        let settled = poll_until(CONVERGENCE_TIMEOUT, || {
            let all = (0..PROXIES).map(|n| self.fleet.budgets(n));
            let Ok(all) = all.collect::<io::Result<Vec<_>>>() else {
                return false;
            };
            let of = |n: usize| &all[n].budgets[0];
            observed = (0..PROXIES).map(|n| (of(n).leads, of(n).lease)).collect();
            observed.iter().filter(|(leads, _)| *leads).count() == 1
                && observed.iter().all(|(_, lease)| *lease > RESERVED)
                && observed.iter().map(|(_, lease)| lease).sum::<u64>() <= LIMIT
        });
        drop(clients);
        checks.check(
            "under load one leader grants leases to all within the limit",
            settled,
            || format!("{observed:?}"),
        );
        Ok(())
    }
}

/// Returns a summary of a proxy's replication status.
fn summary(status: &Status) -> String {
    format!(
        "{} entries, {} compacted, digest {}, {} under-replicated",
        status.entries, status.compacted, status.digest, status.under_replicated
    )
}

/// Returns the JSON output of a program's `fleet` command for a proxy.
fn command(program: Program<'_>, what: &str, admin: SocketAddr) -> io::Result<Value> {
    let output = Command::new(program.path)
        .args(["fleet", what, &admin.to_string(), "--json"])
        .output()?;
    if !output.status.success() {
        return Err(io::Error::other(format!(
            "`fleet {what}` by the {} program: {}",
            program.label,
            String::from_utf8_lossy(&output.stderr).trim()
        )));
    }
    serde_json::from_slice(&output.stdout).map_err(io::Error::other)
}
