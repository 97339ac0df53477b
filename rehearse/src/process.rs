//! A daemon as a process of its own, ended with its value.

use crate::clients::PATIENCE;
use serde_json::Value;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;

/// A running daemon.
pub struct Process {
    /// Its process.
    pub child: Child,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where neighbours connect; that of `front` where the second front is off.
    pub cdni: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a daemon with this configuration and operators' own file, written to a folder under this name, and waits
    /// until it listens.
    pub fn start(program: &Path, folder: &Path, name: &str, config: &Value, own: &Value) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let (config_file, own_file) =
            (folder.join(format!("{name}.json")), folder.join(format!("{name}-own.json")));
        std::fs::write(&config_file, config.to_string())?;
        std::fs::write(&own_file, own.to_string())?;
        let mut child = Command::new(program)
            .env("ROUTER_CONFIG", &config_file)
            .env("LINNETKNOT_INTERCONNECT", &own_file)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child.stderr.take();
        // From here on it is ended with this, whatever comes.
        let nowhere = ([127, 0, 0, 1], 0).into();
        let mut process = Process { child, front: nowhere, cdni: nowhere };
        let (tell, told) = mpsc::channel();
        thread::spawn(move || {
            // Read to the end, so that the daemon is never held up by its log.
            for line in log.into_iter().flat_map(|l| BufReader::new(l).lines()).map_while(Result::ok) {
                let address = |mark: &str| line.split_once(mark)?.1.trim().parse::<SocketAddr>().ok();
                for found in
                    [address(" listens on "), address("neighbours connect to ")].into_iter().flatten()
                {
                    let _ = tell.send(found);
                }
            }
        });
        // It says first where clients connect, and then where neighbours do, if they can.
        let failed = |_| io::Error::other(format!("the daemon '{name}' did not start"));
        process.front = told.recv_timeout(PATIENCE).map_err(failed)?;
        let second = own["cdni"]["listen"].is_string();
        process.cdni = if second { told.recv_timeout(PATIENCE).map_err(failed)? } else { process.front };
        Ok(process)
    }
}
