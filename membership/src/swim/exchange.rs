//! Sending and receiving datagrams.

use super::{Membership, Outgoing};
use crate::member::{Claim, Member, MemberState, Names};
use crate::wire::{truncated, Body, Message, Sender, Update};
use crate::{DecodeError, Micros, PeerIndex};

/// The maximum number of gossiped updates in a datagram.
const MAX_UPDATES: usize = 6;

/// Returns the claim that a sender implies about itself by sending a datagram.
fn alive(sender: Sender) -> Claim {
    Claim {
        process: sender.process,
        incarnation: sender.incarnation,
        state: MemberState::Alive,
    }
}

impl Membership {
    /// Queues a datagram with piggybacked updates. `about_receiver` is an update that the receiver must get.
    pub(super) fn send(&mut self, peer: PeerIndex, body: Body, about_receiver: Option<Update>) {
        let (members, receiver) = (self.members.len() + 1, self.members[peer].id);
        let mut updates: Vec<Update> = about_receiver.into_iter().collect();
        for update in self.gossip.take(MAX_UPDATES, members, receiver) {
            if !updates.contains(&update) {
                updates.push(update);
            }
        }
        let message = Message {
            from: self.own,
            body,
            updates,
        };
        self.outgoing.push(Outgoing {
            peer,
            datagram: message.encode(),
        });
    }

    /// Receives a datagram from a peer's address.
    ///
    /// Fails if the datagram can't be decoded. The datagram is then counted and has no other effect.
    pub fn receive(
        &mut self,
        now: Micros,
        peer: PeerIndex,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        let message = Message::decode(bytes).inspect_err(|_| self.counters.unreadable += 1)?;
        if peer >= self.members.len() || self.has_left {
            return Ok(());
        }
        let from = message.from;
        if from.id == self.own.id {
            // The sender is another process of this member.
            self.is_replaced |= from.process > self.own.process;
            return Ok(());
        }
        self.observe(now, peer, from);
        for update in message.updates {
            self.receive_claim(now, update);
        }
        self.receive_body(now, peer, from, message.body);
        Ok(())
    }

    fn receive_body(&mut self, now: Micros, peer: PeerIndex, from: Sender, body: Body) {
        match body {
            Body::Ping { number, names } => {
                let ack = Body::Ack {
                    number,
                    target: None,
                    names: names.then(|| self.names.clone()),
                };
                let about_sender = self.overriding_claim(from);
                self.send(peer, ack, about_sender);
            }
            Body::Ack {
                number,
                target,
                names,
            } => {
                if let Some(names) = names.filter(|_| target.is_none()) {
                    self.members[peer].names = Some(Names {
                        name: truncated(&names.name),
                        machine: truncated(&names.machine),
                    });
                }
                self.receive_ack(number, target.unwrap_or(from.id));
            }
            Body::PingRequest { number, target } => {
                self.receive_ping_request(now, peer, number, target);
            }
            Body::Nack { number } => self.receive_nack(number),
            Body::Leave => {
                let claim = Claim {
                    state: MemberState::Left,
                    ..alive(from)
                };
                self.receive_own_claim(now, from, claim);
            }
        }
    }

    /// Returns the current claim about a sender if it overrides the claim that the sender implies by sending. The
    /// sender must receive the current claim, in order to refute it or to be informed that it was replaced.
    fn overriding_claim(&self, sender: Sender) -> Option<Update> {
        let known = self
            .index_of(sender.id)
            .and_then(|peer| self.members[peer].claim);
        let overriding = known.filter(|claim| *claim > alive(sender));
        overriding.map(|claim| Update {
            id: sender.id,
            observer: self.own.id,
            claim,
        })
    }

    /// Records which process of which member sends from a peer's address.
    fn observe(&mut self, now: Micros, peer: PeerIndex, from: Sender) {
        if let Some(other) = self.index_of(from.id).filter(|other| *other != peer) {
            // The same member was known at another address. The later process is used, regardless of its address.
            let known = self.members[other].claim;
            if known.is_some_and(|claim| claim.process > from.process) {
                return;
            }
            self.members[other] = Member::default();
            self.suspicions.remove(&other);
        }
        let known = &mut self.members[peer];
        if known.id != Some(from.id) {
            // Another member has taken over this address.
            if let Some(old) = known.id {
                self.by_id.remove(&old);
            }
            *known = Member {
                id: Some(from.id),
                ..Member::default()
            };
            self.suspicions.remove(&peer);
            self.by_id.insert(from.id, peer);
        }
        if known
            .claim
            .is_some_and(|claim| claim.process < from.process)
        {
            // The new process may have other names.
            known.names = None;
        }
        self.receive_own_claim(now, from, alive(from));
    }

    /// Processes a claim that a sender makes about itself.
    fn receive_own_claim(&mut self, now: Micros, from: Sender, claim: Claim) {
        let update = Update {
            id: from.id,
            observer: from.id,
            claim,
        };
        self.receive_claim(now, update);
    }

    /// Announces this member's shutdown to the members that are up. No further datagrams are sent.
    pub fn leave(&mut self) {
        for peer in 0..self.members.len() {
            if self.members[peer].is_up() {
                self.send(peer, Body::Leave, None);
            }
        }
        self.has_left = true;
        // Disables all timers.
        self.next_probe = Micros::MAX;
        self.probe = None;
        self.suspicions.clear();
        self.indirect.clear();
    }
}
