//! Both programs as peers of one fleet that replicates: triggers told at each, statuses asked at each, `fleet status` and
//! `fleet budgets` of each by either program, and restarts that change the program.

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
/// Triggers told at each proxy in a round.
const TRIGGERS: usize = 8;
/// Purges that each proxy holds one by one; more are told, so that who was away gets a snapshot.
const EXACT_PURGES: usize = 32;
/// Places at the origin, and those reserved for each.
const LIMIT: u64 = 24;
const RESERVED: u64 = 2;
/// Clients of each proxy that press on the budget, and how long the origin holds a request of theirs.
const CLIENTS: usize = 12;
const HOLD_MS: u64 = 100;
/// Agreement on a busy machine.
const AGREEMENT: Duration = TIMEOUT.saturating_mul(3);

/// A restart of one proxy, with a program and what is left of its disk.
struct Restart<'a> {
    proxy: usize,
    program: Program<'a>,
    disk: Disk,
}

struct Round<'a> {
    fleet: Fleet,
    programs: [Program<'a>; PROXIES],
    told: BTreeSet<String>,
    purged: Vec<String>,
}

/// Plays all restarts, with a round of checks before the first and after each.
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
        told: BTreeSet::new(),
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
        self.tell(checks)?;
        self.check_agreement(checks);
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
        let all = poll_until(AGREEMENT, || {
            (0..PROXIES).all(|n| is_ready(n) && up(n) == PROXIES)
        });
        checks.that("each is ready and believes that all run", all, || {
            format!("{:?}", [0, 1, 2, 3].map(up))
        });
    }

    /// Triggers at each proxy.
    fn tell(&mut self, checks: &mut Checks) -> io::Result<()> {
        let mut refused = 0;
        for n in 0..PROXIES {
            for _ in 0..TRIGGERS {
                let object = format!("{:016x}", self.purged.len());
                match status_path(&self.fleet.trigger(n, &[&object])?) {
                    Some(path) => {
                        self.told.insert(path);
                    }
                    None => refused += 1,
                }
                self.purged.push(object);
            }
        }
        checks.that(
            "triggers told at each are answered 201",
            refused == 0,
            || format!("{} of {}", PROXIES * TRIGGERS - refused, PROXIES * TRIGGERS),
        );
        Ok(())
    }

    /// The same digest everywhere, all of it on the disks. How many entries each holds one by one may differ: each
    /// compacts for itself.
    fn check_agreement(&self, checks: &mut Checks) {
        let mut seen = Vec::new();
        let agree = poll_until(AGREEMENT, || {
            let all = (0..PROXIES).map(|n| self.fleet.status(n));
            let Ok(all) = all.collect::<io::Result<Vec<_>>>() else {
                return false;
            };
            seen = all.iter().map(shown).collect();
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
        checks.that("all have the same on their disks", agree, || {
            seen.join("; ")
        });
    }

    fn check_statuses(&self, checks: &mut Checks) -> io::Result<()> {
        let mut differing = Vec::new();
        for n in 0..PROXIES {
            let listed = self.fleet.triggers(n)?;
            if listed != self.told {
                differing.push(format!("p{n} lists {}", listed.len()));
            }
        }
        for path in &self.told {
            let mut bodies = BTreeSet::new();
            for n in 0..PROXIES {
                let answer = self.fleet.cdni_call(n, "GET", path)?;
                bodies.insert((answer.status, answer.body));
            }
            if bodies.len() != 1 || bodies.iter().any(|(status, _)| *status != 200) {
                differing.push(path.clone());
            }
        }
        checks.that(
            "each tells all statuses, and the same of each",
            differing.is_empty(),
            || format!("{} statuses, differing {differing:?}", self.told.len()),
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
        checks.that("each holds all purges", missing.is_empty(), || {
            format!("{} purges, missed {missing:?}", self.purged.len())
        });
        Ok(())
    }

    /// Both programs' command lines ask a proxy.
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
            checks.that(
                &format!("`fleet {what}` of p{n} ({label}) by both programs"),
                same && keys(&old) == keys(&new),
                || format!("{} and {} keys", keys(&old), keys(&new)),
            );
        }
        Ok(())
    }

    /// Under load at each, one leads, each gets more than is reserved for it, and the leases are within the limit.
    fn check_budgets(&self, checks: &mut Checks) -> io::Result<()> {
        let mut clients = Vec::new();
        for n in 0..PROXIES {
            clients.push(Pressure::on(self.fleet.process(n)?.front, CLIENTS));
        }
        let mut seen = Vec::new();
        let settled = poll_until(AGREEMENT, || {
            let all = (0..PROXIES).map(|n| self.fleet.budgets(n));
            let Ok(all) = all.collect::<io::Result<Vec<_>>>() else {
                return false;
            };
            let of = |n: usize| &all[n].budgets[0];
            seen = (0..PROXIES).map(|n| (of(n).leads, of(n).lease)).collect();
            seen.iter().filter(|(leads, _)| *leads).count() == 1
                && seen.iter().all(|(_, lease)| *lease > RESERVED)
                && seen.iter().map(|(_, lease)| lease).sum::<u64>() <= LIMIT
        });
        drop(clients);
        checks.that(
            "under load one leads, and grants leases to all within the limit",
            settled,
            || format!("{seen:?}"),
        );
        Ok(())
    }
}

/// What a proxy says of its replication, in short.
fn shown(status: &Status) -> String {
    format!(
        "{} entries, {} compacted, digest {}, {} short",
        status.entries, status.compacted, status.digest, status.under_replicated
    )
}

/// What a program's command line says of a proxy, as JSON.
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
