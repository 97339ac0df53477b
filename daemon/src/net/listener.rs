//! A listener that can stop taking connections for a while.

use super::errno::{Failure, FailureKind};
use super::{syscall, Interest, Poll};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Connections that were lost before they were taken, and are passed over in one go.
const MAX_LOST: usize = 64;

/// Attempts to take a listener out of an epoll set.
const MAX_REMOVALS: usize = 8;

/// A listener in an epoll set.
pub struct Listener {
    socket: TcpListener,
    token: u64,
    watched: bool,
}

impl Listener {
    /// Takes over a listener and watches it. Memory or watches that are short for a moment are waited for.
    ///
    /// # Errors
    /// The failure that stays.
    pub fn watch(socket: TcpListener, token: u64, poll: &Poll) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        poll.add_at_start(&socket, token)?;
        Ok(Listener {
            socket,
            token,
            watched: true,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Takes one connection; none where none waits. A connection that was lost before it could be taken concerns
    /// nobody else: the next one is taken.
    ///
    /// # Errors
    /// What this process or machine lacks.
    pub fn accept(&self) -> Result<Option<TcpStream>, Failure> {
        for _ in 0..MAX_LOST {
            match syscall::accept(&self.socket) {
                Ok(socket) => return Ok(Some(socket)),
                Err(failure) => match failure.kind {
                    FailureKind::WouldBlock => return Ok(None),
                    FailureKind::RetryNow | FailureKind::Broken | FailureKind::Refused => {}
                    FailureKind::RetryLater
                    | FailureKind::NoDescriptors
                    | FailureKind::ProgramFault => return Err(failure),
                },
            }
        }
        // epoll tells of it again in the next turn of the loop, when all others have had theirs.
        Ok(None)
    }

    /// Takes no connections for now: left readable, it would keep the loop awake.
    pub fn pause(&mut self, poll: &Poll) {
        if self.watched {
            // Where that fails it is told of again, and paused again.
            self.watched = poll
                .change(&self.socket, self.token, Interest::NONE)
                .is_err();
        }
    }

    /// Takes connections again. False: it can't be watched now, and is to be tried later.
    #[must_use]
    pub fn resume(&mut self, poll: &Poll) -> bool {
        if !self.watched {
            self.watched = poll
                .change(&self.socket, self.token, Interest::READ)
                .is_ok();
        }
        self.watched
    }

    /// Closes it. Another process may hold the same socket, so that closing alone would leave it watched.
    ///
    /// # Errors
    /// It could not be taken out of the set.
    pub fn close(self, poll: &Poll) -> Result<(), Failure> {
        let mut removed = poll.remove(&self.socket);
        for _ in 0..MAX_REMOVALS {
            if removed.is_ok() {
                break;
            }
            removed = poll.remove(&self.socket);
        }
        removed
    }
}
