//! A listener that can pause accepting connections.

use super::errno::{Failure, FailureKind};
use super::{syscall, Interest, Poll};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The maximum number of lost connections that one call of `accept` skips.
const MAX_LOST: usize = 64;

/// The maximum number of attempts to remove a listener from an epoll set.
const MAX_REMOVALS: usize = 8;

/// A listener in an epoll set.
pub struct Listener {
    socket: TcpListener,
    token: u64,
    watched: bool,
}

impl Listener {
    /// Takes over a listener and registers it with epoll. Retries while the kernel lacks memory or watches.
    ///
    /// # Errors
    /// Fails if the kernel still lacks memory or watches after the retries, or on another failure.
    pub fn watch(socket: TcpListener, token: u64, poll: &Poll) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        poll.add_at_start(&socket, token)?;
        Ok(Listener {
            socket,
            token,
            watched: true,
        })
    }

    /// Returns the local address of the listening socket.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Accepts a connection; `None` if none is pending. Connections that were lost before they were accepted are
    /// skipped.
    ///
    /// # Errors
    /// Fails if the process or the machine lacks a resource.
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
        // epoll reports the listener again in the next turn of the event loop, after the other sockets.
        Ok(None)
    }

    /// Pauses accepting. If the listener stayed watched, pending connections would wake the event loop again and again.
    pub fn pause(&mut self, poll: &Poll) {
        if self.watched {
            // If this fails, epoll reports the listener again, and pausing is retried then.
            self.watched = poll
                .change(&self.socket, self.token, Interest::NONE)
                .is_err();
        }
    }

    /// Resumes accepting. Returns false if the listener can't be registered with epoll now, so that the caller must
    /// retry later.
    #[must_use]
    pub fn resume(&mut self, poll: &Poll) -> bool {
        if !self.watched {
            self.watched = poll
                .change(&self.socket, self.token, Interest::READ)
                .is_ok();
        }
        self.watched
    }

    /// Closes the listener after removing it from the epoll set. Closing alone is not enough: if another process has
    /// the same socket open, epoll would continue to report it.
    ///
    /// # Errors
    /// Fails if the listener could not be removed from the set.
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
