//! `linnetknot fleet status`: asks a running proxy, by its admin listener, where its copies and promises stand.

use crate::budgets;
use crate::wire::http::{write_message, Messages, Piece};
use crate::wire::Parser;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Peers that one answer tells of.
pub const MOST_PEERS: usize = 48;
/// Logs that one answer tells of: with those peers it fits the admin listener's ring.
pub const MOST_LOGS: usize = 32;
/// How long the admin listener is waited for.
const PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of an answer that are read.
const MOST_ANSWER: usize = 64 << 10;

/// Where a proxy's copies and promises stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// The machine that it says it stands on.
    pub machine: String,
    /// The life of its log.
    pub life: String,
    /// Further machines that a promise waits for.
    pub wait: usize,
    /// Further machines that are to have each in the end.
    pub holders: usize,
    /// The last place in its log.
    pub end: u64,
    /// Up to where that is on its own disk.
    pub on_disk: u64,
    /// Entries in force, of all logs.
    pub entries: usize,
    /// Purges of the table behind them that have a slot of their own there.
    #[serde(default)]
    pub compacted: usize,
    /// Memory of that table, in bytes.
    #[serde(default)]
    pub table_bytes: usize,
    /// Why its store can't be opened, while it is so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_error: Option<String>,
    /// Peers have compacted what is missing here: a snapshot is on its way.
    #[serde(default)]
    pub catching_up: bool,
    /// A sum over all logs: proxies with the same have the same.
    pub digest: String,
    /// Answers that wait for copies.
    pub waiting: usize,
    /// Promises with fewer copies than wanted: 0 once all is well.
    pub short: usize,
    /// Promises given in this process.
    pub promised: u64,
    /// Promises refused in this process.
    pub refused: u64,
    /// Members that run, by its own belief, itself among them.
    pub up: usize,
    /// Another process of its name has begun after it: it promises nothing any more.
    pub replaced: bool,
    /// Its peers.
    pub peers: Vec<PeerStatus>,
    /// How many there are.
    pub peers_in_all: usize,
    /// The logs that it has.
    pub logs: Vec<LogStatus>,
    /// How many there are.
    pub logs_in_all: usize,
}

/// What a proxy knows of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its address.
    pub address: SocketAddr,
    /// Its machine.
    pub machine: String,
    /// Its name, once it has told it.
    pub name: String,
    /// What is believed of it: `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub standing: String,
    /// Its life among the members.
    pub life: String,
    /// Up to where it is known to have the asked proxy's log on its disk.
    pub held: u64,
    /// Places behind.
    pub behind: u64,
}

/// A log that a proxy has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStatus {
    /// The hash of its writer's name.
    pub writer: String,
    /// Its life.
    pub life: String,
    /// Whether the asked proxy wrote it, in this life or an earlier one.
    pub own: bool,
    /// Up to where it is had.
    pub end: u64,
    /// Up to where it is on the asked proxy's disk.
    pub on_disk: u64,
}

impl Status {
    /// As tables, for people.
    pub fn to_table(&self) -> String {
        let mut out = String::new();
        let rows = [
            (
                "proxy",
                format!("{} on {}, life {}", self.name, self.machine, self.life),
            ),
            (
                "log",
                match &self.store_error {
                    None => format!("{} places, {} on disk", self.end, self.on_disk),
                    Some(why) => format!("the store can't be opened: {why}"),
                },
            ),
            (
                "entries",
                format!(
                    "{} in force of {} logs, digest {}",
                    self.entries, self.logs_in_all, self.digest
                ),
            ),
            (
                "compacted",
                format!(
                    "{} purges in a table of {} bytes{}",
                    self.compacted,
                    self.table_bytes,
                    match self.catching_up {
                        true => "; catching up with a snapshot",
                        false => "",
                    }
                ),
            ),
            (
                "promises",
                format!(
                    "{} given, {} refused, {} waiting for {} further machines",
                    self.promised, self.refused, self.waiting, self.wait
                ),
            ),
            (
                "members",
                format!(
                    "{} up{}",
                    self.up,
                    if self.replaced {
                        "; this process was replaced"
                    } else {
                        ""
                    }
                ),
            ),
            (
                "short",
                format!("{} with fewer copies than {}", self.short, self.holders),
            ),
        ];
        // Writing to a string does not fail.
        for (name, value) in rows {
            let _ = writeln!(out, "{name:<9} {value}");
        }
        let head = ["peer", "name", "machine", "standing", "held", "behind"].map(str::to_owned);
        let rows = self.peers.iter().map(|p| {
            let (held, behind) = (p.held.to_string(), p.behind.to_string());
            [
                p.address.to_string(),
                p.name.clone(),
                p.machine.clone(),
                p.standing.clone(),
                held,
                behind,
            ]
        });
        let _ = writeln!(out);
        for [peer, name, machine, standing, held, behind] in std::iter::once(head).chain(rows) {
            let _ = writeln!(
                out,
                "{peer:<22} {name:<14} {machine:<14} {standing:<9} {held:>9} {behind:>9}"
            );
        }
        let _ = writeln!(
            out,
            "\n{:<18} {:<14} {:>10} {:>10}",
            "held for", "life", "places", "on disk"
        );
        for l in &self.logs {
            let own = if l.own { " (own)" } else { "" };
            let _ = writeln!(
                out,
                "{:<18} {:<14} {:>10} {:>10}{own}",
                l.writer, l.life, l.end, l.on_disk
            );
        }
        let more = (
            self.peers_in_all - self.peers.len(),
            self.logs_in_all - self.logs.len(),
        );
        if more != (0, 0) {
            let _ = writeln!(out, "\nand {} peers and {} logs more", more.0, more.1);
        }
        out
    }
}

/// What an admin listener tells, as JSON in one line.
pub fn to_json(status: &impl Serialize) -> String {
    // Strings and numbers alone: there is nothing in it that could not be written.
    serde_json::to_string(status).unwrap_or_default()
}

/// Asks a proxy by its admin listener of its copies and promises.
///
/// # Errors
/// Where the admin listener can't be reached, says no (it makes no copies), or says what can't be read.
pub fn ask(admin: SocketAddr) -> io::Result<Status> {
    ask_for(
        admin,
        "/control/fleet",
        "this proxy makes no copies ('peers.copies')",
    )
}

/// Asks a proxy by its admin listener of its leases of what all proxies spend.
///
/// # Errors
/// As `ask`; the admin listener says no where nothing is shared.
pub fn ask_budgets(admin: SocketAddr) -> io::Result<budgets::Status> {
    ask_for(
        admin,
        "/control/budgets",
        "this proxy shares nothing with others ('budgets')",
    )
}

fn ask_for<T: DeserializeOwned>(admin: SocketAddr, path: &str, not_found: &str) -> io::Result<T> {
    let mut socket = TcpStream::connect_timeout(&admin, PATIENCE)?;
    socket.set_read_timeout(Some(PATIENCE))?;
    socket.set_write_timeout(Some(PATIENCE))?;
    let mut call = Vec::new();
    let headers = [("Host", "admin listener"), ("Connection", "close")];
    write_message(&mut call, &format!("GET {path} HTTP/1.1"), &headers, b"");
    socket.write_all(&call)?;
    let (mut answer, mut input, mut status) = (Vec::new(), Vec::new(), None);
    let mut messages = Messages::responses(MOST_ANSWER, MOST_ANSWER);
    let bad = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    // Bounded as a whole and not by the read: another server may stand there by now, one that says a little for ever.
    let begun = Instant::now();
    loop {
        let (taken, piece) = messages
            .parse(&input)
            .map_err(|e| bad(format!("the admin listener's answer: {e}")))?;
        input.drain(..taken);
        match piece {
            Some(Piece::Head(head)) => status = head.status(),
            Some(Piece::Body(bytes)) => answer.extend(bytes),
            Some(Piece::End) => break,
            None if begun.elapsed() >= PATIENCE || answer.len() > MOST_ANSWER => {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the admin listener's answer does not end",
                ));
            }
            None => {
                let mut bytes = [0; 4096];
                match socket.read(&mut bytes)? {
                    0 => return Err(bad("the admin listener's answer is cut off".into())),
                    read => input.extend_from_slice(&bytes[..read]),
                }
            }
        }
    }
    match status {
        Some(200) => serde_json::from_slice(&answer)
            .map_err(|e| bad(format!("the admin listener's answer can't be read: {e}"))),
        Some(404) => Err(bad(not_found.into())),
        status => Err(bad(format!("the admin listener answered {status:?}"))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(peers: usize, logs: usize) -> Status {
        let peer = |n: usize| PeerStatus {
            address: ([255, 255, 255, 200 + (n % 50) as u8], 65_535).into(),
            machine: "machine-of-a-long-name".into(),
            name: "a-proxy-of-quite-a-long-name".into(),
            standing: "suspect".into(),
            life: "ffffffffffffff".into(),
            held: u64::MAX / 3,
            behind: u64::MAX / 3,
        };
        let log = |_| LogStatus {
            writer: "ffffffffffffffff".into(),
            life: "ffffffffffffff".into(),
            own: true,
            end: u64::MAX / 3,
            on_disk: u64::MAX / 3,
        };
        Status {
            store_error: None,
            name: "p0".into(),
            machine: "m0".into(),
            life: "5".into(),
            wait: 1,
            holders: 2,
            end: 9,
            on_disk: 8,
            entries: 7,
            compacted: 5,
            table_bytes: 4_194_304,
            catching_up: true,
            digest: "00".into(),
            waiting: 1,
            short: 3,
            promised: 4,
            refused: 2,
            up: 3,
            replaced: false,
            peers: (0..peers).map(peer).collect(),
            peers_in_all: peers + 5,
            logs: (0..logs).map(log).collect(),
            logs_in_all: logs,
        }
    }

    #[test]
    fn a_server_that_says_a_little_for_ever_is_left() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let admin = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (mut socket, _) = listener.accept().unwrap();
            socket
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .unwrap();
            while socket.write_all(b"1\r\n \r\n").is_ok() {
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        assert_eq!(ask(admin).unwrap_err().kind(), io::ErrorKind::TimedOut);
    }

    #[test]
    fn the_longest_answer_fits_the_admins_ring_and_is_read_again() {
        let longest = status(MOST_PEERS, MOST_LOGS);
        let ring = crate::limits::Limits::for_machine(256, 32).admin_output;
        assert!(
            to_json(&longest).len() + 256 < ring,
            "{}",
            to_json(&longest).len()
        );
        assert_eq!(
            serde_json::from_str::<Status>(&to_json(&longest)).unwrap(),
            longest
        );
        let table = status(2, 1).to_table();
        assert!(
            table.contains("3 with fewer copies than 2")
                && table.contains("and 5 peers and 0 logs more"),
            "{table}"
        );
    }
}
