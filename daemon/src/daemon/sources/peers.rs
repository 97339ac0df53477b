//! Datagrams from and to the other proxies.

use crate::core::TRACE;
use crate::daemon::Daemon;
use crate::ledger;
use crate::net::{receive_from, send_to, FailureKind};
use crate::peers::{self, Purge};
use linnetknot::Micros;
use linnetknot_origin_health::OriginShare;
use linnetknot_replication::{Datagram, DecodeError, Entry, Outgoing, Received};
use std::net::SocketAddr;

/// Whether all chunks of snapshots are lost, which only a test asks for.
fn loses_chunks() -> bool {
    fail::fail_point!("snapshot-lost", |_| true);
    false
}

impl Daemon {
    /// Receives all datagrams that have come in.
    pub(in crate::daemon) fn receive_peer_datagrams(&mut self, now: Micros) {
        let mut bytes = [0; peers::MAX_DATAGRAM_BYTES + 1];
        while let Some((socket, _)) = &self.peers {
            let (length, from) = match receive_from(socket, &mut bytes) {
                Ok(received) => received,
                // What an earlier datagram met costs no other.
                Err(failure) if failure.kind == FailureKind::Broken => continue,
                // epoll tells when there is more, or at once while there is.
                Err(_) => return,
            };
            // What does not come from a peer is dropped.
            let Some(peer) = self.peer_index.find(&from) else {
                self.dropped.0 += 1;
                continue;
            };
            let bytes = &bytes[..length];
            let is_taken = |p| {
                self.receive_membership(now, p, bytes)
                    || self.receive_budgets(now, p, bytes)
                    || self.receive_replication(now, p, bytes)
            };
            if peer.index.is_some_and(is_taken) {
                continue;
            }
            if self
                .origin_health
                .as_mut()
                .is_some_and(|h| h.receive(now, from, bytes))
            {
                self.apply_origin_health(now);
            } else if let Some(purge) = peers::read(bytes) {
                self.receive_plain_purge(now, peer.index, purge);
            } else {
                self.dropped.1 += 1;
            }
        }
    }

    /// Hands the core what other proxies found of the origin, as far as enough of them agree.
    fn apply_origin_health(&mut self, now: Micros) {
        let found = self
            .origin_health
            .as_ref()
            .and_then(|h| h.origin_share(now));
        if let Some(OriginShare { share, until }) = found {
            self.core.receive_origin_health(now, share, until);
        }
    }

    /// Tells the other proxies that the origin is slow for this one.
    pub(in crate::daemon) fn share_origin_health(&mut self, now: Micros, share: f64) {
        let Some(datagram) = self
            .origin_health
            .as_mut()
            .and_then(|h| h.observe(now, share))
        else {
            return;
        };
        log::debug!(target: TRACE, share = share; "peers are notified of a slow origin");
        self.send_to_peers(&datagram);
    }

    /// Takes a datagram of replication; false where it is none.
    fn receive_replication(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let datagram = match Datagram::read(bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(peer = peer; "{e}");
                self.dropped.1 += 1;
                return true;
            }
        };
        let Some(ledger) = &mut self.ledger else {
            return true;
        };
        let own = ledger.replica().own().writer;
        let peer_checksum = match &datagram {
            Datagram::Digest { checksum, .. } => Some(*checksum),
            _ => None,
        };
        let is_chunk = matches!(datagram, Datagram::SnapshotChunk(_));
        if is_chunk && loses_chunks() {
            return true;
        }
        let received = ledger.receive(now, peer, datagram);
        let is_synced = peer_checksum == Some(ledger.replica().log_store().checksum());
        self.apply_received_purges(now, &received);
        // What its operators decided, and not each purge of a long log that comes back.
        if received
            .new
            .iter()
            .any(|entry| entry.log.writer == own && ledger::purge(entry).is_none())
        {
            self.apply_decisions(now);
        }
        self.receive_triggers(now, &received.new);
        if is_chunk {
            fail::fail_point!("snapshot-chunk");
        }
        if is_chunk || !received.new.is_empty() {
            self.extend_recovery(now);
        }
        self.watch_snapshot(now);
        if is_synced {
            self.receive_equal_logs(now, peer);
        }
        if !received.new.is_empty() {
            log::debug!(target: TRACE, peer = peer, entries = received.new.len(); "a peer sent purges");
        }
        let replies = received
            .replies
            .into_iter()
            .map(|datagram| Outgoing { peer, datagram });
        self.send_datagrams(replies.collect());
        self.resolve_commits(now);
        // The next part of a snapshot, or of what is missing, may be due sooner now.
        self.schedule_replication(now);
        true
    }

    /// Puts the purges of a peer in force, also those that there is no capacity to store.
    fn apply_received_purges(&mut self, now: Micros, received: &Received) {
        for entry in received
            .new
            .iter()
            .chain(&received.out_of_order)
            .chain(&received.rejected)
        {
            let Some(Purge { object, group, at }) = ledger::purge(entry) else {
                continue;
            };
            self.core.record_purge(now, object, group, at);
        }
        for merged in &received.buckets {
            if let Err(e) = self.core.purges_mut().merge_bucket(
                merged.bucket_bits,
                merged.index,
                &merged.bucket,
            ) {
                log::error!("purges of a peer are not in force here: {e}");
            }
        }
    }

    /// Sends a new entry to all peers at once; those that it does not reach get it by replication.
    pub(in crate::daemon) fn send_entry(&mut self, entry: Entry) {
        if let Some(bytes) = Datagram::Entry(entry)
            .write()
            .filter(|_| self.config.replication.enabled)
        {
            self.send_to_peers(&bytes);
        }
    }

    /// Sends datagrams of replication to peers.
    pub(in crate::daemon) fn send_datagrams(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { peer, datagram } in outgoing {
            if let Some(bytes) = datagram.write() {
                self.send_to_peer_at(peer, &bytes);
            }
        }
    }

    /// Sends a datagram to a replication peer, by its index in the configuration.
    pub(in crate::daemon) fn send_to_peer_at(&self, index: usize, datagram: &[u8]) {
        if let Some((peer, _)) = self.config.replication.machines.get(index) {
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

    /// Sends a datagram to a peer.
    pub(in crate::daemon) fn send_to_peer(&self, peer: SocketAddr, datagram: &[u8]) {
        if let Some((socket, _)) = &self.peers {
            // A datagram may be lost anyway: one that can't be sent is one of those.
            let _ = send_to(socket, datagram, peer);
        }
    }

    /// Sends a datagram to all other peers.
    fn send_to_peers(&self, datagram: &[u8]) {
        self.other_peers()
            .into_iter()
            .for_each(|peer| self.send_to_peer(peer, datagram));
    }
}
