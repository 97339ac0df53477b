//! Datagrams of the peers.

use crate::core::TRACE;
use crate::daemon::Daemon;
use crate::ledger;
use crate::net::{receive_from, send_to, FailureKind};
use crate::peers::{self, Purge};
use linnetknot::Micros;
use linnetknot_origin_health::OriginShare;
use linnetknot_replication::{Datagram, DecodeError, Entry, Outgoing, Received};
use std::net::SocketAddr;

/// Never: only a test has all chunks of snapshots lost.
fn loses_chunks() -> bool {
    fail::fail_point!("snapshot-lost", |_| true);
    false
}

impl Daemon {
    pub(in crate::daemon) fn hear_peers(&mut self, now: Micros) {
        let mut bytes = [0; peers::MAX_DATAGRAM_BYTES + 1];
        while let Some((socket, _)) = &self.peers {
            let (length, from) = match receive_from(socket, &mut bytes) {
                Ok(received) => received,
                // What an earlier datagram met costs no other.
                Err(failure) if failure.kind == FailureKind::Broken => continue,
                // epoll tells when there is more, or at once while there is.
                Err(_) => return,
            };
            // What does not come from a peer is not listened to.
            let Some(peer) = self.peer_index.find(&from) else {
                self.dropped.0 += 1;
                continue;
            };
            let bytes = &bytes[..length];
            let heard = |p| {
                self.receive_membership(now, p, bytes)
                    || self.receive_budgets(now, p, bytes)
                    || self.hear_copies(now, p, bytes)
            };
            if peer.index.is_some_and(heard) {
                continue;
            }
            if self
                .origin_health
                .as_mut()
                .is_some_and(|h| h.receive(now, from, bytes))
            {
                self.heed(now);
            } else if let Some(purge) = peers::read(bytes) {
                self.receive_plain_purge(now, peer.index, purge);
            } else {
                self.dropped.1 += 1;
            }
        }
    }

    /// What others find of the origin, as far as enough of them agree.
    fn heed(&mut self, now: Micros) {
        let found = self
            .origin_health
            .as_ref()
            .and_then(|h| h.origin_share(now));
        if let Some(OriginShare { share, until }) = found {
            self.core.heard(now, share, until);
        }
    }

    /// The origin is late for this proxy.
    pub(in crate::daemon) fn tell_found(&mut self, now: Micros, share: f64) {
        let Some(word) = self
            .origin_health
            .as_mut()
            .and_then(|h| h.observe(now, share))
        else {
            return;
        };
        log::debug!(target: TRACE, share = share; "peers are told of a late origin");
        self.send_to_peers(&word);
    }

    /// Takes in a word of the peers' logs; false where it is none.
    fn hear_copies(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let datagram = match Datagram::read(bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(place = peer; "{e}");
                self.dropped.1 += 1;
                return true;
            }
        };
        let Some(ledger) = &mut self.ledger else {
            return true;
        };
        let own = ledger.replica().own().writer;
        let told = match &datagram {
            Datagram::Digest { checksum, .. } => Some(*checksum),
            _ => None,
        };
        let is_chunk = matches!(datagram, Datagram::SnapshotChunk(_));
        if is_chunk && loses_chunks() {
            return true;
        }
        let heard = ledger.receive(now, peer, datagram);
        let same = told == Some(ledger.replica().log_store().checksum());
        self.enforce(now, &heard);
        // What its operators decided, and not each purge of a long log that comes back.
        if heard
            .new
            .iter()
            .any(|entry| entry.log.writer == own && ledger::purge(entry).is_none())
        {
            self.apply_decisions(now);
        }
        self.receive_triggers(now, &heard.new);
        if is_chunk {
            fail::fail_point!("snapshot-chunk");
        }
        if is_chunk || !heard.new.is_empty() {
            self.extend_recovery(now);
        }
        self.watch_snapshot(now);
        if same {
            self.receive_equal_logs(now, peer);
        }
        if !heard.new.is_empty() {
            log::debug!(target: TRACE, place = peer, entries = heard.new.len(); "a peer told of purges");
        }
        let replies = heard
            .replies
            .into_iter()
            .map(|datagram| Outgoing { peer, datagram });
        self.send_words(replies.collect());
        self.resolve_commits(now);
        // The next part of a snapshot, or of what is missing, may be due sooner now.
        self.schedule_replication(now);
        true
    }

    /// Puts in force what a peer told of purges. What there is no room to keep is in force all the same.
    fn enforce(&mut self, now: Micros, received: &Received) {
        for entry in received
            .new
            .iter()
            .chain(&received.out_of_order)
            .chain(&received.rejected)
        {
            let Some(Purge { object, group, at }) = ledger::purge(entry) else {
                continue;
            };
            self.core.purged(now, object, group, at);
        }
        for merged in &received.buckets {
            if let Err(e) = self.core.purges_mut().merge_bucket(
                merged.bucket_bits,
                merged.index,
                &merged.bucket,
            ) {
                log::error!("{e}");
            }
        }
    }

    /// Tells all peers of a new entry at once; those whom that misses get it with the logs.
    pub(in crate::daemon) fn tell_entry(&mut self, entry: Entry) {
        if let Some(bytes) = Datagram::Entry(entry)
            .write()
            .filter(|_| self.config.copies.on)
        {
            self.send_to_peers(&bytes);
        }
    }

    /// Sends words of the logs to peers, by their places.
    pub(in crate::daemon) fn send_words(&self, told: Vec<Outgoing>) {
        for Outgoing { peer, datagram } in told {
            if let Some(bytes) = datagram.write() {
                self.send_to_place(peer, &bytes);
            }
        }
    }

    /// Sends a datagram to the peer at a place of the list of those that copies are made with.
    pub(in crate::daemon) fn send_to_place(&self, place: usize, datagram: &[u8]) {
        if let Some((peer, _)) = self.config.copies.machines.get(place) {
            self.send_to_peer(*peer, datagram);
        }
    }

    /// The peers besides this proxy itself.
    pub(in crate::daemon) fn other_peers(&self) -> Vec<SocketAddr> {
        let Some((socket, known)) = &self.peers else {
            return Vec::new();
        };
        let own = socket.local_addr().ok();
        known
            .iter()
            .filter(|peer| Some(**peer) != own)
            .copied()
            .collect()
    }

    pub(in crate::daemon) fn send_to_peer(&self, peer: SocketAddr, datagram: &[u8]) {
        if let Some((socket, _)) = &self.peers {
            // A datagram may be lost anyway: one that can't be sent is one of those.
            let _ = send_to(socket, datagram, peer);
        }
    }

    fn send_to_peers(&self, datagram: &[u8]) {
        self.other_peers()
            .into_iter()
            .for_each(|peer| self.send_to_peer(peer, datagram));
    }
}
