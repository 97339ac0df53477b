//! Waits for the readiness of sockets with epoll.

use super::errno::Failure;
use super::syscall;
use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use std::io;

/// An event that reports the readiness of a socket.
#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    /// The token with which the socket was registered.
    pub token: u64,
    /// The socket has input, the peer has ended its stream, or the socket is broken.
    pub read: bool,
    /// The socket accepts output, has just been connected, or is broken.
    pub write: bool,
    /// The socket is broken, or both directions of the connection have ended.
    pub broken: bool,
    /// The peer has ended its stream or the connection. Bytes that were sent before may still be read.
    pub hung_up: bool,
}

impl ReadyEvent {
    /// Returns the event for a socket that could not be registered. It reports the socket as ready, so that reading and
    /// writing are attempted.
    pub fn unwatched(token: u64) -> Self {
        ReadyEvent {
            token,
            read: true,
            write: true,
            broken: false,
            hung_up: false,
        }
    }
}

/// The events that a socket is watched for. A broken socket is always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes can be read.
    pub read: bool,
    /// Bytes can be written.
    pub write: bool,
    /// The peer has ended its stream. This is reported even while bytes before the end are unread.
    pub hang_up: bool,
}

impl Interest {
    /// The interest of a listener, a pipe or a datagram socket.
    pub const READ: Interest = Interest {
        read: true,
        write: false,
        hang_up: false,
    };
    /// No events; only a broken socket is reported.
    pub const NONE: Interest = Interest {
        read: false,
        write: false,
        hang_up: false,
    };
}

/// A level-triggered epoll set, which reports a socket again until its condition is handled.
pub struct Poll {
    fd: OwnedFd,
    events: Vec<epoll::Event>,
}

fn flags(interest: Interest) -> epoll::EventFlags {
    let mut flags = epoll::EventFlags::empty();
    flags.set(epoll::EventFlags::IN, interest.read);
    flags.set(epoll::EventFlags::RDHUP, interest.hang_up);
    flags.set(epoll::EventFlags::OUT, interest.write);
    flags
}

impl Poll {
    /// Creates a set that returns up to this number of events at a time.
    pub fn new(events: usize) -> io::Result<Self> {
        Ok(Poll {
            fd: syscall::retry_at_startup(syscall::epoll_create)?,
            events: Vec::with_capacity(events),
        })
    }

    /// Watches a socket until it is closed.
    ///
    /// # Errors
    /// Fails if the kernel lacks memory or watches, which may be temporary (`FailureKind::RetryLater`).
    pub fn add(&self, socket: impl AsFd, token: u64, interest: Interest) -> Result<(), Failure> {
        syscall::epoll_add(&self.fd, socket, token, flags(interest))
    }

    /// Watches a socket for reading, at startup. Retries while the kernel lacks memory or watches.
    ///
    /// # Errors
    /// Fails if the kernel still lacks memory or watches after the retries, or on another failure.
    pub fn add_at_start(&self, socket: impl AsFd, token: u64) -> Result<(), Failure> {
        let flags = flags(Interest::READ);
        syscall::retry_at_startup(|| syscall::epoll_add(&self.fd, &socket, token, flags))
    }

    /// Changes the interest of a socket.
    ///
    /// # Errors
    /// Fails for the same reasons as `add`.
    pub fn change(&self, socket: impl AsFd, token: u64, interest: Interest) -> Result<(), Failure> {
        syscall::epoll_modify(&self.fd, socket, token, flags(interest))
    }

    /// Stops watching a socket. Closing alone is not enough if another process has the same socket open.
    ///
    /// # Errors
    /// Fails if the socket was not watched.
    pub fn remove(&self, socket: impl AsFd) -> Result<(), Failure> {
        syscall::epoll_delete(&self.fd, socket)
    }

    /// Waits for events, for up to `max_us` microseconds.
    ///
    /// # Errors
    /// Fails if `epoll_wait` fails for another reason than an interruption by a signal.
    pub fn wait(&mut self, max_us: u64, out: &mut Vec<ReadyEvent>) -> Result<(), Failure> {
        self.events.clear();
        let max = Timespec {
            tv_sec: (max_us / 1_000_000) as i64,
            tv_nsec: (max_us % 1_000_000 * 1_000) as i64,
        };
        syscall::epoll_wait(&self.fd, max, &mut self.events)?;
        let broken = epoll::EventFlags::ERR | epoll::EventFlags::HUP;
        out.extend(self.events.iter().map(|e| {
            let flags = e.flags;
            let has = |bits| flags.intersects(bits);
            ReadyEvent {
                token: e.data.u64(),
                read: has(epoll::EventFlags::IN | epoll::EventFlags::RDHUP | broken),
                write: has(epoll::EventFlags::OUT | broken),
                broken: has(broken),
                hung_up: has(epoll::EventFlags::RDHUP | broken),
            }
        }));
        Ok(())
    }
}
