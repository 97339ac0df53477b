//! A stand-in Consul: the health and catalogue answers of one service, with blocking queries.

use crate::listen;
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

struct State {
    index: u64,
    instances: Vec<(&'static str, SocketAddr, &'static str, &'static str, &'static str)>,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A Consul agent that knows one service.
#[derive(Clone)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    state: Shared,
}

impl Agent {
    /// Starts an agent that knows no instance.
    pub fn start() -> io::Result<Self> {
        let state: Shared = Arc::new((Mutex::new(State { index: 1, instances: Vec::new() }), Condvar::new()));
        let served = state.clone();
        let address = listen("127.0.0.1:0", move |socket| {
            let address = socket.local_addr()?;
            Agent { address, state: served.clone() }.serve(socket)
        })?;
        Ok(Agent { address, state })
    }

    /// Registers instances in place of those before: id, address, zone, kind and the status of their check.
    pub fn register(
        &self,
        instances: &[(&'static str, SocketAddr, &'static str, &'static str, &'static str)],
    ) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.index += 1;
        state.instances = instances.to_vec();
        self.state.1.notify_all();
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            socket.read_exact(&mut byte)?;
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let target = head.split(' ').nth(1).unwrap_or("");
        let index = target
            .split_once("index=")
            .and_then(|(_, rest)| rest.split('&').next()?.parse().ok())
            .unwrap_or(0);
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.state.1.wait_timeout_while(state, Duration::from_secs(5), |s| s.index <= index);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let catalogue = target.starts_with("/v1/catalog/");
        let instance = |(id, address, zone, kind, status): &(&str, SocketAddr, &str, &str, &str)| {
            if catalogue {
                return json!({"ServiceID": id});
            }
            json!({
                "Node": {"Address": address.ip().to_string()},
                "Service": {"ID": id, "Address": "", "Port": address.port(),
                    "Meta": {"az": zone, "model": kind, "capacity_hint": "8"}},
                "Checks": [{"Status": status}],
            })
        };
        let body: Value = state.instances.iter().map(instance).collect();
        let (index, body) = (state.index, body.to_string());
        drop(state);
        let head =
            format!("HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n", body.len());
        socket.write_all((head + &body).as_bytes())
    }
}
