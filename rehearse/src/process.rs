//! A daemon as a process of its own, ended with its value.

use crate::clients::PATIENCE;
use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};
use serde_json::Value;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// A running daemon.
pub struct Process {
    /// Its process.
    pub child: Child,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where neighbours connect; that of `front` where the second front is off.
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
        Self::start_armed(program, folder, name, (config, own), "")
    }

    /// As `start`, with points armed at which it stops dead or stands still (the daemon's `points`); a daemon without
    /// points passes them over.
    pub fn start_armed(
        program: &Path,
        folder: &Path,
        name: &str,
        (config, own): (&Value, &Value),
        points: &str,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (config_file, own_file) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}-own.json")),
        );
        std::fs::write(&config_file, config.to_string())?;
        std::fs::write(&own_file, own.to_string())?;
        let mut child = Command::new(program)
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
            .spawn()?;
        let log = child.stderr.take();
        // From here on it is ended with this, whatever comes.
        let nowhere = ([127, 0, 0, 1], 0).into();
        let mut process = Process {
            child,
            front: nowhere,
            cdni: nowhere,
            admin: nowhere,
        };
        let (tell, told) = mpsc::channel();
        let last = Arc::new(Mutex::new(VecDeque::new()));
        let kept = last.clone();
        thread::spawn(move || {
            // Read to the end, so that the daemon is never held up by its log.
            for line in log
                .into_iter()
                .flat_map(|l| BufReader::new(l).lines())
                .map_while(Result::ok)
            {
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                if kept.len() == LAST_LINES {
                    kept.pop_front();
                }
                kept.push_back(line.clone());
                drop(kept);
                let address =
                    |mark: &&str| line.split_once(mark)?.1.trim().parse::<SocketAddr>().ok();
                for found in SAID.iter().filter_map(address) {
                    let _ = tell.send(found);
                }
            }
        });
        // It says first where clients connect, and then where neighbours and operators do, if they can.
        let (second, admin) = (own["cdni"]["listen"].is_string(), config["ops"].is_string());
        let heard = told.recv_timeout(PATIENCE).and_then(|front| {
            process.front = front;
            process.cdni = if second {
                told.recv_timeout(PATIENCE)?
            } else {
                front
            };
            process.admin = if admin {
                told.recv_timeout(PATIENCE)?
            } else {
                front
            };
            Ok(())
        });
        match heard {
            Ok(()) => Ok(process),
            Err(waited) => Err(process.why_not(name, waited, &last)),
        }
    }

    /// Why a daemon did not say where it listens: how it ended, if it did, and the last it said.
    fn why_not(
        &mut self,
        name: &str,
        waited: RecvTimeoutError,
        last: &Mutex<VecDeque<String>>,
    ) -> io::Error {
        let ended = match waited {
            // Its log ended: the process has ended or is about to.
            RecvTimeoutError::Disconnected => match self.child.wait() {
                Ok(status) => format!("it ended ({status})"),
                Err(e) => format!("its end can't be learnt: {e}"),
            },
            RecvTimeoutError::Timeout => {
                format!("it said nothing of it in {} s", PATIENCE.as_secs())
            }
        };
        let said = last.lock().unwrap_or_else(PoisonError::into_inner);
        let said = said
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join("\n  ");
        io::Error::other(format!(
            "the daemon '{name}' did not start: {ended}; its last words:\n  {said}"
        ))
    }
}

/// What a daemon says before its addresses, in the order in which it says them.
const SAID: [&str; 3] = [
    " listens on ",
    "neighbours connect to ",
    "the admin listener is at ",
];
/// Lines of a daemon's log kept to say why it did not start.
const LAST_LINES: usize = 12;
