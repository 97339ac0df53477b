//! Queue of outgoing datagrams.

use std::sync::Arc;

/// Datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Index of the receiver in the sender's peer list, which excludes the sender.
    pub to: usize,
    /// Encoded datagram, shared among the receivers of a broadcast.
    pub bytes: Arc<[u8]>,
}

/// Outgoing datagrams of a member.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    peers: usize,
    waiting: Vec<Outgoing>,
}

impl Outbox {
    /// Creates an empty queue for a member with `peers` peers.
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

    /// Sends a datagram to all peers that satisfy a condition.
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
