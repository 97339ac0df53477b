//! Signals of the daemon, and a handle that triggers them from another thread.

use rustix::fd::OwnedFd;
use rustix::pipe::{pipe_with, PipeFlags};
use std::io;

/// A handle that controls a running daemon from another thread.
pub struct Control {
    pub(super) sigterm: OwnedFd,
    pub(super) sighup: OwnedFd,
}

impl Control {
    /// Starts the graceful shutdown, as SIGTERM does.
    ///
    /// # Errors
    /// The signal pipe can't be written.
    pub fn stop(&mut self) -> io::Result<()> {
        rustix::io::write(&self.sigterm, b"t")
            .map(drop)
            .map_err(io::Error::from)
    }

    /// Reloads the configuration, as SIGHUP does.
    ///
    /// # Errors
    /// The signal pipe can't be written.
    pub fn reload(&mut self) -> io::Result<()> {
        rustix::io::write(&self.sighup, b"h")
            .map(drop)
            .map_err(io::Error::from)
    }
}

/// A self-pipe: a signal handler or another thread writes to it, and the event loop watches it. A pair of Unix sockets
/// is not used, because some environments allow only TCP and UDP sockets.
pub(super) struct Signal {
    /// The read end of the pipe, which the event loop watches.
    pub(super) reader: OwnedFd,
    pub(super) writer: OwnedFd,
}

impl Signal {
    pub(super) fn new() -> io::Result<Self> {
        let (reader, writer) = pipe_with(PipeFlags::NONBLOCK | PipeFlags::CLOEXEC)?;
        Ok(Signal { reader, writer })
    }

    pub(super) fn register(signal: i32) -> io::Result<Self> {
        let new = Self::new()?;
        signal_hook::low_level::pipe::register(signal, new.writer.try_clone()?)?;
        Ok(new)
    }

    /// Returns a function that raises the signal from another thread.
    pub(super) fn waker(&self) -> io::Result<impl Fn() + Send + 'static> {
        let writer = self.writer.try_clone()?;
        Ok(move || {
            // If the pipe is full, the signal is already raised.
            let _ = rustix::io::write(&writer, b"w");
        })
    }

    /// Clears the signal. A signal that was raised several times since is reported only once.
    pub(super) fn drain(&mut self) {
        let mut bytes = [0; 16];
        while rustix::io::read(&self.reader, &mut bytes).is_ok_and(|n| n > 0) {}
    }
}
