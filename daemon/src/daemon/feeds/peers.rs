//! Datagrams of the peers.

use crate::core::TRACE;
use crate::daemon::Daemon;
use crate::peers;
use linnetknot::Micros;
use std::io;

impl Daemon {
    pub(in crate::daemon) fn hear_peers(&mut self, now: Micros) {
        let mut bytes = [0; peers::MOST + 1];
        while let Some((socket, known)) = &self.peers {
            let (length, from) = match socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            // What does not come from a peer is not listened to.
            if !known.contains(&from) {
                self.dropped.0 += 1;
                continue;
            }
            let bytes = &bytes[..length];
            if self.hearsay.as_mut().is_some_and(|h| h.hear(now, from, bytes)) {
                self.heed(now);
            } else if let Some((object, group, at)) = peers::read(bytes) {
                self.purge_for_good(now, object, group, at);
            } else {
                self.dropped.1 += 1;
            }
        }
    }

    /// What others find of the origin, as far as enough of them agree.
    fn heed(&mut self, now: Micros) {
        if let Some((share, until)) = self.hearsay.as_ref().and_then(|h| h.origin(now)) {
            self.core.heard(now, share, until);
        }
    }

    /// The origin is late for this proxy.
    pub(in crate::daemon) fn tell_found(&mut self, now: Micros, share: f64) {
        let Some(word) = self.hearsay.as_mut().and_then(|h| h.found(now, share)) else { return };
        log::debug!(target: TRACE, share = share; "peers are told of a late origin");
        self.send_to_peers(&word);
    }

    fn send_to_peers(&self, datagram: &[u8]) {
        let Some((socket, known)) = &self.peers else { return };
        let own = socket.local_addr().ok();
        for peer in known.iter().filter(|peer| Some(**peer) != own) {
            let _ = socket.send_to(datagram, peer);
        }
    }

    /// Sends a purge to the peers, and again: any datagram may be lost.
    pub(in crate::daemon) fn tell_peers(&mut self, now: Micros, text: String, left: u8) {
        if self.peers.is_none() {
            return;
        }
        self.send_to_peers(text.as_bytes());
        if left > 0 {
            self.later(now + self.limits.repeat_us, move |daemon, now| {
                daemon.tell_peers(now, text, left - 1)
            });
        }
    }
}
