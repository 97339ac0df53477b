//! The signals that the daemon follows, and the same from another thread.

use rustix::fd::OwnedFd;
use rustix::pipe::{pipe_with, PipeFlags};
use std::io;

/// Does to a daemon what the signals do.
pub struct Control {
    pub(super) sigterm: OwnedFd,
    pub(super) sighup: OwnedFd,
}

impl Control {
    /// Ends it as SIGTERM does, once all that it has taken is answered.
    pub fn stop(&mut self) -> io::Result<()> {
        rustix::io::write(&self.sigterm, b"t")
            .map(drop)
            .map_err(io::Error::from)
    }

    /// Has it read its configuration again, as SIGHUP does.
    pub fn reload(&mut self) -> io::Result<()> {
        rustix::io::write(&self.sighup, b"h")
            .map(drop)
            .map_err(io::Error::from)
    }
}

/// A self-pipe: a signal handler or another thread writes to it, and the event loop watches its reading end.
/// A pipe and not a pair of Unix sockets: some platforms that run the daemon allow sockets of TCP and UDP alone.
pub(super) struct Signal {
    /// The end that the event loop reads.
    pub(super) reader: OwnedFd,
    /// The end that is written to.
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

    /// What raises it from another thread.
    pub(super) fn waker(&self) -> io::Result<impl Fn() + Send + 'static> {
        let writer = self.writer.try_clone()?;
        Ok(move || {
            // A full pipe is raised already.
            let _ = rustix::io::write(&writer, b"w");
        })
    }

    /// Takes in what was raised: signals that come close together count as one.
    pub(super) fn drain(&mut self) {
        let mut bytes = [0; 16];
        while rustix::io::read(&self.reader, &mut bytes).is_ok_and(|n| n > 0) {}
    }
}
