//! Errors that prevent the daemon from starting.

use crate::net::Failure;
use linnetknot::SettingsError;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;

/// An error that prevents the start of the daemon.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address of the configuration can't be bound.
    #[error("{key}: {address}: {source}")]
    Bind {
        /// The configuration key that contains the address.
        key: &'static str,
        /// The configured address that could not be bound.
        address: SocketAddr,
        /// The error of binding the address.
        source: io::Error,
    },
    /// The environment variable for an inherited listener is not a number.
    #[error("ROUTER_SOCKET_FD: '{text}' is not a file descriptor")]
    InvalidDescriptor {
        /// The value of the variable.
        text: String,
        /// The error of parsing the value.
        source: ParseIntError,
    },
    /// The inherited listener can't be taken over.
    #[error("ROUTER_SOCKET_FD: descriptor {descriptor}: {source}")]
    InheritListener {
        /// The descriptor number given in `ROUTER_SOCKET_FD`.
        descriptor: u32,
        /// The error of taking over the descriptor.
        source: io::Error,
    },
    /// The inherited descriptor is not a listening TCP socket.
    #[error("ROUTER_SOCKET_FD: descriptor {0} is not a listening TCP socket")]
    NotAListener(u32),
    /// A system call that sets up a signal, a socket or epoll has failed.
    #[error("{what}: {source}")]
    SystemCall {
        /// The name of the object that was being set up, for the message.
        what: &'static str,
        /// The error of the system call.
        source: io::Error,
    },
    /// A descriptor can't be registered with epoll.
    #[error("{what}: epoll registration failed: {failure}")]
    EpollRegistration {
        /// The name of the object that was being registered, for the message.
        what: &'static str,
        /// The failure of the registration.
        failure: Failure,
    },
    /// The store of purges can't be opened because of a permanent failure.
    #[error(transparent)]
    Store(Box<dyn Error + Send + Sync>),
    /// Replication is configured without peers.
    #[error("peers.copies: replication needs 'peers' in the configuration")]
    NoPeers,
    /// The settings of the decision module are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Consul, or the directory of its cached lists, can't be set up.
    #[error(transparent)]
    Consul(Box<dyn Error + Send + Sync>),
    /// The shared budgets can't be set up.
    #[error(transparent)]
    Budgets(Box<dyn Error + Send + Sync>),
}

/// Returns the error of a system call that sets up `what`.
pub(in crate::daemon) fn system_error(what: &'static str) -> impl FnOnce(io::Error) -> StartError {
    move |source| StartError::SystemCall { what, source }
}

/// Returns the error of registering `what` with epoll.
pub(in crate::daemon) fn registration_error(
    what: &'static str,
) -> impl FnOnce(Failure) -> StartError {
    move |failure| StartError::EpollRegistration { what, failure }
}
