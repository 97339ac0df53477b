//! Reads a TCP socket with the times at which the kernel received the bytes.
//!
//! On a busy machine a fake reads what it received late, and reads its connections in any order. The kernel's times do
//! not depend on the fake: on loopback, bytes are received as they are written. Of bytes that are read together, the
//! kernel tells the time of the last one; the others were received since the read before.

use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The period in which something was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The earliest possible time.
    pub earliest: Instant,
    /// The latest possible time.
    pub latest: Instant,
}

/// Bytes that were read, and when they were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// The number of bytes; 0 at the end of the stream.
    pub bytes: usize,
    /// When the last bytes of the read before were received, or when the connection was accepted.
    pub since: Instant,
    /// When the kernel received the last of these bytes. Without a time from the kernel, as at the end of the stream, it
    /// is the time of the read.
    pub at: Instant,
}

impl Received {
    /// Returns when a message was received that ends in these bytes. `is_last` tells whether it ends with them.
    pub fn arrival(&self, is_last: bool) -> Arrival {
        Arrival {
            earliest: if is_last { self.at } else { self.since },
            latest: self.at,
        }
    }
}

/// A socket that reports when its bytes were received.
pub struct ArrivalReader<'a> {
    socket: &'a TcpStream,
    last_at: Instant,
}

impl<'a> ArrivalReader<'a> {
    /// Creates a reader of a socket.
    pub fn new(socket: &'a TcpStream) -> io::Result<Self> {
        setsockopt(socket, sockopt::ReceiveTimestampns, &true)?;
        Ok(ArrivalReader {
            socket,
            last_at: Instant::now(),
        })
    }

    /// Waits for bytes and reads them.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<Received> {
        let mut parts = [IoSliceMut::new(buffer)];
        let mut control = nix::cmsg_space!(TimeSpec);
        let message = recvmsg::<()>(
            self.socket.as_raw_fd(),
            &mut parts,
            Some(&mut control),
            MsgFlags::empty(),
        )?;
        let received_at = message.cmsgs()?.find_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at)),
            _ => None,
        });
        let at = received_at
            .and_then(instant_of)
            .unwrap_or_else(Instant::now);
        Ok(Received {
            bytes: message.bytes,
            since: std::mem::replace(&mut self.last_at, at),
            at,
        })
    }
}

/// The longest time between the readings of two clocks that count as one.
const SAME_READING: Duration = Duration::from_micros(50);
/// How often both clocks are read if the thread is interrupted between the readings.
const MAX_READINGS: usize = 20;

/// Converts a recent Unix time.
fn instant_of(unix_time: Duration) -> Option<Instant> {
    let read_clocks = || {
        let now = Instant::now();
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH);
        (now, unix_now.unwrap_or_default(), now.elapsed())
    };
    let is_same_reading = |(_, _, took): &(Instant, Duration, Duration)| *took < SAME_READING;
    let (now, unix_now, _) = std::iter::repeat_with(read_clocks)
        .take(MAX_READINGS)
        .find(is_same_reading)?;
    now.checked_sub(unix_now.saturating_sub(unix_time))
}
