//! The proxies' processes, which the timetable of a test run starts, stops, kills and restarts.

use super::environment::Environment;
use crate::scenario::Scenario;
use linnetknot_harness::fleet::free_ports;
use linnetknot_harness::links::{FaultyLinks, LinkConditions};
use linnetknot_harness::process::Process;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

/// The parameters that all proxies are started with.
#[derive(Clone)]
struct Launcher {
    daemon: PathBuf,
    /// The fail points to set in each proxy.
    fail_points: String,
    folder: PathBuf,
    /// The operators' configuration file.
    own_file: Value,
}

impl Launcher {
    fn start(&self, proxy: usize, config: &Value) -> io::Result<Process> {
        Process::start_with_fail_points(
            &self.daemon,
            &self.folder,
            &format!("p{proxy}"),
            (config, &self.own_file),
            &self.fail_points,
        )
    }
}

/// The result of starting a proxy again.
struct Restarted {
    proxy: usize,
    process: io::Result<Process>,
}

/// The proxies' processes and the parameters needed to restart them.
pub(super) struct Proxies {
    /// The address at which each proxy accepts clients.
    pub(super) addresses: Vec<SocketAddr>,
    running: Vec<Option<Process>>,
    /// The proxies that are stopped by SIGSTOP, to which no requests are routed.
    frozen: Vec<bool>,
    /// The links between peers, if the scenario has peers.
    links: Option<FaultyLinks>,
    /// The processes that were sent SIGTERM. A restart waits until they have exited.
    terminating: Vec<Option<Process>>,
    configs: Vec<Value>,
    launcher: Launcher,
    restarted_sender: Sender<Restarted>,
    restarted: Receiver<Restarted>,
}

impl Proxies {
    /// Starts the proxies of a scenario in their environment, with these fail points.
    pub(super) fn start(
        (daemon, fail_points): (&Path, &str),
        folder: &Path,
        scenario: &Scenario,
        seed: u64,
        environment: &Environment<'_>,
    ) -> io::Result<Self> {
        let count = scenario.proxies as usize;
        let ports = if scenario.peers {
            free_ports(count)?
        } else {
            Vec::new()
        };
        let links = scenario
            .peers
            .then(|| FaultyLinks::between(&ports, seed))
            .transpose()?;
        // The only setting that a test run needs in the operators' file is whether the proxy informs its peers.
        let own_file = if scenario.peers {
            json!({"peers": {"tell": true}})
        } else {
            json!({})
        };
        let launcher = Launcher {
            daemon: daemon.to_owned(),
            fail_points: fail_points.to_owned(),
            folder: folder.to_owned(),
            own_file,
        };
        let (mut running, mut configs) = (Vec::new(), Vec::new());
        for proxy in 0..count {
            let mut config = environment.proxy_config(proxy, seed);
            if let Some(links) = &links {
                add_peers(&mut config, proxy, &ports, links);
            }
            running.push(Some(launcher.start(proxy, &config)?));
            configs.push(config);
        }
        let (restarted_sender, restarted) = mpsc::channel();
        Ok(Proxies {
            addresses: running.iter().flatten().map(|p| p.front).collect(),
            running,
            frozen: vec![false; count],
            links,
            terminating: (0..count).map(|_| None).collect(),
            configs,
            launcher,
            restarted_sender,
            restarted,
        })
    }

    /// Returns the given proxy if it accepts requests, otherwise the next proxy that does, as a load balancer would.
    pub(super) fn route(&self, proxy: usize) -> Option<usize> {
        let all = self.running.len();
        (0..all).map(|k| (proxy + k) % all).find(|p| self.is_up(*p))
    }

    /// Returns whether a proxy accepts requests: its process runs, is not frozen and was not sent SIGTERM.
    fn is_up(&self, proxy: usize) -> bool {
        self.running[proxy].is_some() && !self.frozen[proxy]
    }

    fn signal(&self, proxy: usize, signal: Signal) -> io::Result<()> {
        self.running[proxy]
            .as_ref()
            .map_or(Ok(()), |process| process.signal(signal))
    }

    /// Stops a proxy's process (SIGSTOP).
    pub(super) fn freeze(&mut self, proxy: usize) -> io::Result<()> {
        self.signal(proxy, Signal::STOP)?;
        self.frozen[proxy] = true;
        Ok(())
    }

    /// Resumes a frozen proxy (SIGCONT).
    pub(super) fn thaw(&mut self, proxy: usize) -> io::Result<()> {
        self.signal(proxy, Signal::CONT)?;
        self.frozen[proxy] = false;
        Ok(())
    }

    /// Kills a proxy's process and waits for its end.
    pub(super) fn kill(&mut self, proxy: usize) -> io::Result<()> {
        if let Some(mut process) = self.running[proxy].take() {
            process.child.kill()?;
            process.child.wait()?;
        }
        Ok(())
    }

    /// Sends SIGTERM to a proxy's process.
    pub(super) fn terminate(&mut self, proxy: usize) -> io::Result<()> {
        if let Some(process) = self.running[proxy].take() {
            process.signal(Signal::TERM)?;
            self.terminating[proxy] = Some(process);
        }
        Ok(())
    }

    /// Starts a proxy again on its address, once its old process has ended.
    pub(super) fn restart(&mut self, proxy: usize) {
        let terminating = self.terminating[proxy].take();
        let mut config = self.configs[proxy].clone();
        config["listen"] = self.addresses[proxy].to_string().into();
        let (launcher, restarted) = (self.launcher.clone(), self.restarted_sender.clone());
        thread::spawn(move || {
            if let Some(mut old) = terminating {
                let _ = old.child.wait();
            }
            let process = launcher.start(proxy, &config);
            let _ = restarted.send(Restarted { proxy, process });
        });
    }

    /// Returns the index of a restarted proxy, if there is a new one.
    ///
    /// # Errors
    /// Returns an error if a proxy could not be started again.
    pub(super) fn take_restarted(&mut self) -> io::Result<Option<usize>> {
        let Ok(Restarted { proxy, process }) = self.restarted.try_recv() else {
            return Ok(None);
        };
        self.running[proxy] = Some(process?);
        Ok(Some(proxy))
    }

    /// Sets the conditions of the links between these proxies and all others. With `one_way`, only the links from these
    /// proxies to the others are changed.
    pub(super) fn set_links(&self, proxies: &[usize], conditions: LinkConditions, one_way: bool) {
        let Some(links) = &self.links else { return };
        for (from, to) in links.directions() {
            let sends = proxies.contains(&from) && !proxies.contains(&to);
            let receives = proxies.contains(&to) && !proxies.contains(&from);
            if sends || receives && !one_way {
                links.set((from, to), conditions);
            }
        }
    }
}

/// Adds a proxy's peer port and the addresses of its peers to its configuration.
fn add_peers(config: &mut Value, proxy: usize, ports: &[SocketAddr], links: &FaultyLinks) {
    let peer = |p: usize| {
        links
            .address((proxy, p))
            .unwrap_or(ports[proxy])
            .to_string()
    };
    config["peer_listen"] = ports[proxy].to_string().into();
    config["peers"] = (0..ports.len()).map(peer).collect();
}
