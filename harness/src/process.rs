//! A daemon that runs as a child process and is killed on drop.

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

/// A daemon process; it is killed on drop.
pub struct Process {
    /// The child process.
    pub child: Child,
    /// Address of the FastCGI listener for clients.
    pub front: SocketAddr,
    /// Address of the CDNI listener for peer CDNs; equals `front` if that listener is disabled.
    pub cdni: SocketAddr,
    /// Address of the admin listener; equals `front` if that listener is disabled.
    pub admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Returns whether the process has exited. Its addresses may then belong to another program.
    pub fn has_ended(&self) -> bool {
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        !matches!(
            waitid(WaitId::Pid(Pid::from_child(&self.child)), options),
            Ok(None)
        )
    }

    /// Returns whether the process is stopped, as by SIGSTOP.
    pub fn is_stopped(&self) -> bool {
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        matches!(
            waitid(WaitId::Pid(Pid::from_child(&self.child)), options),
            Ok(Some(_))
        )
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Writes the configuration and the operators' file to a folder, starts a daemon with them and waits until it
    /// listens.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        config: &Value,
        own: &Value,
    ) -> io::Result<Self> {
        Self::start_with_fail_points(program, folder, name, (config, own), "")
    }

    /// Like `start`, with fail points enabled. They have no effect on a daemon built without the feature `points`.
    pub fn start_with_fail_points(
        program: &Path,
        folder: &Path,
        name: &str,
        (config, own): (&Value, &Value),
        points: &str,
    ) -> io::Result<Self> {
        let mut child = spawn(program, folder, name, config, own, points)?;
        let log = child.stderr.take();
        // Wrapped before the wait, so that the child is killed on every error.
        let unset = ([127, 0, 0, 1], 0).into();
        let mut process = Process {
            child,
            front: unset,
            cdni: unset,
            admin: unset,
        };
        let last_lines = Arc::default();
        let addresses = read_log(log, Arc::clone(&last_lines));
        let has_cdni = own["cdni"]["listen"].is_string();
        let has_admin = config["ops"].is_string();
        match process.receive_addresses(&addresses, has_cdni, has_admin) {
            Ok(()) => Ok(process),
            Err(error) => Err(process.start_error(name, error, &last_lines)),
        }
    }

    /// Receives the addresses of the listeners in the order in which a daemon logs them.
    fn receive_addresses(
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

    /// Describes why a daemon did not log its addresses: its exit status, if it exited, and the last lines of its log.
    fn start_error(&mut self, name: &str, error: RecvTimeoutError, last: &LastLines) -> io::Error {
        let cause = match error {
            // The log was closed: the process has exited or is about to.
            RecvTimeoutError::Disconnected => match self.child.wait() {
                Ok(status) => format!("it exited ({status})"),
                Err(e) => format!("waiting for its exit failed: {e}"),
            },
            RecvTimeoutError::Timeout => {
                format!("it logged no address within {} s", TIMEOUT.as_secs())
            }
        };
        let lines = last.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = lines
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join("\n  ");
        io::Error::other(format!(
            "the daemon '{name}' did not start: {cause}; last lines of its log:\n  {lines}"
        ))
    }
}

/// The most recent lines of a daemon's log.
type LastLines = Mutex<VecDeque<String>>;

/// Writes the configuration files of a daemon and starts it in its own process group.
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
        // The state of operators' decisions is stored there and must not be shared with other daemons.
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        // Ctrl-C at a terminal must reach only the parent, which then ends its daemons.
        .process_group(0)
        .stderr(Stdio::piped())
        .spawn()
}

/// Reads a daemon's log on a separate thread, so that the daemon never blocks on its stderr. Sends the listener
/// addresses found in it to the returned channel and stores the most recent lines.
fn read_log(log: Option<ChildStderr>, last_lines: Arc<LastLines>) -> Receiver<SocketAddr> {
    let (sender, addresses) = mpsc::channel();
    thread::spawn(move || {
        let lines = log.into_iter().flat_map(|log| BufReader::new(log).lines());
        for line in lines.map_while(Result::ok) {
            let address = |prefix: &&str| line.split_once(prefix)?.1.trim().parse().ok();
            let found: Vec<SocketAddr> = ADDRESS_PREFIXES.iter().filter_map(address).collect();
            let mut last = last_lines.lock().unwrap_or_else(PoisonError::into_inner);
            if last.len() == MAX_LAST_LINES {
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

/// The texts before the addresses in a daemon's log, in the order in which they are logged.
const ADDRESS_PREFIXES: [&str; 3] = [
    " listens on ",
    "neighbours connect to ",
    "the admin listener is at ",
];
/// Number of log lines quoted in the error of a daemon that did not start.
const MAX_LAST_LINES: usize = 12;
