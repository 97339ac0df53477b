//! Real daemon processes: their configuration files, lifecycle and status queries.

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

/// Resources in each daemon's configuration, from which the daemon derives its limits on client traffic. They do not
/// affect the measured cost of control traffic.
const MEMORY_MB: usize = 256;
const DESCRIPTORS: usize = 1_024;

/// Number of other machines that must acknowledge a commit.
const MIN_ACKS: usize = 1;

/// Settings shared by all members of a fleet, from which the daemons' files are generated.
pub struct FleetFiles {
    /// Names of all members, the daemons first.
    pub members: Vec<MemberName>,
    /// Addresses of all members, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// Concurrent requests that the origin accepts from all members together.
    pub origin_requests: u64,
    /// Fraction of the cold-cache budgets that is reserved.
    pub cold_reserved_share: f64,
}

impl FleetFiles {
    /// Creates the settings of a fleet with these members.
    pub fn new(members: Vec<MemberName>, addresses: Vec<SocketAddr>, target: &Target) -> Self {
        let origin_requests = target.budgets.origin_requests_per_proxy * members.len() as u64;
        FleetFiles {
            members,
            addresses,
            origin_requests,
            cold_reserved_share: target.budgets.cold_reserved_share,
        }
    }

    /// Returns the configuration file of a member.
    fn config(&self, index: usize) -> Value {
        let peers: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        json!({
            "name": self.members[index].name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
            "seed": format!("{:x}", index + 1), "settings": settings(),
            "limits": {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "peer_listen": peers[index], "peers": peers,
        })
    }

    /// Returns the interconnect file of a member.
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

    /// Returns the budgets that a daemon derives from its files, so that the hollow members can use the same budgets.
    ///
    /// # Errors
    /// Returns an error if a daemon would reject its files.
    pub fn budgets(&self) -> io::Result<Budgets> {
        let fields = |value: Value| value.as_object().cloned().unwrap_or_default();
        let mut config = Config::read(&fields(self.config(0))).map_err(io::Error::other)?;
        let interconnect = fields(self.interconnect(0, Path::new("purges")));
        config
            .interconnect(&interconnect)
            .map_err(io::Error::other)?;
        Ok(config.budgets)
    }
}

/// Converts the daemons' budgets to those of hollow members. Budgets of another zone are assigned to a zone without
/// members.
pub fn shared_budgets(budgets: &Budgets, zones: usize) -> Vec<SharedBudget> {
    let shared = budgets.list.iter().map(|shared| SharedBudget {
        unit: shared.unit,
        spec: shared.spec,
        zone: shared.module_budget.is_none().then_some(zones),
    });
    shared.collect()
}

/// Returns free addresses for this number of daemons.
///
/// # Errors
/// Returns an error if no free ports are available on loopback.
pub fn daemon_addresses(daemons: usize) -> io::Result<Vec<SocketAddr>> {
    free_ports(daemons)
}

/// Running daemons, which are terminated on drop.
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
    /// Starts the first `daemons` members of a fleet as processes of `program`.
    ///
    /// # Errors
    /// Returns an error if a daemon does not start.
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
            let (config, interconnect) = (
                files.config(index),
                files.interconnect(index, &disk.join("purges")),
            );
            running.processes.push(Process::start(
                program,
                &disk,
                name,
                &config,
                &interconnect,
            )?);
        }
        Ok(running)
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether there are no daemons.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns the address of a daemon's CDNI listener, which accepts purges.
    pub fn cdni(&self, daemon: usize) -> SocketAddr {
        self.processes[daemon].cdni
    }

    /// Queries the status of a daemon from its admin interface.
    ///
    /// # Errors
    /// Returns an error if the query fails.
    pub fn status(&self, daemon: usize) -> io::Result<Status> {
        Ok(query_status(self.processes[daemon].admin)?)
    }

    /// Returns the process identifier that a daemon announces to its peers. A daemon that started without a disk uses
    /// the epoch of its log.
    ///
    /// # Errors
    /// Returns an error if the query fails or the epoch cannot be parsed.
    pub fn process_id(&self, daemon: usize) -> io::Result<u64> {
        u64::from_str_radix(&self.status(daemon)?.epoch, 16).map_err(io::Error::other)
    }

    /// Reads the processor time and memory of each daemon.
    ///
    /// # Errors
    /// Returns an error if a daemon has exited.
    pub fn process_stats(&self) -> io::Result<Vec<ProcessStat>> {
        self.processes
            .iter()
            .map(|process| proc_stat::read(process.child.id()))
            .collect()
    }

    /// Returns the datagrams dropped by each daemon's peer socket because its receive buffer was full.
    ///
    /// # Errors
    /// Returns an error if the counters cannot be read.
    pub fn dropped_datagrams(&self) -> io::Result<Vec<u64>> {
        self.addresses
            .iter()
            .map(|address| proc_stat::dropped_datagrams(*address))
            .collect()
    }
}

/// Reason why a daemon did not accept a purge.
#[derive(Debug, Error)]
pub enum PurgeError {
    /// The response had a status other than 201.
    #[error("answered {0}")]
    Status(u16),
    /// The request failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
}

/// Sends a purge to a daemon's CDNI listener.
///
/// # Errors
/// Returns an error if the daemon does not accept the purge.
pub fn purge(cdni: SocketAddr, object: &str) -> Result<(), PurgeError> {
    match trigger_at(cdni, &[object])?.status {
        201 => Ok(()),
        status => Err(PurgeError::Status(status)),
    }
}
