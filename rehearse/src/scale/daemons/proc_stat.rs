//! Reads a process's processor time and memory and the drops of its UDP sockets from `/proc`.

use rustix::param::clock_ticks_per_second;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Positions of user and system time in `/proc/PID/stat`, counted after the process name, which may contain spaces.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Columns of `/proc/net/udp` with the local address and the datagrams dropped because the receive buffer was full.
const LOCAL_ADDRESS: usize = 1;
const DROPS: usize = 12;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStat {
    /// Processor time of all threads, in user and kernel mode.
    pub processor_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory in bytes.
    pub peak_resident_bytes: u64,
}

fn unreadable(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("cannot parse {what}"))
}

/// Reads the processor time and memory of a process.
///
/// # Errors
/// Returns an error if the process has exited or a file cannot be parsed.
pub fn read(process: u32) -> io::Result<ProcessStat> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let ticks = processor_ticks(&stat).ok_or_else(|| unreadable("/proc/PID/stat"))?;
    let resident = |key| memory_bytes(&status, key).ok_or_else(|| unreadable("/proc/PID/status"));
    Ok(ProcessStat {
        processor_time: Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64),
        resident_bytes: resident("VmRSS:")?,
        peak_resident_bytes: resident("VmHWM:")?,
    })
}

/// Returns the clock ticks of processor time from the text of `/proc/PID/stat`.
fn processor_ticks(stat: &str) -> Option<u64> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    Some(ticks(USER_TIME)? + ticks(SYSTEM_TIME)?)
}

/// Returns a value in bytes from the text of `/proc/PID/status`, which has kilobytes.
fn memory_bytes(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Returns the datagrams that were dropped because the receive buffer of the UDP socket at `address` was full.
///
/// # Errors
/// Returns an error if the table cannot be read or has no such socket.
pub fn dropped_datagrams(address: SocketAddr) -> io::Result<u64> {
    let table = std::fs::read_to_string("/proc/net/udp")?;
    let wanted = table_address(address).ok_or_else(|| unreadable("an address other than IPv4"))?;
    let row = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = row
        .into_iter()
        .find(|row| row.get(LOCAL_ADDRESS) == Some(&wanted.as_str()));
    let drops = row.and_then(|row| row.get(DROPS)?.parse().ok());
    drops.ok_or_else(|| unreadable("the row of the socket in /proc/net/udp"))
}

/// Formats an address as in `/proc/net/udp`.
fn table_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    Some(format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(ip.octets()),
        address.port()
    ))
}

#[cfg(test)]
mod tests;
