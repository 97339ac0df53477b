//! A daemon as a process of its own, ended with its value.

use crate::clients::TIMEOUT;
use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// A running daemon.
pub struct Process {
    /// Its process.
    pub child: Child,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where peer CDNs connect; that of `front` where the CDNI listener is off.
    pub cdni: SocketAddr,
    /// Where operators call; that of `front` where there is no admin listener.
    pub admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Whether its process has ended. Whoever has its addresses by then, it is not this daemon.
    pub fn has_ended(&self) -> bool {
        let how = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        !matches!(
            waitid(WaitId::Pid(Pid::from_child(&self.child)), how),
            Ok(None)
        )
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Starts a daemon with this configuration and operators' own file, written to a folder under this name, and waits
    /// until it listens.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        config: &Value,
        own: &Value,
    ) -> io::Result<Self> {
        Self::start_with_fail_points(program, folder, name, (config, own), "")
    }

    /// As `start`, with fail points armed at which it dies or is stopped (the daemon's feature `points`); a daemon without
    /// points passes them over.
    pub fn start_with_fail_points(
        program: &Path,
        folder: &Path,
        name: &str,
        (config, own): (&Value, &Value),
        points: &str,
    ) -> io::Result<Self> {
        let mut child = spawn(program, folder, name, config, own, points)?;
        let log = child.stderr.take();
        // From here on it is ended with this, whatever comes.
        let nowhere = ([127, 0, 0, 1], 0).into();
        let mut process = Process {
            child,
            front: nowhere,
            cdni: nowhere,
            admin: nowhere,
        };
        let last_lines = Arc::default();
        let addresses = read_log(log, Arc::clone(&last_lines));
        let has_cdni = own["cdni"]["listen"].is_string();
        let has_admin = config["ops"].is_string();
        match process.learn_addresses(&addresses, has_cdni, has_admin) {
            Ok(()) => Ok(process),
            Err(waited) => Err(process.why_not(name, waited, &last_lines)),
        }
    }

    /// Takes the addresses in the order in which a daemon says them: where clients connect, and then where peer CDNs and
    /// operators do, if they can.
    fn learn_addresses(
        &mut self,
        addresses: &Receiver<SocketAddr>,
        has_cdni: bool,
        has_admin: bool,
    ) -> Result<(), RecvTimeoutError> {
        self.front = addresses.recv_timeout(TIMEOUT)?;
        self.cdni = match has_cdni {
            true => addresses.recv_timeout(TIMEOUT)?,
            false => self.front,
        };
        self.admin = match has_admin {
            true => addresses.recv_timeout(TIMEOUT)?,
            false => self.front,
        };
        Ok(())
    }

    /// Why a daemon did not say where it listens: how it ended, if it did, and the last it said.
    fn why_not(&mut self, name: &str, waited: RecvTimeoutError, last: &LastLines) -> io::Error {
        let ended = match waited {
            // Its log ended: the process has ended or is about to.
            RecvTimeoutError::Disconnected => match self.child.wait() {
                Ok(status) => format!("it ended ({status})"),
                Err(e) => format!("its end can't be learnt: {e}"),
            },
            RecvTimeoutError::Timeout => {
                format!("it said nothing of it in {} s", TIMEOUT.as_secs())
            }
        };
        let lines = last.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = lines
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join("\n  ");
        io::Error::other(format!(
            "the daemon '{name}' did not start: {ended}; its last words:\n  {lines}"
        ))
    }
}

/// The last lines of a daemon's log.
type LastLines = Mutex<VecDeque<String>>;

/// Writes a daemon's files and starts its process, in a process group of its own.
fn spawn(
    program: &Path,
    folder: &Path,
    name: &str,
    config: &Value,
    own: &Value,
    points: &str,
) -> io::Result<Child> {
    std::fs::create_dir_all(folder)?;
    let config_file = folder.join(format!("{name}.json"));
    let own_file = folder.join(format!("{name}-own.json"));
    std::fs::write(&config_file, config.to_string())?;
    std::fs::write(&own_file, own.to_string())?;
    Command::new(program)
        .env("ROUTER_CONFIG", &config_file)
        .env("LINNETKNOT_INTERCONNECT", &own_file)
        .env("RUST_LOG", "info")
        .env("LINNETKNOT_POINTS", points)
        // What the operators decided is kept there: no other daemon is to find it.
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        // A group of its own: Ctrl-C at a terminal is for the kit, which then ends its daemons.
        .process_group(0)
        .stderr(Stdio::piped())
        .spawn()
}

/// Reads a daemon's log to the end on a thread of its own, so that the daemon never blocks on it: gives the addresses
/// that it names, and keeps its last lines.
fn read_log(log: Option<ChildStderr>, last_lines: Arc<LastLines>) -> Receiver<SocketAddr> {
    let (sender, addresses) = mpsc::channel();
    thread::spawn(move || {
        let lines = log.into_iter().flat_map(|log| BufReader::new(log).lines());
        for line in lines.map_while(Result::ok) {
            let address = |mark: &&str| line.split_once(mark)?.1.trim().parse().ok();
            let found: Vec<SocketAddr> = ADDRESS_MARKS.iter().filter_map(address).collect();
            let mut last = last_lines.lock().unwrap_or_else(PoisonError::into_inner);
            if last.len() == LAST_LINES {
                last.pop_front();
            }
            last.push_back(line);
            drop(last);
            for address in found {
                let _ = sender.send(address);
            }
        }
    });
    addresses
}

/// What a daemon says before its addresses, in the order in which it says them.
const ADDRESS_MARKS: [&str; 3] = [
    " listens on ",
    "neighbours connect to ",
    "the admin listener is at ",
];
/// Lines of a daemon's log kept to say why it did not start.
const LAST_LINES: usize = 12;
