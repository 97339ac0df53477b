//! Datagrams that wait to be sent.

use std::sync::Arc;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's place in the sender's list of peers, which leaves the sender out.
    pub to: usize,
    /// The datagram. One that goes to all peers is shared among them.
    pub bytes: Arc<[u8]>,
}

/// What a member has to send.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    peers: usize,
    waiting: Vec<Outgoing>,
}

impl Outbox {
    /// Of a member with so many peers.
    pub(super) fn new(peers: usize) -> Self {
        Outbox {
            peers,
            waiting: Vec::new(),
        }
    }

    pub(super) fn send(&mut self, to: usize, bytes: Vec<u8>) {
        self.waiting.push(Outgoing {
            to,
            bytes: bytes.into(),
        });
    }

    pub(super) fn broadcast(&mut self, bytes: &[u8]) {
        self.send_where(bytes, |_| true);
    }

    /// Sends a datagram to all peers that meet a condition.
    pub(super) fn send_where(&mut self, bytes: &[u8], condition: impl Fn(usize) -> bool) {
        let bytes: Arc<[u8]> = bytes.into();
        let peers = (0..self.peers).filter(|peer| condition(*peer));
        self.waiting.extend(peers.map(|to| Outgoing {
            to,
            bytes: bytes.clone(),
        }));
    }

    pub(super) fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.waiting)
    }
}
