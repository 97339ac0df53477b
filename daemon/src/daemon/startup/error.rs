//! Why the daemon can't start.

use crate::net::Failure;
use linnetknot::SettingsError;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;

/// Why the daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address of the configuration can't be bound.
    #[error("{key}: {address}: {source}")]
    Bind {
        /// The key of the configuration.
        key: &'static str,
        /// The address that stands there.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The environment names an inherited listener by what is no number.
    #[error("ROUTER_SOCKET_FD: '{text}' is no descriptor")]
    InheritedNumber {
        /// What stands there.
        text: String,
        /// Why it is no number.
        source: ParseIntError,
    },
    /// The inherited listener can't be taken over.
    #[error("ROUTER_SOCKET_FD: descriptor {descriptor}: {source}")]
    Inherited {
        /// The descriptor that the environment names.
        descriptor: u32,
        /// Why it can't be taken over.
        source: io::Error,
    },
    /// The inherited descriptor is something else.
    #[error("ROUTER_SOCKET_FD: descriptor {0} is no listening TCP socket")]
    NoListener(u32),
    /// A signal, a socket or the epoll set can't be had from the kernel.
    #[error("{what}: {source}")]
    Kernel {
        /// What was to be set up.
        what: &'static str,
        /// Why it can't be had.
        source: io::Error,
    },
    /// Something can't be added to the epoll set.
    #[error("{what} can't be watched: {failure}")]
    Watch {
        /// What was to be watched.
        what: &'static str,
        /// Why it can't be.
        failure: Failure,
    },
    /// The store of purges stays unreadable until somebody mends it.
    #[error(transparent)]
    Store(Box<dyn Error + Send + Sync>),
    /// Copies are asked for without anybody to copy to.
    #[error("peers.copies: the configuration names no 'peers' to copy to")]
    NoPeers,
    /// The settings of the decision module are faulty.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The connection to Consul, or the folder of its cached list, can't be set up.
    #[error(transparent)]
    Consul(Box<dyn Error + Send + Sync>),
    /// The shared budgets can't be set up.
    #[error(transparent)]
    Budgets(Box<dyn Error + Send + Sync>),
}

/// The error of a call to the kernel that sets up `what`.
pub(super) fn kernel(what: &'static str) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError::Kernel { what, source }
}

/// The error of adding `what` to the epoll set.
pub(super) fn watching(what: &'static str) -> impl FnOnce(Failure) -> StartError {
    move |failure| StartError::Watch { what, failure }
}
