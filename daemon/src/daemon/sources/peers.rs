//! Receives and sends the datagrams exchanged with the other proxies.

use crate::core::TRACE;
use crate::daemon::Daemon;
use crate::ledger;
use crate::net::{receive_from, send_to, FailureKind};
use crate::peers::{self, Purge};
use linnetknot::Micros;
use linnetknot_origin_health::OriginShare;
use linnetknot_replication::{Datagram, DecodeError, Entry, Outgoing, Received};
use std::net::SocketAddr;

/// Fault injection: whether all received snapshot chunks are dropped.
fn loses_chunks() -> bool {
    fail::fail_point!("snapshot-lost", |_| true);
    false
}

impl Daemon {
    /// Receives datagrams of the peers that are available on the socket, and processes them by protocol. Returns whether
    /// there may be more.
    pub(in crate::daemon) fn receive_peer_datagrams(&mut self, now: Micros) -> bool {
        let mut bytes = [0; peers::MAX_DATAGRAM_BYTES + 1];
        // Bounded per step, so that datagrams can't occupy the loop. The socket stays ready.
        for _ in 0..self.limits.max_datagrams_per_step {
            let Some((socket, _)) = &self.peers else {
                return false;
            };
            let (length, from) = match receive_from(socket, &mut bytes) {
                Ok(received) => received,
                // The kernel reports the failure of a datagram that was sent earlier, so receiving continues.
                Err(failure) if failure.kind == FailureKind::Broken => continue,
                // epoll reports the socket again when more datagrams arrive.
                Err(_) => return false,
            };
            // Datagrams of unknown senders are dropped.
            let Some(peer) = self.peer_index.find(&from) else {
                self.dropped_datagrams.0 += 1;
                continue;
            };
            let bytes = &bytes[..length];
            let is_handled = |p| {
                self.receive_membership(now, p, bytes)
                    || self.receive_budgets(now, p, bytes)
                    || self.receive_replication(now, p, bytes)
            };
            if peer.index.is_some_and(is_handled) {
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
                self.dropped_datagrams.1 += 1;
            }
        }
        true
    }

    /// Passes the health of the origin to the core, if enough proxies agree on it.
    fn apply_origin_health(&mut self, now: Micros) {
        let shared = self
            .origin_health
            .as_ref()
            .and_then(|h| h.origin_share(now));
        if let Some(OriginShare { share, until }) = shared {
            self.core.receive_origin_health(now, share, until);
        }
    }

    /// Reports to the other proxies that the origin responds slowly to this proxy.
    pub(in crate::daemon) fn share_origin_health(&mut self, now: Micros, share: f64) {
        let Some(datagram) = self
            .origin_health
            .as_mut()
            .and_then(|h| h.record_late_response(now, share))
        else {
            return;
        };
        log::debug!(target: TRACE, share = share; "notifying peers of a slow origin");
        self.send_to_peers(&datagram);
    }

    /// Receives a datagram of replication. Returns false if it belongs to another protocol.
    fn receive_replication(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(peer = peer; "{e}");
                self.dropped_datagrams.1 += 1;
                return true;
            }
        };
        let Some(ledger) = &mut self.ledger else {
            return true;
        };
        let own = ledger.replica().own_log().writer;
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
        self.retain_out_of_order(now, peer, &received.out_of_order);
        // The operators' decisions are applied again only if entries other than purges of this proxy's own log were
        // received. A recovered log may contain many purges.
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
        self.check_snapshot_wait(now);
        if is_synced {
            self.receive_equal_logs(now, peer);
        }
        if !received.new.is_empty() {
            log::debug!(target: TRACE, peer = peer, entries = received.new.len(); "received log entries from a peer");
        }
        let replies = received
            .replies
            .into_iter()
            .map(|datagram| Outgoing { peer, datagram });
        self.send_datagrams(replies.collect());
        self.resolve_commits(now);
        // The next snapshot chunk or request may be due earlier now.
        self.schedule_replication(now);
        true
    }

    /// Applies the purges received from a peer, including those that the log has no capacity to store.
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
                log::error!("failed to apply purges of a peer: {e}");
            }
        }
    }

    /// Sends a new entry to all peers immediately. If the datagram is lost, the peer requests the entry later.
    pub(in crate::daemon) fn send_entry(&mut self, entry: Entry) {
        if let Some(bytes) = Datagram::Entry(entry)
            .encode()
            .filter(|_| self.config.replication.enabled)
        {
            self.send_to_peers(&bytes);
        }
    }

    /// Sends each replication datagram to its peer. Datagrams that cannot be encoded are skipped.
    pub(in crate::daemon) fn send_datagrams(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { peer, datagram } in outgoing {
            if let Some(bytes) = datagram.encode() {
                self.send_to_peer_at(peer, &bytes);
            }
        }
    }

    /// Sends a datagram to a peer, by its index among the configured peers that replicate logs.
    pub(in crate::daemon) fn send_to_peer_at(&self, index: usize, datagram: &[u8]) {
        if let Some((peer, _)) = self.config.replication.machines.get(index) {
            self.send_to_peer(*peer, datagram);
        }
    }

    /// Returns the peers other than this proxy itself.
    pub(in crate::daemon) fn other_peers(&self) -> Vec<SocketAddr> {
        let Some((socket, peers)) = &self.peers else {
            return Vec::new();
        };
        let own = socket.local_addr().ok();
        peers
            .iter()
            .filter(|peer| Some(**peer) != own)
            .copied()
            .collect()
    }

    /// Sends a datagram to a peer.
    pub(in crate::daemon) fn send_to_peer(&self, peer: SocketAddr, datagram: &[u8]) {
        if let Some((socket, _)) = &self.peers {
            // The protocols tolerate lost datagrams, so failures are ignored.
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
