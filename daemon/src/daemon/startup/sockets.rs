//! Binds the sockets of the daemon and registers them with epoll at startup.

use super::super::event_loop::{
    ADMIN_LISTENER_TOKEN, CDNI_LISTENER_TOKEN, CLIENT_LISTENER_TOKEN, PEERS_TOKEN, SIGHUP_TOKEN,
    SIGTERM_TOKEN,
};
use super::super::signals::Signal;
use super::error::{registration_error, system_error};
use super::StartError;
use crate::config::Config;
use crate::front::cdni::TriggerApi;
use crate::net::{bind_shared_udp, Listener, Poll};
use std::env::VarError;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The environment variable with the descriptor of an inherited listener.
const INHERITED_LISTENER: &str = "ROUTER_SOCKET_FD";

/// Binds a listener to the address of the configuration key `key`.
fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Bind {
        key,
        address,
        source,
    })
}

/// Returns the client listener, and whether it was inherited through `$ROUTER_SOCKET_FD`.
fn open_client_listener(config: &Config) -> Result<(TcpListener, bool), StartError> {
    let text = match std::env::var(INHERITED_LISTENER) {
        Ok(text) => text,
        Err(VarError::NotPresent | VarError::NotUnicode(_)) => {
            return Ok((bind("listen", config.listen)?, false));
        }
    };
    let descriptor = text
        .parse()
        .map_err(|source| StartError::InvalidDescriptor { text, source })?;
    Ok((inherited_listener(descriptor)?, true))
}

/// Takes over a listener that the parent process has opened.
fn inherited_listener(descriptor: u32) -> Result<TcpListener, StartError> {
    // listenfd expects the variables of systemd's socket activation. Setting environment variables is safe, because no
    // other thread runs yet.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    std::env::remove_var("LISTEN_PID");
    listenfd::ListenFd::from_env()
        .take_tcp_listener(0)
        .map_err(|source| StartError::InheritListener { descriptor, source })?
        .ok_or(StartError::NotAListener(descriptor))
}

/// The listeners and signals of the daemon, registered with the epoll set `poll`.
pub(super) struct Sockets {
    pub(super) poll: Poll,
    pub(super) client_listener: Listener,
    pub(super) listener_inherited: bool,
    pub(super) sigterm: Signal,
    pub(super) sighup: Signal,
    pub(super) admin_listener: Option<Listener>,
}

impl Sockets {
    pub(super) fn open(config: &Config) -> Result<Self, StartError> {
        let (client_listener, listener_inherited) = open_client_listener(config)?;
        let sigterm =
            Signal::register(signal_hook::consts::SIGTERM).map_err(system_error("SIGTERM"))?;
        let sighup =
            Signal::register(signal_hook::consts::SIGHUP).map_err(system_error("SIGHUP"))?;
        // One wait returns all ready events, so that they can be handled by priority.
        let poll = Poll::new(config.limits.max_descriptors).map_err(system_error("epoll"))?;
        let client_listener = Listener::watch(client_listener, CLIENT_LISTENER_TOKEN, &poll)
            .map_err(system_error("listen"))?;
        poll.add_at_start(&sigterm.reader, SIGTERM_TOKEN)
            .map_err(registration_error("SIGTERM"))?;
        poll.add_at_start(&sighup.reader, SIGHUP_TOKEN)
            .map_err(registration_error("SIGHUP"))?;
        let admin_listener = match config.admin {
            Some(address) => {
                let listener = bind("ops", address)?;
                Some(
                    Listener::watch(listener, ADMIN_LISTENER_TOKEN, &poll)
                        .map_err(system_error("ops"))?,
                )
            }
            None => None,
        };
        Ok(Sockets {
            poll,
            client_listener,
            listener_inherited,
            sigterm,
            sighup,
            admin_listener,
        })
    }
}

/// Binds the listener for requests of peer CDNs (CDNI), if configured.
pub(super) fn open_cdni(
    config: &Config,
    poll: &Poll,
) -> Result<Option<(Listener, TriggerApi)>, StartError> {
    let Some(cdni) = &config.cdni else {
        return Ok(None);
    };
    let listener = bind("cdni.listen", cdni.listen)?;
    let listener = Listener::watch(listener, CDNI_LISTENER_TOKEN, poll)
        .map_err(system_error("cdni.listen"))?;
    let identity = cdni.identity.clone();
    let trigger_api = TriggerApi::new(identity, config.seed, config.limits.max_triggers);
    Ok(Some((listener, trigger_api)))
}

/// Binds the socket for datagrams of peers, if purges by peer CDNs or the health of the origin are shared.
pub(super) fn open_peers(
    config: &Config,
    poll: &Poll,
) -> Result<Option<(UdpSocket, Vec<SocketAddr>)>, StartError> {
    let sends_datagrams = config.cdni.is_some() || config.share_origin_health;
    let Some(peers) = config.peers.as_ref().filter(|_| sends_datagrams) else {
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
        .map_err(system_error("peer_listen"))?;
    poll.add_at_start(&socket, PEERS_TOKEN)
        .map_err(registration_error("peer_listen"))?;
    Ok(Some((socket, peers.all.clone())))
}
