//! The real daemons: their files, their processes and what is asked of them.

use super::proc_stat::{self, ProcessStat};
use crate::scale::fleet_config::{MemberName, SharedBudget};
use crate::scale::target::Target;
use linnetknot_daemon::config::Config;
use linnetknot_daemon::fleet::{query_status, Status};
use linnetknot_daemon::interconnect::Budgets;
use linnetknot_harness::fleet::{free_ports, trigger_at};
use linnetknot_harness::process::Process;
use linnetknot_harness::settings;
use serde_json::{json, Map, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// The machine that each daemon is told it has. They decide on clients, and on nothing that control has.
const MEMORY_MB: usize = 256;
const DESCRIPTORS: usize = 1_024;

/// Further machines that a commit waits for.
const MIN_ACKS: usize = 1;

/// What all members of a fleet are told, and the daemons by their files.
pub struct FleetFiles {
    /// Names of all members, the daemons first.
    pub members: Vec<MemberName>,
    /// Addresses of all members, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// Requests that the origin holds at a time, of all members together.
    pub origin_requests: u64,
    /// Share of the budgets of cold caches that is reserved.
    pub cold_reserved_share: f64,
}

impl FleetFiles {
    /// Of these members.
    pub fn new(members: Vec<MemberName>, addresses: Vec<SocketAddr>, target: &Target) -> Self {
        let origin_requests = target.budgets.origin_requests_per_proxy * members.len() as u64;
        FleetFiles {
            members,
            addresses,
            origin_requests,
            cold_reserved_share: target.budgets.cold_reserved_share,
        }
    }

    /// The configuration of the member at an index.
    fn config(&self, index: usize) -> Value {
        let peers: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        json!({
            "name": self.members[index].name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
            "seed": format!("{:x}", index + 1), "settings": settings(),
            "limits": {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "peer_listen": peers[index], "peers": peers,
        })
    }

    /// Its interconnect file.
    fn interconnect(&self, index: usize, purges: &Path) -> Value {
        let machines = self.addresses.iter().zip(&self.members);
        let machines: Map<String, Value> = machines
            .map(|(address, member)| (address.to_string(), member.machine.clone().into()))
            .collect();
        json!({
            "cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0", "base": "http://cdn.example",
                "footprint": ["127.0.0.0/8"], "purges": purges.display().to_string()},
            "peers": {"copies": true},
            "copies": {"wait": MIN_ACKS, "machine": self.members[index].machine, "machines": machines},
            "budgets": {"origin": {"whole": self.origin_requests, "floor": 1}, "cold": true,
                "cold_floors": self.cold_reserved_share},
        })
    }

    /// What the daemons make of their budgets, for hollow members to share the same.
    ///
    /// # Errors
    /// Where a daemon would refuse its files.
    pub fn budgets(&self) -> io::Result<Budgets> {
        let fields = |value: Value| value.as_object().cloned().unwrap_or_default();
        let mut config = Config::read(&fields(self.config(0))).map_err(io::Error::other)?;
        let own = fields(self.interconnect(0, Path::new("purges")));
        config.interconnect(&own).map_err(io::Error::other)?;
        Ok(config.budgets)
    }
}

/// Budgets as hollow members have them. Those of another zone are spent by none of the fleet.
pub fn shared_budgets(budgets: &Budgets, zones: usize) -> Vec<SharedBudget> {
    let shared = budgets.list.iter().map(|shared| SharedBudget {
        unit: shared.unit,
        spec: shared.spec,
        zone: shared.module_budget.is_none().then_some(zones),
    });
    shared.collect()
}

/// Addresses for so many daemons.
///
/// # Errors
/// Where loopback has no room.
pub fn daemon_addresses(daemons: usize) -> io::Result<Vec<SocketAddr>> {
    free_ports(daemons)
}

/// Daemons that run; they end with this.
pub struct RealDaemons {
    processes: Vec<Process>,
    addresses: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for RealDaemons {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl RealDaemons {
    /// Starts the first members of a fleet as daemons of this program.
    ///
    /// # Errors
    /// Where one does not start.
    pub fn start(program: &Path, daemons: usize, files: &FleetFiles) -> io::Result<Self> {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("linnetknot-scale-{}-{run}", std::process::id()));
        let addresses = files.addresses[..daemons].to_vec();
        let mut running = RealDaemons {
            processes: Vec::new(),
            addresses,
            folder,
        };
        for index in 0..daemons {
            let name = &files.members[index].name;
            let disk = running.folder.join(name);
            let (config, own) = (
                files.config(index),
                files.interconnect(index, &disk.join("purges")),
            );
            running
                .processes
                .push(Process::start(program, &disk, name, &config, &own)?);
        }
        Ok(running)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Where neighbours tell a daemon of purges.
    pub fn cdni(&self, daemon: usize) -> SocketAddr {
        self.processes[daemon].cdni
    }

    /// What a daemon tells operators.
    ///
    /// # Errors
    /// Where it can't be asked.
    pub fn status(&self, daemon: usize) -> io::Result<Status> {
        Ok(query_status(self.processes[daemon].admin)?)
    }

    /// The number of a daemon's process among those of its name. One that began without a disk has that of its log.
    ///
    /// # Errors
    /// Where it can't be asked, or says what can't be read.
    pub fn process_id(&self, daemon: usize) -> io::Result<u64> {
        u64::from_str_radix(&self.status(daemon)?.epoch, 16).map_err(io::Error::other)
    }

    /// What the system tells of each process.
    ///
    /// # Errors
    /// Where one has ended.
    pub fn process_stats(&self) -> io::Result<Vec<ProcessStat>> {
        self.processes
            .iter()
            .map(|process| proc_stat::read(process.child.id()))
            .collect()
    }

    /// Datagrams that found no room in each daemon's socket.
    ///
    /// # Errors
    /// Where the system does not tell.
    pub fn dropped_datagrams(&self) -> io::Result<Vec<u64>> {
        self.addresses
            .iter()
            .map(|address| proc_stat::dropped_datagrams(*address))
            .collect()
    }
}

/// Why a daemon did not take a purge.
#[derive(Debug, Error)]
pub enum PurgeError {
    /// It answered with another status than 201.
    #[error("answered {0}")]
    Status(u16),
    /// It could not be told.
    #[error("{0}")]
    Connection(#[from] io::Error),
}

/// Tells a daemon's CDNI listener of a purge.
///
/// # Errors
/// Where it did not take it.
pub fn purge(cdni: SocketAddr, object: &str) -> Result<(), PurgeError> {
    match trigger_at(cdni, &[object])?.status {
        201 => Ok(()),
        status => Err(PurgeError::Status(status)),
    }
}
