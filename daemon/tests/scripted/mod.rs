//! Boxes that do nothing until the test does it, and a client's requests as bytes.
#![allow(dead_code, reason = "each test file uses a part of it")]

use crate::rig::Rig;
use linnetknot_daemon::wire::{fastcgi, resp, Parser};
use linnetknot_harness::clients::WebServer;
use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A box that does nothing until the test does it.
pub(crate) struct Scripted {
    pub(crate) listener: TcpListener,
    pub(crate) wires: Vec<Wire>,
}

/// One connection of a scripted box.
pub(crate) struct Wire {
    pub(crate) socket: TcpStream,
    pub(crate) arrays: resp::ArrayParser,
    pub(crate) input: Vec<u8>,
    pub(crate) ended: bool,
}

impl Scripted {
    pub(crate) fn start() -> Scripted {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Scripted {
            listener,
            wires: Vec::new(),
        }
    }

    pub(crate) fn address(&self) -> String {
        self.listener.local_addr().unwrap().to_string()
    }

    /// Takes the connections that wait, and what has come on all: the connection's place, and the command.
    pub(crate) fn arrived(&mut self) -> Vec<(usize, Vec<String>)> {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).unwrap();
            let arrays = resp::ArrayParser::new(1 << 20);
            self.wires.push(Wire {
                socket,
                arrays,
                input: Vec::new(),
                ended: false,
            });
        }
        let mut all = Vec::new();
        for (place, wire) in self.wires.iter_mut().enumerate() {
            all.extend(wire.arrived().into_iter().map(|command| (place, command)));
        }
        all
    }
}

impl Wire {
    pub(crate) fn arrived(&mut self) -> Vec<Vec<String>> {
        let (mut commands, mut bytes) = (Vec::new(), [0; 65_536]);
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => self.ended = true,
                Ok(got) => {
                    self.input.extend_from_slice(&bytes[..got]);
                    continue;
                }
                Err(e) => self.ended |= e.kind() != ErrorKind::WouldBlock,
            }
            break;
        }
        while !self.input.is_empty() {
            let (taken, array) = self.arrays.parse(&self.input).unwrap();
            self.input.drain(..taken);
            let text = |item: Vec<u8>| String::from_utf8(item).unwrap();
            commands.extend(array.map(|array| array.into_iter().map(text).collect()));
        }
        commands
    }

    pub(crate) fn answer(&mut self, id: &str, word: &str, fields: &str, body: &str) {
        let mut out = Vec::new();
        resp::write_array(
            &mut out,
            &[
                id.as_bytes(),
                word.as_bytes(),
                fields.as_bytes(),
                body.as_bytes(),
            ],
        );
        self.socket.write_all(&out).unwrap();
    }
}

/// A rig whose boxes are all scripted.
pub(crate) fn scripted<const N: usize>(change: impl Fn(&mut Value)) -> (Rig, [Scripted; N]) {
    let boxes = std::array::from_fn(|_| Scripted::start());
    let addresses = boxes.iter().map(Scripted::address).collect::<Vec<_>>();
    let rig = Rig::with(&["s-0a", "s-0b", "s-0c"][..N], |config| {
        for (n, address) in addresses.iter().enumerate() {
            config["known"]["batch"][0]["topology"]["targets"][n]["endpoint"] =
                address.as_str().into();
        }
        change(config);
    });
    (rig, boxes)
}

/// Waits until something has come to any box: the box, the connection there, and the command.
pub(crate) fn next_of<const N: usize>(boxes: &mut [Scripted; N]) -> (usize, usize, Vec<String>) {
    let start = Instant::now();
    loop {
        for (n, scripted) in boxes.iter_mut().enumerate() {
            if let Some((place, command)) = scripted.arrived().into_iter().next() {
                return (n, place, command);
            }
        }
        assert!(start.elapsed() < Duration::from_secs(10), "nothing comes");
        std::thread::yield_now();
    }
}

/// A request of a client, as bytes.
pub(crate) fn request(id: u16, object: &str, padding: usize) -> Vec<u8> {
    let name = format!("{:016x}", 0xabc_0000 + u64::from(id));
    let padding = "x".repeat(padding);
    let fields = [
        ("HTTP_REQUEST_ID", name.as_str()),
        ("HTTP_RESOURCE_KEY", object),
        ("HTTP_BUDGET_MS", "2000"),
        ("HTTP_PADDING", &padding),
    ];
    WebServer::request(id, "/invoke/photo", &fields, b"")
}

pub(crate) fn abort(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    fastcgi::write_record(&mut out, fastcgi::kind::ABORT, id, &[]);
    out
}

/// Lets a time pass on the clock that the daemon counts by.
pub(crate) fn pass(time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        std::thread::yield_now();
    }
}

/// A listener whose queue is full: connections to it don't come up until the returned one is accepted.
pub(crate) fn full(scripted: &Scripted) -> TcpStream {
    rustix::net::listen(&scripted.listener, 0).unwrap();
    TcpStream::connect(scripted.listener.local_addr().unwrap()).unwrap()
}

/// Adds two parents to a rig's configuration, so that a fill that fails has another source.
pub(crate) fn add_parents(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["kinds"].as_array_mut().unwrap().push("mid".into());
    settings["family-info"]["mid-kind"] = 2.into();
    let targets = config["known"]["batch"][0]["topology"]["targets"]
        .as_array_mut()
        .unwrap();
    let origin = targets.last().unwrap().clone();
    for uid in ["s-1a", "s-1b"] {
        let mut parent = origin.clone();
        (parent["uid"], parent["model"]) = (uid.into(), "mid".into());
        targets.push(parent);
    }
}

/// A call that reached a box: the box, its connection, the request's id and fields.
pub(crate) type Fetch = (usize, usize, String, String);

/// Takes all calls that have come to any box.
pub(crate) fn fetches<const N: usize>(boxes: &mut [Scripted; N]) -> Vec<Fetch> {
    let mut all = Vec::new();
    for (n, scripted) in boxes.iter_mut().enumerate() {
        let arrived = scripted.arrived().into_iter();
        let fetched = arrived.filter(|(_, command)| command[0] == "fetch");
        all.extend(
            fetched.map(|(place, command)| (n, place, command[1].clone(), command[2].clone())),
        );
    }
    all
}
