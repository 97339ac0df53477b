//! epoll.

use super::errno::Failure;
use super::syscall;
use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use std::io;

/// What epoll tells of one socket.
#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    /// The number given with it.
    pub token: u64,
    /// It can be read, has ended or is broken.
    pub read: bool,
    /// It can be written, is connected or is broken.
    pub write: bool,
    /// It is broken, or both sides have ended it.
    pub broken: bool,
    /// The other side has ended its half, or all of it: whatever is still to be read, nothing more will be sent.
    pub hung_up: bool,
}

impl ReadyEvent {
    /// What may be so of a socket that the kernel does not watch: it is found out by reading and writing.
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

/// What a socket is watched for. That it breaks is told in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes that can be read.
    pub read: bool,
    /// Room to write.
    pub write: bool,
    /// The other side's end, which is told ahead of the bytes that were sent before it.
    pub hang_up: bool,
}

impl Interest {
    /// What a listener, a pipe or a datagram socket is watched for.
    pub const READ: Interest = Interest {
        read: true,
        write: false,
        hang_up: false,
    };
    /// Nothing for now.
    pub const NONE: Interest = Interest {
        read: false,
        write: false,
        hang_up: false,
    };
}

/// An epoll set, level-triggered.
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
    /// A set that gives so many events at a time.
    pub fn new(events: usize) -> io::Result<Self> {
        Ok(Poll {
            fd: syscall::retry_at_startup(syscall::epoll_create)?,
            events: Vec::with_capacity(events),
        })
    }

    /// Watches a socket until it is closed.
    ///
    /// # Errors
    /// Memory or watches may be short for a moment (`FailureKind::RetryLater`).
    pub fn add(&self, socket: impl AsFd, token: u64, interest: Interest) -> Result<(), Failure> {
        syscall::epoll_add(&self.fd, socket, token, flags(interest))
    }

    /// Watches, from the start on, what can be read. Memory or watches that are short for a moment are waited for.
    ///
    /// # Errors
    /// The failure that stays.
    pub fn add_at_start(&self, socket: impl AsFd, token: u64) -> Result<(), Failure> {
        let flags = flags(Interest::READ);
        syscall::retry_at_startup(|| syscall::epoll_add(&self.fd, &socket, token, flags))
    }

    /// Changes what is watched for.
    ///
    /// # Errors
    /// As `add`.
    pub fn change(&self, socket: impl AsFd, token: u64, interest: Interest) -> Result<(), Failure> {
        syscall::epoll_modify(&self.fd, socket, token, flags(interest))
    }

    /// Watches a socket no more. Closing is not enough for one that another process holds too.
    ///
    /// # Errors
    /// It was not watched.
    pub fn remove(&self, socket: impl AsFd) -> Result<(), Failure> {
        syscall::epoll_delete(&self.fd, socket)
    }

    /// Waits for events, or for so many microseconds.
    ///
    /// # Errors
    /// The set itself is unusable.
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
