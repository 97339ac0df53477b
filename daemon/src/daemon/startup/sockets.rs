//! The sockets that the daemon is reached by, bound and watched at the start.

use super::super::event_loop::{ADMIN, CDNI, LISTENER, PEERS, RELOAD, SIGNAL};
use super::super::signals::Signal;
use super::error::{kernel, watching};
use super::StartError;
use crate::config::Config;
use crate::front::cdni::TriggerApi;
use crate::net::{bind_shared_udp, Listener, Poll};
use std::env::VarError;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Names the descriptor of an inherited listener.
const INHERITED_LISTENER: &str = "ROUTER_SOCKET_FD";

/// Binds a listener to the address that `key` of the configuration names.
fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Bind {
        key,
        address,
        source,
    })
}

/// The clients' listener, and whether it was inherited from the platform by `$ROUTER_SOCKET_FD`.
fn client_listener(config: &Config) -> Result<(TcpListener, bool), StartError> {
    let text = match std::env::var(INHERITED_LISTENER) {
        Ok(text) => text,
        Err(VarError::NotPresent | VarError::NotUnicode(_)) => {
            return Ok((bind("listen", config.listen)?, false));
        }
    };
    let descriptor = text
        .parse()
        .map_err(|source| StartError::InheritedNumber { text, source })?;
    Ok((inherited_listener(descriptor)?, true))
}

/// Takes over a listener that the platform has opened.
fn inherited_listener(descriptor: u32) -> Result<TcpListener, StartError> {
    // listenfd takes descriptors as systemd hands them over; this is told before any thread is started.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::remove_var("LISTEN_PID");
    listenfd::ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|source| StartError::Inherited { descriptor, source })?
        .ok_or(StartError::NoListener(descriptor))
}

/// What clients, signals and operators reach the daemon by.
pub(super) struct Sockets {
    pub(super) poll: Poll,
    pub(super) clients: Listener,
    pub(super) inherited: bool,
    pub(super) term: Signal,
    pub(super) hup: Signal,
    pub(super) admin: Option<Listener>,
}

impl Sockets {
    pub(super) fn open(config: &Config) -> Result<Self, StartError> {
        let (clients, inherited) = client_listener(config)?;
        let term = Signal::register(signal_hook::consts::SIGTERM).map_err(kernel("SIGTERM"))?;
        let hup = Signal::register(signal_hook::consts::SIGHUP).map_err(kernel("SIGHUP"))?;
        // As many as there can be: what is known at all is known before anything is done about a part of it.
        let poll = Poll::new(config.limits.max_descriptors).map_err(kernel("epoll"))?;
        let clients = Listener::watch(clients, LISTENER, &poll).map_err(kernel("listen"))?;
        poll.add_at_start(&term.heard, SIGNAL)
            .map_err(watching("SIGTERM"))?;
        poll.add_at_start(&hup.heard, RELOAD)
            .map_err(watching("SIGHUP"))?;
        let admin = match config.admin {
            Some(address) => {
                let listener = bind("ops", address)?;
                Some(Listener::watch(listener, ADMIN, &poll).map_err(kernel("ops"))?)
            }
            None => None,
        };
        Ok(Sockets {
            poll,
            clients,
            inherited,
            term,
            hup,
            admin,
        })
    }
}

/// Binds the listener of the front for CDNI, where there is one.
pub(super) fn open_cdni(
    config: &Config,
    poll: &Poll,
) -> Result<Option<(Listener, TriggerApi)>, StartError> {
    let Some(cdni) = &config.cdni else {
        return Ok(None);
    };
    let listener = bind("cdni.listen", cdni.listen)?;
    let listener = Listener::watch(listener, CDNI, poll).map_err(kernel("cdni.listen"))?;
    let identity = cdni.identity.clone();
    let trigger_api = TriggerApi::new(identity, config.seed, config.limits.max_triggers);
    Ok(Some((listener, trigger_api)))
}

/// Binds the socket for the peers, where they are told anything: what the front for CDNI is told, and of an origin that
/// is late.
pub(super) fn open_peers(
    config: &Config,
    poll: &Poll,
) -> Result<Option<(UdpSocket, Vec<SocketAddr>)>, StartError> {
    let talks = config.cdni.is_some() || config.share_origin_health;
    let Some(peers) = config.peers.as_ref().filter(|_| talks) else {
        return Ok(None);
    };
    let address = peers.own;
    let socket = bind_shared_udp(address).map_err(|source| StartError::Bind {
        key: "peer_listen",
        address,
        source,
    })?;
    socket
        .set_nonblocking(true)
        .map_err(kernel("peer_listen"))?;
    poll.add_at_start(&socket, PEERS)
        .map_err(watching("peer_listen"))?;
    Ok(Some((socket, peers.all.clone())))
}
